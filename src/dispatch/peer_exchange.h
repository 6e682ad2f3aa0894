/// \file
/// \brief What routers tell each other: load, placements, newer beliefs.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEER_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/http_server.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::wire {
class RouterDigest;
class BeliefSnapshot;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

/// \brief Sends digests as datagrams; lets routers that lag fetch a snapshot.
class PeerExchange {
 public:
  explicit PeerExchange(DispatchState& state);

  /// \brief Opens the sockets and starts to exchange.
  Result<void> Start();
  /// \brief Sends one digest now, for example before the router ends.
  void SendDigest();

 private:
  Awaitable<void> SendDigests();
  std::map<std::uint32_t, std::uint64_t> EngineKeys() const;
  void FillPlacements(wire::RouterDigest& digest);
  Awaitable<void> ReceiveDigests();
  void OnDigest(const wire::RouterDigest& digest, const std::string& sender);
  // True if the sender of the digest knows more than this router.
  bool NoteNewest(const wire::RouterDigest& digest);
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
  void FillHistory(wire::BeliefSnapshot& snapshot) const;

  DispatchState& state;
  boost::asio::ip::udp::socket socket;
  std::array<char, 64 * 1024> datagram{};
  HttpServer server;
  HttpClient client;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  std::size_t next_peer;  ///< Of the rotation when there are many.
  bool fetching = false;
  int serving = 0;  ///< Peers that fetch from this router just now.
  bool knows_placements = false;           ///< A peer's have been fetched.
  std::uint64_t newest_configuration = 0;  ///< That any peer has told of.
  std::uint64_t newest_engines = 0;
  std::optional<TimePoint> behind_since;  ///< Of what peers know.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEER_EXCHANGE_H_
