#ifndef DANDELIONSCALE_CORE_VERSION_LAG_H_
#define DANDELIONSCALE_CORE_VERSION_LAG_H_

#include <optional>
#include <vector>

#include "dandelionscale/core/snapshot_sources.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief For how long a router has lacked rows that its peers have.
///
/// Rows may change faster than they arrive. A router that receives each version
/// a moment after it has heard of it lags by that moment, although it is never
/// at the newest version.
class VersionLag {
 public:
  /// \brief Records versions that a peer has.
  void OnHeard(TimePoint now, const RowVersions& versions);
  /// \brief Records the versions that this router has.
  void OnOwn(const RowVersions& versions);

  /// \returns when the oldest versions that this router lacks were first heard
  ///          of; nothing if it lacks none.
  std::optional<TimePoint> Since() const;
  /// \returns the newest versions that were heard of.
  const RowVersions& Newest() const { return this->newest; }

 private:
  struct Heard {
    RowVersions versions;
    TimePoint at{};
  };

  std::vector<Heard> missing;  ///< In the order in which they were heard of.
  RowVersions newest;
  RowVersions own;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_VERSION_LAG_H_
