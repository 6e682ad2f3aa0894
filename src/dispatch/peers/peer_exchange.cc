#include "dispatch/peers/peer_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"
#include "dandelionscale/transport/address.h"
#include "dispatch/peers/origin_exchange.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/traffic.h"
#include "transport/socket_helpers.h"
#include "tunnel/tunnel_peers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Minimum time between two digests. Changes within it go into one digest.
constexpr Duration kMinDigestInterval = std::chrono::milliseconds(30);
// Keeps a digest within a few kilobytes.
constexpr std::size_t kMaxUpdatesPerDigest = 250;

}  // namespace

PeerExchange::PeerExchange(DispatchState& state)
    : state(state),
      socket(state.executor),
      snapshots(state),
      // Only the order of incarnations matters. The wall clock of a host seldom
      // goes back across a restart.
      incarnation(static_cast<std::uint64_t>(UnixNanoseconds())),
      // Differs between routers, so that those that start at the same time do
      // not all send to the same peers first.
      next_peer(HashText(ToText(state.options.peer_address))) {}

Result<void> PeerExchange::Start() {
  const auto sender_of = [this](PeerTraffic kind) {
    return [this, kind](const std::string& peer, const std::string& datagram) {
      CountSent(this->state.metrics, kind, this->state.ZoneOfPeer(peer),
                datagram.size());
      this->SendTo(peer, datagram);
    };
  };
  this->state.permits->SetSender(sender_of(PeerTraffic::kPermits));
  this->state.origins->SetSender(sender_of(PeerTraffic::kOrigins));
  const Endpoint& own = this->state.options.peer_address;
  error_code error;
  const udp::endpoint endpoint(own.address(), own.port());
  this->socket.open(endpoint.protocol(), error);
  if (!error) this->socket.bind(endpoint, error);
  if (error) return Fault{FaultKind::kConnectFailed, error.message()};
  this->socket.non_blocking(true, error);
  auto serving = this->snapshots.Start();
  if (serving.has_error()) return serving.error();
  asio::co_spawn(this->state.executor, this->ReceiveDigests(), asio::detached);
  asio::co_spawn(this->state.executor, this->SendDigests(), asio::detached);
  return {};
}

Awaitable<void> PeerExchange::SendDigests() {
  while (true) {
    const bool has_changes =
        co_await this->state.state_changed.WaitFor(kDigestInterval);
    if (has_changes) {
      const Duration min_interval = kMinDigestInterval;
      co_await SleepFor(min_interval);
    }
    const TimePoint now = RuntimeClock::now();
    const Duration rotation = DigestRotationPeriod(this->state.peers.size());
    const Duration peer_timeout = PeerTimeout(this->state.peers.size());
    this->state.peer_load.Expire(now, rotation);
    this->state.stated_loads.Expire(now);
    for (auto peer = this->state.live_peers.begin();
         peer != this->state.live_peers.end();) {
      if (now - peer->second.at > peer_timeout) {
        Logger::Warning("peer_lost", {{"peer", peer->first}});
        this->state.permits->OnPeerLost(now, peer->first);
        this->state.tunnel_peers->OnPeerLost(peer->first);
        peer = this->state.live_peers.erase(peer);
      } else {
        ++peer;
      }
    }
    this->SendDigest();
  }
}

void PeerExchange::SendDigest() {
  wire::RouterDigest digest;
  digest.set_router(this->state.options.name);
  digest.set_incarnation(this->incarnation);
  digest.set_sequence(++this->sequence);
  digest.set_configuration_version(this->state.ConfigurationVersion());
  digest.set_engines_changed(this->state.newest_engine_version.number);
  digest.set_store_era(this->state.newest_engine_version.era);
  const std::size_t loads_size = this->FillLoads(digest);
  const TimePoint now = RuntimeClock::now();
  digest.set_zone(this->state.zone_key);
  this->FillLeavingEngines(now, digest);
  FillQuarantineUpdate(this->state.quarantine.TakeForDigest(), now, digest);
  this->FillRateLimits(digest);
  this->FillTunnels(digest);
  FillEvacuation(this->state, digest);
  FillWatchReport(this->state.watcher_election.Report(now), digest);
  const DigestCopies copies = this->Encode(digest, loads_size);
  const std::vector<std::string> peers(this->state.peers.begin(),
                                       this->state.peers.end());
  const std::size_t count = std::min(kDigestFanout, peers.size());
  std::size_t bytes = 0;
  for (const std::string& peer : this->NextRecipients(peers, count)) {
    bytes += this->SendCopy(peer, copies);
  }
  this->state.metrics.Add("peer_digest_bytes_sent_total", bytes);
  if (count == peers.size()) return;
  // Peers that carry tunnels must know at once what engines state on these.
  const auto carriers = this->state.tunnel_peers->RecentCarriers(now);
  for (const std::string& peer : carriers) this->SendCopy(peer, copies);
}

