/// \file
/// \brief Exchange of load, prefix updates and store data between routers.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dispatch/dispatch_state.h"
#include "dispatch/peers/snapshot_exchange.h"

namespace dandelionscale::wire {
class RouterDigest;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

/// Size of the buffer for a received datagram; UDP carries no larger one.
inline constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

/// \brief Sends and receives digests over UDP.
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
  // Encoded size of the sections of a digest.
  struct DigestSizes {
    std::size_t loads = 0;
    std::size_t placements = 0;
    std::size_t rest = 0;
  };

  // A digest as it is sent.
  struct EncodedDigest {
    std::string bytes;
    DigestSizes sizes;
  };
  // The copies of one digest.
  struct DigestCopies {
    EncodedDigest own_zone;
    // Lacks the entries that concern the own zone only; none if there are no
    // such entries.
    std::optional<EncodedDigest> other_zones;
  };

  Awaitable<void> SendDigests();
  void SendTo(const std::string& peer, const std::string& datagram);
  // Returns the `count` peers that the next digest goes to: first those in
  // `new_peers`, which may have just started, then the next ones in rotation.
  std::vector<std::string> NextRecipients(const std::vector<std::string>& peers,
                                          std::size_t count);
  void FillLeavingEngines(TimePoint now, wire::RouterDigest& digest);
  // Sends the copy for the peer's zone and counts it; returns its size.
  std::size_t SendCopy(const std::string& peer, const DigestCopies& copies);
  // Takes the changes of the prefix index that are due, adds them to `digest`
  // and encodes it.
  // \param loads_size of the loads in `digest`.
  DigestCopies Encode(wire::RouterDigest& digest, std::size_t loads_size);
  // Returns the encoded size of what it adds.
  std::size_t FillLoads(wire::RouterDigest& digest) const;
  void FillRateLimits(wire::RouterDigest& digest);
  void FillTunnels(wire::RouterDigest& digest);
  void ApplyTunnels(const wire::RouterDigest& digest,
                    const std::string& sender);
  Awaitable<void> ReceiveDigests();
  void OnDigest(const wire::RouterDigest& digest, const std::string& sender);
  void ApplyLeavingEngines(std::span<const std::uint32_t> short_keys,
                           const std::string& sender);

  DispatchState& state;
  boost::asio::ip::udp::socket socket;
  std::array<char, kMaxDatagramBytes> datagram{};
  SnapshotExchange snapshots;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  /// Peers that were heard for the first time, and to which no digest has been
  /// sent since.
  std::vector<std::string> new_peers;
  std::size_t next_peer;  ///< Position in the rotation through `state.peers`.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_EXCHANGE_H_
