#ifndef DANDELIONSCALE_SRC_ROUTER_PROBLEM_H_
#define DANDELIONSCALE_SRC_ROUTER_PROBLEM_H_

#include <string>
#include <string_view>

#include "dandelionscale/core/reasons.h"
#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::internal {

/// \brief Error of a request as reported to the client (RFC 9457 problem
/// details).
struct Problem {
  RefusalReason reason = RefusalReason::kNone;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  Duration retry_after{};
  std::string detail;
  std::string request_id;
};

/// \returns the HTTP status for the reason and outcome of a problem.
unsigned StatusOf(const Problem& problem);
/// \returns the problem document as JSON.
std::string ProblemBody(const Problem& problem);
/// \returns the complete response, with `Retry-After` in whole seconds.
HttpResponse ProblemResponse(const Problem& problem);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_PROBLEM_H_
