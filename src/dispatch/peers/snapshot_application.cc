// SnapshotExchange: what it does with the snapshots of peers.
#include "dandelionscale/core/engine_record_check.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/remote_endpoint.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "dispatch/peers/snapshot_exchange.h"
#include "dispatch/peers/snapshot_versions.h"
#include "dispatch/peers/text_compression.h"

namespace dandelionscale::internal {

void SnapshotExchange::ApplySnapshot(const wire::BeliefSnapshot& snapshot,
                                     const std::string& peer) {
  this->state.metrics.Add("peer_snapshots_total");
  const bool had_rows = this->state.HasRows();
  for (const std::string& router : snapshot.routers()) {
    if (ParseRemoteEndpoint(router).has_value()) {
      this->state.peers.insert(router);
    }
  }
  this->state.peers.erase(ToText(this->state.options.peer_address));
  this->ApplyConfiguration(snapshot, peer);
  // Before the engines, which may complete the start of this router.
  ApplyEvacuation(this->state, snapshot, peer);
  this->ApplyEngines(snapshot, peer);
  // Only a peer that states the age of its view has found it to be current.
  if (!had_rows && this->state.HasRows() && snapshot.has_view_age_ms()) {
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

void SnapshotExchange::ApplyConfiguration(const wire::BeliefSnapshot& snapshot,
                                          const std::string& peer) {
  // The store may have supplied it meanwhile.
  const std::uint64_t version = snapshot.configuration_version();
  if (version <= this->state.ConfigurationVersion()) return;
  if (!snapshot.configuration().empty()) {
    this->state.ApplyConfiguration(snapshot.configuration(), peer);
    this->needs_whole_configuration = false;
    return;
  }
  if (snapshot.compressed_configuration().empty()) return;
  const auto text = this->Decompress(snapshot);
  if (text.has_value()) {
    this->state.ApplyConfiguration(text.value(), peer);
    return;
  }
  this->needs_whole_configuration = true;
  this->state.metrics.Add("peer_configurations_refused_total");
  Logger::Warning("peer_configuration_refused",
                  {{"peer", peer},
                   {"version", static_cast<std::int64_t>(version)},
                   {"detail", text.error().detail}});
  // The same peer can send the whole text at once.
  this->sources.OnNewer(RuntimeClock::now(), peer,
                        {version, this->state.engines.Version()},
                        !this->state.IsInOtherZone(peer), Duration::zero());
}

Result<std::string> SnapshotExchange::Decompress(
    const wire::BeliefSnapshot& snapshot) const {
  std::string_view base;
  if (snapshot.has_base_hash()) {
    const auto found = this->state.configurations.Find(snapshot.base_hash());
    if (!found) {
      return Fault{FaultKind::kMalformedMessage, "the base is not known"};
    }
    base = *found;
  }
  auto text = DecompressText(snapshot.compressed_configuration(), base,
                             kMaxConfigurationBytes);
  if (text.has_error()) return text.error();
  if (HashText(text.value()) != snapshot.configuration_hash()) {
    return Fault{FaultKind::kMalformedMessage, "the hash differs"};
  }
  return text;
}

void SnapshotExchange::ApplyEngines(const wire::BeliefSnapshot& snapshot,
                                    const std::string& peer) {
  const StoreVersion version = EnginesVersionOf(this->state, snapshot);
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

}  // namespace dandelionscale::internal
