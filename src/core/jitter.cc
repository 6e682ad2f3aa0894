#include "dandelionscale/core/jitter.h"

namespace dandelionscale {
namespace {

// Largest fraction of a delay that is subtracted at random.
constexpr double kMaxJitter = 0.4;

}  // namespace

Duration WithJitter(Duration duration, double random) {
  const double factor = 1.0 - kMaxJitter * random;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace dandelionscale
