#ifndef DANDELIONSCALE_CORE_DRAIN_TRACKER_H_
#define DANDELIONSCALE_CORE_DRAIN_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

namespace dandelionscale {

/// \brief One entry of the platform's host list, which lags behind.
struct HostEntry {
  std::string name;
  /// Rises each time the host joins again.
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

/// \brief Tracks which hosts are leaving the fleet.
///
/// The host list lags, and its entries can revert to an older state. A host
/// that was once listed as leaving therefore counts as leaving until the list
/// shows a higher incarnation of it that is not leaving.
class DrainTracker {
 public:
  /// \brief Applies changed entries of the list.
  /// \returns true if the set of leaving hosts changed.
  bool OnHosts(std::span<const HostEntry> hosts);
  const std::set<std::string>& Leaving() const { return this->leaving; }

 private:
  std::set<std::string> leaving;
  std::map<std::string, std::uint64_t> incarnations;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_DRAIN_TRACKER_H_
