#include "dispatch/peer_exchange.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"
#include "dispatch_peer.pb.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr Duration kDigestInterval = std::chrono::milliseconds(250);
// Peers that get a digest each time; more are served in rotation.
constexpr std::size_t kPeersEachTime = 12;
// A router that is behind a peer for so long fetches from it; normally the
// store tells it sooner.
constexpr Duration kBehindPatience = std::chrono::milliseconds(120);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(800);
// A peer that is not heard for so long is reported as lost.
constexpr Duration kPeerLostAfter = std::chrono::milliseconds(1500);
// Placements in one digest, so that it stays a few kilobytes.
constexpr std::size_t kPlacementsEachTime = 250;
// Placements in a snapshot; 12 bytes each.
constexpr std::size_t kPlacementsInSnapshot = 20'000;
constexpr std::string_view kSnapshotPath = "/snapshot";

// Engines are few enough for half of their key to tell them apart.
std::uint32_t ShortKey(std::uint64_t engine_key) {
  return static_cast<std::uint32_t>(engine_key);
}

template <typename Number>
std::span<const Number> ToSpan(
    const google::protobuf::RepeatedField<Number>& field) {
  return {field.data(), static_cast<std::size_t>(field.size())};
}

std::string ToText(const udp::endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

EngineRecord ToRecord(const wire::EngineEntry& entry) {
  EngineRecord record;
  record.id = entry.id();
  record.service = entry.service();
  record.address = entry.address();
  record.availability_zone = entry.availability_zone();
  record.max_slots = entry.max_slots();
  record.draining = entry.draining();
  record.born_unix_ms = entry.born_unix_ms();
  return record;
}

void FillEntry(const EngineRecord& record, wire::EngineEntry& entry) {
  entry.set_id(record.id);
  entry.set_service(record.service);
  entry.set_address(record.address);
  entry.set_availability_zone(record.availability_zone);
  entry.set_max_slots(record.max_slots);
  entry.set_draining(record.draining);
  entry.set_born_unix_ms(record.born_unix_ms);
}

}  // namespace

PeerExchange::PeerExchange(DispatchState& state)
    : state(state),
      socket(state.executor),
      server(state.executor, HttpServerLimits(),
             [this](HttpExchange& exchange) {
               return this->ServeSnapshot(exchange);
             }),
      client(state.executor, nullptr),
      // Only the order matters; the wall clock of one host seldom goes back
      // over a restart.
      incarnation(static_cast<std::uint64_t>(UnixNanoseconds())) {}

Result<void> PeerExchange::Start() {
  const Endpoint& own = this->state.options.peer_address;
  error_code error;
  const udp::endpoint endpoint(own.address(), own.port());
  this->socket.open(endpoint.protocol(), error);
  if (!error) this->socket.bind(endpoint, error);
  if (error) return Fault{FaultKind::kConnectFailed, error.message()};
  this->socket.non_blocking(true, error);
  auto bound = this->server.Listen(own);
  if (bound.has_error()) return bound.error();
  asio::co_spawn(this->state.executor, this->ReceiveDigests(), asio::detached);
  asio::co_spawn(this->state.executor, this->SendDigests(), asio::detached);
  return {};
}

