#include "dispatch/peers/snapshot_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

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
// Until a response begins.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(600);
// The same for whole lists and prefix indexes, which a peer has to put
// together.
constexpr Duration kLargeFetchTimeout = std::chrono::milliseconds(1500);
// A starting router asks a further peer after each interval, while at most so
// many have not responded.
constexpr Duration kAskInterval = std::chrono::milliseconds(50);
constexpr int kMaxAsksAtStart = 3;
// Snapshot responses that a router sends at the same time; further requests get
// status 503. A refused router fetches from the sender of a later digest, which
// is often a router that has fetched a snapshot in the meantime. This keeps the
// network link of a host from overload when many routers are behind.
constexpr int kMaxSnapshotsServed = 4;
// Smaller responses, such as changes of the list, do not count.
constexpr std::size_t kMaxSmallSnapshotBytes = 16 * 1024;
// Each entry of the prefix index takes 12 bytes of the snapshot.
constexpr std::size_t kMaxPrefixesPerSnapshot = 20'000;
// Limit of a snapshot, several times the size of one of a large fleet.
constexpr std::size_t kMaxSnapshotBytes = 4 * 1024 * 1024;
constexpr std::string_view kSnapshotPath = "/snapshot";

// Takes the time of the transfer off the warm-ups that a snapshot states. Else
// each slow transfer would extend them for the whole fleet.
void DiscountWarmUps(Duration transfer_time, wire::BeliefSnapshot& snapshot) {
  const std::int64_t late_ms =
      ToMilliseconds(transfer_time - EngineWarmUp::kTolerance);
  if (late_ms <= 0) return;
  const auto discounted = [late_ms](std::uint32_t left_ms) {
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(std::int64_t{left_ms} - late_ms, 0));
  };
  for (wire::EngineEntry& entry : *snapshot.mutable_engines()) {
    if (!entry.has_warm_up_left_ms()) continue;
    entry.set_warm_up_left_ms(discounted(entry.warm_up_left_ms()));
  }
  for (wire::RateLimitReport& report : *snapshot.mutable_rate_limits()) {
    if (!report.has_warm_up_left_ms()) continue;
    report.set_warm_up_left_ms(discounted(report.warm_up_left_ms()));
  }
}

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
  asio::co_spawn(this->state.executor, this->AskPeersAtStart(), asio::detached);
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

void SnapshotExchange::ObserveLag(TimePoint now) {
  constexpr int kLateDivisor = 2;
  const std::uint64_t version = this->state.ConfigurationVersion();
  const bool is_late =
      this->behind_since && this->newest_configuration > version &&
      now - *this->behind_since >
          this->state.options.configuration_bound / kLateDivisor;
  if (!is_late || this->logged_late_version == this->newest_configuration) {
    return;
  }
  this->logged_late_version = this->newest_configuration;
  const WatchRole role = this->state.watcher_election.Role();
  Logger::Warning(
      "configuration_behind",
      {{"version", static_cast<std::int64_t>(version)},
       {"newest", static_cast<std::int64_t>(this->newest_configuration)},
       {"behind_ms", ToMilliseconds(now - *this->behind_since)},
       {"waits_for", this->fetching       ? std::string_view("peer")
                     : WatchesStore(role) ? std::string_view("store")
                                          : std::string_view("digest")},
       {"peer", this->fetched_from},
       {"bytes", static_cast<std::int64_t>(this->fetch_progress.bytes)},
       {"role", ToString(role)}});
}

bool SnapshotExchange::HasRows() const {
  return this->state.engines_known && this->state.routing_table != nullptr;
}

RowVersions SnapshotExchange::OwnVersions() const {
  return {this->state.ConfigurationVersion(), this->state.engines.Version()};
}

