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

/// \brief Exchanges control messages with the neighbours in the digest tree.
class DigestService : public std::enable_shared_from_this<DigestService> {
 public:
  static constexpr std::string_view kName = "digests";

  DigestService(boost::asio::any_io_executor executor,
                const ServiceRegistry& registry, const RouterOptions& options);

  void Start();
  void Stop() { this->stopping = true; }
  /// \brief Answers a control message of a peer.
  Awaitable<void> Handle(PeerCall& call);
  /// \brief Sends the youngest warm sessions to their next owners.
  Awaitable<void> HandOver();

 private:
  Awaitable<void> Loop();
  Awaitable<void> Exchange();
  ServiceLoads OwnLoads() const;
  void ApplyTotal(const ServiceLoads& total);
  void OnHandover(const std::string& sender, std::size_t entries);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<ConfigurationService> configuration;
  ServiceLoads last_own;
  bool stopping = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_DIGEST_SERVICE_H_
