#include "dandelionscale/core/engine_directory.h"

#include <algorithm>
#include <set>

#include "dandelionscale/core/hash.h"

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

std::uint64_t EngineKey(const EngineRecord& record) {
  return HashText(record.id + "/" + std::to_string(record.born_unix_ms));
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
    TimePoint now, std::uint64_t version,
    std::span<const EngineRecord> records) {
  std::vector<EngineChange> changes;
  if (version < this->version) return changes;
  this->version = version;
  std::set<std::string_view> listed;
  for (const EngineRecord& record : records) {
    listed.insert(record.id);
    this->Upsert(record, changes);
  }
  std::vector<std::string> missing;
  for (const auto& [id, engine] : this->engines) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  this->Unlist(now, missing, changes);
  this->Reindex();
  return changes;
}

std::vector<EngineChange> EngineDirectory::OnUpdates(
    TimePoint now, std::uint64_t version,
    std::span<const EngineUpdate> updates) {
  std::vector<EngineChange> changes;
  if (version < this->version) return changes;
  this->version = version;
  std::vector<std::string> removed;
  for (const EngineUpdate& update : updates) {
    if (update.removed) {
      removed.push_back(update.id);
    } else {
      std::erase(removed, update.id);
      this->Upsert(update.record, changes);
    }
  }
  this->Unlist(now, removed, changes);
  this->Reindex();
  return changes;
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
  for (const std::string& id : expired) this->Remove(id, changes);
  if (!expired.empty()) this->Reindex();
  return changes;
}

std::span<const std::shared_ptr<Engine>> EngineDirectory::Find(
    std::string_view service) const {
  auto found = this->by_service.find(service);
  if (found == this->by_service.end()) return {};
  return found->second;
}

std::vector<EngineRecord> EngineDirectory::Listed() const {
  std::vector<EngineRecord> records;
  for (const auto& [id, engine] : this->engines) {
    if (this->unlisted.contains(id)) continue;
    records.push_back(engine->record);
    records.back().draining = engine->draining;
  }
  return records;
}

void EngineDirectory::Upsert(const EngineRecord& record,
                             std::vector<EngineChange>& changes) {
  auto found = this->engines.find(record.id);
  const bool known = found != this->engines.end();
  if (known && record.born_unix_ms < found->second->record.born_unix_ms) return;
  const bool same = known &&
                    record.born_unix_ms == found->second->record.born_unix_ms &&
                    record.address == found->second->record.address &&
                    record.service == found->second->record.service;
  if (!same) {
    if (known) found->second->gone = true;
    auto engine = std::make_shared<Engine>();
    engine->record = record;
    engine->key = EngineKey(record);
    engine->draining = record.draining;
    changes.push_back(MakeChange(
        known ? EngineChange::Kind::kRestarted : EngineChange::Kind::kAdded,
        *engine));
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
  engine.record = record;
}

void EngineDirectory::Unlist(TimePoint now, std::span<const std::string> ids,
                             std::vector<EngineChange>& changes) {
  const RetentionReason reason = this->RetentionReasonOf(now, ids);
  for (const std::string& id : ids) {
    auto found = this->engines.find(id);
    if (found == this->engines.end()) continue;
    // A draining engine has announced its shutdown, so its removal is final.
    if (reason == RetentionReason::kNone || found->second->draining) {
      this->Remove(id, changes);
      continue;
    }
    if (!this->unlisted.emplace(id, Unlisted{reason, now}).second) continue;
    changes.push_back(
        MakeChange(EngineChange::Kind::kUnlisted, *found->second));
  }
}

EngineDirectory::RetentionReason EngineDirectory::RetentionReasonOf(
    TimePoint now, std::span<const std::string> ids) const {
  const bool just_regained = this->store_regained_at != TimePoint{} &&
                             now < this->store_regained_at + kRelistGracePeriod;
  if (this->store_lost || just_regained) return RetentionReason::kStoreOutage;
  std::map<std::string_view, std::size_t> removed;
  for (const std::string& id : ids) {
    auto found = this->engines.find(id);
    if (found == this->engines.end() || found->second->draining) continue;
    ++removed[found->second->record.service];
  }
  for (const auto& [service, count] : removed) {
    const double engine_count = static_cast<double>(this->Find(service).size());
    if (count >= kMinMassRemovalCount &&
        count >= kMinMassRemovalShare * engine_count) {
      return RetentionReason::kMassRemoval;
    }
  }
  return RetentionReason::kNone;
}

TimePoint EngineDirectory::RetentionDeadline(const Unlisted& entry) const {
  if (entry.reason == RetentionReason::kMassRemoval) {
    return entry.since + kMassRemovalGracePeriod;
  }
  if (this->store_lost) return TimePoint::max();
  return this->store_regained_at + kRelistGracePeriod;
}

void EngineDirectory::Remove(const std::string& id,
                             std::vector<EngineChange>& changes) {
  auto found = this->engines.find(id);
  if (found == this->engines.end()) return;
  found->second->gone = true;
  changes.push_back(MakeChange(EngineChange::Kind::kGone, *found->second));
  this->engines.erase(found);
  this->unlisted.erase(id);
}

void EngineDirectory::Reindex() {
  this->by_service.clear();
  for (const auto& [id, engine] : this->engines) {
    this->by_service[engine->record.service].push_back(engine);
  }
}

}  // namespace dandelionscale