Awaitable<void> PeerExchange::SendDigests() {
  while (true) {
    const Duration interval = kDigestInterval;
    co_await SleepFor(interval);
    const TimePoint now = RuntimeClock::now();
    this->state.fleet_load.Expire(now);
    for (auto peer = this->state.peers_heard_at.begin();
         peer != this->state.peers_heard_at.end();) {
      if (now - peer->second > kPeerLostAfter) {
        Logger::Warning("peer_lost", {{"peer", peer->first}});
        peer = this->state.peers_heard_at.erase(peer);
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
  digest.set_configuration_version(
      this->state.table ? this->state.table->version : 0);
  digest.set_engines_changed(this->state.engines_changed);
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    if (engine->in_flight == 0) continue;
    digest.add_engine_keys(ShortKey(engine->key));
    digest.add_loads(engine->in_flight);
  }
  this->FillPlacements(digest);
  const std::string bytes = digest.SerializeAsString();
  const std::vector<std::string> peers(this->state.peers.begin(),
                                       this->state.peers.end());
  const std::size_t count = std::min(kPeersEachTime, peers.size());
  this->state.metrics.Add("peer_digest_bytes_sent_total", count * bytes.size());
  for (std::size_t n = 0; n < count; ++n) {
    const auto endpoint =
        ParseEndpoint(peers[this->next_peer++ % peers.size()]);
    if (endpoint.has_error()) continue;
    error_code ignored;  // A lost digest is made good by the next one.
    this->socket.send_to(asio::buffer(bytes),
                         udp::endpoint(endpoint->address(), endpoint->port()),
                         0, ignored);
  }
}

std::map<std::uint32_t, std::uint64_t> PeerExchange::EngineKeys() const {
  std::map<std::uint32_t, std::uint64_t> key_of;
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    key_of[ShortKey(engine->key)] = engine->key;
  }
  return key_of;
}

void PeerExchange::FillPlacements(wire::RouterDigest& digest) {
  auto& placements = this->state.recent_placements;
  const std::size_t count = std::min(kPlacementsEachTime, placements.size());
  for (std::size_t n = 0; n < count; ++n) {
    const PrefixPlacement& placement = placements[n];
    if (placement.dropped) {
      digest.add_dropped_parts(placement.part_key);
      digest.add_dropped_engines(ShortKey(placement.engine_key));
    } else {
      digest.add_placed_parts(placement.part_key);
      digest.add_placed_engines(ShortKey(placement.engine_key));
    }
  }
  placements.erase(placements.begin(),
                   placements.begin() + static_cast<std::ptrdiff_t>(count));
}

Awaitable<void> PeerExchange::ReceiveDigests() {
  while (true) {
    udp::endpoint sender;
    error_code error;
    const std::size_t size = co_await this->socket.async_receive_from(
        asio::buffer(this->datagram), sender, Redirect(error));
    if (error) {
      const Duration pause = kDigestInterval;
      co_await SleepFor(pause);
      continue;
    }
    wire::RouterDigest digest;
    if (!digest.ParseFromArray(this->datagram.data(), static_cast<int>(size)) ||
        digest.loads_size() != digest.engine_keys_size() ||
        digest.placed_engines_size() != digest.placed_parts_size() ||
        digest.dropped_engines_size() != digest.dropped_parts_size()) {
      this->state.metrics.Add("peer_digests_malformed_total");
      continue;
    }
    this->OnDigest(digest, ToText(sender));
  }
}

void PeerExchange::OnDigest(const wire::RouterDigest& digest,
                            const std::string& sender) {
  const TimePoint now = RuntimeClock::now();
  this->state.peers.insert(sender);
  if (!this->state.peers_heard_at.contains(sender)) {
    Logger::Info("peer_heard", {{"peer", sender}, {"name", digest.router()}});
  }
  this->state.peers_heard_at[sender] = now;
  const auto key_of = this->EngineKeys();
  std::vector<EngineLoad> loads;
  for (int n = 0; n < digest.engine_keys_size(); ++n) {
    auto known = key_of.find(digest.engine_keys(n));
    if (known != key_of.end())
      loads.push_back({known->second, digest.loads(n)});
  }
  this->state.fleet_load.OnReport(now, digest.router(), digest.incarnation(),
                                  digest.sequence(), loads);
  this->ApplyPlacements(ToSpan(digest.placed_parts()),
                        ToSpan(digest.placed_engines()), false);
  this->ApplyPlacements(ToSpan(digest.dropped_parts()),
                        ToSpan(digest.dropped_engines()), true);
  this->FetchIfBehind(digest, sender);
}

void PeerExchange::FetchIfBehind(const wire::RouterDigest& digest,
                                 const std::string& sender) {
  const std::uint64_t own_configuration =
      this->state.table ? this->state.table->version : 0;
  const bool behind = digest.configuration_version() > own_configuration ||
                      digest.engines_changed() > this->state.engines.Version();
  // Digests carry news of placements only; a router that starts asks once for
  // what was before.
  const bool is_new = !this->knows_placements && this->state.engines_known;
  if (!behind && !is_new) return;
  const TimePoint now = RuntimeClock::now();
  if (this->behind_since == TimePoint::max()) this->behind_since = now;
  const bool patient = this->state.table != nullptr &&
                       this->state.tables_lost.empty() &&
                       now - this->behind_since < kBehindPatience;
  if (patient || this->fetching) return;
  this->fetching = true;
  asio::co_spawn(this->state.executor, this->FetchSnapshot(sender),
                 asio::detached);
}

Awaitable<void> PeerExchange::FetchSnapshot(std::string peer) {
  auto endpoint = ParseEndpoint(peer);
  HttpRequest request;
  request.method = "GET";
  request.target = kSnapshotPath;
  auto answer =
      co_await this->client.Fetch(endpoint.value(), std::move(request),
                                  ConnectionUse::kFresh, kFetchTimeout);
  this->fetching = false;
  this->behind_since = TimePoint::max();
  wire::BeliefSnapshot snapshot;
  if (answer.has_error() || !snapshot.ParseFromString(answer->body)) {
    Logger::Warning("peer_snapshot_failed", {{"peer", peer}});
    co_return;
  }
  this->ApplySnapshot(snapshot, peer);
}

void PeerExchange::ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                                 const std::string& peer) {
  this->state.metrics.Add("peer_snapshots_total");
  this->knows_placements = this->knows_placements || this->state.engines_known;
  for (const std::string& router : snapshot.routers()) {
    if (ParseEndpoint(router).has_value()) this->state.peers.insert(router);
  }
  const Endpoint& own = this->state.options.peer_address;
  this->state.peers.erase(
      fmt::format("{}:{}", own.address().to_string(), own.port()));
  if (!snapshot.configuration().empty()) {
    this->state.ApplyConfiguration(snapshot.configuration(), peer);
  }
  this->ApplyEngines(snapshot, peer);
  this->ApplyPlacements(ToSpan(snapshot.placed_parts()),
                        ToSpan(snapshot.placed_engines()), false);
}

