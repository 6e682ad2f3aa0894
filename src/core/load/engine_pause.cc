#include "dandelionscale/core/load/engine_pause.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// A longer pause is a mistake of the engine; without a limit it would be out of
// use until its next start.
constexpr Duration kMaxPause = std::chrono::minutes(2);

}  // namespace

void EnginePause::Request(TimePoint now, Duration duration) {
  this->until = std::max(this->until, now + std::min(duration, kMaxPause));
}

Duration EnginePause::Remaining(TimePoint now) const {
  return std::max(this->until - now, Duration::zero());
}

}  // namespace dandelionscale
