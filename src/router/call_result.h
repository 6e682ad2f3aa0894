#ifndef DANDELIONSCALE_SRC_ROUTER_CALL_RESULT_H_
#define DANDELIONSCALE_SRC_ROUTER_CALL_RESULT_H_

#include <string>

#include "dandelionscale/core/reasons.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::internal {

/// \brief Outcome of a request to an engine, and its response.
struct CallResult {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};  ///< Zero: no `Retry-After`.
  unsigned status = 0;
  std::string content_type;
  std::string body;
  std::string engine;
  /// The response was recorded for an earlier call with the same idempotency
  /// key.
  bool replayed = false;
  bool client_disconnected = false;  ///< The client disconnected early.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_CALL_RESULT_H_
