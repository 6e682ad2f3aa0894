#ifndef DANDELIONSCALE_SRC_ROUTER_PEER_DIRECTORY_H_
#define DANDELIONSCALE_SRC_ROUTER_PEER_DIRECTORY_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/core/fleet_view.h"
#include "dandelionscale/transport/peer_connection.h"

namespace dandelionscale::internal {

/// \brief Connections to the other routers.
///
/// Requests and control messages use separate connections, so that the bytes of
/// control traffic are counted at its sockets and control messages are not
/// queued behind responses.
class PeerDirectory {
 public:
  static constexpr std::string_view kName = "peer_directory";

  explicit PeerDirectory(boost::asio::any_io_executor executor)
      : executor(std::move(executor)) {}

  /// \brief Adds clients for new members. Drops those of routers that are no
  /// longer members or have another address.
  void SetMembership(const Membership& membership);
  /// \returns the client for requests to `name`, null if it is not a member.
  std::shared_ptr<PeerClient> RequestClient(std::string_view name);
  /// \returns the client for control messages to `name`, null if it is not a
  /// member.
  std::shared_ptr<PeerClient> ControlClient(std::string_view name);
  /// \returns the bytes of all control messages, sent and received.
  const ByteCounters& ControlBytes() const { return this->control_bytes; }
  /// \returns the same counters, for connections that are not in this
  /// directory.
  ByteCounters* MutableControlBytes() { return &this->control_bytes; }

 private:
  struct Peer {
    std::string address;
    std::shared_ptr<PeerClient> requests;
    std::shared_ptr<PeerClient> control;
  };
  Peer* Find(std::string_view name);

  boost::asio::any_io_executor executor;
  ByteCounters control_bytes;
  ByteCounters request_bytes;
  std::map<std::string, Peer, std::less<>> peers;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_PEER_DIRECTORY_H_
