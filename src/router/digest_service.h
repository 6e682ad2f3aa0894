#ifndef DANDELIONSCALE_SRC_ROUTER_DIGEST_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_DIGEST_SERVICE_H_

#include <memory>
#include <string_view>

#include "dandelionscale/runtime/service_registry.h"
#include "dandelionscale/transport/peer_connection.h"
#include "router/configuration_service.h"
#include "router/fleet_state.h"
#include "router/peer_directory.h"

namespace dandelionscale::internal {

/// \brief Sends load digests to the parent in the digest tree and serves the
/// control messages of other routers.
///
/// A digest holds the requests in flight per service, which the routers sum
/// over a tree (see `DigestTree`). The fleet-wide sum gives the mean load of an
/// engine, from which an owner derives the bound up to which it admits
/// requests.
class DigestService : public std::enable_shared_from_this<DigestService> {
 public:
  static constexpr std::string_view kName = "digests";

  DigestService(boost::asio::any_io_executor executor,
                const ServiceRegistry& registry, const RouterOptions& options);

  void Start();
  void Stop() { this->stopping = true; }
  /// \brief Handles a control message of a peer and replies to it.
  Awaitable<void> Handle(PeerCall& call);
  /// \brief Sends the most recently used sessions to the routers that will own
  /// their engines after this router has left.
  Awaitable<void> HandOverSessions();

 private:
  Awaitable<void> Loop();
  /// \brief Sends the load of this subtree to the parent and applies the
  /// fleet-wide load in its reply; at the root applies the sum itself.
  Awaitable<void> Exchange();
  ServiceLoads OwnLoads() const;
  void ApplyFleetLoads(const ServiceLoads& total);
  void LogHandover(const std::string& sender, std::size_t entries);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<ConfigurationService> configuration;
  /// Own load at the time of the last digest that was replied to.
  ServiceLoads last_own_loads;
  bool stopping = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_DIGEST_SERVICE_H_
