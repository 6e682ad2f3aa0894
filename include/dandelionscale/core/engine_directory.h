#ifndef DANDELIONSCALE_CORE_ENGINE_DIRECTORY_H_
#define DANDELIONSCALE_CORE_ENGINE_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/engine_health.h"
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
};

/// \brief One incarnation of an engine and this router's state for it.
struct Engine {
  EngineRecord record;
  /// Hash of id and start time; the same on every router.
  std::uint64_t key = 0;
  std::uint32_t in_flight = 0;  ///< Requests from this router in progress.
  bool draining = false;        ///< Never reset; see `kRestarted`.
  /// Removed from the directory or replaced by a new incarnation.
  bool gone = false;
  EngineHealth health;
};

/// \brief A change of the directory, for logs and metrics.
struct EngineChange {
  enum class Kind {
    kAdded,
    kRestarted,  ///< Replaced: new incarnation, address or service.
    kDraining,
    kUnlisted,  ///< No longer listed, but kept for a grace period.
    kRelisted,  ///< Listed again within the grace period.
    kGone       ///< Removed from the directory.
  };
  Kind kind = Kind::kAdded;
  std::string id;
  std::string service;
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
///   outage, all engines that the update removes are kept for a shorter grace
///   period, since the store may have lost entries.
/// - A draining engine that disappears is removed at once.
class EngineDirectory {
 public:
  /// \brief Applies the complete engine list as of `version`.
  /// \returns the changes; none if a newer version was applied before.
  std::vector<EngineChange> OnSnapshot(TimePoint now, std::uint64_t version,
                                       std::span<const EngineRecord> records);
  /// \brief Applies the changes that lead to `version`.
  /// \returns the changes; none if a newer version was applied before.
  std::vector<EngineChange> OnUpdates(TimePoint now, std::uint64_t version,
                                      std::span<const EngineUpdate> updates);
  /// \brief Records that the list can't be refreshed from the store.
  void OnStoreLost() { this->store_lost = true; }
  /// \brief Records that the list can be refreshed again; starts the grace
  ///        period if the store was lost.
  void OnStoreRegained(TimePoint now);
  /// \brief Removes unlisted engines whose grace period has ended.
  /// \returns the changes.
  std::vector<EngineChange> Expire(TimePoint now);

  /// \returns the engines of `service`, draining and unlisted ones included.
  std::span<const std::shared_ptr<Engine>> Find(std::string_view service) const;
  /// \returns all engines by id, draining and unlisted ones included.
  const std::map<std::string, std::shared_ptr<Engine>, std::less<>>& Engines()
      const {
    return this->engines;
  }
  /// \returns the version of the newest list applied; 0 before the first.
  std::uint64_t Version() const { return this->version; }
  /// \returns the records of the listed engines, for a peer with an older
  ///          version of the list.
  std::vector<EngineRecord> Listed() const;

 private:
  void Upsert(const EngineRecord& record, std::vector<EngineChange>& changes);
  // Why an engine that is no longer listed is kept for a grace period.
  enum class RetentionReason { kNone, kStoreOutage, kMassRemoval };
  struct Unlisted {
    RetentionReason reason = RetentionReason::kNone;
    TimePoint since{};
  };

  void Unlist(TimePoint now, std::span<const std::string> ids,
              std::vector<EngineChange>& changes);
  RetentionReason RetentionReasonOf(TimePoint now,
                                    std::span<const std::string> ids) const;
  TimePoint RetentionDeadline(const Unlisted& entry) const;
  void Remove(const std::string& id, std::vector<EngineChange>& changes);
  void Reindex();

  std::uint64_t version = 0;
  bool store_lost = false;
  TimePoint store_regained_at{};
  std::map<std::string, std::shared_ptr<Engine>, std::less<>> engines;
  std::map<std::string, std::vector<std::shared_ptr<Engine>>, std::less<>>
      by_service;
  std::map<std::string, Unlisted, std::less<>> unlisted;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ENGINE_DIRECTORY_H_
