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
#include "router/serving.h"

namespace dandelionscale::internal {

/// \brief Serves requests on engines: asks the owner core, waits for a slot,
/// speaks to the engine and passes the answer on.
class OwnerService {
 public:
  static constexpr std::string_view kName = "owner";

  OwnerService(boost::asio::any_io_executor executor,
               const ServiceRegistry& registry, const RouterOptions& options);

  /// \brief Serves one request; every frame of the answer goes to `sink`.
  /// \param local_share admit without ownership (no owner can be reached).
  Awaitable<void> Serve(const wire::ServeRequest& request, FrameSink sink,
                        std::shared_ptr<CancelToken> cancel, bool local_share);

  /// \returns requests being served.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  struct Job;

  Awaitable<PlaceDecision> Place(Job& job, bool local_share);
  PlaceDecision Decide(const Job& job, bool local_share);
  Awaitable<void> RunOnEngine(Job& job);
  Awaitable<void> RelayChat(Job& job, std::shared_ptr<HttpStream> http);
  Awaitable<void> RelayPlain(Job& job, std::shared_ptr<HttpStream> http);
  Awaitable<Result<std::shared_ptr<HttpStream>>> OpenOnEngine(Job& job);
  Awaitable<Result<std::shared_ptr<HttpStream>>> ResumeOnEngine(
      Job& job, std::uint64_t offset);
  Awaitable<void> SendHead(Job& job, const HttpStream& http);
  Awaitable<void> SendRefusal(Job& job, RefusalReason reason,
                              RequestOutcome outcome, Duration retry_after);
  void MarkDown(const std::string& engine);

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
