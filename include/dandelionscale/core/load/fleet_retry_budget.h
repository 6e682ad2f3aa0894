#ifndef DANDELIONSCALE_CORE_LOAD_FLEET_RETRY_BUDGET_H_
#define DANDELIONSCALE_CORE_LOAD_FLEET_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Fleet-wide limits on retries to one service.
struct RetryBudgetLimits {
  double ratio = 0.2;  ///< Retries per request in a window.
  double extra = 0;    ///< Retries per window in addition to `ratio`.
  Duration window = std::chrono::seconds(10);
};

/// \brief One router's share of a fleet-wide retry budget.
///
/// Routers need no coordination: each sends at most `ratio` retries per request
/// of its own plus an equal share of `extra`, so that the fleet as a whole
/// stays within its limits in every window.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryBudgetLimits limits) : limits(limits) {}

  /// \brief Changes the limits; requests and retries so far stay counted.
  void SetLimits(const RetryBudgetLimits& newest) { this->limits = newest; }
  /// \brief Records a client's request for the service.
  void OnRequest(TimePoint now);
  /// \brief Takes one retry from this router's share.
  /// \param routers number of routers that may send retries, this one included.
  /// \returns false if the share is used up.
  bool TryTake(TimePoint now, std::size_t routers);
  /// \returns true if `TryTake()` would take one.
  bool HasRetry(TimePoint now, std::size_t routers);

  /// \returns the requests counted in the current window.
  std::uint32_t Requests() const { return this->requests; }
  /// \returns the retries counted in the current window.
  std::uint32_t Retries() const { return this->retries; }

 private:
  struct Bucket {
    TimePoint start{};
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Bucket& CurrentBucket(TimePoint now);
  void Expire(TimePoint now);

  RetryBudgetLimits limits;
  std::deque<Bucket> buckets;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_FLEET_RETRY_BUDGET_H_
