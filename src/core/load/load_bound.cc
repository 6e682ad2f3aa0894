#include "dandelionscale/core/load/load_bound.h"

#include <algorithm>
#include <cmath>

namespace dandelionscale {

std::uint32_t LoadCap(double factor, const ServiceLoadTotal& total) {
  if (total.engines == 0) return 1;
  double mean = (total.in_flight + 1.0) / total.engines;
  auto cap = static_cast<std::uint32_t>(std::ceil(factor * mean));
  return std::max<std::uint32_t>(1, cap);
}

std::uint32_t LocalShareCap(double factor, std::uint32_t own_in_flight,
                            std::uint32_t engines, double rounding_threshold) {
  if (engines == 0) return 0;
  double share = factor * (own_in_flight + 1.0) / engines;
  double whole = std::floor(share);
  bool round_up = rounding_threshold < share - whole;
  return static_cast<std::uint32_t>(whole) + (round_up ? 1 : 0);
}

}  // namespace dandelionscale
