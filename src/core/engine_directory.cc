#include "dandelionscale/core/engine_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <set>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/stream_origins.h"

namespace dandelionscale {
namespace {

// Live engines register again within two seconds of the store's return.
constexpr Duration kRelistGracePeriod = std::chrono::milliseconds(2000);
// Grace period after a mass removal without a known store outage. Shorter
// than the 2 s within which an engine that leaves must stop receiving requests.
constexpr Duration kMassRemovalGracePeriod = std::chrono::milliseconds(1200);
// A simultaneous removal of at least this share of a service's engines, and of
// at least this many, may be a loss of entries in the store.
constexpr double kMinMassRemovalShare = 0.4;
constexpr std::size_t kMinMassRemovalCount = 3;
// Time for which an engine that was known to have left is held back after the
// store was restored. The store removes the entry of an engine that writes
// nothing sooner than that.
constexpr Duration kHoldBackTime = std::chrono::seconds(6);
// Time for which a removed engine is remembered. The copies from which the
// store is restored are much younger.
constexpr Duration kDepartedMemory = std::chrono::minutes(5);

std::uint64_t EngineKey(const EngineRecord& record) {
  return HashText(record.id + "/" + std::to_string(record.born_unix_ms));
}

// Returns true if both reports may be of the same software.
bool MayBeSameVersion(const EngineRecord& one, const EngineRecord& other) {
  return !one.software_version || !other.software_version ||
         *one.software_version == *other.software_version;
}

std::uint64_t RecordHash(const EngineRecord& record) {
  return HashText(fmt::format(
      "{}/{}/{}/{}/{}/{}", record.id, record.born_unix_ms, record.service,
      record.address, record.availability_zone, record.max_slots));
}

std::uint64_t ListedHash(std::uint64_t record_hash, bool is_draining) {
  return is_draining ? std::rotl(record_hash, 1) : record_hash;
}

// Returns true if `record` states nothing that `known` does not.
bool StatesNothingNew(const EngineRecord& record, const EngineRecord& known) {
  EngineRecord completed = record;
  if (!record.software_version) {
    completed.software_version = known.software_version;
  }
  // Runs down by itself; an extension of it is looked at apart.
  completed.warm_up_left = known.warm_up_left;
  return completed == known;
}

void SetRecord(const EngineRecord& record, Engine& engine) {
  const auto known_version = std::move(engine.record.software_version);
  engine.record = record;
  if (!record.software_version) {
    engine.record.software_version = known_version;
  }
  engine.record_hash = RecordHash(record);
  const auto& version = engine.record.software_version;
  engine.version_key = version ? VersionKey(record.service, *version) : 0;
}

// What an engine has said of itself holds until it starts again, whatever
// becomes of its entry.
void KeepStatements(const Engine& known, const EngineRecord& record,
                    Engine& engine) {
  if (known.record.born_unix_ms != record.born_unix_ms) return;
  engine.draining = known.draining;
  engine.pause = known.pause;
  engine.rate_limit = known.rate_limit;
  engine.warm_up = known.warm_up;
}

EngineChange MakeChange(EngineChange::Kind kind, const Engine& engine) {
  return {kind, engine.record.id, engine.record.service};
}

}  // namespace

std::string_view ToString(EngineChange::Kind kind) {
  switch (kind) {
    case EngineChange::Kind::kAdded:
      return "added";
    case EngineChange::Kind::kRestarted:
      return "restarted";
    case EngineChange::Kind::kDraining:
      return "draining";
    case EngineChange::Kind::kWarmingUp:
      return "warming_up";
    case EngineChange::Kind::kHeldBack:
      return "held_back";
    case EngineChange::Kind::kUnlisted:
      return "unlisted";
    case EngineChange::Kind::kRelisted:
      return "relisted";
    case EngineChange::Kind::kGone:
      return "gone";
  }
  return "gone";
}

std::vector<EngineChange> EngineDirectory::OnSnapshot(
    TimePoint now, StoreVersion version,
    std::span<const EngineRecord> records) {
  std::vector<EngineChange> changes;
  if (version < this->version) return changes;
  const bool is_first = this->version == StoreVersion{};
  const bool is_restored = !is_first && version.era > this->version.era;
  this->has_earlier_list = !is_first;
  if (is_first) this->initial_era = version.era;
  if (is_restored) this->store_regained_at = now;
  this->version = version;
  std::set<std::string_view> listed;
  for (const EngineRecord& record : records) {
    listed.insert(record.id);
    if (this->IsHeldBack(record) ||
        (is_restored && this->MayHaveLeft(record))) {
      this->HoldBack(now, record, changes);
    } else {
      this->held_back.erase(record.id);
      this->Upsert(now, record, changes);
    }
  }
  std::erase_if(this->held_back, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::vector<std::string> missing;
  for (const auto& [id, engine] : this->engines) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  this->Unlist(now, missing, changes);
  this->Reindex();
  if (is_first || is_restored) this->change_log.Reset(version);
  return changes;
}

std::vector<EngineChange> EngineDirectory::OnUpdates(
    TimePoint now, StoreVersion version,
    std::span<const EngineUpdate> updates) {
  std::vector<EngineChange> changes;
  if (version < this->version) return changes;
  this->has_earlier_list = true;
  this->version = version;
  std::vector<std::string> removed;
  for (const EngineUpdate& update : updates) {
    // An engine that writes its entry again has not left.
    this->held_back.erase(update.id);
    if (update.removed) {
      removed.push_back(update.id);
    } else {
      std::erase(removed, update.id);
      this->Upsert(now, update.record, changes);
    }
  }
  this->Unlist(now, removed, changes);
  this->Reindex();
  return changes;
}

std::optional<std::vector<EngineChange>> EngineDirectory::OnPeerChanges(
    TimePoint now, StoreVersion version, std::span<const EngineUpdate> updates,
    std::uint64_t list_hash) {
  std::vector<EngineChange> changes;
  if (version < this->version) return changes;
  const bool is_possible =
      this->AcceptsChanges() && version.era == this->version.era;
  if (!is_possible || this->ListHashAfter(updates) != list_hash) {
    return std::nullopt;
  }
  this->has_earlier_list = true;
  this->version = version;
  std::vector<std::string> missing;
  for (const EngineUpdate& update : updates) {
    if (!update.removed) {
      this->Upsert(now, update.record, changes);
    } else if (this->IsListed(update.id)) {
      missing.push_back(update.id);
    }
  }
  // The peer's whole list would lack these, too.
  for (const auto& [id, entry] : this->unlisted) missing.push_back(id);
  std::sort(missing.begin(), missing.end());
  this->Unlist(now, missing, changes);
  if (!changes.empty()) this->Reindex();
  return changes;
}

std::vector<EngineChange> EngineDirectory::OnLeaving(Engine& engine) {
  if (engine.draining) return {};
  engine.draining = true;
  return {MakeChange(EngineChange::Kind::kDraining, engine)};
}

void EngineDirectory::OnStoreRegained(TimePoint now) {
  if (!this->store_lost) return;
  this->store_lost = false;
  this->store_regained_at = now;
}

std::vector<EngineChange> EngineDirectory::Expire(TimePoint now) {
  std::vector<EngineChange> changes;
  std::vector<std::string> expired;
  for (const auto& [id, entry] : this->unlisted) {
    if (now >= this->RetentionDeadline(entry)) expired.push_back(id);
  }
  for (const std::string& id : expired) this->Remove(now, id, changes);
  std::vector<EngineRecord> released;
  for (const auto& [id, entry] : this->held_back) {
    if (now >= entry.until) released.push_back(entry.record);
  }
  for (const EngineRecord& record : released) {
    this->held_back.erase(record.id);
    this->Upsert(now, record, changes);
  }
  // The peers' lists of this version lack what was held back.
  if (!released.empty()) {
    this->change_log.Reset({this->version.era, this->version.number + 1});
  }
  std::erase_if(this->departed, [now](const auto& entry) {
    return now - entry.second.since > kDepartedMemory;
  });
  if (!changes.empty()) this->Reindex();
  return changes;
}

std::span<const std::shared_ptr<Engine>> EngineDirectory::Find(
    std::string_view service) const {
  auto found = this->by_service.find(service);
  if (found == this->by_service.end()) return {};
  return found->second;
}

std::vector<std::uint32_t> EngineDirectory::LeavingKeys() const {
  std::vector<std::uint32_t> keys;
  for (const auto& [id, engine] : this->engines) {
    if (engine->draining && !engine->record.draining) {
      keys.push_back(ShortKey(engine->key));
    }
  }
  for (const auto& [id, entry] : this->held_back) {
    const auto found = this->departed.find(id);
    if (found != this->departed.end() && found->second.draining) {
      keys.push_back(ShortKey(EngineKey(entry.record)));
    }
  }
  return keys;
}

std::shared_ptr<Engine> EngineDirectory::FindByShortKey(
    std::uint32_t short_key) const {
  const auto found = this->by_short_key.find(short_key);
  return found == this->by_short_key.end() ? nullptr : found->second;
}

std::vector<EngineRecord> EngineDirectory::Listed(TimePoint now) const {
  std::vector<EngineRecord> records;
  for (const auto& [id, engine] : this->engines) {
    if (this->unlisted.contains(id)) continue;
    records.push_back(this->ListedRecord(now, *engine));
  }
  return records;
}

EngineRecord EngineDirectory::ListedRecord(TimePoint now,
                                           const Engine& engine) const {
  EngineRecord record = engine.record;
  record.draining = engine.draining;
  record.warm_up_left = engine.warm_up.Left(now);
  return record;
}

std::optional<std::vector<EngineUpdate>> EngineDirectory::ChangesSince(
    TimePoint now, StoreVersion since) const {
  const bool is_possible = this->AcceptsChanges() &&
                           since.era == this->version.era &&
                           this->change_log.Covers(since);
  if (!is_possible) return std::nullopt;
  std::set<std::string_view> ids;
  for (std::string_view id : this->change_log.Since(since)) ids.insert(id);
  for (const auto& [id, engine] : this->engines) {
    // Routers learn in different ways that an engine is draining, so that the
    // peer's list of the same version may not say it.
    if (engine->draining && this->IsListed(id)) ids.insert(id);
  }
  std::vector<EngineUpdate> updates;
  for (std::string_view id : ids) {
    EngineUpdate& update = updates.emplace_back();
    update.id = id;
    update.removed = !this->IsListed(update.id);
    if (update.removed) continue;
    update.record = this->ListedRecord(now, *this->engines.find(id)->second);
  }
  return updates;
}

std::uint64_t EngineDirectory::ListHash() const {
  return this->ListHashAfter({});
}

std::uint64_t EngineDirectory::ListHashAfter(
    std::span<const EngineUpdate> updates) const {
  std::uint64_t hash = 0;
  for (const auto& [id, engine] : this->engines) {
    if (this->unlisted.contains(id)) continue;
    hash += ListedHash(engine->record_hash, engine->draining);
  }
  for (const EngineUpdate& update : updates) {
    if (this->IsListed(update.id)) {
      const Engine& engine = *this->engines.find(update.id)->second;
      hash -= ListedHash(engine.record_hash, engine.draining);
    }
    if (update.removed) continue;
    hash += ListedHash(RecordHash(update.record), update.record.draining);
  }
  return hash;
}

void EngineDirectory::Upsert(TimePoint now, const EngineRecord& record,
                             std::vector<EngineChange>& changes) {
  auto found = this->engines.find(record.id);
  const bool known = found != this->engines.end();
  const auto departed = this->departed.find(record.id);
  const bool is_known_departed = !known && departed != this->departed.end();
  if (is_known_departed &&
      record.born_unix_ms < departed->second.born_unix_ms) {
    return;
  }
  if (known && record.born_unix_ms < found->second->record.born_unix_ms) return;
  const bool same = known &&
                    record.born_unix_ms == found->second->record.born_unix_ms &&
                    record.address == found->second->record.address &&
                    record.service == found->second->record.service &&
                    MayBeSameVersion(record, found->second->record);
  if (!same) {
    auto engine = std::make_shared<Engine>();
    if (known) {
      found->second->gone = true;
      KeepStatements(*found->second, record, *engine);
    }
    SetRecord(record, *engine);
    engine->key = EngineKey(record);
    engine->draining = record.draining || engine->draining ||
                       (is_known_departed && departed->second.draining &&
                        departed->second.born_unix_ms == record.born_unix_ms);
    EngineChange change = MakeChange(
        known ? EngineChange::Kind::kRestarted : EngineChange::Kind::kAdded,
        *engine);
    const bool was_known =
        (known && found->second->key == engine->key) ||
        (is_known_departed &&
         departed->second.born_unix_ms == record.born_unix_ms);
    change.is_new_incarnation = this->has_earlier_list && !was_known;
    changes.push_back(std::move(change));
    this->engines[record.id] = std::move(engine);
    this->unlisted.erase(record.id);
    this->change_log.Record(this->version, record.id);
    return;
  }
  Engine& engine = *found->second;
  const bool is_relisted = this->unlisted.erase(record.id) > 0;
  const bool is_changed = !StatesNothingNew(record, engine.record);
  const bool is_warming_up =
      record.warm_up_left &&
      *record.warm_up_left >
          engine.warm_up.Left(now) + EngineWarmUp::kTolerance;
  if (is_relisted || is_changed || is_warming_up) {
    this->change_log.Record(this->version, record.id);
  }
  if (is_relisted) {
    changes.push_back(MakeChange(EngineChange::Kind::kRelisted, engine));
  }
  if (record.draining && !engine.draining) {
    engine.draining = true;
    changes.push_back(MakeChange(EngineChange::Kind::kDraining, engine));
  }
  if (is_warming_up) {
    changes.push_back(MakeChange(EngineChange::Kind::kWarmingUp, engine));
  }
  if (is_changed || is_warming_up) SetRecord(record, engine);
}

bool EngineDirectory::MayHaveLeft(const EngineRecord& record) const {
  const auto found = this->departed.find(record.id);
  return found != this->departed.end() &&
         record.born_unix_ms <= found->second.born_unix_ms &&
         !this->engines.contains(record.id);
}

bool EngineDirectory::IsHeldBack(const EngineRecord& record) const {
  const auto found = this->held_back.find(record.id);
  return found != this->held_back.end() &&
         found->second.record.born_unix_ms == record.born_unix_ms;
}

void EngineDirectory::HoldBack(TimePoint now, const EngineRecord& record,
                               std::vector<EngineChange>& changes) {
  auto [entry, added] = this->held_back.try_emplace(record.id);
  entry->second.record = record;
  if (!added) return;
  entry->second.until = now + kHoldBackTime;
  changes.push_back({EngineChange::Kind::kHeldBack, record.id, record.service});
}

void EngineDirectory::Unlist(TimePoint now, std::span<const std::string> ids,
                             std::vector<EngineChange>& changes) {
  const bool is_outage = this->IsStoreOutage(now);
  const std::set<std::string> mass_removals = this->FindMassRemovals(ids);
  for (const std::string& id : ids) {
    auto found = this->engines.find(id);
    if (found == this->engines.end()) continue;
    RetentionReason reason = RetentionReason::kNone;
    if (is_outage) {
      reason = RetentionReason::kStoreOutage;
    } else if (mass_removals.contains(found->second->record.service)) {
      reason = RetentionReason::kMassRemoval;
    }
    // A draining engine has announced its shutdown, so its removal is final.
    if (!this->unlisted.contains(id)) {
      this->change_log.Record(this->version, id);
    }
    if (reason == RetentionReason::kNone || found->second->draining) {
      this->Remove(now, id, changes);
      continue;
    }
    if (!this->unlisted.emplace(id, Unlisted{reason, now}).second) continue;
    changes.push_back(
        MakeChange(EngineChange::Kind::kUnlisted, *found->second));
  }
}

bool EngineDirectory::IsStoreOutage(TimePoint now) const {
  const bool just_regained = this->store_regained_at != TimePoint{} &&
                             now < this->store_regained_at + kRelistGracePeriod;
  return this->store_lost || just_regained;
}

std::set<std::string> EngineDirectory::FindMassRemovals(
    std::span<const std::string> ids) const {
  std::map<std::string_view, std::size_t> removed;
  for (const std::string& id : ids) {
    auto found = this->engines.find(id);
    if (found == this->engines.end() || found->second->draining) continue;
    ++removed[found->second->record.service];
  }
  std::set<std::string> services;
  for (const auto& [service, count] : removed) {
    const double engine_count = static_cast<double>(this->Find(service).size());
    if (count >= kMinMassRemovalCount &&
        count >= kMinMassRemovalShare * engine_count) {
      services.emplace(service);
    }
  }
  return services;
}

TimePoint EngineDirectory::RetentionDeadline(const Unlisted& entry) const {
  if (entry.reason == RetentionReason::kMassRemoval) {
    return entry.since + kMassRemovalGracePeriod;
  }
  if (this->store_lost) return TimePoint::max();
  return this->store_regained_at + kRelistGracePeriod;
}

void EngineDirectory::Remove(TimePoint now, const std::string& id,
                             std::vector<EngineChange>& changes) {
  auto found = this->engines.find(id);
  if (found == this->engines.end()) return;
  found->second->gone = true;
  this->departed[id] = {found->second->record.born_unix_ms,
                        found->second->draining, now};
  changes.push_back(MakeChange(EngineChange::Kind::kGone, *found->second));
  this->engines.erase(found);
  this->unlisted.erase(id);
}

void EngineDirectory::Reindex() {
  this->by_service.clear();
  this->by_short_key.clear();
  for (const auto& [id, engine] : this->engines) {
    this->by_short_key[ShortKey(engine->key)] = engine;
    this->by_service[engine->record.service].push_back(engine);
  }
}

}  // namespace dandelionscale
