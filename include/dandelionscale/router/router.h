#ifndef DANDELIONSCALE_ROUTER_ROUTER_H_
#define DANDELIONSCALE_ROUTER_ROUTER_H_

#include <memory>
#include <string>
#include <vector>

#include "dandelionscale/core/load/baseline_policy.h"
#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/runtime/settings.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale {

/// \brief Validated settings of one router.
struct RouterOptions {
  std::string name;  ///< Unique in the fleet.
  std::string availability_zone;
  Endpoint client_address;    ///< Listener for clients.
  Endpoint peer_address;      ///< Listener for other routers.
  Endpoint admin_address;     ///< Listener for operators.
  Endpoint platform_address;  ///< The platform's table and host list.
  /// Routers queried for configuration and members while this router has no
  /// configuration.
  std::vector<Endpoint> seed_peers;
  std::string admin_token;  ///< Bearer token of operators.
  /// How engines are chosen. Under `OwnerAdmissionPolicy` owners admit
  /// requests; every other policy is a baseline for comparison, which each
  /// router applies alone.
  PlacementPolicy placement;
  /// Time without renewal after which a lease expires, both this router's own
  /// and those of the routers that it watches.
  Duration lease_length = std::chrono::seconds(6);
  /// Interval of reads from the platform.
  Duration poll_interval = std::chrono::seconds(1);
  /// Interval of load probes of engines.
  Duration probe_interval = std::chrono::seconds(1);
  /// Interval of load digests between routers.
  Duration digest_interval = std::chrono::milliseconds(400);
  /// Time limit of requests that don't state one.
  Duration request_timeout = std::chrono::seconds(120);
  /// Maximum time that a request waits for a free slot at an engine.
  Duration max_slot_wait = std::chrono::seconds(1);
  /// Time in which a client must send a complete request.
  Duration client_read_timeout = std::chrono::seconds(10);
  /// Minimum time from the start of draining until client connections are no
  /// longer accepted.
  Duration shutdown_grace = std::chrono::seconds(3);
  /// Maximum number of sessions whose engines are recorded.
  std::size_t session_capacity = 400'000;
  /// Maximum size of a request body.
  std::size_t max_body_bytes = 1024 * 1024;
  /// Maximum number of open client connections.
  std::size_t max_client_connections = 4096;
};

/// \returns names, defaults and ranges of the settings of `dandelion-router`.
std::vector<SettingSpec> RouterSettingSpecs();

/// \returns the options that `settings`, already validated, describe.
RouterOptions MakeRouterOptions(const Settings& settings);

/// \brief One router of the fleet.
///
/// Every router owns a part of the engines and admits the requests that run on
/// them. The router that receives a request from a client (the entry router)
/// forwards it to an owner, which sends it to an engine and streams the
/// response back.
class Router {
 public:
  Router(boost::asio::any_io_executor executor, RouterOptions options);
  ~Router();

  /// \brief Opens the listeners and joins the fleet.
  /// \returns the fault if an address can't be bound.
  Awaitable<Result<void>> Start();
  /// \brief Drains this router and leaves the fleet.
  ///
  /// Hands its sessions over to other routers, accepts connections until the
  /// grace period has passed, and returns when the last response has ended.
  Awaitable<void> Shutdown();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_ROUTER_ROUTER_H_
