#ifndef DANDELIONSCALE_CORE_FLEET_RETRY_BUDGET_H_
#define DANDELIONSCALE_CORE_FLEET_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief The fleet's bound on repeated sends to one service.
struct RetryBudgetTerms {
  double ratio = 0.2;  ///< Of the requests in a window.
  double extra = 0;    ///< Repeats that are allowed besides, in a window.
  Duration window = std::chrono::seconds(10);
};

/// \brief One router's part of a budget that the whole fleet shares.
///
/// Without coordination: a router repeats at most the ratio of its own requests
/// and its equal part of the extra, so that all parts together stay inside the
/// fleet's bound in every window.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryBudgetTerms terms) : terms(terms) {}

  /// \brief Changes the bound; what was counted stays counted.
  void SetTerms(const RetryBudgetTerms& newest) { this->terms = newest; }
  /// \brief A request for the service has come in.
  void OnRequest(TimePoint now);
  /// \brief Takes one repeat.
  /// \param routers that may send repeats, this one included.
  /// \returns false if this router's part is spent.
  bool TryTake(TimePoint now, std::size_t routers);

  std::uint32_t Requests() const { return this->requests; }
  std::uint32_t Repeats() const { return this->repeats; }

 private:
  struct Bucket {
    TimePoint from{};
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  Bucket& Current(TimePoint now);
  void Expire(TimePoint now);

  RetryBudgetTerms terms;
  std::deque<Bucket> buckets;
  std::uint32_t requests = 0;
  std::uint32_t repeats = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_FLEET_RETRY_BUDGET_H_