void PeerExchange::ApplyPlacements(std::span<const std::uint64_t> parts,
                                   std::span<const std::uint32_t> short_keys,
                                   bool dropped) {
  const TimePoint now = RuntimeClock::now();
  const auto key_of = this->EngineKeys();
  const std::size_t count = std::min(parts.size(), short_keys.size());
  for (std::size_t n = 0; n < count; ++n) {
    auto known = key_of.find(short_keys[n]);
    if (known == key_of.end()) continue;
    this->state.prefixes.Apply(now, {parts[n], known->second, dropped});
  }
}

void PeerExchange::ApplyEngines(const wire::BeliefSnapshot& snapshot,
                                const std::string& peer) {
  if (snapshot.engines_version() <= this->state.engines.Version()) return;
  std::vector<EngineRecord> records;
  for (const wire::EngineEntry& entry : snapshot.engines()) {
    records.push_back(ToRecord(entry));
  }
  this->state.engines_known = true;
  const auto changes = this->state.engines.OnSnapshot(
      RuntimeClock::now(), snapshot.engines_version(), records);
  this->state.engines_changed =
      std::max(this->state.engines_changed, snapshot.engines_version());
  this->state.OnEngineChanges(changes, peer);
}

Awaitable<void> PeerExchange::ServeSnapshot(HttpExchange& exchange) {
  wire::BeliefSnapshot snapshot;
  snapshot.set_configuration_version(
      this->state.table ? this->state.table->version : 0);
  snapshot.set_configuration(this->state.table_text);
  snapshot.set_engines_version(this->state.engines.Version());
  for (const EngineRecord& record : this->state.engines.Listed()) {
    FillEntry(record, *snapshot.add_engines());
  }
  for (const std::string& peer : this->state.peers) {
    snapshot.add_routers(peer);
  }
  for (const PrefixPlacement& placement :
       this->state.prefixes.Known(kPlacementsInSnapshot)) {
    snapshot.add_placed_parts(placement.part_key);
    snapshot.add_placed_engines(ShortKey(placement.engine_key));
  }
  HttpResponse response;
  response.headers.Add("Content-Type", "application/octet-stream");
  response.body = snapshot.SerializeAsString();
  co_await exchange.Respond(std::move(response));
}

}  // namespace dandelionscale::internal
