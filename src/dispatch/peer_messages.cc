#include "dispatch/peer_messages.h"

#include <algorithm>
#include <chrono>

#include "dandelionscale/runtime/trace.h"

namespace dandelionscale::internal {
namespace {

// Cap of reported ages. Views older than this are treated alike.
constexpr std::int64_t kMaxAgeMs = 3'600'000;

std::uint32_t ToAgeMs(Duration age) {
  return static_cast<std::uint32_t>(std::min(ToMilliseconds(age), kMaxAgeMs));
}

}  // namespace

WatchReport ToWatchReport(const wire::RouterDigest& digest) {
  using std::chrono::milliseconds;
  WatchReport report;
  report.store_lost = digest.store_lost();
  if (digest.has_view_age_ms()) {
    report.view_age = milliseconds(digest.view_age_ms());
  }
  if (digest.has_watcher_age_ms()) {
    report.watcher_age = milliseconds(digest.watcher_age_ms());
  }
  return report;
}

void FillWatchReport(const WatchReport& report, wire::RouterDigest& digest) {
  digest.set_store_lost(report.store_lost);
  if (report.view_age) digest.set_view_age_ms(ToAgeMs(*report.view_age));
  if (report.watcher_age) {
    digest.set_watcher_age_ms(ToAgeMs(*report.watcher_age));
  }
}

EngineRecord ToRecord(const wire::EngineEntry& entry) {
  EngineRecord record;
  record.id = entry.id();
  record.service = entry.service();
  record.address = entry.address();
  record.availability_zone = entry.availability_zone();
  record.max_slots = entry.max_slots();
  record.draining = entry.draining();
  record.born_unix_ms = entry.born_unix_ms();
  return record;
}

void FillEntry(const EngineRecord& record, wire::EngineEntry& entry) {
  entry.set_id(record.id);
  entry.set_service(record.service);
  entry.set_address(record.address);
  entry.set_availability_zone(record.availability_zone);
  entry.set_max_slots(record.max_slots);
  entry.set_draining(record.draining);
  entry.set_born_unix_ms(record.born_unix_ms);
}

}  // namespace dandelionscale::internal
