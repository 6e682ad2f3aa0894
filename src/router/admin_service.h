#ifndef DANDELIONSCALE_SRC_ROUTER_ADMIN_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_ADMIN_SERVICE_H_

#include <memory>
#include <string_view>

#include "dandelionscale/platform.h"
#include "dandelionscale/runtime/metrics.h"
#include "dandelionscale/runtime/service_registry.h"
#include "dandelionscale/runtime/trace.h"
#include "dandelionscale/transport/http_server.h"
#include "router/configuration_service.h"
#include "router/engine_prober.h"
#include "router/entry_service.h"
#include "router/membership_service.h"
#include "router/peer_directory.h"

namespace dandelionscale::internal {

/// \brief Serves the admin listener of a router: health, metrics, status,
/// configuration and traces.
///
/// All paths but health checks and metrics require the admin token.
class AdminService {
 public:
  static constexpr std::string_view kName = "admin";

  /// \param platform_bytes byte counters of the platform client, reported as a
  /// metric.
  AdminService(const ServiceRegistry& registry, const RouterOptions& options,
               const ByteCounters* platform_bytes);

  /// \brief Serves one request of the admin listener.
  Awaitable<void> Handle(HttpExchange& exchange);

 private:
  /// \returns true if a load balancer may send requests to this router.
  bool IsReady() const;
  bool IsAuthorized(const HttpRequest& request) const;
  HttpResponse Route(const HttpRequest& request);
  HttpResponse Status() const;
  /// \returns the spans recorded for a request, in OTLP JSON.
  HttpResponse Explain(std::string_view request_id) const;
  HttpResponse MetricsText();
  Awaitable<HttpResponse> PutConfiguration(const HttpRequest& request);

  RouterOptions options;
  const ByteCounters* platform_bytes;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<ConfigurationService> configuration;
  std::shared_ptr<MembershipService> membership;
  std::shared_ptr<EntryService> entry;
  std::shared_ptr<OwnerService> owner;
  std::shared_ptr<EngineProber> prober;
  std::shared_ptr<Metrics> metrics;
  std::shared_ptr<TraceStore> traces;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_ADMIN_SERVICE_H_
