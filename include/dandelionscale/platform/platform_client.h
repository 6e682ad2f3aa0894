#ifndef DANDELIONSCALE_PLATFORM_PLATFORM_CLIENT_H_
#define DANDELIONSCALE_PLATFORM_PLATFORM_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "dandelionscale/core/drain_tracker.h"
#include "dandelionscale/platform/table.h"
#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/byte_counters.h"

namespace dandelionscale {

/// \brief Changed entries of the platform's host list, which lags behind.
struct HostList {
  /// Pass this as `since` to the next query.
  std::uint64_t revision = 0;
  std::vector<HostEntry> hosts;
};

/// \brief Client of the platform's table and host list (docs/platform.md).
///
/// The kind of a fault shows whether a write may have taken effect: after
/// `kConnectFailed` and `kNotSent` it has not; after any other fault it may
/// have.
class PlatformClient {
 public:
  PlatformClient(boost::asio::any_io_executor executor, Endpoint endpoint,
                 ByteCounters* counters);
  ~PlatformClient();

  /// \brief Applies operations in one request. Each one succeeds or fails on
  /// its own. \returns one result per operation, in order.
  Awaitable<Result<std::vector<TableResult>>> Batch(
      std::vector<TableOperation> operations, Duration timeout);

  /// \brief Applies one operation, in a batch with other pending operations.
  ///
  /// Operations that are submitted while two batches are in flight are queued
  /// and sent together in the next batch (group commit).
  Awaitable<Result<TableResult>> Submit(TableOperation operation,
                                        Duration timeout);

  /// \returns the entries of the host list that changed after `since`.
  Awaitable<Result<HostList>> Hosts(std::uint64_t since, Duration timeout);

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_PLATFORM_PLATFORM_CLIENT_H_
