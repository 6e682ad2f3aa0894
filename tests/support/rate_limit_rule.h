/// \file
/// \brief The users' rule on engines that limit their rate.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_RATE_LIMIT_RULE_H_
#define DANDELIONSCALE_TESTS_SUPPORT_RATE_LIMIT_RULE_H_

#include <algorithm>
#include <cstddef>
#include <span>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::tests {

/// In each window of this length an engine gets at most 1.5 times what its
/// limit allows, and 5 requests.
inline constexpr std::chrono::seconds kRateWindow(4);

/// \returns the most requests in a window that an engine's limit tolerates.
/// \param rate the limit in requests per second.
constexpr double ToleratedInWindow(double rate) {
  constexpr double kToleratedFactor = 1.5;
  constexpr double kToleratedRequests = 5;
  return kToleratedFactor * rate * kRateWindow.count() + kToleratedRequests;
}

/// \returns the most requests in a second that an engine tolerates while it
///          warms up.
/// \param rate of its service in requests per second.
constexpr double ToleratedInSecondOfWarmUp(double rate) {
  constexpr double kToleratedFactor = 1.5;
  constexpr double kToleratedRequests = 5;
  return kToleratedFactor * rate + kToleratedRequests;
}

/// \returns the most arrivals in a window that begins at `from` or later.
/// \param times of the arrivals, in order.
inline std::size_t MostInWindow(std::span<const TimePoint> times,
                                TimePoint from, Duration window = kRateWindow) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    if (*first < from) continue;
    const auto end = std::upper_bound(first, times.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_RATE_LIMIT_RULE_H_
