#ifndef DANDELIONSCALE_SRC_ROUTER_REQUEST_RUNNER_H_
#define DANDELIONSCALE_SRC_ROUTER_REQUEST_RUNNER_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>

#include "dandelionscale/runtime/kernel.h"
#include "dandelionscale/runtime/trace.h"
#include "router/answer_writer.h"
#include "router/call_result.h"
#include "router/fleet_state.h"
#include "router/owner_service.h"
#include "router/peer_directory.h"

namespace dandelionscale::internal {

/// \brief One client request on its way through the entry router.
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
  std::uint32_t priority = 1;
  bool idempotent = true;
  TimePoint started;
  TimePoint deadline;
  TraceContext trace;
  std::string parent_span_id;
  /// Continue the answer that this engine has begun.
  std::string resume_engine;
  std::uint64_t resume_offset = 0;
};

/// \brief Runs the attempts of one request, as its `RequestPlan` decides.
class RequestRunner {
 public:
  static constexpr std::string_view kName = "request_runner";

  RequestRunner(boost::asio::any_io_executor executor, const Kernel& kernel,
                const RouterOptions& options);

  /// \brief Runs the request; chunks go to `writer` as they come.
  Awaitable<CallResult> Run(const ClientRequest& request, AnswerWriter& writer,
                            std::shared_ptr<CancelToken> cancel);

 private:
  struct RunState;
  /// \brief An attempt ended with a whole answer, or nobody waits for one.
  struct AttemptWhole {};
  struct AttemptClientGone {};
  using AttemptEnd =
      std::variant<AttemptWhole, AttemptClientGone, AttemptRedirected,
                   AttemptRefused, AttemptOwnerFailed>;

  wire::ServeRequest MakeMessage(const RunState& run) const;
  Awaitable<AttemptEnd> Attempt(RunState& run, const PlanStep& step);
  Awaitable<AttemptEnd> AttemptHere(RunState& run, wire::ServeRequest message,
                                    bool local_share);
  Awaitable<AttemptEnd> AttemptAtPeer(RunState& run, std::string owner,
                                      wire::ServeRequest message);
  Awaitable<bool> OnFrame(RunState& run, const wire::ServeFrame& frame);
  Awaitable<CallResult> RunBaseline(RunState& run);
  /// \brief Tells the session's home owner where it was served, if it can't
  /// know.
  void TellHome(const RunState& run);
  CallResult Finish(const RunState& run, RequestOutcome outcome) const;

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<OwnerService> owner;
  std::mt19937_64 random;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_REQUEST_RUNNER_H_
