#ifndef DANDELIONSCALE_SRC_ROUTER_ENTRY_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_ENTRY_SERVICE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/event.h"
#include "dandelionscale/runtime/metrics.h"
#include "dandelionscale/runtime/service_registry.h"
#include "dandelionscale/transport/http_server.h"
#include "router/claim_service.h"
#include "router/fleet_state.h"
#include "router/request_runner.h"

namespace dandelionscale::internal {

/// \brief Serves the client listener: validates requests, runs them and sends
/// the responses.
///
/// A chat names its service as the model. A plain service is reached under
/// `/v1/services/NAME/`; its method, path and body are passed on unchanged.
class EntryService {
 public:
  static constexpr std::string_view kName = "entry";

  EntryService(boost::asio::any_io_executor executor,
               const ServiceRegistry& registry, const RouterOptions& options);

  /// \brief Serves one client request.
  Awaitable<void> Handle(HttpExchange& exchange);
  /// \brief Waits until no request is in flight.
  Awaitable<void> WaitUntilIdle();
  /// \returns requests being served.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  Awaitable<void> HandleChat(HttpExchange& exchange, ClientRequest& request);
  Awaitable<void> HandlePlain(HttpExchange& exchange, ClientRequest& request);
  Awaitable<CallResult> RunPlain(HttpExchange& exchange, ClientRequest& request,
                                 std::shared_ptr<CancelToken> cancel);
  /// \brief Queries the service for the result of an earlier call with the
  /// request's idempotency key.
  Awaitable<CallResult> LookUpStatus(HttpExchange& exchange,
                                     const ClientRequest& request);
  /// \brief Parses what all requests have in common.
  /// \returns the problem of an invalid request, otherwise nothing.
  std::optional<Problem> ParseCommon(const HttpExchange& exchange,
                                     ClientRequest& request);
  std::optional<Problem> ParseChat(const HttpExchange& exchange,
                                   ClientRequest& request,
                                   ResponseFormat& format);
  std::optional<Problem> ParsePlain(const HttpExchange& exchange,
                                    ClientRequest& request);
  std::optional<Problem> CheckService(const ClientRequest& request,
                                      ServiceKind kind) const;
  Problem MakeProblem(const ClientRequest& request,
                      const CallResult& result) const;
  /// \brief Adds a finished request to metrics, traces and the log.
  void RecordResult(const ClientRequest& request, const CallResult& result,
                    std::int64_t started_unix_ns);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<RequestRunner> runner;
  std::shared_ptr<ClaimService> claims;
  std::shared_ptr<Metrics> metrics;
  std::shared_ptr<TraceStore> traces;
  Event idle;
  std::size_t in_flight = 0;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_ENTRY_SERVICE_H_
