#ifndef DANDELIONSCALE_CORE_LOAD_WORK_TIME_H_
#define DANDELIONSCALE_CORE_LOAD_WORK_TIME_H_

#include <algorithm>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Moving mean of the time for which a service's requests are in flight.
class WorkTime {
 public:
  /// Value until a request has been answered. It is so long that load reports
  /// count in full.
  static constexpr Duration kUnknown = std::chrono::hours(1);

  /// \brief Records that a request was answered.
  void OnAnswered(Duration in_flight) {
    const Duration sample = std::max<Duration>(in_flight, kMin);
    if (this->mean == kUnknown) this->mean = sample;
    this->mean += std::chrono::duration_cast<Duration>((sample - this->mean) *
                                                       kSmoothing);
  }

  /// \returns the mean, at least 1 ms.
  Duration Mean() const { return this->mean; }

 private:
  static constexpr Duration kMin = std::chrono::milliseconds(1);
  /// Weight of the newest sample.
  static constexpr double kSmoothing = 0.1;

  Duration mean = kUnknown;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_WORK_TIME_H_
