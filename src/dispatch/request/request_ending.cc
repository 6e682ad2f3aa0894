// RequestDispatch: the final response to the client and its log record.
#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/request/request_dispatch.h"

namespace dandelionscale::internal {

Awaitable<void> RequestDispatch::Finish(const AttemptDecision& decision,
                                        AttemptFailure failure) {
  if (std::holds_alternative<BreakStream>(decision)) {
    this->client.EndIncomplete();
    this->LogOutcome("stream_broken", 0, ToString(failure));
  } else if (std::holds_alternative<RefuseNotRun>(decision)) {
    co_await this->Refuse(http_status::kServiceUnavailable, ToString(failure));
  } else if (this->error_response) {
    co_await this->RelayErrorResponse(ToString(failure));
  } else {
    co_await this->Fail(http_status::kBadGateway, ToString(failure));
  }
}

Awaitable<void> RequestDispatch::RelayErrorResponse(std::string_view reason) {
  co_await this->client.SendResponse(this->error_response->status,
                                     this->error_response->end_to_end,
                                     this->error_response_body);
  this->LogOutcome("engine_failed", this->error_response->status, reason);
}

Awaitable<void> RequestDispatch::FinishForGoneClient(std::string_view reason) {
  if (this->stream_started) {
    this->client.EndIncomplete();
  } else if (this->may_have_run) {
    co_await this->SendError(http_status::kBadGateway, std::nullopt);
  } else {
    co_await this->SendError(http_status::kServiceUnavailable,
                             kDefaultRetryAfter);
  }
  this->LogOutcome("client_gone", 0, reason);
}

Awaitable<void> RequestDispatch::Refuse(unsigned status,
                                        std::string_view reason) {
  const RefusedRequest refused = {this->Placement(), this->workspace,
                                  this->quarantine_keys};
  const Duration retry_after = RetryAfter(
      this->state, refused, RuntimeClock::now(), this->state.Random());
  co_await this->SendErrorResponse(status, reason, retry_after);
}

Awaitable<void> RequestDispatch::Fail(unsigned status,
                                      std::string_view reason) {
  co_await this->SendErrorResponse(status, reason, std::nullopt);
}

Awaitable<void> RequestDispatch::SendErrorResponse(
    unsigned status, std::string_view reason,
    std::optional<Duration> retry_after) {
  co_await this->SendError(status, retry_after);
  this->LogOutcome(retry_after ? "refused" : "failed", status, reason);
}

Awaitable<void> RequestDispatch::SendError(
    unsigned status, std::optional<Duration> retry_after) {
  HttpHeaders headers = this->state.codec->EncodeErrorHeaders(this->decoded.id);
  if (retry_after) {
    headers.Add(
        "Retry-After",
        fmt::format("{:.3f}",
                    std::chrono::duration<double>(*retry_after).count()));
  }
  co_await this->client.SendResponse(status, std::move(headers), "");
}

void RequestDispatch::LogOutcome(std::string_view outcome, unsigned status,
                                 std::string_view reason) {
  const Duration age = RuntimeClock::now() - this->arrived_at;
  this->state.metrics.Add(
      fmt::format("request_outcomes_total{{outcome=\"{}\",reason=\"{}\"}}",
                  outcome, reason));
  this->state.metrics.ObserveLatency("request_seconds", age);
  Logger::Info(
      "request_finished",
      {{"request", this->decoded.id},
       {"outcome", outcome},
       {"status", static_cast<std::int64_t>(status)},
       {"reason", reason},
       {"route", this->route == nullptr ? std::string_view()
                                        : std::string_view(this->route->name)},
       {"fingerprint", fmt::format("{:x}", this->fingerprint)},
       {"took_ms", ToMilliseconds(age)},
       {"deadline_ms", ToMilliseconds(this->Deadline() - this->arrived_at)},
       {"timeout_ms", ToMilliseconds(this->timeout)},
       {"sends", static_cast<std::int64_t>(this->sends)},
       {"events", static_cast<std::int64_t>(this->events.EventCount())},
       {"stream", ToString(this->events.State())},
       {"framing", this->framing ? ToString(*this->framing) : ""},
       {"unfinished_bytes",
        static_cast<std::int64_t>(this->unfinished_bytes)}});
}

}  // namespace dandelionscale::internal
