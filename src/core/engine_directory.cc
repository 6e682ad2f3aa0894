#include "dandelionscale/core/engine_directory.h"

#include <algorithm>
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

void SetRecord(const EngineRecord& record, Engine& engine) {
  const auto known_version = std::move(engine.record.software_version);
  engine.record = record;
  if (!record.software_version) {
    engine.record.software_version = known_version;
  }
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
    records.push_back(engine->record);
    records.back().draining = engine->draining;
    records.back().warm_up_left = engine->warm_up.Left(now);
  }
  return records;
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
    return;
  }
  Engine& engine = *found->second;
  if (this->unlisted.erase(record.id) > 0) {
    changes.push_back(MakeChange(EngineChange::Kind::kRelisted, engine));
  }
  if (record.draining && !engine.draining) {
    engine.draining = true;
    changes.push_back(MakeChange(EngineChange::Kind::kDraining, engine));
  }
  const Duration known_left = engine.warm_up.Left(now);
  if (record.warm_up_left &&
      *record.warm_up_left > known_left + EngineWarmUp::kTolerance) {
    changes.push_back(MakeChange(EngineChange::Kind::kWarmingUp, engine));
  }
  SetRecord(record, engine);
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
