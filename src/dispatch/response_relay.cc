// RequestDispatch: relay of an engine's response to the client.
#include <algorithm>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/request_dispatch.h"
#include "engine_response/following_response.h"

namespace dandelionscale::internal {

namespace {

// Limit for a response that is buffered before it is relayed.
constexpr std::size_t kMaxBufferedBytes = 16 * 1024 * 1024;

}  // namespace

Awaitable<std::optional<AttemptFailure>> RequestDispatch::RelayResponse() {
  const EngineResponse& response = this->exchange->Response();
  this->status = response.status;
  this->framing = this->exchange->Framing();
  if (response.wrong_engine) co_return AttemptFailure::kWrongEngine;
  if (response.not_run) co_return AttemptFailure::kRefused;
  const bool is_stream = this->route->kind == RouteKind::kStreaming &&
                         this->exchange->IsEventStream() &&
                         http_status::IsBelowRedirection(response.status);
  if (is_stream) co_return co_await this->RelayEventStream();
  co_return co_await this->RelayBufferedResponse();
}

Awaitable<std::optional<AttemptFailure>>
RequestDispatch::RelayBufferedResponse() {
  std::string body;
  MemoryBudget::Share memory(this->state.response_memory);
  while (true) {
    auto data = co_await this->exchange->ReadBodyFragment();
    if (data.has_error()) co_return AttemptFailure::kNoAnswer;
    if (data.value().empty()) break;
    body += data.value();
    if (this->EndAtFollowingResponse(body, data.value().size())) break;
    if (body.size() > kMaxBufferedBytes || !memory.Resize(body.capacity())) {
      this->exchange->OnExcessiveBytes("body");
      co_return AttemptFailure::kBadAnswer;
    }
  }
  const EngineResponse response = this->exchange->Response();
  this->exchange.reset();
  const bool failed = http_status::IsServerError(response.status);
  // A response that is not an event stream can't continue a started stream.
  if (failed || this->stream_started) {
    this->error_response = response;
    this->error_response_body = std::move(body);
    co_return AttemptFailure::kEngineError;
  }
  this->stall_deadline = TimePoint::max();
  this->OnAnswerBegun();
  co_await this->client.SendResponse(response.status, response.end_to_end,
                                     body);
  co_return std::nullopt;
}

bool RequestDispatch::EndAtFollowingResponse(std::string& body,
                                             std::size_t new_bytes) {
  if (this->framing != BodyFraming::kUntilClose) return false;
  // A head may have begun in the bytes that were searched before.
  const std::size_t searched = body.size() - new_bytes;
  const auto found = FindFollowingResponse(
      body, searched - std::min(searched, kMaxFollowingHeadBytes),
      *this->state.codec);
  if (!found) return false;
  Logger::Warning("second_answer", {{"request", this->decoded.id},
                                    {"engine", this->exchange->EngineId()}});
  body.resize(*found);
  return true;
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::RelayEventStream() {
  this->events.OnResponse(this->exchange->Framing());
  while (true) {
    auto data = co_await this->exchange->ReadBodyFragment();
    this->unfinished_bytes = this->events.UnfinishedBytes();
    const bool at_end = data.has_value() && data.value().empty();
    if (data.has_error() || (at_end && this->events.IsInsideEvent())) {
      co_return this->stream_started ? AttemptFailure::kStreamBroken
                                     : AttemptFailure::kNoAnswer;
    }
    const std::string events_text =
        at_end ? this->events.Flush() : this->events.Feed(data.value());
    const bool ends = at_end || this->events.State() == StreamState::kFollowed;
    if (!events_text.empty()) this->OnAnswerBegun();
    if (!events_text.empty() || (ends && !this->stream_started)) {
      if (!co_await this->DeliverEvents(events_text)) {
        this->Interrupt(Interruption::kClientGone);
        co_return AttemptFailure::kStreamBroken;
      }
    }
    if (ends) break;
    if (this->events.State() == StreamState::kMalformed) {
      this->exchange->Cancel();
      co_return this->stream_started ? AttemptFailure::kStreamBroken
                                     : AttemptFailure::kBadAnswer;
    }
    if (this->events.IsEventTooLong()) {
      this->exchange->OnExcessiveBytes("event");
      co_return this->stream_started ? AttemptFailure::kStreamBroken
                                     : AttemptFailure::kBadAnswer;
    }
    // Bytes of an event that is never completed are no progress.
    if (!events_text.empty()) this->ArmStallTimeout();
  }
  this->exchange.reset();
  co_await this->client.EndStream();
  co_return std::nullopt;
}

Awaitable<bool> RequestDispatch::DeliverEvents(const std::string& events) {
  if (this->stream_started) co_return co_await this->client.SendData(events);
  this->stream_started = true;
  this->state.metrics.ObserveLatency("first_event_seconds",
                                     RuntimeClock::now() - this->arrived_at);
  co_return co_await this->client.StartStream(
      this->exchange->Response().status, this->exchange->Response().end_to_end,
      events);
}

void RequestDispatch::OnAnswerBegun() {
  if (this->answer_begun) return;
  this->answer_begun = true;
  this->state.OnOwnQuarantineChanges(
      this->state.quarantine.OnAnswered(RuntimeClock::now(), this->service,
                                        this->quarantine_keys),
      "answer");
}

}  // namespace dandelionscale::internal
