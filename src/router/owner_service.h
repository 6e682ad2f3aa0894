#ifndef DANDELIONSCALE_SRC_ROUTER_OWNER_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_OWNER_SERVICE_H_

#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/metrics.h"
#include "dandelionscale/runtime/service_registry.h"
#include "dandelionscale/runtime/trace.h"
#include "dandelionscale/transport/http_client.h"
#include "router/engine_stream.h"
#include "router/fleet_state.h"
#include "router/response_sink.h"

namespace dandelionscale::internal {

/// \brief Serves requests on engines: places a request with `OwnerCore`, waits
/// for a slot, sends the request to the engine and relays the response.
class OwnerService {
 public:
  static constexpr std::string_view kName = "owner";

  OwnerService(boost::asio::any_io_executor executor,
               const ServiceRegistry& registry, const RouterOptions& options);

  /// \brief Serves one request.
  /// \param sink receives every frame of the response.
  /// \param local_share admits the request without ownership: to any engine,
  /// within a cap computed from this router's own load (no owner can be
  /// reached), or to the engine that a baseline policy chose, without a cap.
  Awaitable<void> Serve(const wire::ServeRequest& request, FrameSink sink,
                        std::shared_ptr<CancelToken> cancel, bool local_share);

  /// \returns requests being served.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  struct Job;

  /// \brief Places the request; waits for a slot if it may.
  Awaitable<PlaceDecision> Place(Job& job, bool local_share);
  /// \brief Makes one attempt to place the request.
  PlaceDecision TryPlace(const Job& job, bool local_share);
  /// \brief Sends the request to its engine and relays the response.
  Awaitable<void> RunOnEngine(Job& job);
  /// \brief Relays an event stream. If it breaks, resumes it on the same
  /// engine.
  Awaitable<void> RelayEventStream(Job& job, std::shared_ptr<HttpStream> http);
  /// \brief Reads a complete body, then sends it as one chunk.
  Awaitable<void> RelayBody(Job& job, std::shared_ptr<HttpStream> http);
  Awaitable<Result<std::shared_ptr<HttpStream>>> OpenOnEngine(Job& job);
  Awaitable<Result<std::shared_ptr<HttpStream>>> ResumeOnEngine(
      Job& job, std::uint64_t offset);
  Awaitable<void> SendHead(Job& job, const HttpStream& http);
  Awaitable<void> SendRefusal(Job& job, RefusalReason reason,
                              RequestOutcome outcome, Duration retry_after);
  void MarkEngineDown(const std::string& engine);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<Metrics> metrics;
  std::shared_ptr<TraceStore> traces;
  HttpClient http;
  std::size_t in_flight = 0;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_OWNER_SERVICE_H_
