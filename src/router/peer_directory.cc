#include "router/peer_directory.h"

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::internal {

void PeerDirectory::SetMembership(const Membership& membership) {
  std::erase_if(this->peers, [&](const auto& entry) {
    const Member* member = membership.Find(entry.first);
    return member == nullptr || member->peer_address != entry.second.address;
  });
  for (const Member& member : membership.members) {
    if (this->peers.contains(member.name)) continue;
    auto endpoint = ParseEndpoint(member.peer_address);
    if (endpoint.has_error()) {
      Logger::Error("peer_address_malformed", {{"router", member.name}});
      continue;
    }
    this->peers[member.name] = {
        member.peer_address,
        std::make_shared<PeerClient>(this->executor, endpoint.value(),
                                     &this->request_bytes),
        std::make_shared<PeerClient>(this->executor, endpoint.value(),
                                     &this->control_bytes)};
  }
}

PeerDirectory::Peer* PeerDirectory::Find(std::string_view name) {
  auto found = this->peers.find(name);
  return found == this->peers.end() ? nullptr : &found->second;
}

std::shared_ptr<PeerClient> PeerDirectory::RequestClient(
    std::string_view name) {
  Peer* peer = this->Find(name);
  return peer == nullptr ? nullptr : peer->requests;
}

std::shared_ptr<PeerClient> PeerDirectory::ControlClient(
    std::string_view name) {
  Peer* peer = this->Find(name);
  return peer == nullptr ? nullptr : peer->control;
}

}  // namespace dandelionscale::internal
