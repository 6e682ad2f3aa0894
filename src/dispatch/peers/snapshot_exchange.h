/// \file
/// \brief Transfer of whole states between routers.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_EXCHANGE_H_

#include <optional>
#include <string>

#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/http_server.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::wire {
class RouterDigest;
class SnapshotRequest;
class BeliefSnapshot;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

/// \brief Serves snapshots over HTTP, and fetches one from a peer when its
///        digest shows that this router is behind.
class SnapshotExchange {
 public:
  explicit SnapshotExchange(DispatchState& state);

  /// \brief Starts to serve snapshots.
  /// \returns the fault of the HTTP server.
  Result<void> Start();
  /// \brief Fetches a snapshot from the sender of a digest if this router lacks
  ///        what the sender has.
  void OnDigest(const wire::RouterDigest& digest, const std::string& sender);

 private:
  // Messages of older builds have no era. Their version counts as one of the
  // era in which this router started, so that it is older than any version
  // since a restoration.
  template <typename Message>
  std::uint64_t EraOf(const Message& message) const;
  StoreVersion VersionOf(const wire::RouterDigest& digest) const;
  StoreVersion VersionOf(const wire::SnapshotRequest& request) const;
  StoreVersion VersionOf(const wire::BeliefSnapshot& snapshot) const;
  // Records the newest versions among peers and whether this router is behind
  // them. True if the sender of the digest has a newer version than this
  // router.
  bool UpdateNewestVersions(const wire::RouterDigest& digest);
  Awaitable<void> FetchSnapshot(std::string peer);
  void ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                     const std::string& peer);
  void ApplyEngines(const wire::BeliefSnapshot& snapshot,
                    const std::string& peer);
  Awaitable<void> ServeSnapshot(HttpExchange& exchange);
  void FillEngines(wire::BeliefSnapshot& snapshot) const;
  void FillPeersAndPrefixes(wire::BeliefSnapshot& snapshot) const;

  DispatchState& state;
  HttpServer server;
  HttpClient client;
  bool fetching = false;      ///< A snapshot is being fetched.
  int serving = 0;            ///< Snapshot responses that are being sent.
  bool has_prefixes = false;  ///< A snapshot with prefixes was fetched.
  std::uint64_t newest_configuration = 0;  ///< Newest in received digests.
  StoreVersion newest_engines;             ///< Newest in received digests.
  /// Since when peers have newer versions; none if they have not.
  std::optional<TimePoint> behind_since;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_EXCHANGE_H_
