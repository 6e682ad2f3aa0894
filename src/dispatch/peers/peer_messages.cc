#include "dispatch/peers/peer_messages.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <map>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"

namespace dandelionscale::internal {
namespace {

// Cap of reported ages. Views older than this are treated alike.
constexpr std::int64_t kMaxAgeMs = 3'600'000;

std::uint32_t ToAgeMs(Duration age) {
  const std::int64_t age_ms = std::max<std::int64_t>(ToMilliseconds(age), 0);
  return static_cast<std::uint32_t>(std::min(age_ms, kMaxAgeMs));
}

TimePoint FromAgeMs(TimePoint now, std::uint32_t age_ms) {
  return now - std::chrono::milliseconds(age_ms);
}

// Time since a row was written. The writer's clock may be ahead of this one.
Duration RowAge(std::int64_t written_unix_ms, std::int64_t unix_ms) {
  const std::int64_t latest = std::max<std::int64_t>(unix_ms, 0);
  const std::int64_t written =
      std::clamp<std::int64_t>(written_unix_ms, 0, latest);
  return std::chrono::milliseconds(std::min(latest - written, kMaxAgeMs));
}

// The keys in ascending order, without duplicates, as the quarantine needs
// them.
RequestKeySet ToRequestKeySet(
    const google::protobuf::RepeatedField<std::uint64_t>& parts) {
  RequestKeySet keys(parts.begin(), parts.end());
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

BlockedKeys ToBlockedKeys(const wire::QuarantineReport& report, TimePoint now) {
  return {ToRequestKeySet(report.parts()), FromAgeMs(now, report.age_ms()),
          report.failed_trials(), report.single_request()};
}

// The new entries among the updates, in their order, but those for all zones
// before the others.
std::vector<PrefixUpdate> PlacementsInOrder(
    std::span<const PrefixUpdate> updates) {
  std::vector<PrefixUpdate> placements;
  placements.reserve(updates.size());
  std::copy_if(updates.begin(), updates.end(), std::back_inserter(placements),
               [](const PrefixUpdate& update) { return !update.dropped; });
  std::stable_partition(placements.begin(), placements.end(), IsForAllZones);
  return placements;
}

template <typename Message>
void FillNewEntries(std::span<const PrefixUpdate> updates, Message& message) {
  const std::vector<PrefixUpdate> placements = PlacementsInOrder(updates);
  for (const PrefixUpdate& update : placements) {
    message.add_placed_parts(update.part_key);
    message.add_placed_engines(ShortKey(update.engine_key));
  }
  const auto for_all =
      std::count_if(placements.begin(), placements.end(), IsForAllZones);
  if (for_all == std::ssize(placements)) return;
  message.set_parts_for_all_zones(static_cast<std::uint32_t>(for_all));
}

}  // namespace

void FillPlacements(std::span<const PrefixUpdate> updates,
                    wire::RouterDigest& digest) {
  FillNewEntries(updates, digest);
  for (const PrefixUpdate& update : updates) {
    if (!update.dropped) continue;
    digest.add_dropped_parts(update.part_key);
    digest.add_dropped_engines(ShortKey(update.engine_key));
  }
}

void FillPlacements(std::span<const PrefixUpdate> updates,
                    wire::BeliefSnapshot& snapshot) {
  FillNewEntries(updates, snapshot);
}

WatchReport ToWatchReport(const wire::RouterDigest& digest) {
  using std::chrono::milliseconds;
  WatchReport report;
  report.store_lost = digest.store_lost();
  report.link_mbps = digest.link_mbps();
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
  if (report.link_mbps > 0) digest.set_link_mbps(report.link_mbps);
  if (report.view_age) digest.set_view_age_ms(ToAgeMs(*report.view_age));
  if (report.watcher_age) {
    digest.set_watcher_age_ms(ToAgeMs(*report.watcher_age));
  }
}

QuarantineUpdate ToQuarantineUpdate(const wire::RouterDigest& digest,
                                    TimePoint now) {
  QuarantineUpdate update;
  for (const wire::LostSendReport& report : digest.lost_sends()) {
    update.lost_sends.push_back(
        {report.request(), report.engine(), report.service(),
         FromAgeMs(now, report.age_ms()), ToRequestKeySet(report.parts())});
  }
  for (const wire::LostRequestReport& report : digest.lost_requests()) {
    update.lost_requests.push_back({report.fingerprint(), report.request(),
                                    report.engine(),
                                    FromAgeMs(now, report.age_ms())});
  }
  for (const wire::AnsweredPartReport& report : digest.answered_parts()) {
    update.answered.push_back({report.part(), FromAgeMs(now, report.age_ms())});
  }
  for (const wire::QuarantineReport& report : digest.quarantines()) {
    update.blocked.push_back(ToBlockedKeys(report, now));
  }
  return update;
}

void FillQuarantineUpdate(const QuarantineUpdate& update, TimePoint now,
                          wire::RouterDigest& digest) {
  for (const LostSend& send : update.lost_sends) {
    wire::LostSendReport& report = *digest.add_lost_sends();
    report.set_request(send.request_key);
    report.set_engine(send.engine);
    report.set_service(send.service);
    report.set_age_ms(ToAgeMs(now - send.at));
    report.mutable_parts()->Add(send.keys.begin(), send.keys.end());
  }
  for (const LostRequest& lost : update.lost_requests) {
    wire::LostRequestReport& report = *digest.add_lost_requests();
    report.set_fingerprint(lost.fingerprint);
    report.set_request(lost.request_key);
    report.set_engine(lost.engine);
    report.set_age_ms(ToAgeMs(now - lost.at));
  }
  for (const AnsweredKey& answered : update.answered) {
    wire::AnsweredPartReport& report = *digest.add_answered_parts();
    report.set_part(answered.key);
    report.set_age_ms(ToAgeMs(now - answered.at));
  }
  for (const BlockedKeys& blocked : update.blocked) {
    FillReport(blocked, now, *digest.add_quarantines());
  }
}

QuarantineUpdate ToQuarantineUpdate(const wire::BeliefSnapshot& snapshot,
                                    TimePoint now) {
  QuarantineUpdate update;
  for (const wire::QuarantineReport& report : snapshot.quarantines()) {
    update.blocked.push_back(ToBlockedKeys(report, now));
  }
  return update;
}

QuarantineUpdate ToQuarantineUpdate(const std::string& row, TimePoint now,
                                    std::int64_t unix_ms) {
  QuarantineUpdate update;
  wire::QuarantineRow message;
  if (!message.ParseFromString(row)) {
    Logger::Warning("quarantine_row_malformed", {});
    return update;
  }
  const TimePoint written_at = now - RowAge(message.written_unix_ms(), unix_ms);
  for (const wire::QuarantineReport& report : message.quarantines()) {
    update.blocked.push_back(ToBlockedKeys(report, written_at));
  }
  return update;
}

std::vector<VersionReport> ToVersionReports(const std::string& row,
                                            std::int64_t unix_ms) {
  std::vector<VersionReport> reports;
  wire::SoftwareVersionsRow message;
  if (!message.ParseFromString(row)) {
    Logger::Warning("software_versions_row_malformed", {});
    return reports;
  }
  const Duration row_age = RowAge(message.written_unix_ms(), unix_ms);
  for (const wire::VersionReport& report : message.versions()) {
    const Duration age =
        report.has_age_ms()
            ? row_age + std::chrono::milliseconds(report.age_ms())
            : Duration::zero();
    reports.push_back({report.service(), report.version(), age});
  }
  return reports;
}

std::string FormatVersionsRow(std::span<const VersionReport> reports,
                              std::int64_t unix_ms) {
  wire::SoftwareVersionsRow message;
  message.set_written_unix_ms(unix_ms);
  for (const VersionReport& report : reports) {
    wire::VersionReport& entry = *message.add_versions();
    entry.set_service(report.service);
    entry.set_version(report.version);
    if (report.age > Duration::zero()) entry.set_age_ms(ToAgeMs(report.age));
  }
  return message.SerializeAsString();
}

std::vector<StreamOrigin> ToStreamOrigins(const std::string& row,
                                          std::int64_t unix_ms) {
  std::vector<StreamOrigin> origins;
  wire::StreamOriginsRow message;
  if (!message.ParseFromString(row) ||
      message.streams_size() != message.version_indices_size()) {
    Logger::Warning("stream_origins_row_malformed", {});
    return origins;
  }
  if (RowAge(message.written_unix_ms(), unix_ms) >= StreamOrigins::kMemory) {
    return origins;
  }
  const auto versions = static_cast<std::uint32_t>(message.versions_size());
  for (int n = 0; n < message.streams_size(); ++n) {
    const std::uint32_t index = message.version_indices(n);
    if (index >= versions) continue;
    origins.push_back(
        {message.streams(n), message.versions(static_cast<int>(index))});
  }
  return origins;
}

std::string FormatOriginsRow(std::span<const StreamOrigin> origins,
                             std::int64_t unix_ms) {
  wire::StreamOriginsRow message;
  message.set_written_unix_ms(unix_ms);
  std::map<std::uint64_t, std::uint32_t> indices;
  for (const StreamOrigin& origin : origins) {
    const auto next = static_cast<std::uint32_t>(indices.size());
    const auto [found, is_new] = indices.try_emplace(origin.version_key, next);
    if (is_new) message.add_versions(origin.version_key);
    message.add_streams(origin.stream_key);
    message.add_version_indices(found->second);
  }
  return message.SerializeAsString();
}

std::string FormatQuarantineRow(std::span<const BlockedKeys> entries,
                                TimePoint now, std::int64_t unix_ms) {
  wire::QuarantineRow message;
  message.set_written_unix_ms(unix_ms);
  for (const BlockedKeys& blocked : entries) {
    FillReport(blocked, now, *message.add_quarantines());
  }
  return message.SerializeAsString();
}

void FillReport(const BlockedKeys& blocked, TimePoint now,
                wire::QuarantineReport& report) {
  report.mutable_parts()->Add(blocked.keys.begin(), blocked.keys.end());
  report.set_age_ms(ToAgeMs(now - blocked.since));
  report.set_failed_trials(blocked.failed_probes);
  report.set_single_request(blocked.is_single_request);
}

Result<std::optional<double>> ToRateLimit(const wire::RateLimitReport& report) {
  if (!report.has_per_second()) return std::optional<double>();
  const double rate = report.per_second();
  if (!std::isfinite(rate) || rate < 0) {
    return Fault{FaultKind::kMalformedMessage, "rate limit is no rate"};
  }
  return std::optional<double>(rate);
}

TimePoint StatedAt(const wire::RateLimitReport& report, TimePoint now) {
  return FromAgeMs(now, report.age_ms());
}

void FillRateLimit(const Engine& engine, TimePoint now,
                   wire::RateLimitReport& report) {
  report.set_engine(ShortKey(engine.key));
  if (const auto rate = engine.rate_limit.Statement()) {
    report.set_per_second(static_cast<float>(*rate));
  }
  // Without a statement, the report must not replace one that the peer knows.
  report.set_age_ms(engine.rate_limit.WasStated()
                        ? ToAgeMs(engine.rate_limit.Age(now))
                        : static_cast<std::uint32_t>(kMaxAgeMs));
  const Duration warm_up_left = engine.warm_up.Left(now);
  if (warm_up_left > Duration::zero()) {
    report.set_warm_up_left_ms(ToAgeMs(warm_up_left));
  }
  if (const auto lost_at = engine.warm_up.LostAt()) {
    report.set_lost_age_ms(ToAgeMs(now - *lost_at));
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
  if (entry.has_software_version()) {
    record.software_version = entry.software_version();
  }
  if (entry.has_warm_up_left_ms()) {
    record.warm_up_left = std::chrono::milliseconds(entry.warm_up_left_ms());
  }
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
  if (record.software_version) {
    entry.set_software_version(*record.software_version);
  }
  if (record.warm_up_left) {
    entry.set_warm_up_left_ms(ToAgeMs(*record.warm_up_left));
  }
}

}  // namespace dandelionscale::internal
