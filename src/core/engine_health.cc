#include "dandelionscale/core/engine_health.h"

#include <algorithm>
#include <cmath>

namespace dandelionscale {
namespace {

// Weight of the newest answer in the moving failure rate.
constexpr double kSampleWeight = 0.15;
// Answers that must be known before an engine counts as an outlier.
constexpr int kSamplesNeeded = 4;
// An engine is an outlier if its failure rate lies above its service's by this
// much at least, and by this many standard deviations of the moving rate.
constexpr double kOutlierMargin = 0.25;
constexpr double kOutlierDeviations = 4.0;
// Failures closer together than this have one cause, such as a link that reset
// several connections, and count once.
constexpr Duration kFailureBurst = std::chrono::milliseconds(200);
// How long an outlier gets nothing after its last failure.
constexpr Duration kOutlierPause = std::chrono::milliseconds(1500);
// First pause after a failed connection; doubles up to the longest.
constexpr Duration kUnreachablePause = std::chrono::milliseconds(400);
constexpr Duration kLongestUnreachablePause = std::chrono::seconds(3);
constexpr int kMostDoublings = 3;

// Standard deviation of a moving mean of failures that occur with `rate`.
double Deviation(double rate) {
  return std::sqrt(rate * (1 - rate) * kSampleWeight / (2 - kSampleWeight));
}

}  // namespace

void EngineHealth::OnSuccess(TimePoint) {
  this->failure_rate *= 1 - kSampleWeight;
  ++this->samples;
  this->unreachable_in_a_row = 0;
  this->unreachable_until = {};
}

void EngineHealth::OnFailure(TimePoint now) {
  if (now - this->last_failure < kFailureBurst) return;
  this->failure_rate += (1 - this->failure_rate) * kSampleWeight;
  ++this->samples;
  this->last_failure = now;
}

void EngineHealth::OnUnreachable(TimePoint now) {
  // Requests that were under way together fail together: one event.
  if (now < this->unreachable_until) return;
  const int doublings = std::min(this->unreachable_in_a_row, kMostDoublings);
  ++this->unreachable_in_a_row;
  const Duration pause =
      std::min(kUnreachablePause * (1 << doublings), kLongestUnreachablePause);
  this->unreachable_until = now + pause;
}

bool EngineHealth::IsSetAside(TimePoint now,
                              double service_failure_rate) const {
  if (now < this->unreachable_until) return true;
  if (this->samples < kSamplesNeeded) return false;
  if (now - this->last_failure > kOutlierPause) return false;
  const double margin = std::max(
      kOutlierMargin, kOutlierDeviations * Deviation(service_failure_rate));
  return this->failure_rate > service_failure_rate + margin;
}

bool EngineHealth::IsOnTrial(TimePoint now) const {
  return this->unreachable_in_a_row > 0 && now >= this->unreachable_until;
}

}  // namespace dandelionscale
