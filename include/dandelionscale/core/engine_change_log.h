#ifndef DANDELIONSCALE_CORE_ENGINE_CHANGE_LOG_H_
#define DANDELIONSCALE_CORE_ENGINE_CHANGE_LOG_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dandelionscale/core/store_version.h"

namespace dandelionscale {

/// Most engines whose latest change is kept; each takes a few hundred bytes.
inline constexpr std::size_t kMaxLoggedEngines = 2000;

/// \brief Which engines of a list have changed since a version of it.
///
/// Only the version of the latest change of each engine is kept; the state of
/// the engine is taken from the list itself. The log is bounded: it drops the
/// oldest changes and then no longer covers the versions before them.
class EngineChangeLog {
 public:
  explicit EngineChangeLog(std::size_t max_engines = kMaxLoggedEngines)
      : max_engines(max_engines) {}

  /// \brief Forgets all changes. The log covers `version` and later ones.
  void Reset(StoreVersion version);
  /// \brief Records that the entry of an engine was added, changed or removed
  ///        by the list of `version`. Versions must not decrease from call to
  ///        call.
  void Record(StoreVersion version, const std::string& id);
  /// \returns true if all changes after `since` are known.
  bool Covers(StoreVersion since) const;
  /// \returns the ids of the engines that have changed after `since`.
  std::vector<std::string_view> Since(StoreVersion since) const;

 private:
  std::size_t max_engines;
  std::optional<StoreVersion> complete_from;
  /// Version of the latest change, by id.
  std::map<std::string, StoreVersion, std::less<>> versions;
  /// The same entries, ordered by version.
  std::set<std::pair<StoreVersion, std::string>> by_version;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ENGINE_CHANGE_LOG_H_
