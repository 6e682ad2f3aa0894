#ifndef DANDELIONSCALE_DISPATCH_DISPATCH_ROUTER_H_
#define DANDELIONSCALE_DISPATCH_DISPATCH_ROUTER_H_

#include <memory>
#include <optional>
#include <string>

#include "dandelionscale/core/load/fleet_retry_budget.h"
#include "dandelionscale/core/start_up_source.h"
#include "dandelionscale/dispatch/protocol_codec.h"
#include "dandelionscale/dispatch/table_store.h"
#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale {

/// Default of `DispatchOptions::zone_cost`.
inline constexpr double kDefaultZoneCost = 1.0;

/// \brief Validated settings of one `DispatchRouter`.
struct DispatchOptions {
  std::string name;  ///< Unique within the fleet.
  std::string availability_zone;
  Endpoint client_address;
  Endpoint ready_address;    ///< HTTP readiness endpoint.
  Endpoint metrics_address;  ///< HTTP endpoint for Prometheus.
  Endpoint peer_address;     ///< UDP for state digests, TCP for snapshots.
  /// TCP for tunnels of peers to engines; none are carried if the port is 0.
  Endpoint tunnel_address;
  Endpoint store_address;
  /// Source address of connections to engines, on a host with several; the
  /// system chooses it if none is set.
  std::optional<boost::asio::ip::address> engine_source;
  /// Time from the start of the shutdown to its end.
  Duration shutdown_grace = std::chrono::seconds(8);
  RetryBudgetLimits retry_budget;
  double load_factor = 2.0;  ///< Load bound of an engine, as a multiple of the
                             ///< service's mean load.
  /// Relative cost of traffic between availability zones. It scales the
  /// difference in utilization from which on requests leave the zone; 0:
  /// placement ignores zones, but for a small preference for the own one.
  double zone_cost = kDefaultZoneCost;
  /// Number of listed routers from which on a starting router asks peers for
  /// configuration and engines before it reads the store.
  std::size_t min_large_fleet = kMinLargeFleet;
  /// Time within which a configuration that the store has acknowledged is to be
  /// in force everywhere; for warnings only.
  Duration configuration_bound = std::chrono::seconds(3);
  /// Bandwidth of the host's link in Mbit/s; 0 if unknown.
  std::uint32_t link_mbps = 0;
  /// Memory limit; request bodies may use a fixed share of it.
  std::size_t memory_bytes = 256 * 1024 * 1024;
  std::size_t max_descriptors = 1024;  ///< File descriptors of the process.
};

/// \brief A router: accepts client requests and forwards them to engines.
class DispatchRouter {
 public:
  DispatchRouter(boost::asio::any_io_executor executor, DispatchOptions options,
                 std::shared_ptr<const ProtocolCodec> codec,
                 std::shared_ptr<TableStore> store);
  ~DispatchRouter();

  /// \brief Opens the listeners and starts to load the configuration and the
  /// engine list.
  /// \returns a fault if an address can't be opened.
  Result<void> Start();
  /// \brief Applies changed settings, except the addresses, the name and the
  /// availability zone.
  void Reload(const DispatchOptions& options);
  /// \brief Drains and stops within `DispatchOptions::shutdown_grace`.
  ///
  /// The readiness endpoint reports "not ready" at once; requests that still
  /// arrive are served until the load balancer has had time to react. Then the
  /// listener is closed.
  Awaitable<void> Shutdown();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_DISPATCH_ROUTER_H_
