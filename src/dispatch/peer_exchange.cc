#include "dispatch/peer_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/peer_messages.h"
#include "dispatch/permit_exchange.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// A router that watches the store fetches from a peer only after it has been
// behind for this long; normally its own watch returns the change sooner.
constexpr Duration kWatcherFetchDelay = std::chrono::milliseconds(120);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(600);
// Snapshot responses that a router sends at the same time; further requests get
// status 503. A refused router fetches from the sender of a later digest, which
// is often a router that has fetched a snapshot in the meantime. This keeps the
// network link of a host from overload when many routers are behind.
constexpr int kMaxSnapshotsServed = 4;
// Minimum time between two digests. Changes within it go into one digest.
constexpr Duration kMinDigestInterval = std::chrono::milliseconds(30);
// Keeps a digest within a few kilobytes.
constexpr std::size_t kMaxUpdatesPerDigest = 250;
// Each entry of the prefix index takes 12 bytes of the snapshot.
constexpr std::size_t kMaxPrefixesPerSnapshot = 20'000;
constexpr std::string_view kSnapshotPath = "/snapshot";

}  // namespace

PeerExchange::PeerExchange(DispatchState& state)
    : state(state),
      socket(state.executor),
      server(state.executor, HttpServerLimits(),
             [this](HttpExchange& exchange) {
               return this->ServeSnapshot(exchange);
             }),
      client(state.executor, nullptr),
      // Only the order of incarnations matters. The wall clock of a host seldom
      // goes back across a restart.
      incarnation(static_cast<std::uint64_t>(UnixNanoseconds())),
      // Differs between routers, so that those that start at the same time do
      // not all send to the same peers first.
      next_peer(HashText(ToText(state.options.peer_address))) {}

