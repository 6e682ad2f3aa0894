#ifndef DANDELIONSCALE_CORE_DRAIN_TRACKER_H_
#define DANDELIONSCALE_CORE_DRAIN_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

namespace dandelionscale {

/// \brief One host of the platform's lagging list.
struct HostEntry {
  std::string name;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

/// \brief Remembers which hosts leave, against a list that lags and flickers.
///
/// A host that was once listed as leaving stays so until the list shows a
/// higher incarnation of it that does not leave.
class DrainTracker {
 public:
  /// \brief Takes changed entries of the list.
  /// \returns true if the set of leaving hosts changed.
  bool OnHosts(std::span<const HostEntry> hosts);
  const std::set<std::string>& Leaving() const { return this->leaving; }

 private:
  std::set<std::string> leaving;
  std::map<std::string, std::uint64_t> incarnations;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_DRAIN_TRACKER_H_
