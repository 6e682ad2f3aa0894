/// \file
/// \brief When the watches of the shared store end if nothing changes.
///
/// The end of a watch proves that the watcher's view was current then; while
/// it is open, nothing is known. The watchers' waits therefore end in turn, at
/// moments that each derives from the store's clock, so that the fleet's newest
/// proof is never older than a part of a wait.
#ifndef DANDELIONSCALE_CORE_WATCH_SCHEDULE_H_
#define DANDELIONSCALE_CORE_WATCH_SCHEDULE_H_

#include <cstddef>
#include <optional>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Routers that are elected to watch the store for the fleet.
inline constexpr std::size_t kMaxElected = 3;

/// Time from one end of a router's watches to the next, if nothing changes.
inline constexpr Duration kWatchPeriod = std::chrono::milliseconds(1200);

/// Time between two ends of watches of the fleet.
inline constexpr Duration kWatchEndInterval =
    kWatchPeriod / static_cast<int>(kMaxElected);

/// \brief Returns for how long the next watch waits for changes.
/// \param store_time the store's steady clock, as of its last response; none if
///        it states no time. The waits then end at random and more often.
/// \param rank of the router among those that watch, from 0.
/// \param random uniform in [0, 1).
Duration NextWatchWait(const std::optional<Duration>& store_time,
                       std::size_t rank, double random);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_WATCH_SCHEDULE_H_
