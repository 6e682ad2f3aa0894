#include "dandelionscale/core/admission_queue.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Places in the queue of one service at one router.
constexpr std::size_t kMostWaiting = 128;
// Part of the latency target that may be spent waiting.
constexpr double kWaitShareOfTarget = 0.5;
// Part of the time left that may be spent waiting.
constexpr double kWaitShareOfTimeLeft = 0.25;
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(2);
// Time between completions while none has been seen.
constexpr Duration kUnknownGap = std::chrono::milliseconds(20);
constexpr double kGapWeight = 0.2;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::optional<WaitGrant> AdmissionQueue::TryWait(TimePoint now,
                                                 const WaitTerms& terms) {
  if (this->queue.Size() >= kMostWaiting) return std::nullopt;
  const Duration longest =
      std::min(Scale(terms.latency_target, kWaitShareOfTarget),
               Scale(terms.deadline - now, kWaitShareOfTimeLeft));
  if (longest <= Duration::zero()) return std::nullopt;
  // An urgent request passes the others, so that the queue's length says
  // nothing of its own wait.
  const bool urgent = terms.priority == 0;
  if (!urgent && this->EstimatedWait() > longest) return std::nullopt;
  return WaitGrant{this->queue.Add(terms.workspace_hash, 1, terms.priority),
                   now + longest};
}

void AdmissionQueue::OnPlaced(TimePoint, FairQueue::Ticket ticket) {
  this->queue.Remove(ticket);
}

void AdmissionQueue::OnAbandoned(FairQueue::Ticket ticket) {
  this->queue.Remove(ticket);
}

void AdmissionQueue::OnCompleted(TimePoint now) {
  if (this->last_completion != TimePoint{}) {
    const Duration gap =
        std::min(now - this->last_completion, kLongestRetryAfter);
    this->completion_gap = this->completion_gap == Duration{}
                               ? gap
                               : Scale(this->completion_gap, 1 - kGapWeight) +
                                     Scale(gap, kGapWeight);
  }
  this->last_completion = now;
}

Duration AdmissionQueue::EstimatedWait() const {
  const Duration gap =
      this->completion_gap == Duration{} ? kUnknownGap : this->completion_gap;
  return gap * static_cast<Duration::rep>(this->queue.Size() + 1);
}

Duration AdmissionQueue::RetryAfter(double spread) const {
  const Duration base = std::clamp(this->EstimatedWait(), kShortestRetryAfter,
                                   kLongestRetryAfter);
  return Scale(base, 1.0 + spread);
}

}  // namespace dandelionscale
