#include "dispatch/dispatch_state.h"

#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"
#include "dispatch/engine_reports.h"
#include "dispatch/peers/origin_exchange.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/request/request_dispatch.h"
#include "dispatch/store/version_reader.h"
#include "tunnel/tunnel_peers.h"

namespace dandelionscale::internal {
namespace {

// Entries of the prefix index; about 100 bytes each.
constexpr std::size_t kMaxPrefixEntries = 20'000;
// Bodies of requests may use 1/3 of the memory limit.
constexpr std::size_t kRequestMemoryDivisor = 3;
// Buffered responses of engines may use 1/4 of the memory limit.
constexpr std::size_t kResponseMemoryDivisor = 4;
// If the event loop has not run for longer, the process was paused.
constexpr Duration kMaxLoopLag = std::chrono::milliseconds(300);
// Peers may count a router as lost that did not run for this time.
constexpr Duration kMinTakeoverStall = std::chrono::milliseconds(1000);
// After a pause, the requests that arrived meanwhile are read within this time.
constexpr Duration kBacklogTime = std::chrono::milliseconds(50);
// Views of the store that are older may miss a version at which streams have
// begun and broken off since.
constexpr Duration kMaxViewAge = std::chrono::milliseconds(1500);
// A router that has heard of no peer for longer may be cut off.
constexpr Duration kMaxPeerSilence = std::chrono::milliseconds(1000);
// Number of routers that is assumed until a peer has been discovered.
constexpr std::size_t kAssumedRouters = 8;
// For this time digests name an engine that has begun to drain, so that peers
// know of it before they have fetched the change of the list.
constexpr Duration kDrainNewsTime = std::chrono::seconds(2);

}  // namespace

DispatchState::DispatchState(boost::asio::any_io_executor executor,
                             DispatchOptions options,
                             std::shared_ptr<const ProtocolCodec> codec)
    : executor(executor),
      started_at(RuntimeClock::now()),
      options(std::move(options)),
      zone_key(ShortKey(HashText(this->options.availability_zone))),
      codec(std::move(codec)),
      start_up(this->started_at),
      start_up_source(this->started_at,
                      HashText(ToText(this->options.peer_address)),
                      this->options.min_large_fleet),
      start_up_source_changed(executor),
      watcher_election(HashText(ToText(this->options.peer_address)),
                       this->options.link_mbps),
      state_changed(executor),
      store_restored(executor),
      quarantine_changed(executor),
      prefixes(kMaxPrefixEntries),
      software_versions(this->started_at),
      versions_changed(executor),
      tunnel_peers(std::make_shared<TunnelPeers>()),
      request_memory(this->options.memory_bytes / kRequestMemoryDivisor),
      response_memory(this->options.memory_bytes / kResponseMemoryDivisor),
      random(HashText(this->options.name) ^
             static_cast<std::uint64_t>(
                 this->started_at.time_since_epoch().count())),
      loop_checked_at(this->started_at) {
  this->origins = std::make_unique<OriginExchange>(*this);
  this->permits = std::make_unique<PermitExchange>(*this);
  this->version_reader = std::make_unique<VersionReader>(executor);
  this->engine_reports = std::make_unique<EngineReports>(*this);
}

DispatchState::~DispatchState() = default;

void DispatchState::Reload(const DispatchOptions& new_options) {
  this->options.shutdown_grace = new_options.shutdown_grace;
  this->options.retry_budget = new_options.retry_budget;
  this->options.load_factor = new_options.load_factor;
  this->options.zone_cost = new_options.zone_cost;
  this->options.memory_bytes = new_options.memory_bytes;
  this->options.max_descriptors = new_options.max_descriptors;
  this->request_memory.SetLimit(new_options.memory_bytes /
                                kRequestMemoryDivisor);
  this->response_memory.SetLimit(new_options.memory_bytes /
                                 kResponseMemoryDivisor);
  for (auto& [name, service] : this->services) {
    service->budget.SetLimits(new_options.retry_budget);
  }
  Logger::Info("reload",
               {{"load_factor", new_options.load_factor},
                {"zone_cost", new_options.zone_cost},
                {"retry_ratio", new_options.retry_budget.ratio},
                {"retry_extra", new_options.retry_budget.extra},
                {"grace_ms", ToMilliseconds(new_options.shutdown_grace)}});
}

bool DispatchState::ApplyConfiguration(std::string_view text,
                                       std::string_view source) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(decoded, this->codec->DecodeRoutingTable(text));
        if (this->routing_table &&
            decoded.version <= this->routing_table->version) {
          return false;
        }
        Logger::Info(
            "configuration_in_force",
            {{"version", static_cast<std::int64_t>(decoded.version)},
             {"before",
              static_cast<std::int64_t>(this->ConfigurationVersion())},
             {"source", source},
             {"routes", static_cast<std::int64_t>(decoded.routes.size())}});
        this->routing_table =
            std::make_shared<const RoutingTable>(std::move(decoded));
        this->configurations.OnInForce(text);
        this->metrics.Set("configuration_version",
                          static_cast<double>(this->routing_table->version));
        for (RequestDispatch* request : this->requests) {
          request->OnRoutingTableChanged(*this->routing_table);
        }
        this->state_changed.NotifyAll();
        return true;
      },
      [&](const DecodeFault& fault) {
        Logger::Error("configuration_malformed",
                      {{"source", source}, {"what", fault.what}});
        return false;
      },
      [&] {
        Logger::Error("configuration_malformed", {{"source", source}});
        return false;
      });
}

