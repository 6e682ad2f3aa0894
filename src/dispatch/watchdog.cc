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
  // A callback closes a socket, cancels a timer or starts a coroutine. The
  // operations that this aborts complete later on the event loop, so the
  // current entry is not removed during this iteration.
  for (Entry& entry : this->entries) {
    if (entry.deadline > now) continue;
    entry.deadline = TimePoint::max();
    entry.on_expiry();
  }
}

}  // namespace dandelionscale::internal
