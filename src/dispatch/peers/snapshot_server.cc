#include "dispatch/peers/snapshot_server.h"

#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "dispatch/peers/snapshot_versions.h"
#include "dispatch/traffic.h"

namespace dandelionscale::internal {

namespace {

// Smaller responses, such as changes of the list, are sent at any time.
constexpr std::size_t kMaxSmallSnapshotBytes = 16 * 1024;
// Each entry of the prefix index takes 12 bytes of the snapshot.
constexpr std::size_t kMaxPrefixesPerSnapshot = 20'000;
// What the system keeps of a response that a slow link has not taken yet.
constexpr std::size_t kSendBufferBytes = 64 * 1024;
// Time for a response, besides that at the least rate of a transfer. A peer
// that takes nothing must not keep others from being served.
constexpr Duration kWriteTimeout = std::chrono::milliseconds(600);

}  // namespace

SnapshotServer::SnapshotServer(DispatchState& state)
    : state(state),
      server(state.executor,
             {.send_buffer_bytes = kSendBufferBytes,
              .write_timeout = kWriteTimeout,
              .min_write_rate = kMinTransferRate},
             [this](HttpExchange& exchange) { return this->Serve(exchange); }),
      budget(state.options.link_mbps) {}

Result<void> SnapshotServer::Start() {
  auto bound = this->server.Listen(this->state.options.peer_address);
  if (bound.has_error()) return bound.error();
  return {};
}

Awaitable<void> SnapshotServer::Serve(HttpExchange& exchange) {
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
    this->FillConfiguration(snapshot_request, snapshot);
  }
  const std::size_t configuration_size = snapshot.ByteSizeLong();
  if (this->state.engines.Version() >
      EnginesVersionOf(this->state, snapshot_request)) {
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
  const std::size_t size = response.body.size();
  const bool is_large = size > kMaxSmallSnapshotBytes;
  if (is_large && !this->budget.Admits(size)) {
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
            size - size_with_engines);
  if (is_large) this->budget.OnBegin(size);
  co_await exchange.Respond(std::move(response));
  if (is_large) this->budget.OnEnd(size);
}

Awaitable<void> SnapshotServer::Refuse(HttpExchange& exchange) {
  this->state.metrics.Add("peer_snapshots_refused_total");
  HttpResponse response;
  response.status = http_status::kServiceUnavailable;
  co_await exchange.Respond(std::move(response));
}

bool SnapshotServer::CanSupply(TimePoint now) const {
  return this->state.HasRows() && this->state.IsViewCurrent(now);
}

bool SnapshotServer::Refuses(const wire::SnapshotRequest& request,
                             TimePoint now) const {
  if (request.is_start_up() && !this->CanSupply(now)) return true;
  const bool is_small =
      request.accepts_changes() && request.without_placements();
  return !is_small && !this->budget.Admits(kMaxSmallSnapshotBytes);
}

void SnapshotServer::FillConfiguration(const wire::SnapshotRequest& request,
                                       wire::BeliefSnapshot& snapshot) {
  ConfigurationHistory& history = this->state.configurations;
  if (request.accepts_compressed()) {
    const EncodedConfiguration& encoded =
        history.Encode(request.has_configuration_hash()
                           ? std::optional(request.configuration_hash())
                           : std::nullopt);
    if (!encoded.frame.empty()) {
      snapshot.set_compressed_configuration(encoded.frame);
      snapshot.set_configuration_hash(history.CurrentHash());
      if (encoded.base_hash) snapshot.set_base_hash(*encoded.base_hash);
      return;
    }
  }
  const std::string_view text = history.Current();
  snapshot.set_configuration(text.data(), text.size());
}

void SnapshotServer::FillEngines(const wire::SnapshotRequest& request,
                                 wire::BeliefSnapshot& snapshot) const {
  snapshot.set_engines_version(this->state.engines.Version().number);
  snapshot.set_store_era(this->state.engines.Version().era);
  const TimePoint now = RuntimeClock::now();
  std::optional<std::vector<EngineUpdate>> updates;
  if (request.accepts_changes()) {
    updates = this->state.engines.ChangesSince(
        now, EnginesVersionOf(this->state, request));
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

void SnapshotServer::FillViewAge(wire::BeliefSnapshot& snapshot) const {
  const auto age = this->state.watcher_election.ViewAge(RuntimeClock::now());
  if (!age) return;
  snapshot.set_view_age_ms(static_cast<std::uint32_t>(ToMilliseconds(*age)));
}

void SnapshotServer::FillPeers(wire::BeliefSnapshot& snapshot) const {
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

void SnapshotServer::FillPrefixes(wire::BeliefSnapshot& snapshot) const {
  const TimePoint now = RuntimeClock::now();
  FillPlacements(this->state.prefixes.Snapshot(now, kMaxPrefixesPerSnapshot),
                 snapshot);
}

}  // namespace dandelionscale::internal
