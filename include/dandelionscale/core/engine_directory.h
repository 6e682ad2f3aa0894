#ifndef DANDELIONSCALE_CORE_ENGINE_DIRECTORY_H_
#define DANDELIONSCALE_CORE_ENGINE_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/engine_change_log.h"
#include "dandelionscale/core/engine_health.h"
#include "dandelionscale/core/load/engine_pause.h"
#include "dandelionscale/core/load/engine_rate_limit.h"
#include "dandelionscale/core/load/engine_warm_up.h"
#include "dandelionscale/core/store_version.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief An engine's row in the shared store, registered by the engine itself.
struct EngineRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP:PORT.
  std::string availability_zone;
  std::uint32_t max_slots = 1;  ///< Requests that it runs concurrently.
  bool draining = false;
  std::int64_t born_unix_ms = 0;  ///< Start of this incarnation.
  /// Of its software, not of the model's weights; absent if a router of an
  /// older build has reported the engine.
  std::optional<std::string> software_version;
  /// Time until it has warmed up; absent if its row or a router of an older
  /// build does not state it.
  std::optional<Duration> warm_up_left{};

  friend bool operator==(const EngineRecord&, const EngineRecord&) = default;
};

/// \returns the low half of an engine's key, by which routers identify the
///          engine to each other. A fleet has few enough engines for it to be
///          unique.
inline std::uint32_t ShortKey(std::uint64_t engine_key) {
  return static_cast<std::uint32_t>(engine_key);
}

/// \brief One incarnation of an engine and this router's state for it.
struct Engine {
  EngineRecord record;
  /// Hash of id and start time; the same on every router.
  std::uint64_t key = 0;
  /// Hash of the members of `record` that are the same at all routers with the
  /// same list: without `software_version`, which older builds lack, without
  /// `warm_up_left`, which runs down, and without `draining`, which is added by
  /// `ListHash()`.
  std::uint64_t record_hash = 0;
  /// `VersionKey()` of its service and software version; 0 if that is unknown.
  std::uint64_t version_key = 0;
  std::uint32_t in_flight = 0;  ///< Requests from this router in progress.
  bool draining = false;        ///< Never reset; see `kRestarted`.
  /// Removed from the directory or replaced by a new incarnation.
  bool gone = false;
  EngineHealth health;
  EnginePause pause;           ///< Requested by the engine from this router.
  EngineRateLimit rate_limit;  ///< Stated by the engine for all routers.
  EngineWarmUp warm_up;
};

/// \brief A change of the directory, for logs and metrics.
struct EngineChange {
  enum class Kind {
    kAdded,
    kRestarted,  ///< Replaced: new incarnation, address or service.
    kDraining,
    kWarmingUp,  ///< Its row states a warm-up that ends later than known.
    kHeldBack,   ///< Listed after a restoration, but was known to have left.
    kUnlisted,   ///< No longer listed, but kept for a grace period.
    kRelisted,   ///< Listed again within the grace period.
    kGone        ///< Removed from the directory.
  };
  Kind kind = Kind::kAdded;
  std::string id;
  std::string service;
  /// The incarnation was not known from an earlier list, and there was one.
  /// Engines of the first list may have started long ago.
  bool is_new_incarnation = false;
};

/// \returns the name used in logs.
std::string_view ToString(EngineChange::Kind kind);

/// \brief A changed or removed row of the store's table of engines.
struct EngineUpdate {
  std::string id;
  bool removed = false;
  EngineRecord record;
};

/// \brief The known engines, from a list that may lag or lose entries.
///
/// - A draining engine stays draining until it is replaced (`kRestarted`).
/// - An engine that disappears from the list during a store outage or shortly
///   after it is kept until a grace period after the store's return has ended:
///   live engines register again within that time.
/// - If a large share of a service disappears in one update without a known
///   outage, these engines are kept for a shorter grace period, since the store
///   may have lost entries.
/// - A draining engine that disappears is removed at once.
/// - A list of a new era comes from an older copy of the store. It may still
///   list engines that have left since the copy: those are held back until
///   their entry would have expired, unless they write it again. It may lack
///   engines that have started since the copy: those are kept for the grace
///   period.
/// - An incarnation that was draining when it was removed is draining if it is
///   ever listed again.
class EngineDirectory {
 public:
  /// \brief Applies the complete engine list as of `version`.
  /// \returns the changes; none if a newer version was applied before.
  std::vector<EngineChange> OnSnapshot(TimePoint now, StoreVersion version,
                                       std::span<const EngineRecord> records);
  /// \brief Applies the changes that lead to `version`.
  /// \returns the changes; none if a newer version was applied before.
  std::vector<EngineChange> OnUpdates(TimePoint now, StoreVersion version,
                                      std::span<const EngineUpdate> updates);
  /// \brief Applies the changes that lead from this router's list to a peer's,
  ///        to the same effect as that list would have.
  /// \param version of the peer's list.
  /// \param list_hash `ListHash()` of the peer.
  /// \returns the changes; none if a newer version was applied before. Returns
  ///          nothing, and applies nothing, if the changes would not lead to
  ///          the peer's list, which is needed as a whole then.
  std::optional<std::vector<EngineChange>> OnPeerChanges(
      TimePoint now, StoreVersion version,
      std::span<const EngineUpdate> updates, std::uint64_t list_hash);
  /// \brief Records that an engine has stated that it is shutting down.
  /// \returns the change; none if it was known to drain.
  std::vector<EngineChange> OnLeaving(Engine& engine);
  /// \brief Records that the list can't be refreshed from the store.
  void OnStoreLost() { this->store_lost = true; }
  /// \brief Records that the list can be refreshed again; starts the grace
  ///        period if the store was lost.
  void OnStoreRegained(TimePoint now);
  /// \brief Removes unlisted engines whose grace period has ended, and adds
  ///        those that were held back for long enough.
  /// \returns the changes.
  std::vector<EngineChange> Expire(TimePoint now);

