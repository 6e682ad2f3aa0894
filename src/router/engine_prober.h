#ifndef DANDELIONSCALE_SRC_ROUTER_ENGINE_PROBER_H_
#define DANDELIONSCALE_SRC_ROUTER_ENGINE_PROBER_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/service_registry.h"
#include "dandelionscale/transport/http_client.h"
#include "router/fleet_state.h"

namespace dandelionscale::internal {

/// \brief Polls the load reports of the engines that this router owns, and
/// marks an engine down after consecutive failed probes (no response or a
/// malformed one).
///
/// Under a baseline policy, which has no owners, every router polls all
/// engines.
class EngineProber : public std::enable_shared_from_this<EngineProber> {
 public:
  static constexpr std::string_view kName = "engine_prober";

  EngineProber(boost::asio::any_io_executor executor,
               const ServiceRegistry& registry, const RouterOptions& options);

  void Start();
  void Stop() { this->stopping = true; }
  /// \returns the bytes of all probes.
  const ByteCounters& Bytes() const { return this->bytes; }

 private:
  Awaitable<void> Loop();
  Awaitable<void> Probe(std::string engine, Endpoint endpoint);
  void OnFailure(const std::string& engine);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  ByteCounters bytes;
  HttpClient http;
  /// Consecutive failed probes by engine.
  std::map<std::string, int> failures;
  bool stopping = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_ENGINE_PROBER_H_
