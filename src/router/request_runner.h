#ifndef DANDELIONSCALE_SRC_ROUTER_REQUEST_RUNNER_H_
#define DANDELIONSCALE_SRC_ROUTER_REQUEST_RUNNER_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>

#include "dandelionscale/runtime/service_registry.h"
#include "dandelionscale/runtime/trace.h"
#include "router/call_result.h"
#include "router/fleet_state.h"
#include "router/owner_service.h"
#include "router/peer_directory.h"
#include "router/response_writer.h"

namespace dandelionscale::internal {

/// \brief A client's request as the entry router has parsed it.
struct ClientRequest {
  std::string request_id;
  std::string workspace;
  std::uint64_t session_key = 0;
  std::string service;
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
  std::string idempotency_key;
  std::uint32_t priority = 1;  ///< 0 is served first.
  bool idempotent = true;      ///< May be sent again if it may have run.
  TimePoint started;
  TimePoint deadline;
  TraceContext trace;
  std::string parent_span_id;
  /// Engine whose response is to be resumed; empty for a new request.
  std::string resume_engine;
  /// Bytes of the response that the client has received.
  std::uint64_t resume_offset = 0;
};

/// \brief Executes the attempts that `RequestPlan` decides on for a request.
class RequestRunner {
 public:
  static constexpr std::string_view kName = "request_runner";

  RequestRunner(boost::asio::any_io_executor executor,
                const ServiceRegistry& registry, const RouterOptions& options);

  /// \brief Runs the request and passes the response to `writer` as it arrives.
  /// \returns the outcome; `kUnknown` means that the request may have run.
  /// Unless it is `kCompleted`, the caller reports the failure to the client,
  /// if that is still connected.
  Awaitable<CallResult> Run(const ClientRequest& request,
                            ResponseWriter& writer,
                            std::shared_ptr<CancelToken> cancel);

 private:
  struct RunState;
  /// \brief The attempt ended with a complete response.
  struct AttemptCompleted {};
  /// \brief The client disconnected during the attempt.
  struct AttemptClientDisconnected {};
  /// \brief `AttemptResult` of `RequestPlan`, extended by the cases that end
  /// the request.
  using AttemptOutcome =
      std::variant<AttemptCompleted, AttemptClientDisconnected,
                   AttemptRedirected, AttemptRefused, AttemptOwnerFailed>;

  wire::ServeRequest MakeMessage(const RunState& run) const;
  Awaitable<AttemptOutcome> Attempt(RunState& run, const PlanStep& step);
  /// \brief Serves the request on this router.
  /// \param local_share as in `OwnerService::Serve()`.
  Awaitable<AttemptOutcome> AttemptLocally(RunState& run,
                                           wire::ServeRequest message,
                                           bool local_share);
  /// \brief Sends the request to another router and relays the response.
  Awaitable<AttemptOutcome> AttemptAtPeer(RunState& run, std::string owner,
                                          wire::ServeRequest message);
  /// \brief Handles one frame of an attempt.
  /// \returns false if the attempt has ended.
  Awaitable<bool> OnFrame(RunState& run, const wire::ServeFrame& frame);
  /// \brief Makes one attempt on the engine that a baseline policy chooses.
  Awaitable<CallResult> RunBaseline(RunState& run);
  /// \brief Reports which engine served the request to the owner that records
  /// the engines of the session (its home owner), unless that owner has
  /// recorded it already.
  void NotifyHomeOwner(const RunState& run);
  CallResult MakeResult(const RunState& run, RequestOutcome outcome) const;

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<OwnerService> owner;
  std::mt19937_64 random;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_REQUEST_RUNNER_H_
