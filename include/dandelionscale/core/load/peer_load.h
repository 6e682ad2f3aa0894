#ifndef DANDELIONSCALE_CORE_LOAD_PEER_LOAD_H_
#define DANDELIONSCALE_CORE_LOAD_PEER_LOAD_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/core/load/work_time.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Requests that one router has in flight at one engine.
struct EngineLoad {
  std::uint64_t engine_key = 0;
  std::uint32_t in_flight = 0;
  /// Mean time for which requests of the engine's service are in flight.
  Duration work_time = WorkTime::kUnknown;
};

/// \brief In-flight requests that the other routers of the fleet report, summed
///        for each engine.
///
/// Of the requests in a report of age `a`, the share `exp(-a / work_time)` is
/// taken to be still in flight. The others are taken to have ended and to have
/// been followed by as many new ones, at engines that the report can't show.
class PeerLoad {
 public:
  /// \brief Replaces the previous report of `router`; ignores the report if it
  ///        is not newer.
  /// \param incarnation rises with each start of the router.
  /// \param sequence rises with each report of one incarnation.
  /// \returns true if the report is newer than the previous one.
  bool OnReport(TimePoint now, const std::string& router,
                std::uint64_t incarnation, std::uint64_t sequence,
                std::span<const EngineLoad> loads);
  /// \brief Removes reports that are too old to be used for placement.
  /// \param report_interval time between two reports that this router receives
  ///        from one peer, which is one rotation of the sender through its
  ///        peers.
  void Expire(TimePoint now, Duration report_interval);

  /// \returns requests that the other routers have in flight at the engine.
  std::uint32_t InFlight(std::uint64_t engine_key) const;
  /// \returns those of them that are taken to be still in flight.
  double StillInFlight(TimePoint now, std::uint64_t engine_key) const;
  /// \brief Spreads the reported requests that are not taken to be still in
  ///        flight evenly over the engines.
  ///
  /// If all routers relied on stale reports, they would all choose the engine
  /// that was idle when these were made. Engines that may not be chosen or that
  /// limit their rate keep their counts and get none of what is spread.
  /// \param candidates the engines of one service; their `in_flight` includes
  ///        `InFlight()`. Their sum stays the same, but for rounding.
  void SpreadStaleLoad(TimePoint now,
                       std::span<PlacementCandidate> candidates) const;
  /// \returns the number of routers with a current report.
  std::size_t RouterCount() const { return this->reports.size(); }
  /// \returns the age of the oldest report in use.
  Duration OldestAge(TimePoint now) const;

 private:
  struct ReportedEngine {
    std::uint64_t key = 0;
    std::uint32_t in_flight = 0;
    double decay = 0;  // `Total::decay` when the report arrived.
  };
  struct Report {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint received_at{};
    std::vector<ReportedEngine> engines;
  };
  // Sums over the reports for one engine.
  struct Total {
    std::uint32_t in_flight = 0;
    // Requests still in flight at `decayed_at`.
    double still_in_flight = 0;
    TimePoint decayed_at{};
    // Integral of 1 / work_time from the first report to `decayed_at`. A
    // report's weight is exp(-increase of the integral since its arrival). So
    // what is left of a report can be subtracted exactly, also if `work_time`
    // has changed in between.
    double decay = 0;
    Duration work_time{};

    double StillInFlight(TimePoint now) const;
    void Decay(TimePoint now);
  };

  void Add(TimePoint now, Report& report, std::span<const EngineLoad> loads);
  void Subtract(TimePoint now, const Report& report);

  std::map<std::string, Report, std::less<>> reports;
  std::unordered_map<std::uint64_t, Total> totals;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_PEER_LOAD_H_