std::vector<std::string> PeerExchange::NextRecipients(
    const std::vector<std::string>& peers, std::size_t count) {
  if (count == peers.size()) {
    this->new_peers.clear();
    return peers;
  }
  std::vector<std::string> recipients;
  while (!this->new_peers.empty() && recipients.size() < count) {
    recipients.push_back(std::move(this->new_peers.back()));
    this->new_peers.pop_back();
  }
  while (recipients.size() < count) {
    recipients.push_back(peers[this->next_peer++ % peers.size()]);
  }
  return recipients;
}

std::size_t PeerExchange::SendCopy(const std::string& peer,
                                   const DigestCopies& copies) {
  const PeerZone zone = this->state.ZoneOfPeer(peer);
  const bool lacks_own_entries = zone == PeerZone::kOther && copies.other_zones;
  const auto& [bytes, sizes] =
      lacks_own_entries ? *copies.other_zones : copies.own_zone;
  this->SendTo(peer, bytes);
  Metrics& metrics = this->state.metrics;
  CountSent(metrics, PeerTraffic::kDigestLoads, zone, sizes.loads);
  CountSent(metrics, PeerTraffic::kDigestPlacements, zone, sizes.placements);
  CountSent(metrics, PeerTraffic::kDigestRest, zone, sizes.rest);
  return bytes.size();
}

PeerExchange::DigestCopies PeerExchange::Encode(wire::RouterDigest& digest,
                                                std::size_t loads_size) {
  const std::size_t rotation = DigestsPerRotation(this->state.peers.size());
  const std::vector<PrefixUpdate> updates =
      this->state.prefix_updates.TakeForDigest(rotation, kMaxUpdatesPerDigest);
  const std::size_t size_without = digest.ByteSizeLong();
  const auto encode = [&](std::span<const PrefixUpdate> added,
                          wire::RouterDigest& copy) {
    FillPlacements(added, copy);
    EncodedDigest encoded;
    encoded.bytes = copy.SerializeAsString();
    encoded.sizes.loads = loads_size;
    encoded.sizes.placements = encoded.bytes.size() - size_without;
    encoded.sizes.rest = size_without - loads_size;
    return encoded;
  };
  std::vector<PrefixUpdate> for_all;
  std::copy_if(updates.begin(), updates.end(), std::back_inserter(for_all),
               IsForAllZones);
  DigestCopies copies;
  if (for_all.size() < updates.size()) {
    wire::RouterDigest copy = digest;
    copies.other_zones = encode(for_all, copy);
  }
  copies.own_zone = encode(updates, digest);
  return copies;
}

void PeerExchange::SendTo(const std::string& peer,
                          const std::string& datagram) {
  const auto endpoint = ParseEndpoint(peer);
  if (endpoint.has_error()) return;
  // Datagrams may be lost on any way: the next digest makes up for a lost one,
  // and a request for a permit times out.
  error_code ignored;
  this->socket.send_to(asio::buffer(datagram),
                       udp::endpoint(endpoint->address(), endpoint->port()), 0,
                       ignored);
}

std::size_t PeerExchange::FillLoads(wire::RouterDigest& digest) const {
  const std::size_t size_before = digest.ByteSizeLong();
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    if (engine->in_flight == 0) continue;
    digest.add_engine_keys(ShortKey(engine->key));
    digest.add_loads(engine->in_flight);
  }
  FillStatedLoads(this->state, digest);
  return digest.ByteSizeLong() - size_before;
}

