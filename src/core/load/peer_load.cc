#include "dandelionscale/core/load/peer_load.h"

#include <algorithm>
#include <cmath>

namespace dandelionscale {
namespace {

// A report expires after the longer of this time and this many times the
// interval between two reports of one router.
constexpr Duration kMinReportLifetime = std::chrono::milliseconds(1200);
constexpr int kReportLifetimeIntervals = 2;

}  // namespace

bool PeerLoad::OnReport(TimePoint now, const std::string& router,
                        std::uint64_t incarnation, std::uint64_t sequence,
                        std::span<const EngineLoad> loads) {
  Report& report = this->reports[router];
  const bool is_stale =
      incarnation < report.incarnation ||
      (incarnation == report.incarnation && sequence <= report.sequence);
  if (is_stale && report.received_at != TimePoint{}) return false;
  this->Subtract(now, report);
  report = {incarnation, sequence, now, {}};
  this->Add(now, report, loads);
  return true;
}

void PeerLoad::Expire(TimePoint now, Duration report_interval) {
  const Duration lifetime =
      std::max(kMinReportLifetime, report_interval * kReportLifetimeIntervals);
  for (auto entry = this->reports.begin(); entry != this->reports.end();) {
    if (now - entry->second.received_at > lifetime) {
      this->Subtract(now, entry->second);
      entry = this->reports.erase(entry);
    } else {
      ++entry;
    }
  }
}

std::uint32_t PeerLoad::InFlight(std::uint64_t engine_key) const {
  auto found = this->totals.find(engine_key);
  return found == this->totals.end() ? 0 : found->second.in_flight;
}

double PeerLoad::StillInFlight(TimePoint now, std::uint64_t engine_key) const {
  auto found = this->totals.find(engine_key);
  return found == this->totals.end() ? 0 : found->second.StillInFlight(now);
}

void PeerLoad::SpreadStaleLoad(TimePoint now,
                               std::span<PlacementCandidate> candidates) const {
  const auto takes_part = [](const PlacementCandidate& candidate) {
    return candidate.usable && !candidate.limits_rate;
  };
  double stale = 0;
  std::size_t count = 0;
  std::vector<double> still_in_flight(candidates.size());
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    PlacementCandidate& candidate = candidates[n];
    if (!takes_part(candidate)) continue;
    ++count;
    auto found = this->totals.find(candidate.engine_key);
    if (found == this->totals.end()) continue;
    still_in_flight[n] = found->second.StillInFlight(now);
    stale += found->second.in_flight - still_in_flight[n];
    candidate.in_flight -=
        std::min(candidate.in_flight, found->second.in_flight);
  }
  const double stale_mean =
      stale / static_cast<double>(std::max<std::size_t>(1, count));
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (!takes_part(candidates[n])) continue;
    candidates[n].in_flight += static_cast<std::uint32_t>(
        std::lround(still_in_flight[n] + stale_mean));
  }
}

Duration PeerLoad::OldestAge(TimePoint now) const {
  Duration oldest{0};
  for (const auto& [router, report] : this->reports) {
    oldest = std::max(oldest, now - report.received_at);
  }
  return oldest;
}

void PeerLoad::Add(TimePoint now, Report& report,
                   std::span<const EngineLoad> loads) {
  for (const EngineLoad& load : loads) {
    if (load.in_flight == 0) continue;
    Total& total = this->totals[load.engine_key];
    total.Decay(now);
    total.work_time = load.work_time;
    total.in_flight += load.in_flight;
    total.still_in_flight += load.in_flight;
    report.engines.push_back({load.engine_key, load.in_flight, total.decay});
  }
}

void PeerLoad::Subtract(TimePoint now, const Report& report) {
  for (const ReportedEngine& engine : report.engines) {
    auto found = this->totals.find(engine.key);
    if (found == this->totals.end()) continue;
    Total& total = found->second;
    total.Decay(now);
    total.still_in_flight = std::max(
        0.0, total.still_in_flight -
                 engine.in_flight * std::exp(engine.decay - total.decay));
    total.in_flight -= std::min(total.in_flight, engine.in_flight);
    if (total.in_flight == 0) this->totals.erase(found);
  }
}

double PeerLoad::Total::StillInFlight(TimePoint now) const {
  const auto age = static_cast<double>((now - this->decayed_at).count());
  return this->still_in_flight *
         std::exp(-age / static_cast<double>(this->work_time.count()));
}

void PeerLoad::Total::Decay(TimePoint now) {
  if (this->work_time > Duration::zero()) {
    this->still_in_flight = this->StillInFlight(now);
    this->decay += static_cast<double>((now - this->decayed_at).count()) /
                   static_cast<double>(this->work_time.count());
  }
  this->decayed_at = now;
}

}  // namespace dandelionscale