void DispatchState::OnEngineChanges(const std::vector<EngineChange>& changes,
                                    std::string_view source) {
  for (const EngineChange& change : changes) {
    Logger::Info(
        "engine_belief",
        {{"engine", change.id},
         {"service", change.service},
         {"change", ToString(change.kind)},
         {"source", source},
         {"era", static_cast<std::int64_t>(this->engines.Version().era)},
         {"version",
          static_cast<std::int64_t>(this->engines.Version().number)}});
    this->metrics.Add("engine_changes_total");
    this->ApplyRowWarmUp(change, source);
    if (change.kind == EngineChange::Kind::kDraining) this->OnDrain(change.id);
  }
  if (changes.empty()) return;
  this->state_changed.NotifyAll();
  this->UpdateSoftwareVersions();
}

void DispatchState::OnDrain(const std::string& id) {
  const auto engine = this->engines.Engines().find(id);
  if (engine == this->engines.Engines().end()) return;
  this->new_drains.emplace_back(engine->second->key,
                                RuntimeClock::now() + kDrainNewsTime);
}

// A watch brings a removal as a row with a version. In a read of the whole
// table it is only an absence, which may be as new as the read.
void DispatchState::AnnounceRemovals(std::span<const EngineChange> changes) {
  const bool has_removal = std::any_of(
      changes.begin(), changes.end(), [](const EngineChange& change) {
        return change.kind == EngineChange::Kind::kGone;
      });
  if (!has_removal) return;
  this->newest_engine_version =
      std::max(this->newest_engine_version, this->engines.Version());
}

void DispatchState::OnZoneChanges(
    const std::vector<EvacuatedZones::Change>& changes,
    std::string_view source) {
  const StoreVersion version = this->evacuated_zones.Version();
  for (const EvacuatedZones::Change& change : changes) {
    Logger::Warning(change.is_evacuated ? "zone_evacuated" : "zone_restored",
                    {{"zone", change.zone},
                     {"source", source},
                     {"era", static_cast<std::int64_t>(version.era)},
                     {"version", static_cast<std::int64_t>(version.number)}});
    if (!change.is_evacuated) this->OnZoneRestored(change.zone);
  }
  if (!changes.empty()) this->state_changed.NotifyAll();
}

void DispatchState::OnZoneRestored(std::string_view zone) {
  std::int64_t returning = 0;
  for (const auto& [id, engine] : this->engines.Engines()) {
    if (engine->record.availability_zone == zone) ++returning;
  }
  this->metrics.Add("zone_restorations_total");
  Logger::Info("zone_engines_return", {{"zone", zone}, {"engines", returning}});
  // The engines may have restarted meanwhile, which their rows may show late.
  this->BeginWarmUp(zone);
}

void DispatchState::UpdateSoftwareVersions() {
  const TimePoint now = RuntimeClock::now();
  const std::set<std::string> services =
      this->software_versions.OnEngines(now, this->engines);
  if (services.empty()) return;
  this->versions_changed.NotifyAll();
  bool any_has_several = false;
  for (const std::string& service : services) {
    const bool has_several = this->software_versions.HasSeveral(now, service);
    any_has_several = any_has_several || has_several;
    Logger::Info("software_versions",
                 {{"service", service}, {"several", has_several}});
  }
  if (any_has_several) this->origins->OnVersionsChanged();
}

bool DispatchState::IsViewCurrent(TimePoint now) const {
  const bool has_paused = this->LoopStall(now) > Duration::zero() ||
                          (this->last_stall > Duration::zero() &&
                           now - this->last_stall_end < kMaxViewAge);
  if (has_paused) return false;
  const auto view_age = this->watcher_election.ViewAge(now);
  if (view_age && *view_age <= kMaxViewAge) return true;
  // While the store answers nobody, no router learns of an engine.
  TimePoint heard_at{};
  for (const auto& [peer, contact] : this->live_peers) {
    if (contact.has_sent_digest) heard_at = std::max(heard_at, contact.at);
  }
  return now - heard_at <= kMaxPeerSilence &&
         this->live_peers.size() * 2 >= this->peers.size() &&
         !this->watcher_election.IsLagging();
}

