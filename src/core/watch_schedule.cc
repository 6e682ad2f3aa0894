#include "dandelionscale/core/watch_schedule.h"

namespace dandelionscale {
namespace {

// A shorter wait would return nothing that the last response did not show.
constexpr Duration kMinWait = std::chrono::milliseconds(100);
// Longest wait that ends at random, and the largest fraction of it that is
// subtracted.
constexpr Duration kMaxRandomWait = kWatchPeriod / 2;
constexpr double kMaxJitter = 0.4;

}  // namespace

Duration NextWatchWait(const std::optional<Duration>& store_time,
                       std::size_t rank, double random) {
  if (!store_time) {
    const double factor = 1.0 - kMaxJitter * random;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kMaxRandomWait) * factor);
  }
  const Duration phase =
      kWatchEndInterval * static_cast<int>(rank % kMaxElected);
  const Duration since_end =
      (*store_time + kWatchPeriod - phase) % kWatchPeriod;
  const Duration wait = kWatchPeriod - since_end;
  return wait < kMinWait ? wait + kWatchPeriod : wait;
}

}  // namespace dandelionscale
