#ifndef DANDELIONSCALE_ROUTER_ROUTER_H_
#define DANDELIONSCALE_ROUTER_ROUTER_H_

#include <memory>
#include <string>
#include <vector>

#include "dandelionscale/core/baseline_policy.h"
#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/runtime/settings.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale {

/// \brief Checked settings of one router.
struct RouterOptions {
  std::string name;
  std::string availability_zone;
  Endpoint client_address;
  Endpoint peer_address;
  Endpoint admin_address;
  Endpoint platform_address;
  std::vector<Endpoint> seed_peers;
  std::string admin_token;
  PlacementPolicy placement;
  Duration lease_length = std::chrono::seconds(6);
  Duration poll_interval = std::chrono::seconds(1);
  Duration probe_interval = std::chrono::seconds(1);
  Duration digest_interval = std::chrono::milliseconds(400);
  Duration request_timeout = std::chrono::seconds(120);
  Duration slot_wait = std::chrono::seconds(1);
  Duration client_read_timeout = std::chrono::seconds(10);
  Duration shutdown_grace = std::chrono::seconds(3);
  std::size_t session_capacity = 400'000;
  std::size_t body_bytes = 1024 * 1024;
  std::size_t client_connections = 4096;
};

/// \returns the settings of `dandelion-router`.
std::vector<SettingSpec> RouterSettingSpecs();

/// \returns options from checked settings.
RouterOptions MakeRouterOptions(const Settings& settings);

/// \brief One router: listeners, platform, peers and the decision core.
class Router {
 public:
  Router(boost::asio::any_io_executor executor, RouterOptions options);
  ~Router();

  /// \brief Opens the listeners and joins the fleet.
  Awaitable<Result<void>> Start();
  /// \brief Drains: serves what still comes, hands over, ends the last stream.
  Awaitable<void> Shutdown();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_ROUTER_ROUTER_H_
