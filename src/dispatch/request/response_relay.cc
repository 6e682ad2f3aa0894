// RequestDispatch: relay of an engine's response to the client.
#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/request/request_dispatch.h"
#include "engine_response/following_response.h"
#include "engine_response/stream_end.h"

namespace dandelionscale::internal {

namespace {

// Limit for a response that is buffered before it is relayed.
constexpr std::size_t kMaxBufferedBytes = 16 * 1024 * 1024;

}  // namespace

Awaitable<std::optional<AttemptFailure>> RequestDispatch::RelayResponse() {
  const EngineResponse& response = this->exchange->Response();
  this->status = response.status;
  this->framing = this->exchange->Framing();
  if (const auto failure = FailureOfHead(response)) co_return failure;
  const bool is_stream = this->IsStreamAnswer(*this->exchange);
  // A head without an event is not more than a backup may have.
  if (!is_stream || !this->backup) this->OnResponseProgress();
  if (is_stream) co_return co_await this->RelayEventStream();
  co_return co_await this->RelayBufferedResponse();
}

std::optional<AttemptFailure> RequestDispatch::FailureOfHead(
    const EngineResponse& response) {
  if (response.wrong_engine) return AttemptFailure::kWrongEngine;
  if (response.not_run) return AttemptFailure::kRefused;
  // To a client this status would say that the request has not run.
  if (http_status::IsRefusal(response.status)) {
    return AttemptFailure::kBadAnswer;
  }
  return std::nullopt;
}

bool RequestDispatch::IsStreamAnswer(const EngineExchange& answer) const {
  return this->route->kind == RouteKind::kStreaming && answer.IsEventStream() &&
         http_status::IsBelowRedirection(answer.Response().status);
}

Awaitable<std::optional<AttemptFailure>>
RequestDispatch::RelayBufferedResponse() {
  std::string body;
  MemoryBudget::Share memory(this->state.response_memory);
  BodyEnd end = BodyEnd::kOpen;
  while (end == BodyEnd::kOpen) {
    auto data = co_await this->exchange->ReadBodyFragment();
    if (data.has_error()) co_return AttemptFailure::kNoAnswer;
    if (!data.value().empty()) this->OnResponseProgress();
    body += data.value();
    end = this->FindBodyEnd(body, data.value().size());
    if (body.size() > kMaxBufferedBytes || !memory.Resize(body.capacity())) {
      this->exchange->OnExcessiveBytes("body");
      co_return AttemptFailure::kBadAnswer;
    }
  }
  if (end == BodyEnd::kUncertain) {
    this->exchange->Cancel();
    co_return AttemptFailure::kNoAnswer;
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
  this->SuspendSilenceCheck();
  this->OnAnswerBegun();
  co_await this->client.SendResponse(response.status, response.end_to_end,
                                     body);
  co_return std::nullopt;
}

BodyEnd RequestDispatch::FindBodyEnd(std::string& body,
                                     std::size_t new_bytes) const {
  const bool at_end = new_bytes == 0;
  if (this->framing != BodyFraming::kUntilClose) {
    return at_end ? BodyEnd::kReached : BodyEnd::kOpen;
  }
  // A head may have begun in the bytes that were searched before, and at the
  // end those decide that had not arrived then.
  const std::size_t searched = at_end ? 0 : body.size() - new_bytes;
  std::size_t from = searched - std::min(searched, kMaxFollowingHeadBytes);
  while (const auto head = FindFollowingHead(body, from, *this->state.codec)) {
    const auto meaning = this->JudgeHeadInBody(*head, body, at_end);
    if (!meaning) return BodyEnd::kOpen;
    if (meaning == HeadMeaning::kUnclear) return BodyEnd::kUncertain;
    if (meaning == HeadMeaning::kResponse) {
      body.resize(head->begin);
      return BodyEnd::kReached;
    }
    from = head->end;
  }
  if (!at_end) return BodyEnd::kOpen;
  return EndsInsideHead(body) ? BodyEnd::kUncertain : BodyEnd::kReached;
}

std::optional<HeadMeaning> RequestDispatch::JudgeHeadInBody(
    const FollowingHead& head, std::string_view body, bool at_end) const {
  const EngineResponse& named = head.response;
  HeadContext context = {body, &this->exchange->Response()};
  context.named =
      FindNamedRequest(named, this->decoded.id,
                       this->exchange->MayHaveCarried(named.request_id));
  context.is_only_request = this->exchange->IsOnlyRequest();
  context.at_end = at_end;
  const auto meaning = JudgeHead(head, context);
  if (meaning && meaning != HeadMeaning::kQuote) {
    Logger::Warning("head_in_body",
                    {{"request", this->decoded.id},
                     {"engine", this->exchange->ServingEngine().record.id},
                     {"names", ToString(context.named)},
                     {"marked", named.is_signed || named.not_run},
                     {"whole", head.is_whole},
                     {"only_request", context.is_only_request},
                     {"meaning", ToString(*meaning)}});
  }
  return meaning;
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::RelayEventStream() {
  this->events.OnResponse(this->exchange->Framing());
  MemoryBudget::Share memory(this->state.response_memory);
  BodyEnd end = BodyEnd::kOpen;
  while (end == BodyEnd::kOpen) {
    auto data = co_await this->exchange->ReadBodyFragment();
    this->unfinished_bytes = this->events.UnfinishedBytes();
    if (data.has_error()) co_return this->FailureOfStream();
    const bool at_end = data.value().empty();
    std::string events_text = this->events.Feed(data.value());
    end = this->FindStreamEnd(at_end);
    if (at_end && end == BodyEnd::kReached) events_text += this->events.Flush();
    if (!events_text.empty()) this->OnAnswerBegun();
    const bool is_empty_stream =
        end == BodyEnd::kReached && !this->stream_started;
    if (!events_text.empty() || is_empty_stream) {
      this->SuspendSilenceCheck();
      if (!co_await this->DeliverEvents(events_text)) {
        this->Interrupt(Interruption::kClientGone);
        co_return AttemptFailure::kStreamBroken;
      }
    }
    const bool has_memory = memory.Resize(this->events.UnfinishedMemory());
    if (this->events.IsEventTooLong() || !has_memory) {
      this->exchange->OnExcessiveBytes("event");
      end = BodyEnd::kUncertain;
    }
    // Bytes of an event that is never completed are no progress.
    if (!events_text.empty()) this->OnProgress();
  }
  if (end == BodyEnd::kUncertain) {
    this->exchange->Cancel();
    co_return this->FailureOfStream();
  }
  this->SuspendSilenceCheck();
  this->exchange.reset();
  co_await this->client.EndStream();
  co_return std::nullopt;
}

AttemptFailure RequestDispatch::FailureOfStream() const {
  return this->stream_started ? AttemptFailure::kStreamBroken
                              : AttemptFailure::kNoAnswer;
}

BodyEnd RequestDispatch::FindStreamEnd(bool at_end) const {
  const bool is_resumption = !this->decoded.resume_after.empty();
  const StreamDoubt doubt =
      FindStreamDoubt(this->events, {*this->framing, is_resumption, at_end});
  if (doubt != StreamDoubt::kNone) {
    this->LogStreamDoubt(doubt, at_end);
    return BodyEnd::kUncertain;
  }
  return at_end ? BodyEnd::kReached : BodyEnd::kOpen;
}

void RequestDispatch::LogStreamDoubt(StreamDoubt doubt, bool at_end) const {
  const auto head =
      ParseFollowingHead(this->events.Following(), *this->state.codec);
  const EngineResponse response = head ? head->response : EngineResponse();
  const NamedRequest named =
      FindNamedRequest(response, this->decoded.id,
                       this->exchange->MayHaveCarried(response.request_id));
  this->state.metrics.Add(fmt::format(
      "engine_streams_in_doubt_total{{follows=\"{}\"}}", ToString(doubt)));
  Logger::Warning(
      "stream_in_doubt",
      {{"request", this->decoded.id},
       {"engine", this->exchange->ServingEngine().record.id},
       {"follows", ToString(doubt)},
       {"status", static_cast<std::int64_t>(response.status)},
       {"names", ToString(named)},
       {"marked", response.is_signed || response.not_run},
       {"whole_head", head && head->is_whole},
       {"only_request", this->exchange->IsOnlyRequest()},
       {"framing", ToString(*this->framing)},
       {"at_end", at_end},
       {"events", static_cast<std::int64_t>(this->events.EventCount())},
       {"last_id", this->events.LastId()}});
}

Awaitable<bool> RequestDispatch::DeliverEvents(const std::string& events) {
  if (this->stream_started) co_return co_await this->client.SendData(events);
  this->stream_started = true;
  this->OnStreamBegun();
  this->first_event_at = RuntimeClock::now();
  this->state.metrics.ObserveLatency("first_event_seconds",
                                     this->first_event_at - this->arrived_at);
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