void SnapshotExchange::OnDigest(const wire::RouterDigest& digest,
                                const std::string& sender) {
  const TimePoint now = RuntimeClock::now();
  const bool is_own_zone = !this->state.IsInOtherZone(sender);
  if (this->UpdateNewestVersions(digest)) {
    this->sources.OnNewer(
        now, sender, {digest.configuration_version(), this->VersionOf(digest)},
        is_own_zone, this->CrossZoneWait());
  }
  this->ObserveLag(now);
  this->FetchFromSources();
  // Digests carry only changes of the prefix index, so a newly started router
  // fetches the earlier entries once. It does so after it has received the
  // engines, because entries of unknown engines are discarded.
  const bool needs_prefixes = !this->has_prefixes && this->state.engines_known;
  if (!needs_prefixes || this->fetching || now < this->MayFetchAt(now)) return;
  if (!is_own_zone && this->HearsOwnZone()) return;
  this->fetching = true;
  asio::co_spawn(this->state.executor, this->FetchSnapshot(sender, true),
                 asio::detached);
}

Duration SnapshotExchange::CrossZoneWait() {
  if (this->state.IsZoneFetcher()) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kOwnZoneWait) * (1 + this->state.Random()));
}

bool SnapshotExchange::HearsOwnZone() const {
  return std::any_of(this->state.live_peers.begin(),
                     this->state.live_peers.end(), [this](const auto& peer) {
                       return peer.second.has_sent_digest &&
                              peer.second.zone_key == this->state.zone_key;
                     });
}

TimePoint SnapshotExchange::MayFetchAt(TimePoint now) const {
  const bool watches = WatchesStore(this->state.watcher_election.Role());
  const bool waits_for_store = watches &&
                               this->state.routing_table != nullptr &&
                               this->state.unreachable_tables.empty();
  if (!waits_for_store || !this->behind_since) return now;
  return std::max(now, *this->behind_since + kWatcherFetchDelay);
}

void SnapshotExchange::FetchFromSources() {
  const TimePoint now = RuntimeClock::now();
  this->sources.OnVersions(this->OwnVersions());
  const auto next = this->sources.NextAt();
  if (!next || this->fetching) return;
  const TimePoint at = std::max(*next, this->MayFetchAt(now));
  if (at > now) {
    if (this->fetch_is_due) return;
    this->fetch_is_due = true;
    asio::co_spawn(this->state.executor, this->FetchLater(at), asio::detached);
    return;
  }
  auto peer = this->sources.Take(now);
  if (!peer) return;
  this->fetching = true;
  const bool with_prefixes =
      !this->has_prefixes &&
      (this->state.engines_known || !this->state.IsLargeFleet()) &&
      (!this->state.IsInOtherZone(*peer) || !this->HearsOwnZone());
  asio::co_spawn(this->state.executor,
                 this->FetchSnapshot(std::move(*peer), with_prefixes),
                 asio::detached);
}

Awaitable<void> SnapshotExchange::FetchLater(TimePoint at) {
  const Duration wait = at - RuntimeClock::now();
  co_await SleepFor(wait);
  this->fetch_is_due = false;
  this->FetchFromSources();
}

wire::SnapshotRequest SnapshotExchange::MakeRequest(bool with_prefixes) const {
  wire::SnapshotRequest request;
  request.set_configuration_version(this->state.ConfigurationVersion());
  request.set_engines_version(this->state.engines.Version().number);
  request.set_store_era(this->state.engines.Version().era);
  request.set_without_placements(!with_prefixes);
  request.set_accepts_changes(!this->needs_whole_list &&
                              this->state.engines.AcceptsChanges());
  // Only a peer whose own view is current may stand in for the store.
  request.set_is_start_up(this->state.IsLargeFleet() && !this->HasRows());
  return request;
}