void DispatchState::OnQuarantineChanges(
    const std::vector<QuarantineChange>& changes, std::string_view source) {
  for (const QuarantineChange& change : changes) {
    const BlockedKeys& blocked = change.blocked;
    this->metrics.Add(
        fmt::format("prompt_quarantine_changes_total{{change=\"{}\"}}",
                    ToString(change.kind)));
    Logger::Warning(
        "prompt_quarantine",
        {{"change", ToString(change.kind)},
         {"parts", FormatPartKeys(blocked.keys)},
         {"crashes", static_cast<std::int64_t>(change.crashes)},
         {"loss_rate", change.loss_rate},
         {"failed_trials", static_cast<std::int64_t>(blocked.failed_probes)},
         {"source", source}});
  }
  if (this->quarantine.TakeUrgency()) this->state_changed.NotifyAll();
}

void DispatchState::OnOwnQuarantineChanges(
    const std::vector<QuarantineChange>& changes, std::string_view source) {
  this->OnQuarantineChanges(changes, source);
  if (!changes.empty()) this->quarantine_changed.NotifyAll();
}

void DispatchState::OnLoopCheck(TimePoint now) {
  const Duration since_check = now - this->loop_checked_at;
  if (since_check > kMaxLoopLag) {
    Logger::Warning("paused", {{"for_ms", ToMilliseconds(since_check)}});
    this->last_stall = since_check;
    this->last_stall_end = now;
  }
  this->loop_checked_at = now;
}

Duration DispatchState::LoopStall(TimePoint now) const {
  const Duration since_check = now - this->loop_checked_at;
  if (since_check > kMaxLoopLag) return since_check;
  const bool just_ended = now - this->last_stall_end < kBacklogTime;
  return just_ended ? this->last_stall : Duration::zero();
}

bool DispatchState::HasJustResumed(TimePoint now) const {
  // Time until peers that took over know that this router is back.
  const Duration takeover_time = PeerTimeout(this->peers.size());
  if (now - this->started_at < takeover_time) return true;
  return this->last_stall >= kMinTakeoverStall &&
         now - this->last_stall_end < takeover_time;
}

void DispatchState::OnStoreEra(std::uint64_t era) {
  if (this->store_era && era <= *this->store_era) return;
  if (this->store_era) {
    Logger::Warning("store_restored",
                    {{"era", static_cast<std::int64_t>(era)},
                     {"before", static_cast<std::int64_t>(*this->store_era)}});
    this->store_restored_at = RuntimeClock::now();
    this->store_restored.NotifyAll();
  }
  this->store_era = era;
}

void DispatchState::OnEngineResponse(Engine& engine,
                                     const EngineResponse& response) {
  // Another engine has answered at this address.
  if (response.wrong_engine) return;
  if (response.leaving) {
    this->OnEngineChanges(this->engines.OnLeaving(engine), "engine");
  }
  if (response.requested_pause) {
    engine.pause.Request(RuntimeClock::now(), *response.requested_pause);
    this->metrics.Add("engine_pauses_total");
    Logger::Info("engine_pause",
                 {{"engine", engine.record.id},
                  {"service", engine.record.service},
                  {"pause_ms", ToMilliseconds(*response.requested_pause)}});
  }
  if (response.has_malformed_pause) {
    this->WarnOnce("engine_pause_malformed", engine);
  }
  if (response.has_malformed_load) {
    this->metrics.Add("engine_loads_malformed_total");
    this->WarnOnce("engine_load_malformed", engine);
  }
  if (response.load) this->OnStatedLoad(engine, *response.load);
}

void DispatchState::OnStatedLoad(const Engine& engine,
                                 const ReportedLoad& load) {
  const TimePoint now = RuntimeClock::now();
  this->metrics.Add("stated_loads_received_total{from=\"engine\"}");
  // The response may have waited while this process was paused.
  if (this->LoopStall(now) > Duration::zero()) return;
  const std::uint64_t in_flight =
      std::uint64_t{load.running} + std::uint64_t{load.waiting};
  this->stated_loads.OnStated(
      now,
      {engine.key, in_flight, load.pace.value_or(kUsualPace), Duration::zero()},
      engine.in_flight);
}

void DispatchState::CorrectByStatedLoads(
    TimePoint now, StatedLoadInputs use,
    std::span<PlacementCandidate> candidates) const {
  if (!this->UsesStatedLoads()) return;
  use.peer_report_age = this->PeerReportAge();
  this->stated_loads.Apply(now, use, candidates);
}

