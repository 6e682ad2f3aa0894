#ifndef DANDELIONSCALE_CORE_SOFTWARE_VERSIONS_H_
#define DANDELIONSCALE_CORE_SOFTWARE_VERSIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/stream_origins.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief A software version of a service's engines, and how long ago the last
///        of them was listed.
struct VersionReport {
  std::string service;
  std::string version;
  Duration age{};  ///< Zero while an engine with this version is listed.
};

/// \brief Which software versions the engines of each service have run lately.
///
/// What two software versions write does not fit together, so that a stream may
/// go on only at the version that began it. If all engines that may have begun
/// a stream ran one version, it is that one.
class SoftwareVersions {
 public:
  /// Time for which a version counts after its last engine has left: as long as
  /// the streams that it began.
  static constexpr Duration kMemory = StreamOrigins::kMemory;
  /// Most versions that are remembered of one service.
  static constexpr std::size_t kMaxVersions = 32;

  explicit SoftwareVersions(TimePoint started_at) : started_at(started_at) {}

  /// \brief Records the versions of all engines that are listed now.
  /// \returns the services to which a version has been added or which have lost
  ///          one.
  std::set<std::string> OnEngines(TimePoint now,
                                  const EngineDirectory& engines);
  /// \brief Records what routers knew before this one started.
  void OnReports(TimePoint now, std::span<const VersionReport> reports);
  /// \brief Records that all versions from before the start of this router have
  ///        been reported.
  void OnHistoryKnown() { this->history_known = true; }
  bool IsHistoryKnown() const { return this->history_known; }

  /// \returns the only version that a stream of the service can have begun at;
  ///          none if there were several or if that is not known.
  std::optional<std::string> OnlyVersion(TimePoint now,
                                         std::string_view service) const;
  /// \returns true if engines of the service have run several versions lately.
  bool HasSeveral(TimePoint now, std::string_view service) const;
  /// \returns true if that holds for any service.
  bool HasSeveral(TimePoint now) const;
  /// \returns all versions that count at `now`.
  std::vector<VersionReport> Reports(TimePoint now) const;

 private:
  struct Seen {
    bool is_listed = false;
    TimePoint last_listed_at{};  ///< If it is not listed any more.
  };
  using Versions = std::map<std::string, Seen, std::less<>>;

  static bool Counts(TimePoint now, const Seen& seen);

  TimePoint started_at;
  bool history_known = false;
  std::map<std::string, Versions, std::less<>> services;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_SOFTWARE_VERSIONS_H_