Awaitable<Result<wire::BeliefSnapshot>> SnapshotExchange::Ask(
    std::string peer, wire::SnapshotRequest request,
    TransferProgress& progress) {
  const TimePoint asked_at = RuntimeClock::now();
  auto endpoint = ParseEndpoint(peer);
  if (endpoint.has_error()) co_return endpoint.error();
  const bool is_small =
      request.accepts_changes() && request.without_placements();
  HttpRequest http_request;
  http_request.method = "POST";
  http_request.target = kSnapshotPath;
  http_request.body = request.SerializeAsString();
  const TransferLimits limits{is_small ? kFetchTimeout : kLargeFetchTimeout};
  auto response =
      co_await this->client.Fetch(endpoint.value(), std::move(http_request),
                                  ConnectionUse::kFresh, limits, &progress);
  if (response.has_error()) {
    this->state.metrics.Add(
        fmt::format("peer_snapshot_bytes_discarded_total{{reason=\"{}\"}}",
                    ToString(response.error().kind)),
        progress.bytes);
    co_return response.error();
  }
  const bool is_cross_zone = this->state.IsInOtherZone(peer);
  this->state.metrics.Add(
      is_cross_zone ? "peer_snapshot_bytes_received_total{zone=\"other\"}"
                    : "peer_snapshot_bytes_received_total{zone=\"own\"}",
      response->body.size());
  wire::BeliefSnapshot snapshot;
  if (response->status != http_status::kOk) {
    co_return Fault{FaultKind::kUnexpectedStatus,
                    std::to_string(response->status)};
  }
  if (!snapshot.ParseFromString(response->body)) {
    co_return Fault{FaultKind::kMalformedMessage, "no snapshot"};
  }
  const Duration transfer_time = RuntimeClock::now() - asked_at;
  if (!snapshot.configuration().empty()) {
    Logger::Info("configuration_received",
                 {{"version",
                   static_cast<std::int64_t>(snapshot.configuration_version())},
                  {"peer", peer},
                  {"bytes", static_cast<std::int64_t>(progress.bytes)},
                  {"took_ms", ToMilliseconds(transfer_time)}});
  }
  DiscountWarmUps(transfer_time, snapshot);
  co_return std::move(snapshot);
}

Awaitable<void> SnapshotExchange::FetchSnapshot(std::string peer,
                                                bool with_prefixes) {
  const TimePoint asked_at = RuntimeClock::now();
  this->fetched_from = peer;
  this->fetch_progress = {0, asked_at};
  auto snapshot = co_await this->Ask(peer, this->MakeRequest(with_prefixes),
                                     this->fetch_progress);
  this->fetching = false;
  if (snapshot.has_value()) {
    this->ApplySnapshot(snapshot.value(), peer);
    this->has_prefixes =
        this->has_prefixes || (with_prefixes && this->state.engines_known);
  } else {
    const Fault& fault = snapshot.error();
    Logger::Info(
        "peer_snapshot_failed",
        {{"peer", peer},
         {"fault", ToString(fault.kind)},
         {"detail", fault.detail},
         {"bytes", static_cast<std::int64_t>(this->fetch_progress.bytes)},
         {"took_ms", ToMilliseconds(RuntimeClock::now() - asked_at)}});
  }
  this->FetchFromSources();
}

Awaitable<void> SnapshotExchange::AskPeersAtStart() {
  StartUpSource& source = this->state.start_up_source;
  while (!source.IsDecided()) {
    co_await this->state.start_up_source_changed.Wait();
  }
  std::vector<std::string> peers(this->state.peers.begin(),
                                 this->state.peers.end());
  if (peers.empty()) co_return;
  // In a random order, so that routers that start together ask different peers
  // and supply each other.
  std::shuffle(
      peers.begin(), peers.end(),
      std::minstd_rand(static_cast<std::uint32_t>(this->state.RandomBits())));
  for (std::size_t n = 0; source.AsksPeers() && !this->HasRows(); ++n) {
    if (this->asks_at_start < kMaxAsksAtStart) {
      ++this->asks_at_start;
      asio::co_spawn(this->state.executor,
                     this->AskAtStart(peers[n % peers.size()]), asio::detached);
    }
    const Duration interval = kAskInterval;
    co_await SleepFor(interval);
  }
}

Awaitable<void> SnapshotExchange::AskAtStart(std::string peer) {
  const TimePoint asked_at = RuntimeClock::now();
  wire::SnapshotRequest request = this->MakeRequest(false);
  request.set_is_start_up(true);
  TransferProgress progress;
  auto snapshot = co_await this->Ask(peer, std::move(request), progress);
  --this->asks_at_start;
  const bool has_answered =
      snapshot.has_value() ||
      snapshot.error().kind == FaultKind::kUnexpectedStatus;
  if (has_answered) this->state.start_up_source.OnPeerAnswered();
  if (snapshot.has_error()) co_return;
  const bool had_rows = this->HasRows();
  this->ApplySnapshot(snapshot.value(), peer);
  if (had_rows || !this->HasRows()) co_return;
  if (!snapshot->has_view_age_ms()) co_return;
  const std::chrono::milliseconds view_age(snapshot->view_age_ms());
  this->state.watcher_election.OnPeerSupplied(asked_at - view_age);
}

