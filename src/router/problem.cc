#include "router/problem.h"

#include <boost/json.hpp>

namespace dandelionscale::internal {

unsigned StatusOf(const Problem& problem) {
  switch (problem.reason) {
    case RefusalReason::kMalformedRequest:
      return 400;
    case RefusalReason::kUnknownWorkspace:
      return 403;
    case RefusalReason::kUnknownService:
      return 404;
    case RefusalReason::kIdempotencyKeyConflict:
      return 422;
    case RefusalReason::kWorkspaceShare:
      return 429;
    case RefusalReason::kDeadlineExceeded:
      return 504;
    default:
      return problem.outcome == RequestOutcome::kUnknown ? 502 : 503;
  }
}

std::string ProblemBody(const Problem& problem) {
  boost::json::object body;
  const std::string_view reason = ToString(problem.reason);
  body["type"] = "urn:dandelionscale:problem:" + std::string(reason);
  body["title"] = reason;
  body["status"] = StatusOf(problem);
  body["outcome"] = ToString(problem.outcome);
  if (!problem.detail.empty()) body["detail"] = problem.detail;
  if (!problem.request_id.empty()) body["request_id"] = problem.request_id;
  if (problem.retry_after > Duration::zero()) {
    body["retry_after_ms"] = ToMilliseconds(problem.retry_after);
  }
  return boost::json::serialize(body);
}

HttpResponse ProblemResponse(const Problem& problem) {
  HttpResponse response;
  response.status = StatusOf(problem);
  response.headers.Add("Content-Type", "application/problem+json");
  if (problem.retry_after > Duration::zero()) {
    // Rounded up, so that the client does not retry too early.
    auto seconds =
        std::chrono::ceil<std::chrono::seconds>(problem.retry_after).count();
    response.headers.Add("Retry-After", std::to_string(seconds));
  }
  if (!problem.request_id.empty()) {
    response.headers.Add("X-Request-Id", problem.request_id);
  }
  response.body = ProblemBody(problem);
  return response;
}

}  // namespace dandelionscale::internal
