#ifndef DANDELIONSCALE_DISPATCH_DISPATCH_ROUTER_H_
#define DANDELIONSCALE_DISPATCH_DISPATCH_ROUTER_H_

#include <memory>
#include <string>

#include "dandelionscale/core/fleet_retry_budget.h"
#include "dandelionscale/dispatch/dialect.h"
#include "dandelionscale/dispatch/table_store.h"
#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale {

/// \brief Checked settings of one router that sends to engines itself.
struct DispatchOptions {
  std::string name;
  std::string availability_zone;
  Endpoint client_address;
  Endpoint ready_address;
  Endpoint metrics_address;
  Endpoint peer_address;  ///< UDP for digests, TCP for snapshots.
  Endpoint store_address;
  Duration shutdown_grace = std::chrono::seconds(8);
  RetryBudgetLimits retry_budget;
  double load_factor = 2.0;  ///< Bound on an engine's load, times the mean.
  std::size_t memory_bytes = 256 * 1024 * 1024;
  std::size_t max_descriptors = 1024;
};

/// \brief One router: takes requests from clients and sends them to engines.
class DispatchRouter {
 public:
  DispatchRouter(boost::asio::any_io_executor executor, DispatchOptions options,
                 std::shared_ptr<const Dialect> dialect,
                 std::shared_ptr<TableStore> store);
  ~DispatchRouter();

  /// \brief Opens the listeners and begins to learn configuration and engines.
  Result<void> Start();
  /// \brief Takes changed settings; addresses and name stay those of the start.
  void Reload(const DispatchOptions& options);
  /// \brief Drains: not ready at once, serves what comes, ends within the
  /// grace.
  Awaitable<void> Shutdown();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_DISPATCH_ROUTER_H_
