/// \file
/// \brief What a router knows of the peers that could carry its tunnels.
#ifndef DANDELIONSCALE_SRC_TUNNEL_TUNNEL_PEERS_H_
#define DANDELIONSCALE_SRC_TUNNEL_TUNNEL_PEERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"
#include "tunnel/tunnel_message.h"

namespace dandelionscale::internal {

/// \brief Chooses the peer for a tunnel, from what peers report and from how
///        they have answered.
///
/// Peers are told apart by their address, IP:PORT.
class TunnelPeers {
 public:
  /// \brief Records what a digest reports.
  /// \param tunnel_port at which the peer accepts tunnels; 0 if it does not.
  /// \param cut_off_services keys of the services that the peer does not reach.
  void OnReport(TimePoint now, const std::string& peer,
                std::uint16_t tunnel_port,
                std::span<const std::uint32_t> cut_off_services);
  /// \brief Records that the peer is no longer taken to be alive.
  void OnPeerLost(const std::string& peer) { this->peers.erase(peer); }
  /// \brief Records that the peer refused a tunnel.
  void OnRefused(TimePoint now, const std::string& peer, std::uint32_t service,
                 TunnelRefusal refusal);
  void OnOpened(TimePoint now, const std::string& peer);
  void OnClosed(const std::string& peer);

  /// \returns a peer that may reach the service, with less load of this router
  ///          than another one that is drawn at random; none if there is none.
  /// \param excluded peers that were asked already.
  /// \param random a uniform random number.
  std::optional<std::string> Choose(TimePoint now, std::uint32_t service,
                                    const std::set<std::string>& excluded,
                                    std::uint64_t random) const;
  /// \returns whether `Choose()` would find one.
  bool CanReach(TimePoint now, std::uint32_t service) const;
  /// \returns the port at which the peer accepts tunnels.
  std::uint16_t TunnelPort(const std::string& peer) const;
  /// \returns the peers that have carried tunnels of this router lately.
  std::vector<std::string> RecentCarriers(TimePoint now) const;

 private:
  struct Peer {
    std::uint16_t tunnel_port = 0;
    std::set<std::uint32_t> cut_off;  ///< As it has reported.
    /// Services for which it has refused a tunnel, and until when it is not
    /// asked again.
    std::map<std::uint32_t, TimePoint> avoid_until;
    TimePoint silent_until{};  ///< It is not asked for any service.
    std::uint32_t open = 0;    ///< Tunnels of this router.
    TimePoint carried_at{};
  };

  static bool MayReach(TimePoint now, const Peer& peer, std::uint32_t service);

  std::map<std::string, Peer> peers;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TUNNEL_TUNNEL_PEERS_H_