  /// \returns the engines of `service`, draining and unlisted ones included.
  std::span<const std::shared_ptr<Engine>> Find(std::string_view service) const;
  /// \returns the `ShortKey()` of each engine that is known to be leaving while
  ///          the store lists it as ready.
  std::vector<std::uint32_t> LeavingKeys() const;
  /// \returns the engine whose key has this `ShortKey()`, or null.
  std::shared_ptr<Engine> FindByShortKey(std::uint32_t short_key) const;
  /// \returns all engines by id, draining and unlisted ones included.
  const std::map<std::string, std::shared_ptr<Engine>, std::less<>>& Engines()
      const {
    return this->engines;
  }
  /// \returns the version of the newest list applied; zero before the first.
  StoreVersion Version() const { return this->version; }
  /// \returns the era of the first list applied; 0 before it.
  std::uint64_t InitialEra() const { return this->initial_era; }
  /// \returns the records of the listed engines, for a peer with an older
  ///          version of the list.
  std::vector<EngineRecord> Listed(TimePoint now) const;
  /// \returns the changes of `Listed()` after `since`, for a peer whose list
  ///          has that version; nothing if it needs the whole list.
  std::optional<std::vector<EngineUpdate>> ChangesSince(
      TimePoint now, StoreVersion since) const;
  /// \returns a hash of `Listed()` that does not depend on its order.
  std::uint64_t ListHash() const;
  /// \returns true if `OnPeerChanges()` may be called. A list of a new era is
  ///          taken as a whole until nothing is held back.
  bool AcceptsChanges() const {
    return this->version != StoreVersion{} && this->held_back.empty();
  }

 private:
  // The last known state of a removed engine.
  struct Departed {
    std::int64_t born_unix_ms = 0;
    bool draining = false;
    TimePoint since{};
  };
  // An engine that is listed but not used yet.
  struct HeldBack {
    EngineRecord record;
    TimePoint until{};
  };

  void Upsert(TimePoint now, const EngineRecord& record,
              std::vector<EngineChange>& changes);
  bool MayHaveLeft(const EngineRecord& record) const;
  bool IsHeldBack(const EngineRecord& record) const;
  void HoldBack(TimePoint now, const EngineRecord& record,
                std::vector<EngineChange>& changes);
  // Why an engine that is no longer listed is kept for a grace period.
  enum class RetentionReason { kNone, kStoreOutage, kMassRemoval };
  struct Unlisted {
    RetentionReason reason = RetentionReason::kNone;
    TimePoint since{};
  };

  void Unlist(TimePoint now, std::span<const std::string> ids,
              std::vector<EngineChange>& changes);
  bool IsStoreOutage(TimePoint now) const;
  // Returns the services that lose a large share of their engines by `ids`.
  std::set<std::string> FindMassRemovals(
      std::span<const std::string> ids) const;
  TimePoint RetentionDeadline(const Unlisted& entry) const;
  void Remove(TimePoint now, const std::string& id,
              std::vector<EngineChange>& changes);
  // Returns what `ListHash()` would return after `updates`.
  std::uint64_t ListHashAfter(std::span<const EngineUpdate> updates) const;
  bool IsListed(const std::string& id) const {
    return this->engines.contains(id) && !this->unlisted.contains(id);
  }
  EngineRecord ListedRecord(TimePoint now, const Engine& engine) const;
  void Reindex();

  StoreVersion version;
  /// Whether a list was applied before the one that is being applied.
  bool has_earlier_list = false;
  EngineChangeLog change_log;  ///< Of `Listed()`.
  std::uint64_t initial_era = 0;
  bool store_lost = false;
  TimePoint store_regained_at{};
  std::map<std::string, std::shared_ptr<Engine>, std::less<>> engines;
  std::map<std::string, std::vector<std::shared_ptr<Engine>>, std::less<>>
      by_service;
  std::unordered_map<std::uint32_t, std::shared_ptr<Engine>> by_short_key;
  std::map<std::string, Unlisted, std::less<>> unlisted;
  std::map<std::string, Departed, std::less<>> departed;
  std::map<std::string, HeldBack, std::less<>> held_back;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ENGINE_DIRECTORY_H_