void PeerExchange::FillLeavingEngines(TimePoint now,
                                      wire::RouterDigest& digest) {
  std::vector<std::uint32_t> keys = this->state.engines.LeavingKeys();
  std::erase_if(this->state.new_drains,
                [now](const auto& drain) { return now >= drain.second; });
  for (const auto& [key, until] : this->state.new_drains) {
    keys.push_back(ShortKey(key));
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  digest.mutable_leaving_engines()->Add(keys.begin(), keys.end());
}

void PeerExchange::FillRateLimits(wire::RouterDigest& digest) {
  const TimePoint now = RuntimeClock::now();
  for (std::uint64_t key : this->state.rate_limit_news.TakeForDigest()) {
    const auto engine = this->state.engines.FindByShortKey(ShortKey(key));
    if (engine == nullptr) continue;
    FillRateLimit(*engine, now, *digest.add_rate_limits());
  }
}

void PeerExchange::FillTunnels(wire::RouterDigest& digest) {
  const TimePoint now = RuntimeClock::now();
  const std::uint16_t port = this->state.options.tunnel_address.port();
  if (port != 0 && !this->state.draining) digest.set_tunnel_port(port);
  for (const std::string& service : this->state.reachability.CutOffServices()) {
    digest.add_cut_off_services(ShortKey(HashText(service)));
  }
  std::erase_if(this->state.carried_pauses, [now](const CarriedPause& pause) {
    return now >= pause.until;
  });
  for (const CarriedPause& pause : this->state.carried_pauses) {
    wire::CarriedPauseReport& report = *digest.add_carried_pauses();
    report.set_engine(ShortKey(pause.engine_key));
    report.set_remaining_ms(
        static_cast<std::uint32_t>(ToMilliseconds(pause.until - now)));
    report.set_router(pause.peer);
  }
}

void PeerExchange::ApplyTunnels(const wire::RouterDigest& digest,
                                const std::string& sender) {
  constexpr std::uint32_t kMaxPort = 65535;
  const TimePoint now = RuntimeClock::now();
  const std::uint32_t port = digest.tunnel_port();
  this->state.tunnel_peers->OnReport(
      now, sender,
      port <= kMaxPort ? static_cast<std::uint16_t>(port) : std::uint16_t{0},
      ToSpan(digest.cut_off_services()));
  const std::string own = ToText(this->state.options.peer_address);
  for (const wire::CarriedPauseReport& report : digest.carried_pauses()) {
    const auto engine = this->state.engines.FindByShortKey(report.engine());
    if (engine == nullptr || report.router() != own) continue;
    engine->pause.Request(now,
                          std::chrono::milliseconds(report.remaining_ms()));
  }
}

Awaitable<void> PeerExchange::ReceiveDigests() {
  while (true) {
    udp::endpoint sender;
    error_code error;
    const std::size_t size = co_await this->socket.async_receive_from(
        asio::buffer(this->datagram), sender, RedirectError(error));
    if (error) {
      const Duration pause = kDigestInterval;
      co_await SleepFor(pause);
      continue;
    }
    const std::string from = ToText(Endpoint(sender.address(), sender.port()));
    const std::string_view bytes(this->datagram.data(), size);
    if (PermitExchange::IsPermitMessage(bytes)) {
      this->state.permits->OnDatagram(bytes, from);
      continue;
    }
    if (OriginExchange::IsOriginMessage(bytes)) {
      this->state.origins->OnDatagram(bytes, from);
      continue;
    }
    wire::RouterDigest digest;
    if (!digest.ParseFromArray(this->datagram.data(), static_cast<int>(size)) ||
        digest.loads_size() != digest.engine_keys_size() ||
        digest.placed_engines_size() != digest.placed_parts_size() ||
        digest.dropped_engines_size() != digest.dropped_parts_size() ||
        HasMalformedStatedLoads(digest)) {
      this->state.metrics.Add("peer_digests_malformed_total");
      continue;
    }
    this->OnDigest(digest, from);
  }
}

void PeerExchange::OnDigest(const wire::RouterDigest& digest,
                            const std::string& sender) {
  const TimePoint now = RuntimeClock::now();
  this->state.peers.insert(sender);
  PeerContact& contact = this->state.live_peers[sender];
  if (!contact.has_sent_digest) {
    Logger::Info("peer_heard", {{"peer", sender}, {"name", digest.router()}});
    this->new_peers.push_back(sender);
  }
  contact = {now, true, contact.zone_key, digest.configuration_version()};
  if (digest.has_zone()) contact.zone_key = digest.zone();
  this->state.permits->OnPeerHeard(sender);
  std::vector<EngineLoad> loads;
  for (int n = 0; n < digest.engine_keys_size(); ++n) {
    const auto engine =
        this->state.engines.FindByShortKey(digest.engine_keys(n));
    if (engine == nullptr) continue;
    const WorkTime& work_time =
        this->state.Service(engine->record.service).work_time;
    loads.push_back({engine->key, digest.loads(n), work_time.Mean()});
  }
  const bool is_new = this->state.peer_load.OnReport(
      now, digest.router(), digest.incarnation(), digest.sequence(), loads);
  // A digest that was delayed or duplicated understates the age of its loads.
  if (is_new) ApplyForwardedLoads(this->state, digest);
  this->state.watcher_election.OnDigest(now, sender, HashText(sender),
                                        ToWatchReport(digest));
  ApplyPlacements(this->state, ToSpan(digest.placed_parts()),
                  ToSpan(digest.placed_engines()), PartsForAllZones(digest));
  ApplyEvictions(this->state, ToSpan(digest.dropped_parts()),
                 ToSpan(digest.dropped_engines()));
  this->ApplyLeavingEngines(ToSpan(digest.leaving_engines()), sender);
  this->state.OnQuarantineChanges(
      this->state.quarantine.Apply(now, ToQuarantineUpdate(digest, now)),
      sender);
  ApplyRateLimits(this->state, digest.rate_limits(), sender);
  this->ApplyTunnels(digest, sender);
  // Before the snapshot, which may complete the start of this router.
  ApplyEvacuation(this->state, digest, sender);
  this->snapshots.OnDigest(digest, sender);
}

void PeerExchange::ApplyLeavingEngines(
    std::span<const std::uint32_t> short_keys, const std::string& sender) {
  for (std::uint32_t short_key : short_keys) {
    const auto engine = this->state.engines.FindByShortKey(short_key);
    if (engine == nullptr) continue;
    this->state.OnEngineChanges(this->state.engines.OnLeaving(*engine), sender);
  }
}

}  // namespace dandelionscale::internal
