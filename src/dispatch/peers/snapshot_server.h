/// \file
/// \brief Sends states, or changes of the list of engines, to peers that are
///        behind.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_SERVER_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_SERVER_H_

#include "dandelionscale/core/transfer_budget.h"
#include "dandelionscale/transport/http_server.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::wire {
class SnapshotRequest;
class BeliefSnapshot;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

/// \brief Serves snapshots over HTTP.
///
/// A router sends no more large snapshots at a time than its link carries
/// quickly, and refuses further requests with status 503. A refused router
/// fetches from the sender of another digest, which is often a router that has
/// fetched a snapshot in the meantime.
class SnapshotServer {
 public:
  explicit SnapshotServer(DispatchState& state);

  /// \returns the fault of the HTTP server.
  Result<void> Start();

 private:
  Awaitable<void> Serve(HttpExchange& exchange);
  Awaitable<void> Refuse(HttpExchange& exchange);
  // Returns true if this router may stand in for the store.
  bool CanSupply(TimePoint now) const;
  bool Refuses(const wire::SnapshotRequest& request, TimePoint now) const;
  // The following fill sections of a snapshot.
  void FillConfiguration(const wire::SnapshotRequest& request,
                         wire::BeliefSnapshot& snapshot);
  void FillEngines(const wire::SnapshotRequest& request,
                   wire::BeliefSnapshot& snapshot) const;
  void FillViewAge(wire::BeliefSnapshot& snapshot) const;
  void FillPeers(wire::BeliefSnapshot& snapshot) const;
  void FillPrefixes(wire::BeliefSnapshot& snapshot) const;

  DispatchState& state;
  HttpServer server;
  TransferBudget budget;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_SERVER_H_
