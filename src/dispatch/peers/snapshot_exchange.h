/// \file
/// \brief Transfer of states, or of changes of the list of engines, between
///        routers.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "dandelionscale/core/snapshot_sources.h"
#include "dandelionscale/core/version_lag.h"
#include "dandelionscale/transport/http_client.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/peers/snapshot_server.h"

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

  /// \brief Starts to serve snapshots, and asks peers for one if this router
  ///        should not read the store at its start.
  /// \returns the fault of the HTTP server.
  Result<void> Start();
  /// \brief Fetches a snapshot from the sender of a digest if this router lacks
  ///        what the sender has.
  void OnDigest(const wire::RouterDigest& digest, const std::string& sender);

 private:
  // Records the newest versions among peers and whether this router is behind
  // them. True if the sender of the digest has a newer version than this
  // router.
  bool UpdateNewestVersions(const wire::RouterDigest& digest);
  // Logs, once for each version, that this router has been behind its peers for
  // more than half of the time that a change may take.
  void ObserveLag(TimePoint now);
  // How long this router waits for newer rows in its own zone before it asks a
  // peer of another zone. Random for most routers.
  Duration CrossZoneWait();
  // True if a peer of this router's zone sends digests.
  bool HearsOwnZone() const;
  // When this router may fetch; later than `now` if it expects its own watch to
  // return the rows.
  TimePoint MayFetchAt(TimePoint now) const;
  // Fetches from the best of the peers that are known to be newer, now or as
  // soon as one may be asked.
  void FetchFromSources();
  Awaitable<void> FetchLater(TimePoint at);
  Awaitable<void> FetchSnapshot(std::string peer, bool with_prefixes);
  // Asks peers in a random order until one has supplied configuration and
  // engines, or this router has read them from the store.
  Awaitable<void> AskPeersAtStart();
  Awaitable<void> AskAtStart(std::string peer);
  wire::SnapshotRequest MakeRequest(bool with_prefixes) const;
  // Counts the bytes in `progress`, also if the call fails.
  Awaitable<Result<wire::BeliefSnapshot>> Ask(std::string peer,
                                              wire::SnapshotRequest request,
                                              TransferProgress& progress);
  void ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                     const std::string& peer);
  void ApplyConfiguration(const wire::BeliefSnapshot& snapshot,
                          const std::string& peer);
  // Returns the text of a compressed configuration; fault: it is malformed, or
  // not what its sender has compressed.
  Result<std::string> Decompress(const wire::BeliefSnapshot& snapshot) const;
  void ApplyEngines(const wire::BeliefSnapshot& snapshot,
                    const std::string& peer);
  void ApplyEngineChanges(const wire::BeliefSnapshot& snapshot,
                          StoreVersion version, const std::string& peer);
  void OnEnginesApplied(StoreVersion version,
                        const std::vector<EngineChange>& changes,
                        const std::string& peer);
  DispatchState& state;
  SnapshotServer server;
  HttpClient client;
  bool fetching = false;     ///< A snapshot is being fetched.
  std::string fetched_from;  ///< The peer of the last one.
  /// What has arrived of the snapshot that is being fetched.
  TransferProgress fetch_progress;
  bool fetch_is_due = false;  ///< `FetchLater()` waits.
  int asks_at_start = 0;      ///< Requests of `AskAtStart()` in progress.
  /// The next request does not accept changes, since the last ones did not lead
  /// to the peer's list.
  bool needs_whole_list = false;
  /// The next request asks for the whole text, since the last one did not lead
  /// to the peer's configuration.
  bool needs_whole_configuration = false;
  bool has_prefixes = false;  ///< A snapshot with prefixes was fetched.
  SnapshotSources sources;    ///< Peers that are newer than this router.
  VersionLag lag;             ///< How long peers have had newer rows.
  /// Version of which `ObserveLag()` has logged that it is late.
  std::uint64_t logged_late_version = 0;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_EXCHANGE_H_
