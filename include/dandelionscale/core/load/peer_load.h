#ifndef DANDELIONSCALE_CORE_LOAD_PEER_LOAD_H_
#define DANDELIONSCALE_CORE_LOAD_PEER_LOAD_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Requests that one router has in flight at one engine.
struct EngineLoad {
  std::uint64_t engine_key = 0;
  std::uint32_t in_flight = 0;
};

/// \brief In-flight requests that the other routers of the fleet report, summed
///        for each engine.
class PeerLoad {
 public:
  /// \brief Replaces the previous report of `router`; ignores the report if it
  ///        is not newer.
  /// \param incarnation rises with each start of the router.
  /// \param sequence rises with each report of one incarnation.
  void OnReport(TimePoint now, const std::string& router,
                std::uint64_t incarnation, std::uint64_t sequence,
                std::span<const EngineLoad> loads);
  /// \brief Removes reports that are too old to be used for placement.
  /// \param report_interval time between two reports that this router receives
  ///        from one peer, which is one rotation of the sender through its
  ///        peers.
  void Expire(TimePoint now, Duration report_interval);

  /// \returns requests that the other routers have in flight at the engine.
  std::uint32_t InFlight(std::uint64_t engine_key) const;
  /// \returns the number of routers with a current report.
  std::size_t RouterCount() const { return this->reports.size(); }
  /// \returns the age of the oldest report in use.
  Duration OldestAge(TimePoint now) const;

 private:
  struct Report {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint received_at{};
    std::vector<EngineLoad> loads;
  };

  void Add(const Report& report);
  void Subtract(const Report& report);

  std::map<std::string, Report, std::less<>> reports;
  std::unordered_map<std::uint64_t, std::uint32_t> totals;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_PEER_LOAD_H_
