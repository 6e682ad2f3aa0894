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
  const std::size_t others =
      this->waiting.size() - (this->Waiting(terms.workspace_hash) > 0 ? 1 : 0);
  const std::size_t fair_places = kMostWaiting / (others + 1);
  if (this->queue.Size() >= kMostWaiting &&
      this->Waiting(terms.workspace_hash) >= fair_places) {
    return std::nullopt;
  }
  const Duration longest =
      std::min(Scale(terms.latency_target, kWaitShareOfTarget),
               Scale(terms.deadline - now, kWaitShareOfTimeLeft));
  if (longest <= Duration::zero()) return std::nullopt;
  // An urgent request passes the others, so that the queue's length says
  // nothing of its own wait.
  const bool urgent = terms.priority == 0;
  if (!urgent && this->EstimatedWait(terms.workspace_hash) > longest) {
    return std::nullopt;
  }
  const FairQueue::Ticket ticket =
      this->queue.Add(terms.workspace_hash, 1, terms.priority);
  this->workspace_of[ticket] = terms.workspace_hash;
  ++this->waiting[terms.workspace_hash];
  return WaitGrant{ticket, now + longest};
}

void AdmissionQueue::OnPlaced(TimePoint, FairQueue::Ticket ticket) {
  this->Remove(ticket);
}

void AdmissionQueue::OnAbandoned(FairQueue::Ticket ticket) {
  this->Remove(ticket);
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

Duration AdmissionQueue::EstimatedWait(std::uint64_t workspace_hash) const {
  const Duration gap =
      this->completion_gap == Duration{} ? kUnknownGap : this->completion_gap;
  const std::size_t own = this->Waiting(workspace_hash);
  const std::size_t workspaces = this->waiting.size() + (own > 0 ? 0 : 1);
  // By turns, every other workspace is served once for each request of its own.
  const std::size_t ahead =
      std::min(this->queue.Size() + 1, (own + 1) * workspaces);
  return gap * static_cast<Duration::rep>(ahead);
}

Duration AdmissionQueue::RetryAfter(std::uint64_t workspace_hash,
                                    double spread) const {
  const Duration base = std::clamp(this->EstimatedWait(workspace_hash),
                                   kShortestRetryAfter, kLongestRetryAfter);
  return Scale(base, 1.0 + spread);
}

void AdmissionQueue::Remove(FairQueue::Ticket ticket) {
  auto found = this->workspace_of.find(ticket);
  if (found == this->workspace_of.end()) return;
  auto count = this->waiting.find(found->second);
  if (--count->second == 0) this->waiting.erase(count);
  this->workspace_of.erase(found);
  this->queue.Remove(ticket);
}

std::size_t AdmissionQueue::Waiting(std::uint64_t workspace_hash) const {
  auto found = this->waiting.find(workspace_hash);
  return found == this->waiting.end() ? 0 : found->second;
}

}  // namespace dandelionscale
