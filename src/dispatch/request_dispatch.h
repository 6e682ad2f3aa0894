/// \file
/// \brief One request from its arrival to its final answer.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_DISPATCH_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_DISPATCH_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dandelionscale/core/attempt_policy.h"
#include "dandelionscale/core/placement.h"
#include "dispatch/client_connection.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/engine_exchange.h"
#include "dispatch/event_splitter.h"

namespace dandelionscale::internal {

/// \brief Places, sends, sends again, relays and answers one request.
class RequestDispatch : public std::enable_shared_from_this<RequestDispatch> {
 public:
  RequestDispatch(DispatchState& state, EnginePool& pool,
                  ClientConnection& client, HttpRequest request);
  ~RequestDispatch();
  RequestDispatch(const RequestDispatch&) = delete;
  RequestDispatch& operator=(const RequestDispatch&) = delete;

  /// \brief Runs until the final answer is sent or the client has gone.
  Awaitable<void> Run();
  /// \brief A configuration has come into force; the timeout may differ.
  void OnTableChanged(const RoutingTable& table);

 private:
  // Why the work on the request was interrupted.
  enum class Interruption { kNone, kClientGone, kDeadline, kStalled };

  Awaitable<void> WaitForConfiguration();
  Awaitable<bool> Admit();
  Awaitable<std::shared_ptr<Engine>> Place();
  std::shared_ptr<Engine> TryPlace();
  std::vector<PlacementCandidate> BuildCandidates(bool ignore_health) const;
  void OnPlaced(Engine& engine, const PlacementDecision& decision,
                const PlacementQuestion& question);
  Awaitable<std::shared_ptr<Engine>> WaitForEngine();
  void LogWait(std::string_view event, const WaitInputs& inputs) const;
  bool WasTried(const Engine& engine) const;
  bool HasUntriedEngine() const;
  Awaitable<void> FinishUnplaced(std::string_view reason);

  Awaitable<std::optional<AttemptFailure>> Attempt(
      std::shared_ptr<Engine> engine);
  Awaitable<std::optional<AttemptFailure>> RelayResponse();
  Awaitable<std::optional<AttemptFailure>> RelayBufferedResponse();
  Awaitable<std::optional<AttemptFailure>> RelayEventStream();
  Awaitable<bool> DeliverEvents(const std::string& events);
  void OnAttemptEnded(Engine& engine, std::optional<AttemptFailure> failure);

  AttemptDecision DecideAfterFailedAttempt(AttemptFailure failure) const;
  bool MayRetry(AttemptFailure failure, AttemptDecision& decision);
  Awaitable<void> Finish(const AttemptDecision& decision,
                         AttemptFailure failure);
  Awaitable<void> RelayErrorResponse(std::string_view reason);
  Awaitable<void> Refuse(unsigned status, std::string_view reason);
  Awaitable<void> Fail(unsigned status, std::string_view reason);
  Awaitable<void> SendErrorResponse(unsigned status, std::string_view reason,
                                    std::optional<Duration> retry_after);

  TimePoint Deadline() const;
  void ArmDeadline();
  void ArmStallTimeout();
  void OnTimeout();
  void Interrupt(Interruption why);
  void LogOutcome(std::string_view outcome, unsigned status,
                  std::string_view reason);

  DispatchState& state;
  EnginePool& pool;
  ClientConnection& client;
  HttpRequest request;
  ClientRequest decoded;
  std::shared_ptr<const RoutingTable> table;  ///< In force at arrival.
  const Route* route = nullptr;               ///< In `table`.
  std::string workspace;
  std::uint32_t priority = 0;
  std::string service;
  std::uint64_t affinity_key = 0;
  std::uint64_t spread_key = 0;

  TimePoint arrived_at;
  TimePoint client_deadline;
  Duration timeout{};  ///< Of the route, as the newest configuration says.
  Watchdog::Guard timeout_guard;
  TimePoint stall_deadline = TimePoint::max();
  Interruption interruption = Interruption::kNone;
  std::unique_ptr<Timer> wait_timer;

  std::string fetch_from;  ///< Engine whose cache the next one copies.
  std::vector<std::uint64_t>
      tried_engine_keys;      ///< Engines that have had the request.
  std::uint32_t sends = 0;    ///< Times that the request reached an engine.
  std::uint32_t attempt = 0;  ///< Number of the send under way, from 1.
  unsigned status = 0;        ///< Of the last engine's answer.
  bool may_have_run = false;
  bool stream_started = false;
  EventSplitter events;
  std::unique_ptr<EngineExchange> exchange;
  std::optional<EngineAnswer>
      error_response;  ///< A failure of an engine's own.
  std::string error_response_body;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_DISPATCH_H_
