#ifndef DANDELIONSCALE_CORE_JITTER_H_
#define DANDELIONSCALE_CORE_JITTER_H_

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \returns `duration` less a random part, so that routers do not call the
///          store in step.
/// \param random uniform in [0, 1).
Duration WithJitter(Duration duration, double random);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_JITTER_H_
