#include "dandelionscale/core/load/admission_queue.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// From this queue length on, only workspaces with less than their fair share of
// the queue are admitted. Each router has one queue for each service.
constexpr std::size_t kFairShareThreshold = 128;
// Part of the latency target that may be spent waiting.
constexpr double kWaitShareOfTarget = 0.5;
// Part of the time until the deadline that may be spent waiting.
constexpr double kWaitShareOfTimeLeft = 0.25;
// Limits of the retry time before jitter, which at most doubles it.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
// Cap of the time between completions that enters the moving average.
constexpr Duration kMaxCompletionGap = std::chrono::seconds(2);
// Assumed time between completions until two have been observed.
constexpr Duration kDefaultCompletionGap = std::chrono::milliseconds(20);
// Weight of the newest value in the moving average of the time between
// completions.
constexpr double kGapSmoothing = 0.2;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

Duration ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

}  // namespace

Duration EstimateWait(const WaitInputs& inputs) {
  const Duration gap = inputs.completion_gap == Duration{}
                           ? kDefaultCompletionGap
                           : inputs.completion_gap;
  const std::size_t workspaces =
      inputs.workspaces + (inputs.own_waiting > 0 ? 0 : 1);
  // Fair queueing serves each other workspace at most once for each request of
  // this workspace.
  const std::size_t ahead =
      std::min(inputs.waiting + 1, (inputs.own_waiting + 1) * workspaces);
  return gap * static_cast<Duration::rep>(ahead);
}

std::optional<Duration> DecideWait(const WaitInputs& inputs) {
  const std::size_t other_workspaces =
      inputs.workspaces - (inputs.own_waiting > 0 ? 1 : 0);
  const std::size_t fair_share = kFairShareThreshold / (other_workspaces + 1);
  if (inputs.waiting >= kFairShareThreshold &&
      inputs.own_waiting >= fair_share) {
    return std::nullopt;
  }
  const Duration max_wait =
      std::min(Scale(inputs.latency_target, kWaitShareOfTarget),
               Scale(inputs.time_left, kWaitShareOfTimeLeft));
  if (max_wait <= Duration::zero()) return std::nullopt;
  if (inputs.engine_pause > max_wait) return std::nullopt;
  // An urgent request is served before all others, so the length of the queue
  // does not predict its wait.
  const bool urgent = inputs.priority == 0;
  if (!urgent && EstimateWait(inputs) > max_wait) return std::nullopt;
  return max_wait;
}

WaitInputs AdmissionQueue::Inputs(TimePoint now,
                                  const WaitRequest& request) const {
  WaitInputs inputs;
  inputs.waiting = this->queue.Size();
  inputs.workspaces = this->waiting.size();
  inputs.own_waiting = this->Waiting(request.workspace_hash);
  inputs.completion_gap = ToMicroseconds(this->completion_gap);
  inputs.latency_target = ToMicroseconds(request.latency_target);
  inputs.time_left = ToMicroseconds(request.deadline - now);
  inputs.priority = request.priority;
  inputs.engine_pause = ToMicroseconds(request.engine_pause);
  return inputs;
}

std::optional<WaitGrant> AdmissionQueue::TryEnqueue(
    TimePoint now, const WaitRequest& request) {
  const auto max_wait = DecideWait(this->Inputs(now, request));
  if (!max_wait) return std::nullopt;
  const FairQueue::Ticket ticket =
      this->queue.Add(request.workspace_hash, 1, request.priority);
  this->workspace_of[ticket] = request.workspace_hash;
  ++this->waiting[request.workspace_hash];
  return WaitGrant{ticket, now + *max_wait};
}

void AdmissionQueue::OnPlaced(TimePoint, FairQueue::Ticket ticket) {
  this->Remove(ticket);
}

void AdmissionQueue::OnAbandoned(FairQueue::Ticket ticket) {
  this->Remove(ticket);
}

void AdmissionQueue::OnCompleted(TimePoint now) {
  if (this->last_completion != TimePoint{}) {
    // The cap limits the effect of an idle period on the average.
    const Duration gap =
        std::min(now - this->last_completion, kMaxCompletionGap);
    this->completion_gap =
        this->completion_gap == Duration{}
            ? gap
            : Scale(this->completion_gap, 1 - kGapSmoothing) +
                  Scale(gap, kGapSmoothing);
  }
  this->last_completion = now;
}

Duration AdmissionQueue::RetryAfter(std::uint64_t workspace_hash,
                                    double jitter) const {
  const WaitInputs inputs = this->Inputs(TimePoint{}, {workspace_hash});
  const Duration base =
      std::clamp(EstimateWait(inputs), kMinRetryAfter, kMaxRetryAfter);
  return Scale(base, 1.0 + jitter);
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
