/// \file
/// \brief Exchange of load, prefix updates and store data between routers.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEER_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEER_EXCHANGE_H_

#include <google/protobuf/repeated_field.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/http_server.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::wire {
class RouterDigest;
class SnapshotRequest;
class BeliefSnapshot;
class RateLimitReport;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

/// \brief Sends and receives digests over UDP, and serves and fetches snapshots
///        over HTTP.
///
/// A digest carries this router's load, changes of its prefix index, the
/// versions of its configuration and list of engines, and how current its view
/// of the store is. A router whose versions are older fetches a snapshot from
/// the sender.
class PeerExchange {
 public:
  explicit PeerExchange(DispatchState& state);

  /// \brief Opens the sockets and starts the exchange, which runs until the
  ///        event loop ends.
  /// \returns `kConnectFailed` if the UDP socket cannot be bound, or the fault
  ///          of the HTTP server.
  Result<void> Start();
  /// \brief Sends one digest at once, for example before the router exits.
  void SendDigest();

 private:
  Awaitable<void> SendDigests();
  void SendTo(const std::string& peer, const std::string& datagram);
  // Messages of older builds have no era. Their version counts as one of the
  // era in which this router started, so that it is older than any version
  // since a restoration.
  template <typename Message>
  std::uint64_t EraOf(const Message& message) const;
  StoreVersion VersionOf(const wire::RouterDigest& digest) const;
  StoreVersion VersionOf(const wire::SnapshotRequest& request) const;
  StoreVersion VersionOf(const wire::BeliefSnapshot& snapshot) const;
  void FillPlacements(wire::RouterDigest& digest);
  void FillRateLimits(wire::RouterDigest& digest);
  Awaitable<void> ReceiveDigests();
  void OnDigest(const wire::RouterDigest& digest, const std::string& sender);
  void ApplyLeavingEngines(std::span<const std::uint32_t> short_keys,
                           const std::string& sender);
  void ApplyRateLimits(
      const google::protobuf::RepeatedPtrField<wire::RateLimitReport>& reports,
      const std::string& sender);
  // Records the newest versions among peers and whether this router is behind
  // them. True if the sender of the digest has a newer version than this
  // router.
  bool UpdateNewestVersions(const wire::RouterDigest& digest);
  void FetchIfBehind(const wire::RouterDigest& digest,
                     const std::string& sender);
  Awaitable<void> FetchSnapshot(std::string peer);
  void ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                     const std::string& peer);
  /// \param short_keys of the engines, one for each of `parts`.
  void ApplyPlacements(std::span<const std::uint64_t> parts,
                       std::span<const std::uint32_t> short_keys, bool dropped);
  void ApplyEngines(const wire::BeliefSnapshot& snapshot,
                    const std::string& peer);
  Awaitable<void> ServeSnapshot(HttpExchange& exchange);
  void FillEngines(wire::BeliefSnapshot& snapshot) const;
  void FillPeersAndPrefixes(wire::BeliefSnapshot& snapshot) const;

  DispatchState& state;
  boost::asio::ip::udp::socket socket;
  std::array<char, 64 * 1024> datagram{};
  HttpServer server;
  HttpClient client;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  std::size_t next_peer;  ///< Position in the rotation through `state.peers`.
  bool fetching = false;  ///< A snapshot is being fetched.
  int serving = 0;        ///< Snapshot responses that are being sent.
  bool has_prefixes = false;  ///< A snapshot with prefixes was fetched.
  std::uint64_t newest_configuration = 0;  ///< Newest in received digests.
  StoreVersion newest_engines;             ///< Newest in received digests.
  /// Since when peers have newer versions; none if they have not.
  std::optional<TimePoint> behind_since;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEER_EXCHANGE_H_
