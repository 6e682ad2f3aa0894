#include "dandelionscale/core/watch_schedule.h"

#include "dandelionscale/core/jitter.h"

namespace dandelionscale {
namespace {

// A shorter wait would return nothing that the last response did not show.
constexpr Duration kMinWait = std::chrono::milliseconds(100);
// Longest wait that ends at random.
constexpr Duration kMaxRandomWait = kWatchPeriod / 2;

}  // namespace

Duration NextWatchWait(const std::optional<Duration>& store_time,
                       std::size_t rank, double random) {
  if (!store_time) return WithJitter(kMaxRandomWait, random);
  const Duration phase =
      kWatchEndInterval * static_cast<int>(rank % kMaxElected);
  const Duration since_end =
      (*store_time + kWatchPeriod - phase) % kWatchPeriod;
  const Duration wait = kWatchPeriod - since_end;
  return wait < kMinWait ? wait + kWatchPeriod : wait;
}

}  // namespace dandelionscale