void SnapshotExchange::ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                                     const std::string& peer) {
  this->state.metrics.Add("peer_snapshots_total");
  const bool had_rows = this->HasRows();
  for (const std::string& router : snapshot.routers()) {
    if (ParseRemoteEndpoint(router).has_value()) {
      this->state.peers.insert(router);
    }
  }
  this->state.peers.erase(ToText(this->state.options.peer_address));
  if (!snapshot.configuration().empty()) {
    this->state.ApplyConfiguration(snapshot.configuration(), peer);
  }
  // Before the engines, which may complete the start of this router.
  ApplyEvacuation(this->state, snapshot, peer);
  this->ApplyEngines(snapshot, peer);
  // Only a peer that states the age of its view has found it to be current.
  if (!had_rows && this->HasRows() && snapshot.has_view_age_ms()) {
    Logger::Info("started_from_peer", {{"peer", peer}});
    this->state.start_up_source.OnPeerSupplied();
    this->state.start_up_source_changed.NotifyAll();
  }
  const TimePoint now = RuntimeClock::now();
  this->state.OnQuarantineChanges(
      this->state.quarantine.Apply(now, ToQuarantineUpdate(snapshot, now)),
      peer);
  ApplyRateLimits(this->state, snapshot.rate_limits(), peer);
  ApplyPlacements(this->state, ToSpan(snapshot.placed_parts()),
                  ToSpan(snapshot.placed_engines()),
                  PartsForAllZones(snapshot));
}

void SnapshotExchange::ApplyEngines(const wire::BeliefSnapshot& snapshot,
                                    const std::string& peer) {
  const StoreVersion version = this->VersionOf(snapshot);
  if (version.number == 0 || version <= this->state.engines.Version()) return;
  if (snapshot.engines_are_changes()) {
    this->ApplyEngineChanges(snapshot, version, peer);
    return;
  }
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
  this->needs_whole_list = false;
  this->OnEnginesApplied(version, changes, peer);
}

void SnapshotExchange::ApplyEngineChanges(const wire::BeliefSnapshot& snapshot,
                                          StoreVersion version,
                                          const std::string& peer) {
  std::vector<EngineUpdate> updates;
  for (const wire::EngineEntry& entry : snapshot.engines()) {
    EngineRecord record = ToRecord(entry);
    if (!FindInvalidMember(record).empty()) {
      this->state.metrics.Add("peer_engine_entries_malformed_total");
      continue;
    }
    updates.push_back({record.id, false, std::move(record)});
  }
  for (const std::string& id : snapshot.removed_engines()) {
    updates.push_back({id, true, {}});
  }
  const auto changes = this->state.engines.OnPeerChanges(
      RuntimeClock::now(), version, updates, snapshot.list_hash());
  if (!changes) {
    this->needs_whole_list = true;
    this->state.metrics.Add("peer_engine_changes_refused_total");
    Logger::Info("peer_engine_changes_refused",
                 {{"peer", peer},
                  {"version", static_cast<std::int64_t>(version.number)}});
    // The same peer can send its whole list at once.
    this->sources.OnNewer(RuntimeClock::now(), peer, {0, version},
                          !this->state.IsInOtherZone(peer), Duration::zero());
    return;
  }
  this->state.metrics.Add("peer_engine_changes_applied_total");
  this->OnEnginesApplied(version, *changes, peer);
}

