#ifndef DANDELIONSCALE_CORE_RETRY_BUDGET_H_
#define DANDELIONSCALE_CORE_RETRY_BUDGET_H_

#include <algorithm>

namespace dandelionscale {

/// \brief Limits retries to a fraction of the successful requests.
///
/// A token bucket: each success adds `ratio` tokens up to `burst`, each retry
/// takes one.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst)
      : ratio(ratio), burst(burst), tokens(burst) {}

  void OnSuccess() {
    this->tokens = std::min(this->burst, this->tokens + this->ratio);
  }
  /// \returns true and takes a token, or false if none is left.
  bool TryTake() {
    if (this->tokens < 1.0) return false;
    this->tokens -= 1.0;
    return true;
  }

 private:
  double ratio;
  double burst;
  double tokens;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_RETRY_BUDGET_H_
