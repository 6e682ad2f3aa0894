#include "dandelionscale/core/engine_health.h"

#include <algorithm>
#include <cmath>

namespace dandelionscale {
namespace {

// Weight of the newest sample in the moving average of failures.
constexpr double kSampleWeight = 0.15;
// Samples required before an engine can be an outlier.
constexpr int kMinSamples = 4;
// An engine is an outlier if its failure rate exceeds its service's by more
// than this margin and by more than this many standard deviations of the
// average.
constexpr double kMinOutlierMargin = 0.25;
constexpr double kMinOutlierDeviations = 4.0;
// Failures that follow a counted one within this time are taken to have the
// same cause, such as a link that reset several connections, and are not
// counted.
constexpr Duration kFailureBurstWindow = std::chrono::milliseconds(200);
// How long an outlier stays ejected after its last counted failure.
constexpr Duration kOutlierEjectionTime = std::chrono::milliseconds(1500);
// First backoff after a failed connection; doubles with each consecutive one up
// to `kMaxBackoff`.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(400);
constexpr Duration kMaxBackoff = std::chrono::seconds(3);
// Bounds the exponent; enough doublings to reach `kMaxBackoff`.
constexpr int kMaxBackoffDoublings = 3;

// Standard deviation of the moving average of failures with probability `rate`.
double StandardDeviation(double rate) {
  return std::sqrt(rate * (1 - rate) * kSampleWeight / (2 - kSampleWeight));
}

}  // namespace

void EngineHealth::OnSuccess(TimePoint) {
  this->failure_rate *= 1 - kSampleWeight;
  ++this->samples;
  this->consecutive_unreachable = 0;
  this->unreachable_until = {};
}

void EngineHealth::OnFailure(TimePoint now) {
  if (now - this->last_failure < kFailureBurstWindow) return;
  this->failure_rate += (1 - this->failure_rate) * kSampleWeight;
  ++this->samples;
  this->last_failure = now;
}

void EngineHealth::OnUnreachable(TimePoint now) {
  // Requests that were in flight together fail together and count as one event.
  if (now < this->unreachable_until) return;
  const int doublings =
      std::min(this->consecutive_unreachable, kMaxBackoffDoublings);
  ++this->consecutive_unreachable;
  const Duration backoff =
      std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
  this->unreachable_until = now + backoff;
}

void EngineHealth::ForgetUnreachable() {
  this->consecutive_unreachable = 0;
  this->unreachable_until = {};
}

bool EngineHealth::IsEjected(TimePoint now, double service_failure_rate) const {
  if (now < this->unreachable_until) return true;
  if (this->samples < kMinSamples) return false;
  if (now - this->last_failure > kOutlierEjectionTime) return false;
  const double margin =
      std::max(kMinOutlierMargin,
               kMinOutlierDeviations * StandardDeviation(service_failure_rate));
  return this->failure_rate > service_failure_rate + margin;
}

bool EngineHealth::IsHalfOpen(TimePoint now) const {
  return this->consecutive_unreachable > 0 && now >= this->unreachable_until;
}

}  // namespace dandelionscale