void SnapshotExchange::OnEnginesApplied(
    StoreVersion version, const std::vector<EngineChange>& changes,
    const std::string& peer) {
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
  if (this->Refuses(snapshot_request, RuntimeClock::now())) {
    co_await this->Refuse(exchange);
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
    this->FillEngines(snapshot_request, snapshot);
  }
  FillEvacuation(this->state, snapshot);
  const std::size_t size_with_engines = snapshot.ByteSizeLong();
  const bool has_prefixes = !snapshot_request.without_placements();
  const bool has_no_list = snapshot_request.engines_version() == 0;
  if (has_no_list || has_prefixes) this->FillPeers(snapshot);
  if (has_prefixes) this->FillPrefixes(snapshot);
  if (this->CanSupply(RuntimeClock::now())) this->FillViewAge(snapshot);
  response.body = snapshot.SerializeAsString();
  const bool is_large = response.body.size() > kMaxSmallSnapshotBytes;
  if (is_large && this->serving >= kMaxSnapshotsServed) {
    co_await this->Refuse(exchange);
    co_return;
  }
  response.headers.Add("Content-Type", "application/octet-stream");
  const PeerZone zone = this->state.ZoneOfHost(exchange.ClientIp());
  CountSent(metrics, PeerTraffic::kSnapshotConfiguration, zone,
            configuration_size);
  CountSent(metrics, PeerTraffic::kSnapshotEngines, zone,
            size_with_engines - configuration_size);
  CountSent(metrics, PeerTraffic::kSnapshotPrefixes, zone,
            response.body.size() - size_with_engines);
  if (is_large) ++this->serving;
  co_await exchange.Respond(std::move(response));
  if (is_large) --this->serving;
}

Awaitable<void> SnapshotExchange::Refuse(HttpExchange& exchange) {
  this->state.metrics.Add("peer_snapshots_refused_total");
  HttpResponse response;
  response.status = http_status::kServiceUnavailable;
  co_await exchange.Respond(std::move(response));
}

bool SnapshotExchange::CanSupply(TimePoint now) const {
  return this->HasRows() && this->state.IsViewCurrent(now);
}

bool SnapshotExchange::Refuses(const wire::SnapshotRequest& request,
                               TimePoint now) const {
  if (request.is_start_up() && !this->CanSupply(now)) return true;
  const bool is_small =
      request.accepts_changes() && request.without_placements();
  return !is_small && this->serving >= kMaxSnapshotsServed;
}

void SnapshotExchange::FillEngines(const wire::SnapshotRequest& request,
                                   wire::BeliefSnapshot& snapshot) const {
  snapshot.set_engines_version(this->state.engines.Version().number);
  snapshot.set_store_era(this->state.engines.Version().era);
  const TimePoint now = RuntimeClock::now();
  std::optional<std::vector<EngineUpdate>> updates;
  if (request.accepts_changes()) {
    updates = this->state.engines.ChangesSince(now, this->VersionOf(request));
  }
  if (updates) {
    snapshot.set_engines_are_changes(true);
    snapshot.set_list_hash(this->state.engines.ListHash());
    for (const EngineUpdate& update : *updates) {
      if (update.removed) {
        snapshot.add_removed_engines(update.id);
      } else {
        FillEntry(update.record, *snapshot.add_engines());
      }
    }
    return;
  }
  for (const EngineRecord& record : this->state.engines.Listed(now)) {
    FillEntry(record, *snapshot.add_engines());
  }
}

void SnapshotExchange::FillViewAge(wire::BeliefSnapshot& snapshot) const {
  const auto age = this->state.watcher_election.ViewAge(RuntimeClock::now());
  if (!age) return;
  snapshot.set_view_age_ms(static_cast<std::uint32_t>(ToMilliseconds(*age)));
}

void SnapshotExchange::FillPeers(wire::BeliefSnapshot& snapshot) const {
  for (const std::string& peer : this->state.peers) {
    snapshot.add_routers(peer);
  }
  const TimePoint now = RuntimeClock::now();
  for (const BlockedKeys& blocked : this->state.quarantine.Blocked()) {
    FillReport(blocked, now, *snapshot.add_quarantines());
  }
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    if (!this->state.RateOf(*engine, now)) continue;
    FillRateLimit(*engine, now, *snapshot.add_rate_limits());
  }
}

void SnapshotExchange::FillPrefixes(wire::BeliefSnapshot& snapshot) const {
  const TimePoint now = RuntimeClock::now();
  FillPlacements(this->state.prefixes.Snapshot(now, kMaxPrefixesPerSnapshot),
                 snapshot);
}

}  // namespace dandelionscale::internal
