#include "tunnel/tunnel_peers.h"

namespace dandelionscale::internal {
namespace {

// A peer that reached no engine of a service is not asked again for this time,
// unless it reports that it does.
constexpr Duration kCutOffTime = std::chrono::milliseconds(1000);
constexpr Duration kBusyTime = std::chrono::milliseconds(200);
constexpr Duration kSilentTime = std::chrono::milliseconds(1000);
// An engine's statements on a tunnel concern the peer that carried it for this
// time after the last one was opened.
constexpr Duration kCarrierTime = std::chrono::seconds(2);
// Half of the bits of the random number draw each of two candidates.
constexpr int kDrawBits = 32;

}  // namespace

void TunnelPeers::OnReport(TimePoint now, const std::string& address,
                           std::uint16_t tunnel_port,
                           std::span<const std::uint32_t> cut_off_services) {
  Peer& peer = this->peers[address];
  peer.tunnel_port = tunnel_port;
  peer.cut_off.clear();
  peer.cut_off.insert(cut_off_services.begin(), cut_off_services.end());
  std::erase_if(peer.avoid_until,
                [now](const auto& entry) { return now >= entry.second; });
}

void TunnelPeers::OnRefused(TimePoint now, const std::string& address,
                            std::uint32_t service, TunnelRefusal refusal) {
  const auto found = this->peers.find(address);
  if (found == this->peers.end()) return;
  Peer& peer = found->second;
  switch (refusal) {
    case TunnelRefusal::kCutOff:
      peer.avoid_until[service] = now + kCutOffTime;
      break;
    case TunnelRefusal::kBusy:
      peer.silent_until = now + kBusyTime;
      break;
    case TunnelRefusal::kNotListed:
    case TunnelRefusal::kNoAnswer:
      peer.silent_until = now + kSilentTime;
      break;
    case TunnelRefusal::kUnknown:
    case TunnelRefusal::kUnwanted:
    case TunnelRefusal::kUnreachable:
      break;
  }
}

void TunnelPeers::OnOpened(TimePoint now, const std::string& address) {
  Peer& peer = this->peers[address];
  ++peer.open;
  peer.carried_at = now;
}

void TunnelPeers::OnClosed(const std::string& address) {
  const auto found = this->peers.find(address);
  if (found != this->peers.end() && found->second.open > 0) {
    --found->second.open;
  }
}

bool TunnelPeers::MayReach(TimePoint now, const Peer& peer,
                           std::uint32_t service) {
  if (peer.tunnel_port == 0 || now < peer.silent_until) return false;
  if (peer.cut_off.contains(service)) return false;
  const auto avoid = peer.avoid_until.find(service);
  return avoid == peer.avoid_until.end() || now >= avoid->second;
}

std::optional<std::string> TunnelPeers::Choose(
    TimePoint now, std::uint32_t service, const std::set<std::string>& excluded,
    std::uint64_t random) const {
  std::vector<const std::pair<const std::string, Peer>*> candidates;
  for (const auto& entry : this->peers) {
    if (excluded.contains(entry.first)) continue;
    if (MayReach(now, entry.second, service)) candidates.push_back(&entry);
  }
  if (candidates.empty()) return std::nullopt;
  const auto* first = candidates[(random >> kDrawBits) % candidates.size()];
  const auto* second =
      candidates[static_cast<std::uint32_t>(random) % candidates.size()];
  return first->second.open <= second->second.open ? first->first
                                                   : second->first;
}

bool TunnelPeers::CanReach(TimePoint now, std::uint32_t service) const {
  return this->Choose(now, service, {}, 0).has_value();
}

std::uint16_t TunnelPeers::TunnelPort(const std::string& address) const {
  const auto found = this->peers.find(address);
  return found == this->peers.end() ? 0 : found->second.tunnel_port;
}

std::vector<std::string> TunnelPeers::RecentCarriers(TimePoint now) const {
  std::vector<std::string> carriers;
  for (const auto& [address, peer] : this->peers) {
    const bool is_recent =
        peer.carried_at != TimePoint{} && now - peer.carried_at < kCarrierTime;
    if (is_recent || peer.open > 0) carriers.push_back(address);
  }
  return carriers;
}

}  // namespace dandelionscale::internal