Result<void> PeerExchange::Start() {
  this->state.permits->SetSender(
      [this](const std::string& peer, const std::string& datagram) {
        this->SendTo(peer, datagram);
      });
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
    for (auto peer = this->state.live_peers.begin();
         peer != this->state.live_peers.end();) {
      if (now - peer->second.at > peer_timeout) {
        Logger::Warning("peer_lost", {{"peer", peer->first}});
        this->state.permits->OnPeerLost(now, peer->first);
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
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    if (engine->in_flight == 0) continue;
    digest.add_engine_keys(ShortKey(engine->key));
    digest.add_loads(engine->in_flight);
  }
  for (std::uint32_t short_key : this->state.engines.LeavingKeys()) {
    digest.add_leaving_engines(short_key);
  }
  const TimePoint now = RuntimeClock::now();
  this->FillPlacements(digest);
  FillQuarantineUpdate(this->state.quarantine.TakeForDigest(), now, digest);
  this->FillRateLimits(digest);
  FillWatchReport(this->state.watcher_election.Report(now), digest);
  const std::string bytes = digest.SerializeAsString();
  const std::vector<std::string> peers(this->state.peers.begin(),
                                       this->state.peers.end());
  const std::size_t count = std::min(kDigestFanout, peers.size());
  this->state.metrics.Add("peer_digest_bytes_sent_total", count * bytes.size());
  for (std::size_t n = 0; n < count; ++n) {
    this->SendTo(peers[this->next_peer++ % peers.size()], bytes);
  }
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

template <typename Message>
std::uint64_t PeerExchange::EraOf(const Message& message) const {
  return message.has_store_era() ? message.store_era()
                                 : this->state.engines.InitialEra();
}

StoreVersion PeerExchange::VersionOf(const wire::RouterDigest& digest) const {
  return {this->EraOf(digest), digest.engines_changed()};
}

StoreVersion PeerExchange::VersionOf(
    const wire::SnapshotRequest& request) const {
  return {this->EraOf(request), request.engines_version()};
}

StoreVersion PeerExchange::VersionOf(
    const wire::BeliefSnapshot& snapshot) const {
  return {this->EraOf(snapshot), snapshot.engines_version()};
}

void PeerExchange::FillPlacements(wire::RouterDigest& digest) {
  const std::size_t rotation = DigestsPerRotation(this->state.peers.size());
  for (const PrefixUpdate& update : this->state.prefix_updates.TakeForDigest(
           rotation, kMaxUpdatesPerDigest)) {
    if (update.dropped) {
      digest.add_dropped_parts(update.part_key);
      digest.add_dropped_engines(ShortKey(update.engine_key));
    } else {
      digest.add_placed_parts(update.part_key);
      digest.add_placed_engines(ShortKey(update.engine_key));
    }
  }
}

void PeerExchange::FillRateLimits(wire::RouterDigest& digest) {
  const TimePoint now = RuntimeClock::now();
  for (std::uint64_t key : this->state.rate_limit_news.TakeForDigest()) {
    const auto engine = this->state.engines.FindByShortKey(ShortKey(key));
    if (engine == nullptr) continue;
    FillRateLimit(*engine, now, *digest.add_rate_limits());
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
    wire::RouterDigest digest;
    if (!digest.ParseFromArray(this->datagram.data(), static_cast<int>(size)) ||
        digest.loads_size() != digest.engine_keys_size() ||
        digest.placed_engines_size() != digest.placed_parts_size() ||
        digest.dropped_engines_size() != digest.dropped_parts_size()) {
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
  }
  contact = {now, true};
  this->state.permits->OnPeerHeard(sender);
  std::vector<EngineLoad> loads;
  for (int n = 0; n < digest.engine_keys_size(); ++n) {
    const auto engine =
        this->state.engines.FindByShortKey(digest.engine_keys(n));
    if (engine != nullptr) loads.push_back({engine->key, digest.loads(n)});
  }
  this->state.peer_load.OnReport(now, digest.router(), digest.incarnation(),
                                 digest.sequence(), loads);
  this->state.watcher_election.OnDigest(now, sender, HashText(sender),
                                        ToWatchReport(digest));
  this->ApplyPlacements(ToSpan(digest.placed_parts()),
                        ToSpan(digest.placed_engines()), false);
  this->ApplyPlacements(ToSpan(digest.dropped_parts()),
                        ToSpan(digest.dropped_engines()), true);
  this->ApplyLeavingEngines(ToSpan(digest.leaving_engines()), sender);
  this->state.OnQuarantineChanges(
      this->state.quarantine.Apply(now, ToQuarantineUpdate(digest, now)),
      sender);
  this->ApplyRateLimits(digest.rate_limits(), sender);
  this->FetchIfBehind(digest, sender);
}

void PeerExchange::ApplyRateLimits(
    const google::protobuf::RepeatedPtrField<wire::RateLimitReport>& reports,
    const std::string& sender) {
  const TimePoint now = RuntimeClock::now();
  for (const wire::RateLimitReport& report : reports) {
    const auto engine = this->state.engines.FindByShortKey(report.engine());
    if (engine == nullptr) continue;
    this->state.OnRateLimitReported(*engine, ToRateLimit(report),
                                    StatedAt(report, now), sender);
  }
}

void PeerExchange::ApplyLeavingEngines(
    std::span<const std::uint32_t> short_keys, const std::string& sender) {
  for (std::uint32_t short_key : short_keys) {
    const auto engine = this->state.engines.FindByShortKey(short_key);
    if (engine == nullptr) continue;
    this->state.OnEngineChanges(this->state.engines.OnLeaving(*engine), sender);
  }
}

bool PeerExchange::UpdateNewestVersions(const wire::RouterDigest& digest) {
  const StoreVersion engines_changed = this->VersionOf(digest);
  if (engines_changed.number > 0) this->state.OnStoreEra(engines_changed.era);
  this->newest_configuration =
      std::max(this->newest_configuration, digest.configuration_version());
  this->newest_engines = std::max(this->newest_engines, engines_changed);
  const bool behind =
      this->newest_configuration > this->state.ConfigurationVersion() ||
      this->newest_engines > this->state.engines.Version();
  this->state.start_up.OnDigest(behind);
  if (!behind) {
    this->behind_since.reset();
    this->state.watcher_election.OnCaughtUp();
    return false;
  }
  if (!this->behind_since) this->behind_since = RuntimeClock::now();
  this->state.watcher_election.OnLagDetected(*this->behind_since);
  return digest.configuration_version() > this->state.ConfigurationVersion() ||
         engines_changed > this->state.engines.Version();
}

void PeerExchange::FetchIfBehind(const wire::RouterDigest& digest,
                                 const std::string& sender) {
  const bool sender_is_newer = this->UpdateNewestVersions(digest);
  // Digests carry only changes of the prefix index, so a newly started router
  // fetches the earlier entries once. It does so after it has received the
  // engines, because entries of unknown engines are discarded.
  const bool needs_prefixes = !this->has_prefixes && this->state.engines_known;
  if (!sender_is_newer && !needs_prefixes) return;
  const bool watches = WatchesStore(this->state.watcher_election.Role());
  const bool waits_for_store =
      watches && this->state.routing_table != nullptr &&
      this->state.unreachable_tables.empty() && this->behind_since &&
      RuntimeClock::now() - *this->behind_since < kWatcherFetchDelay;
  if (waits_for_store || this->fetching) return;
  this->fetching = true;
  asio::co_spawn(this->state.executor, this->FetchSnapshot(sender),
                 asio::detached);
}

Awaitable<void> PeerExchange::FetchSnapshot(std::string peer) {
  auto endpoint = ParseEndpoint(peer);
  wire::SnapshotRequest snapshot_request;
  snapshot_request.set_configuration_version(
      this->state.ConfigurationVersion());
  snapshot_request.set_engines_version(this->state.engines.Version().number);
  snapshot_request.set_store_era(this->state.engines.Version().era);
  snapshot_request.set_without_placements(this->has_prefixes);
  HttpRequest request;
  request.method = "POST";
  request.target = kSnapshotPath;
  request.body = snapshot_request.SerializeAsString();
  auto response =
      co_await this->client.Fetch(endpoint.value(), std::move(request),
                                  ConnectionUse::kFresh, kFetchTimeout);
  this->fetching = false;
  wire::BeliefSnapshot snapshot;
  const bool is_answered = response.has_value() &&
                           response->status == http_status::kOk &&
                           snapshot.ParseFromString(response->body);
  if (!is_answered) {
    Logger::Info("peer_snapshot_failed",
                 {{"peer", peer},
                  {"status", response.has_value()
                                 ? static_cast<std::int64_t>(response->status)
                                 : std::int64_t{0}}});
    co_return;
  }
  this->ApplySnapshot(snapshot, peer);
}

void PeerExchange::ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                                 const std::string& peer) {
  this->state.metrics.Add("peer_snapshots_total");
  this->has_prefixes = this->has_prefixes || this->state.engines_known;
  for (const std::string& router : snapshot.routers()) {
    if (ParseEndpoint(router).has_value()) this->state.peers.insert(router);
  }
  this->state.peers.erase(ToText(this->state.options.peer_address));
  if (!snapshot.configuration().empty()) {
    this->state.ApplyConfiguration(snapshot.configuration(), peer);
  }
  this->ApplyEngines(snapshot, peer);
  const TimePoint now = RuntimeClock::now();
  this->state.OnQuarantineChanges(
      this->state.quarantine.Apply(now, ToQuarantineUpdate(snapshot, now)),
      peer);
  this->ApplyRateLimits(snapshot.rate_limits(), peer);
  this->ApplyPlacements(ToSpan(snapshot.placed_parts()),
                        ToSpan(snapshot.placed_engines()), false);
}

void PeerExchange::ApplyPlacements(std::span<const std::uint64_t> parts,
                                   std::span<const std::uint32_t> short_keys,
                                   bool dropped) {
  const TimePoint now = RuntimeClock::now();
  const std::size_t count = std::min(parts.size(), short_keys.size());
  for (std::size_t n = 0; n < count; ++n) {
    const auto engine = this->state.engines.FindByShortKey(short_keys[n]);
    if (engine == nullptr) continue;
    this->state.prefixes.Apply(now, {parts[n], engine->key, dropped});
  }
}

void PeerExchange::ApplyEngines(const wire::BeliefSnapshot& snapshot,
                                const std::string& peer) {
  const StoreVersion version = this->VersionOf(snapshot);
  if (version.number == 0 || version <= this->state.engines.Version()) return;
  std::vector<EngineRecord> records;
  for (const wire::EngineEntry& entry : snapshot.engines()) {
    records.push_back(ToRecord(entry));
  }
  this->state.engines_known = true;
  const auto changes =
      this->state.engines.OnSnapshot(RuntimeClock::now(), version, records);
  this->state.newest_engine_version =
      std::max(this->state.newest_engine_version, version);
  this->state.OnEngineChanges(changes, peer);
}

Awaitable<void> PeerExchange::ServeSnapshot(HttpExchange& exchange) {
  wire::SnapshotRequest snapshot_request;
  HttpResponse response;
  if (!snapshot_request.ParseFromString(exchange.Request().body)) {
    response.status = http_status::kBadRequest;
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  if (this->serving >= kMaxSnapshotsServed) {
    response.status = http_status::kServiceUnavailable;
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  wire::BeliefSnapshot snapshot;
  snapshot.set_configuration_version(this->state.ConfigurationVersion());
  if (this->state.ConfigurationVersion() >
      snapshot_request.configuration_version()) {
    snapshot.set_configuration(this->state.routing_table_text);
  }
  if (this->state.engines.Version() > this->VersionOf(snapshot_request)) {
    this->FillEngines(snapshot);
  }
  if (!snapshot_request.without_placements())
    this->FillPeersAndPrefixes(snapshot);
  response.headers.Add("Content-Type", "application/octet-stream");
  response.body = snapshot.SerializeAsString();
  ++this->serving;
  co_await exchange.Respond(std::move(response));
  --this->serving;
}

void PeerExchange::FillEngines(wire::BeliefSnapshot& snapshot) const {
  snapshot.set_engines_version(this->state.engines.Version().number);
  snapshot.set_store_era(this->state.engines.Version().era);
  for (const EngineRecord& record : this->state.engines.Listed()) {
    FillEntry(record, *snapshot.add_engines());
  }
}

void PeerExchange::FillPeersAndPrefixes(wire::BeliefSnapshot& snapshot) const {
  for (const std::string& peer : this->state.peers) {
    snapshot.add_routers(peer);
  }
  const TimePoint now = RuntimeClock::now();
  for (const QuarantinedParts& quarantined :
       this->state.quarantine.Quarantined()) {
    FillReport(quarantined, now, *snapshot.add_quarantines());
  }
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    if (!engine->rate_limit.IsActive()) continue;
    FillRateLimit(*engine, now, *snapshot.add_rate_limits());
  }
  for (const PrefixUpdate& update :
       this->state.prefixes.Snapshot(now, kMaxPrefixesPerSnapshot)) {
    snapshot.add_placed_parts(update.part_key);
    snapshot.add_placed_engines(ShortKey(update.engine_key));
  }
}

}  // namespace dandelionscale::internal
