#include "dandelionscale/core/drain_tracker.h"

namespace dandelionscale {

bool DrainTracker::OnHosts(std::span<const HostEntry> hosts) {
  bool changed = false;
  for (const HostEntry& host : hosts) {
    auto [known, first_seen] =
        this->incarnations.try_emplace(host.name, host.incarnation);
    if (host.incarnation < known->second) continue;  // outdated
    const bool newer = host.incarnation > known->second;
    known->second = host.incarnation;
    if (host.leaving) {
      changed |= this->leaving.insert(host.name).second;
    } else if (newer) {
      changed |= this->leaving.erase(host.name) > 0;
    }
  }
  return changed;
}

}  // namespace dandelionscale
