#ifndef DANDELIONSCALE_CORE_ADMISSION_QUEUE_H_
#define DANDELIONSCALE_CORE_ADMISSION_QUEUE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dandelionscale/core/fair_queue.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief What decides a request's place in the queue.
struct WaitTerms {
  std::uint64_t workspace_hash = 0;
  std::uint32_t priority = 0;  ///< 0 is served first.
  Duration latency_target{};
  TimePoint deadline{};
};

/// \brief A request may wait, and until when.
struct WaitGrant {
  FairQueue::Ticket ticket = 0;
  TimePoint until{};
};

/// \brief What decides whether a request may wait.
struct WaitInputs {
  std::size_t waiting = 0;      ///< Requests in the queue.
  std::size_t workspaces = 0;   ///< That have requests in the queue.
  std::size_t own_waiting = 0;  ///< Requests of the request's workspace.
  Duration completion_gap{};    ///< Mean between completions; 0: unknown.
  Duration latency_target{};
  Duration time_left{};
  std::uint32_t priority = 0;  ///< 0 is served first.
};

/// \returns how long a request would wait for its turn.
Duration EstimateWait(const WaitInputs& inputs);
/// \returns how long the request may wait, or nothing if it should be refused.
std::optional<Duration> DecideWait(const WaitInputs& inputs);

/// \brief Requests of one service that no engine has room for.
///
/// Served by priority, then fairly between workspaces. A request waits no
/// longer than leaves a useful answer; one that can't expect its turn by then
/// is refused when it arrives, with the time after which the queue will have
/// moved.
class AdmissionQueue {
 public:
  /// \returns what decides whether such a request may wait, to the microsecond.
  WaitInputs Inputs(TimePoint now, const WaitTerms& terms) const;
  /// \brief Asks for a place.
  /// \returns the grant, or nothing if the request should be refused now.
  std::optional<WaitGrant> TryWait(TimePoint now, const WaitTerms& terms);
  /// \brief A waiting request was placed.
  void OnPlaced(TimePoint now, FairQueue::Ticket ticket);
  /// \brief A waiting request was refused or its client left.
  void OnAbandoned(FairQueue::Ticket ticket);
  /// \brief An engine of the service finished a request.
  void OnCompleted(TimePoint now);
  bool IsFirst(FairQueue::Ticket ticket) const {
    return this->queue.IsFirst(ticket);
  }
  std::size_t Size() const { return this->queue.Size(); }
  /// \returns when a refused client should come back.
  /// \param spread 0 to 1, differs between requests, so that clients that were
  ///        refused together don't come back together.
  Duration RetryAfter(std::uint64_t workspace_hash, double spread) const;

 private:
  void Remove(FairQueue::Ticket ticket);
  std::size_t Waiting(std::uint64_t workspace_hash) const;

  FairQueue queue;
  std::unordered_map<FairQueue::Ticket, std::uint64_t> workspace_of;
  std::unordered_map<std::uint64_t, std::size_t> waiting;  ///< By workspace.
  TimePoint last_completion{};
  // Moving mean of the time between completions; 0 while unknown.
  Duration completion_gap{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ADMISSION_QUEUE_H_
