/// \file
/// \brief Timeouts and delays of calls to the store.
#ifndef DANDELIONSCALE_SRC_DISPATCH_STORE_STORE_CALL_TIMES_H_
#define DANDELIONSCALE_SRC_DISPATCH_STORE_STORE_CALL_TIMES_H_

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::internal {

/// Timeout of a call that does not wait for changes.
inline constexpr Duration kReadTimeout = std::chrono::milliseconds(1200);
/// Longest delay after a failed call.
inline constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_STORE_STORE_CALL_TIMES_H_
