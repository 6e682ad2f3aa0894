#ifndef DANDELIONSCALE_CORE_LOAD_LOAD_BOUND_H_
#define DANDELIONSCALE_CORE_LOAD_LOAD_BOUND_H_

#include <cstdint>

namespace dandelionscale {

/// \brief Total load of a service: requests in flight on its live engines, and
/// the number of these engines.
struct ServiceLoadTotal {
  std::uint32_t in_flight = 0;
  std::uint32_t engines = 0;

  bool operator==(const ServiceLoadTotal&) const = default;
};

/// \returns the most requests that one engine may run once one more request is
/// admitted: `ceil(factor * (in_flight + 1) / engines)`.
///
/// The rounding rule of consistent hashing with bounded loads (Mirrokni,
/// Thorup, Zadimoghaddam 2018): the mean counts the request being admitted, and
/// fractions round up, so that with `factor` of at least 1 some engine is
/// always below the cap and the cap is at least 1.
std::uint32_t LoadCap(double factor, const ServiceLoadTotal& total);

/// \returns how many requests a router may place on one engine when no owner is
/// reachable.
///
/// Applies the cap to the router's own load only: `factor * (own_in_flight + 1)
/// / engines`. The fraction rounds up if it is greater than
/// `rounding_threshold`, which is uniform in [0, 1) over routers and engines.
/// Over many routers the rounding errors cancel out, so that small shares do
/// not add up to more than the bound.
std::uint32_t LocalShareCap(double factor, std::uint32_t own_in_flight,
                            std::uint32_t engines, double rounding_threshold);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_LOAD_BOUND_H_
