#include "dispatch/peers/snapshot_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/core/engine_record_check.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_status.h"
#include "dandelionscale/transport/remote_endpoint.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "dispatch/traffic.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;

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
// Each entry of the prefix index takes 12 bytes of the snapshot.
constexpr std::size_t kMaxPrefixesPerSnapshot = 20'000;
// Limit of a snapshot, several times the size of one of a large fleet.
constexpr std::size_t kMaxSnapshotBytes = 4 * 1024 * 1024;
constexpr std::string_view kSnapshotPath = "/snapshot";

}  // namespace

SnapshotExchange::SnapshotExchange(DispatchState& state)
    : state(state),
      server(state.executor, HttpServerLimits(),
             [this](HttpExchange& exchange) {
               return this->ServeSnapshot(exchange);
             }),
      client(state.executor, nullptr, {.body_bytes = kMaxSnapshotBytes}) {}

Result<void> SnapshotExchange::Start() {
  auto bound = this->server.Listen(this->state.options.peer_address);
  if (bound.has_error()) return bound.error();
  return {};
}

template <typename Message>
std::uint64_t SnapshotExchange::EraOf(const Message& message) const {
  return message.has_store_era() ? message.store_era()
                                 : this->state.engines.InitialEra();
}

StoreVersion SnapshotExchange::VersionOf(
    const wire::RouterDigest& digest) const {
  return {this->EraOf(digest), digest.engines_changed()};
}

StoreVersion SnapshotExchange::VersionOf(
    const wire::SnapshotRequest& request) const {
  return {this->EraOf(request), request.engines_version()};
}

StoreVersion SnapshotExchange::VersionOf(
    const wire::BeliefSnapshot& snapshot) const {
  return {this->EraOf(snapshot), snapshot.engines_version()};
}

bool SnapshotExchange::UpdateNewestVersions(const wire::RouterDigest& digest) {
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

void SnapshotExchange::OnDigest(const wire::RouterDigest& digest,
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

Awaitable<void> SnapshotExchange::FetchSnapshot(std::string peer) {
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

void SnapshotExchange::ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                                     const std::string& peer) {
  this->state.metrics.Add("peer_snapshots_total");
  this->has_prefixes = this->has_prefixes || this->state.engines_known;
  for (const std::string& router : snapshot.routers()) {
    if (ParseRemoteEndpoint(router).has_value()) {
      this->state.peers.insert(router);
    }
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
  ApplyRateLimits(this->state, snapshot.rate_limits(), peer);
  ApplyPlacements(this->state, ToSpan(snapshot.placed_parts()),
                  ToSpan(snapshot.placed_engines()), false);
}

void SnapshotExchange::ApplyEngines(const wire::BeliefSnapshot& snapshot,
                                    const std::string& peer) {
  const StoreVersion version = this->VersionOf(snapshot);
  if (version.number == 0 || version <= this->state.engines.Version()) return;
  std::vector<EngineRecord> records;
  for (const wire::EngineEntry& entry : snapshot.engines()) {
    EngineRecord record = ToRecord(entry);
    if (!FindInvalidMember(record).empty()) {
      this->state.metrics.Add("peer_engine_entries_malformed_total");
      continue;
    }
    records.push_back(std::move(record));
  }
  this->state.engines_known = true;
  const auto changes =
      this->state.engines.OnSnapshot(RuntimeClock::now(), version, records);
  this->state.newest_engine_version =
      std::max(this->state.newest_engine_version, version);
  this->state.OnEngineChanges(changes, peer);
}

Awaitable<void> SnapshotExchange::ServeSnapshot(HttpExchange& exchange) {
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
  Metrics& metrics = this->state.metrics;
  wire::BeliefSnapshot snapshot;
  snapshot.set_configuration_version(this->state.ConfigurationVersion());
  if (this->state.ConfigurationVersion() >
      snapshot_request.configuration_version()) {
    snapshot.set_configuration(this->state.routing_table_text);
  }
  const std::size_t configuration_size = snapshot.ByteSizeLong();
  if (this->state.engines.Version() > this->VersionOf(snapshot_request)) {
    this->FillEngines(snapshot);
  }
  const std::size_t size_with_engines = snapshot.ByteSizeLong();
  if (!snapshot_request.without_placements())
    this->FillPeersAndPrefixes(snapshot);
  response.headers.Add("Content-Type", "application/octet-stream");
  response.body = snapshot.SerializeAsString();
  CountSent(metrics, PeerTraffic::kSnapshotConfiguration, configuration_size);
  CountSent(metrics, PeerTraffic::kSnapshotEngines,
            size_with_engines - configuration_size);
  CountSent(metrics, PeerTraffic::kSnapshotPrefixes,
            response.body.size() - size_with_engines);
  ++this->serving;
  co_await exchange.Respond(std::move(response));
  --this->serving;
}

void SnapshotExchange::FillEngines(wire::BeliefSnapshot& snapshot) const {
  snapshot.set_engines_version(this->state.engines.Version().number);
  snapshot.set_store_era(this->state.engines.Version().era);
  for (const EngineRecord& record : this->state.engines.Listed()) {
    FillEntry(record, *snapshot.add_engines());
  }
}

void SnapshotExchange::FillPeersAndPrefixes(
    wire::BeliefSnapshot& snapshot) const {
  for (const std::string& peer : this->state.peers) {
    snapshot.add_routers(peer);
  }
  const TimePoint now = RuntimeClock::now();
  for (const BlockedKeys& blocked : this->state.quarantine.Blocked()) {
    FillReport(blocked, now, *snapshot.add_quarantines());
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
