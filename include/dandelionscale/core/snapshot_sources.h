#ifndef DANDELIONSCALE_CORE_SNAPSHOT_SOURCES_H_
#define DANDELIONSCALE_CORE_SNAPSHOT_SOURCES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dandelionscale/core/store_version.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Least time for which a router that has heard of newer rows from another zone
/// waits for a peer of its own zone to have them. Each router adds up to the
/// same time at random, so that the first ones that fetch from the other zone
/// can supply the rest.
inline constexpr Duration kOwnZoneWait = std::chrono::milliseconds(120);
/// Routers of each zone that fetch from another zone without that wait, so that
/// the others find the rows in their own zone.
inline constexpr std::size_t kZoneFetchers = 2;

/// \brief Versions of what a router has read from the store or from peers.
struct RowVersions {
  std::uint64_t configuration = 0;
  StoreVersion engines;

  /// \returns true if one of the versions is newer than that of `other`.
  bool IsNewerThan(const RowVersions& other) const {
    return this->configuration > other.configuration ||
           this->engines > other.engines;
  }
};

/// \brief The peers that have newer rows than this router, and which of them to
///        fetch these from.
///
/// Peers of the own zone come first, and among them the one heard last. A peer
/// of another zone is asked only if none of the own zone is known for some
/// time. A peer is asked once for each of its digests.
class SnapshotSources {
 public:
  /// \brief Records a digest with newer rows than this router's.
  /// \param wait time before a peer of another zone may be asked.
  void OnNewer(TimePoint now, const std::string& peer,
               const RowVersions& versions, bool is_own_zone, Duration wait);
  /// \brief Forgets the peers that have nothing newer than `versions`.
  void OnVersions(const RowVersions& versions);

  /// \returns the peer to ask now, which is forgotten; nothing if there is none
  ///          yet.
  std::optional<std::string> Take(TimePoint now);
  /// \returns when `Take()` returns a peer; nothing if none is known.
  std::optional<TimePoint> NextAt() const;

 private:
  struct Source {
    std::string peer;
    RowVersions versions;
    bool is_own_zone = false;
    TimePoint usable_at{};
  };

  std::vector<Source> sources;  ///< Latest digest last.
  /// Since when a peer with newer rows is known; none if there is none.
  std::optional<TimePoint> waiting_since;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_SNAPSHOT_SOURCES_H_
