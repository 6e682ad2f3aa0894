#ifndef DANDELIONSCALE_CORE_LOAD_ZONE_SPILL_H_
#define DANDELIONSCALE_CORE_LOAD_ZONE_SPILL_H_

#include <cstdint>
#include <span>

#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Load of a service's engines in one or several availability zones.
struct ZoneLoad {
  bool has_engines = false;  ///< Usable or not.
  /// Of the usable engines that do not limit their rate.
  std::uint64_t in_flight = 0;
  std::uint64_t slots = 0;  ///< Of the same engines; 0 if there are none.

  double Utilization() const;
};

/// \brief Load in the router's own zone and in all others.
struct ZoneLoads {
  ZoneLoad own;
  ZoneLoad others;
};

/// \param candidates all engines of the service, with full counts of their
///        requests in flight.
ZoneLoads SumZoneLoads(std::span<const PlacementCandidate> candidates);

/// \brief Decides which share of one service's requests leaves the router's
///        availability zone.
///
/// The share rises while the own zone's utilization (requests in flight by
/// slots) exceeds that of the other zones by a margin and is high enough for
/// requests to wait, and falls while it does not. It is 1 while the own zone
/// has no usable engine, and falls gradually when it has one again.
class ZoneSpill {
 public:
  /// \brief Adapts the share to the loads; does nothing if it was adapted
  ///        shortly before.
  /// \param response_time time in which reported loads follow the share: the
  ///        age of reports plus the time that a request runs.
  /// \param zone_cost widens the margin; above 0.
  void Update(TimePoint now, const ZoneLoads& loads, Duration response_time,
              double zone_cost);

  /// \returns the share of requests that leave the zone.
  double Share() const { return 1 - this->staying; }
  /// \returns how one request treats zones. The requests that leave are
  ///          selected by a hash of their key, so that all routers select the
  ///          same ones.
  ZoneRule RuleFor(const ZoneLoads& loads, std::uint64_t request_key) const;

 private:
  void Smooth(const ZoneLoads& loads, Duration elapsed);
  void Adapt(double steps, double zone_cost);

  double staying = 1;  ///< Share of requests that stay.
  /// Moving means of the utilizations.
  double own_utilization = 0;
  double other_utilization = 0;
  bool has_utilization = false;
  TimePoint updated_at{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_ZONE_SPILL_H_
