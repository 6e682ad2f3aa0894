#ifndef DANDELIONSCALE_SRC_ROUTER_PEER_DIRECTORY_H_
#define DANDELIONSCALE_SRC_ROUTER_PEER_DIRECTORY_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/core/fleet_view.h"
#include "dandelionscale/transport/peer_connection.h"

namespace dandelionscale::internal {

/// \brief Connections to the other routers: one for requests and one for
/// control messages each, so that control traffic is counted at its sockets and
/// is not queued behind answers.
class PeerDirectory {
 public:
  static constexpr std::string_view kName = "peer_directory";

  explicit PeerDirectory(boost::asio::any_io_executor executor)
      : executor(std::move(executor)) {}

  /// \brief Closes connections to routers that are no longer members.
  void SetMembership(const Membership& membership);
  /// \returns the client, null if `name` is not a member.
  std::shared_ptr<PeerClient> ForRequests(std::string_view name);
  std::shared_ptr<PeerClient> ForControl(std::string_view name);
  const ByteCounters& ControlBytes() const { return this->control_bytes; }
  ByteCounters* ControlCounters() { return &this->control_bytes; }

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
