#include "dispatch/watchdog.h"

#include <vector>

namespace dandelionscale::internal {

Watchdog::Guard::Guard(Watchdog& watchdog, std::function<void()> on_expiry)
    : watchdog(watchdog) {
  watchdog.entries.push_front({TimePoint::max(), std::move(on_expiry)});
  this->entry = watchdog.entries.begin();
}

Watchdog::Guard::~Guard() { this->watchdog.entries.erase(this->entry); }

void Watchdog::Sweep(TimePoint now) {
  // A callback only closes a socket or cancels a timer. The operations that
  // this aborts complete later on the event loop, so no entry is removed during
  // this iteration.
  for (Entry& entry : this->entries) {
    if (entry.deadline > now) continue;
    entry.deadline = TimePoint::max();
    entry.on_expiry();
  }
}

}  // namespace dandelionscale::internal
