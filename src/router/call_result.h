#ifndef DANDELIONSCALE_SRC_ROUTER_CALL_RESULT_H_
#define DANDELIONSCALE_SRC_ROUTER_CALL_RESULT_H_

#include <string>

#include "dandelionscale/core/reasons.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::internal {

/// \brief How a request to an engine ended.
struct CallResult {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
  unsigned status = 0;
  std::string content_type;
  std::string body;
  std::string engine;
  bool replayed = false;     ///< Answer of an earlier attempt with the key.
  bool client_gone = false;  ///< Nobody waits for the answer any more.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_CALL_RESULT_H_
