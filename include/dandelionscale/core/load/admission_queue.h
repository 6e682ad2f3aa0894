#ifndef DANDELIONSCALE_CORE_LOAD_ADMISSION_QUEUE_H_
#define DANDELIONSCALE_CORE_LOAD_ADMISSION_QUEUE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dandelionscale/core/load/fair_queue.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Properties of a request that decide on its admission to the queue.
struct WaitRequest {
  std::uint64_t workspace_hash = 0;
  std::uint32_t priority = 0;  ///< 0 is served first.
  Duration latency_target{};   ///< Of the request's route.
  TimePoint deadline{};
  /// Time until an engine wants requests, if all have asked for a pause.
  Duration engine_pause{};
};

/// \brief Permission to wait in the queue.
struct WaitGrant {
  FairQueue::Ticket ticket = 0;
  TimePoint until{};  ///< End of the permitted wait.
};

/// \brief Inputs of the decision whether a request may wait.
struct WaitInputs {
  std::size_t waiting = 0;      ///< Requests in the queue.
  std::size_t workspaces = 0;   ///< Workspaces with requests in the queue.
  std::size_t own_waiting = 0;  ///< Queued requests of the same workspace.
  Duration completion_gap{};    ///< Mean time between completions; 0: unknown.
  Duration latency_target{};
  Duration time_left{};        ///< Until the request's deadline.
  std::uint32_t priority = 0;  ///< 0 is served first.
  Duration engine_pause{};     ///< As in `WaitRequest`.
};

/// \returns the expected time until the request is placed on an engine.
Duration EstimateWait(const WaitInputs& inputs);
/// \returns the longest permitted wait, or nothing if the request should be
///          refused.
std::optional<Duration> DecideWait(const WaitInputs& inputs);

/// \brief Queue of one service's requests that wait for an engine with room.
///
/// Requests are served by priority, then fairly between workspaces. The wait of
/// a request is limited so that its answer is still useful afterwards. A
/// request whose expected wait exceeds this limit is refused on arrival;
/// `RetryAfter()` is the time after which the queue should have advanced.
class AdmissionQueue {
 public:
  /// \returns the inputs of `DecideWait()` for a request. Durations are rounded
  ///          down to microseconds, as they are logged, so that a decision can
  ///          be replayed from its log line.
  WaitInputs Inputs(TimePoint now, const WaitRequest& request) const;
  /// \brief Adds a request to the queue if it may wait.
  /// \returns the grant, or nothing if the request should be refused now.
  std::optional<WaitGrant> TryEnqueue(TimePoint now,
                                      const WaitRequest& request);
  /// \brief Removes a waiting request that was placed on an engine.
  void OnPlaced(TimePoint now, FairQueue::Ticket ticket);
  /// \brief Removes a waiting request that was not placed in time or whose
  ///        client disconnected.
  void OnAbandoned(FairQueue::Ticket ticket);
  /// \brief Updates the completion rate: an engine of the service has finished
  ///        a request.
  void OnCompleted(TimePoint now);
  /// \returns true if the request is the next to be served.
  bool IsFirst(FairQueue::Ticket ticket) const {
    return this->queue.IsFirst(ticket);
  }
  std::size_t Size() const { return this->queue.Size(); }
  /// \returns the time after which a refused client should retry.
  /// \param jitter 0 to 1, lengthens the time by this share; differs between
  ///        requests, so that clients that were refused at the same time do not
  ///        retry at the same time.
  Duration RetryAfter(std::uint64_t workspace_hash, double jitter) const;

 private:
  void Remove(FairQueue::Ticket ticket);
  std::size_t Waiting(std::uint64_t workspace_hash) const;

  FairQueue queue;
  std::unordered_map<FairQueue::Ticket, std::uint64_t> workspace_of;
  std::unordered_map<std::uint64_t, std::size_t> waiting;  ///< By workspace.
  TimePoint last_completion{};
  // Exponential moving average of the time between completions; 0: unknown.
  Duration completion_gap{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_ADMISSION_QUEUE_H_
