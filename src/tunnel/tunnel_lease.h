/// \file
/// \brief The share of an open tunnel in what its peer carries.
#ifndef DANDELIONSCALE_SRC_TUNNEL_TUNNEL_LEASE_H_
#define DANDELIONSCALE_SRC_TUNNEL_TUNNEL_LEASE_H_

#include <memory>
#include <string>
#include <utility>

#include "tunnel/tunnel_peers.h"

namespace dandelionscale::internal {

/// \brief Names a tunnel.
struct TunnelLabel {
  std::string peer;  ///< Address of the router that carries it, IP:PORT.
  std::string id;
};

/// \brief Counts a tunnel as open until it is destroyed.
class TunnelLease {
 public:
  TunnelLease(std::weak_ptr<TunnelPeers> peers, TunnelLabel label)
      : peers(std::move(peers)), label(std::move(label)) {}
  ~TunnelLease() {
    if (const auto locked = this->peers.lock()) {
      locked->OnClosed(this->label.peer);
    }
  }
  TunnelLease(const TunnelLease&) = delete;
  TunnelLease& operator=(const TunnelLease&) = delete;

  const TunnelLabel& Label() const { return this->label; }

 private:
  /// A connection may outlive its router.
  std::weak_ptr<TunnelPeers> peers;
  TunnelLabel label;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TUNNEL_TUNNEL_LEASE_H_