Duration DispatchState::LoadEstimateAge(TimePoint now,
                                        const Engine& engine) const {
  const Duration peer_report_age = this->PeerReportAge();
  if (!this->UsesStatedLoads()) return peer_report_age;
  return this->stated_loads.UsedAge(now, engine.key, peer_report_age)
      .value_or(peer_report_age);
}

void DispatchState::OnCarriedPause(const Engine& engine,
                                   const std::string& peer, Duration pause) {
  this->carried_pauses.push_back(
      {engine.key, peer, RuntimeClock::now() + pause});
  this->state_changed.NotifyAll();
}

void DispatchState::WarnOnce(std::string_view event, const Engine& engine) {
  const bool is_new =
      this->logged_warnings.emplace(event, engine.record.id).second;
  if (is_new) Logger::Warning(event, {{"engine", engine.record.id}});
}

void DispatchState::OnStoreAnswered(std::string_view store_table) {
  if (this->unreachable_tables.erase(std::string(store_table)) == 0) return;
  Logger::Info("store_regained", {{"table", store_table}});
}

void DispatchState::OnStoreFailed(std::string_view store_table,
                                  const Fault& fault) {
  this->metrics.Add("store_failures_total");
  if (!this->unreachable_tables.insert(std::string(store_table)).second) return;
  Logger::Warning("store_lost", {{"table", store_table},
                                 {"fault", ToString(fault.kind)},
                                 {"detail", fault.detail}});
}

const ServiceSpec* DispatchState::FindService(std::string_view name) const {
  if (!this->routing_table) return nullptr;
  auto found = this->routing_table->services.find(name);
  return found == this->routing_table->services.end() ? nullptr
                                                      : &found->second;
}

ServiceState& DispatchState::Service(std::string_view name) {
  auto found = this->services.find(name);
  if (found == this->services.end()) {
    found =
        this->services
            .emplace(std::string(name),
                     std::make_unique<ServiceState>(this->options.retry_budget))
            .first;
  }
  return *found->second;
}

const ServiceState& DispatchState::Service(std::string_view name) const {
  const ServiceState* found = this->FindServiceState(name);
  return found != nullptr ? *found : this->unused_service;
}

const ServiceState* DispatchState::FindServiceState(
    std::string_view name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : found->second.get();
}

std::size_t DispatchState::RouterCount() const {
  return this->peers.empty() ? kAssumedRouters : this->peers.size() + 1;
}

std::size_t DispatchState::RankAmongPeers(std::uint64_t key) const {
  const auto comes_first = this->ComesBeforeThisRouter(key);
  return static_cast<std::size_t>(
      std::count_if(this->live_peers.begin(), this->live_peers.end(),
                    [&](const auto& peer) { return comes_first(peer.first); }));
}

bool DispatchState::IsFirstAmongPeers(std::uint64_t key) const {
  const auto comes_first = this->ComesBeforeThisRouter(key);
  return std::none_of(
      this->live_peers.begin(), this->live_peers.end(),
      [&](const auto& peer) { return comes_first(peer.first); });
}

std::function<bool(std::string_view)> DispatchState::ComesBeforeThisRouter(
    std::uint64_t key) const {
  const std::uint64_t own_weight =
      RendezvousWeight(HashText(ToText(this->options.peer_address)), key);
  return [own_weight, key](std::string_view peer) {
    return RendezvousWeight(HashText(peer), key) > own_weight;
  };
}

bool DispatchState::IsInOtherZone(const std::string& peer) const {
  const auto contact = this->live_peers.find(peer);
  return contact != this->live_peers.end() && contact->second.zone_key &&
         *contact->second.zone_key != this->zone_key;
}

PeerZone DispatchState::ZoneOfHost(const std::string& ip) const {
  const std::string host = ip + ":";
  const auto peer = this->live_peers.lower_bound(host);
  const bool is_known =
      peer != this->live_peers.end() && peer->first.starts_with(host);
  return is_known ? this->ZoneOfPeer(peer->first) : PeerZone::kOwn;
}

bool DispatchState::IsZoneFetcher() const {
  const auto comes_first = this->ComesBeforeThisRouter(this->zone_key);
  std::size_t before = 0;
  for (const auto& [peer, contact] : this->live_peers) {
    if (contact.zone_key != this->zone_key || !comes_first(peer)) continue;
    if (++before >= kZoneFetchers) return false;
  }
  return true;
}

bool DispatchState::IsReady() const {
  return this->HasRows() && this->start_up.IsComplete(RuntimeClock::now()) &&
         !this->draining;
}

double DispatchState::Random() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

}  // namespace dandelionscale::internal
