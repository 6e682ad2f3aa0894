#include "dandelionscale/core/load/peer_load.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// A report expires after the longer of this time and this many times the
// interval between two reports of one router.
constexpr Duration kMinReportLifetime = std::chrono::milliseconds(1200);
constexpr int kReportLifetimeIntervals = 2;

}  // namespace

void PeerLoad::OnReport(TimePoint now, const std::string& router,
                        std::uint64_t incarnation, std::uint64_t sequence,
                        std::span<const EngineLoad> loads) {
  Report& report = this->reports[router];
  const bool is_stale =
      incarnation < report.incarnation ||
      (incarnation == report.incarnation && sequence <= report.sequence);
  if (is_stale && report.received_at != TimePoint{}) return;
  this->Subtract(report);
  report = {incarnation, sequence, now, {loads.begin(), loads.end()}};
  this->Add(report);
}

void PeerLoad::Expire(TimePoint now, Duration report_interval) {
  const Duration lifetime =
      std::max(kMinReportLifetime, report_interval * kReportLifetimeIntervals);
  for (auto entry = this->reports.begin(); entry != this->reports.end();) {
    if (now - entry->second.received_at > lifetime) {
      this->Subtract(entry->second);
      entry = this->reports.erase(entry);
    } else {
      ++entry;
    }
  }
}

std::uint32_t PeerLoad::InFlight(std::uint64_t engine_key) const {
  auto found = this->totals.find(engine_key);
  return found == this->totals.end() ? 0 : found->second;
}

Duration PeerLoad::OldestAge(TimePoint now) const {
  Duration oldest{0};
  for (const auto& [router, report] : this->reports) {
    oldest = std::max(oldest, now - report.received_at);
  }
  return oldest;
}

void PeerLoad::Add(const Report& report) {
  for (const EngineLoad& load : report.loads) {
    this->totals[load.engine_key] += load.in_flight;
  }
}

void PeerLoad::Subtract(const Report& report) {
  for (const EngineLoad& load : report.loads) {
    auto found = this->totals.find(load.engine_key);
    if (found == this->totals.end()) continue;
    found->second -= std::min(found->second, load.in_flight);
    if (found->second == 0) this->totals.erase(found);
  }
}

}  // namespace dandelionscale
