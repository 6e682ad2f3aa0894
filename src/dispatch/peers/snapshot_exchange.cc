#include "dispatch/peers/snapshot_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/snapshot_versions.h"

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
// A router that is behind counts as supplied by its peers for this time at
// most.
constexpr Duration kMaxSupplyTime = std::chrono::milliseconds(800);
// A starting router asks a further peer after each interval, while at most so
// many have not responded.
constexpr Duration kAskInterval = std::chrono::milliseconds(50);
constexpr int kMaxAsksAtStart = 3;
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
      server(state),
      client(state.executor, nullptr, {.body_bytes = kMaxSnapshotBytes}) {}

Result<void> SnapshotExchange::Start() {
  auto started = this->server.Start();
  if (started.has_error()) return started.error();
  asio::co_spawn(this->state.executor, this->AskPeersAtStart(), asio::detached);
  return {};
}

bool SnapshotExchange::UpdateNewestVersions(const wire::RouterDigest& digest) {
  const RowVersions heard{digest.configuration_version(),
                          EnginesVersionOf(this->state, digest)};
  if (heard.engines.number > 0) this->state.OnStoreEra(heard.engines.era);
  const RowVersions own = OwnVersions(this->state);
  this->lag.OnHeard(RuntimeClock::now(), heard);
  this->lag.OnOwn(own);
  const auto behind_since = this->lag.Since();
  this->state.start_up.OnDigest(behind_since.has_value());
  if (!behind_since) {
    this->state.watcher_election.OnCaughtUp();
    return false;
  }
  // A peer that is still sending supplies this router.
  const TimePoint supplied_at =
      std::min(this->fetch_progress.last_at, *behind_since + kMaxSupplyTime);
  this->state.watcher_election.OnLagDetected(
      std::max(*behind_since, supplied_at));
  return heard.IsNewerThan(own);
}

void SnapshotExchange::ObserveLag(TimePoint now) {
  constexpr int kLateDivisor = 2;
  const std::uint64_t version = this->state.ConfigurationVersion();
  const std::uint64_t newest = this->lag.Newest().configuration;
  const auto behind_since = this->lag.Since();
  const bool is_late =
      behind_since && newest > version &&
      now - *behind_since >
          this->state.options.configuration_bound / kLateDivisor;
  if (!is_late || this->logged_late_version == newest) return;
  this->logged_late_version = newest;
  const WatchRole role = this->state.watcher_election.Role();
  Logger::Warning(
      "configuration_behind",
      {{"version", static_cast<std::int64_t>(version)},
       {"newest", static_cast<std::int64_t>(newest)},
       {"behind_ms", ToMilliseconds(now - *behind_since)},
       {"waits_for", this->fetching       ? std::string_view("peer")
                     : WatchesStore(role) ? std::string_view("store")
                                          : std::string_view("digest")},
       {"peer", this->fetched_from},
       {"bytes", static_cast<std::int64_t>(this->fetch_progress.bytes)},
       {"role", ToString(role)}});
}

void SnapshotExchange::OnDigest(const wire::RouterDigest& digest,
                                const std::string& sender) {
  const TimePoint now = RuntimeClock::now();
  const bool is_own_zone = !this->state.IsInOtherZone(sender);
  if (this->UpdateNewestVersions(digest)) {
    this->sources.OnNewer(
        now, sender,
        {digest.configuration_version(), EnginesVersionOf(this->state, digest)},
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
  const auto behind_since = this->lag.Since();
  if (!waits_for_store || !behind_since) return now;
  return std::max(now, *behind_since + kWatcherFetchDelay);
}

void SnapshotExchange::FetchFromSources() {
  const TimePoint now = RuntimeClock::now();
  this->sources.OnVersions(OwnVersions(this->state));
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
  request.set_accepts_compressed(!this->needs_whole_configuration);
  if (this->state.routing_table != nullptr) {
    request.set_configuration_hash(this->state.configurations.CurrentHash());
  }
  request.set_accepts_changes(!this->needs_whole_list &&
                              this->state.engines.AcceptsChanges());
  // Only a peer whose own view is current may stand in for the store.
  request.set_is_start_up(this->state.IsLargeFleet() && !this->state.HasRows());
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
  const bool has_configuration = !snapshot.configuration().empty() ||
                                 !snapshot.compressed_configuration().empty();
  if (has_configuration) {
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
  this->fetch_progress = {};
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
  for (std::size_t n = 0; source.AsksPeers() && !this->state.HasRows(); ++n) {
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
  const bool had_rows = this->state.HasRows();
  this->ApplySnapshot(snapshot.value(), peer);
  if (had_rows || !this->state.HasRows()) co_return;
  if (!snapshot->has_view_age_ms()) co_return;
  const std::chrono::milliseconds view_age(snapshot->view_age_ms());
  this->state.watcher_election.OnPeerSupplied(asked_at - view_age);
}

}  // namespace dandelionscale::internal
