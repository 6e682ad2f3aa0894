#ifndef DANDELIONSCALE_CORE_LOAD_BOUND_H_
#define DANDELIONSCALE_CORE_LOAD_BOUND_H_

#include <cstdint>

namespace dandelionscale {

/// \brief Load of a service's live engines: requests in flight and engines.
struct ServiceLoadTotal {
  std::uint32_t in_flight = 0;
  std::uint32_t engines = 0;

  bool operator==(const ServiceLoadTotal&) const = default;
};

/// \returns the most requests that one engine may carry once one more request
/// is admitted: `ceil(factor * (in_flight + 1) / engines)`.
///
/// The rounding rule of consistent hashing with bounded loads (Mirrokni,
/// Thorup, Zadimoghaddam 2018): the mean counts the request being admitted, and
/// fractions round up, so that with `factor` of at least 1 some engine is
/// always below the cap and the cap is at least 1.
std::uint32_t LoadCap(double factor, const ServiceLoadTotal& total);

/// \returns how many requests a router without owner may place on one engine.
///
/// Splits the cap of the router's own load: `factor * (own_in_flight + 1) /
/// engines`, whose fraction rounds up on the engines that `rounding_ticket`
/// (uniform in [0, 1) per router and engine) selects. Over many routers the
/// roundings cancel out, so that small shares do not add up past the bound.
std::uint32_t LocalShareCap(double factor, std::uint32_t own_in_flight,
                            std::uint32_t engines, double rounding_ticket);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_BOUND_H_
