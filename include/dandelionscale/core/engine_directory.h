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

/// \brief What an engine says of itself.
struct EngineRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP:PORT.
  std::string availability_zone;
  std::uint32_t max_slots = 1;  ///< Requests that it runs at the same time.
  bool draining = false;
  std::int64_t born_unix_ms = 0;  ///< Start of this incarnation.
};

/// \brief One incarnation of an engine and what this router believes of it.
struct Engine {
  EngineRecord record;
  std::uint64_t key = 0;  ///< Hash of id and incarnation; alike everywhere.
  std::uint32_t in_flight = 0;  ///< Requests of this router.
  bool draining = false;        ///< Sticky for this incarnation.
  bool gone = false;            ///< No longer in the directory.
  EngineHealth health;
};

/// \brief A change of belief, for the log.
struct EngineChange {
  enum class Kind {
    kAdded,
    kRestarted,
    kDraining,
    kUnlisted,
    kRelisted,
    kGone
  };
  Kind kind = Kind::kAdded;
  std::string id;
  std::string service;
};

/// \returns the name used in logs.
std::string_view ToString(EngineChange::Kind kind);

/// \brief One entry of the platform's list, or its removal.
struct EngineUpdate {
  std::string id;
  bool removed = false;
  EngineRecord record;
};

/// \brief Which engines may be used, from a list that lags and loses entries.
///
/// - A draining engine stays so until a later incarnation appears.
/// - An entry that vanishes while the store is in trouble, or together with
/// much
///   of its service, is kept for `kRelistPatience` after the store's return:
///   live engines list themselves again within that time.
class EngineDirectory {
 public:
  /// \brief Takes the whole list as of `version`.
  /// \returns the changes; none if a newer list is known.
  std::vector<EngineChange> OnSnapshot(TimePoint now, std::uint64_t version,
                                       std::span<const EngineRecord> records);
  /// \brief Takes changed entries that lead to `version`.
  std::vector<EngineChange> OnUpdates(TimePoint now, std::uint64_t version,
                                      std::span<const EngineUpdate> updates);
  /// \brief The list can't be refreshed any more.
  void OnStoreLost() { this->store_lost = true; }
  /// \brief The list can be refreshed again.
  void OnStoreRegained(TimePoint now);
  /// \brief Drops unlisted engines whose patience has run out.
  std::vector<EngineChange> Expire(TimePoint now);

  /// \returns the engines of `service`, draining ones included.
  std::span<const std::shared_ptr<Engine>> Find(std::string_view service) const;
  /// \returns all engines by id.
  const std::map<std::string, std::shared_ptr<Engine>, std::less<>>& Engines()
      const {
    return this->engines;
  }
  std::uint64_t Version() const { return this->version; }
  /// \returns the entries as last listed, for a peer that lags.
  std::vector<EngineRecord> Listed() const;

 private:
  void Upsert(const EngineRecord& record, std::vector<EngineChange>& changes);
  // Why an entry that vanished is kept for a while.
  enum class Doubt { kNone, kStoreTrouble, kMassRemoval };
  struct Unlisted {
    Doubt doubt = Doubt::kNone;
    TimePoint since{};
  };

  void Unlist(TimePoint now, std::span<const std::string> ids,
              std::vector<EngineChange>& changes);
  Doubt DoubtOf(TimePoint now, std::span<const std::string> ids) const;
  TimePoint KeptUntil(const Unlisted& entry) const;
  void Drop(const std::string& id, std::vector<EngineChange>& changes);
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
