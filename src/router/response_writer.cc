#include "router/response_writer.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "dandelionscale/transport/sse.h"

namespace dandelionscale::internal {
namespace {

namespace json = boost::json;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ResponseWriter::ResponseWriter(HttpExchange& exchange, ResponseFormat format,
                               std::string request_id, Metrics& metrics,
                               TimePoint started)
    : exchange(exchange),
      format(format),
      request_id(std::move(request_id)),
      metrics(metrics),
      last_token_at(started) {}

Awaitable<bool> ResponseWriter::OnHead(const wire::Head& head) {
  this->engine = head.engine();
  this->placement =
      ToString(static_cast<PlacementReason>(head.placement_reason()));
  this->status = head.status();
  this->content_type = head.content_type();
  if (this->format != ResponseFormat::kEvents || this->started) co_return true;
  co_return co_await this->StartEvents();
}

Awaitable<bool> ResponseWriter::StartEvents() {
  this->started = true;
  HttpHeaders headers{{"Content-Type", "text/event-stream"},
                      {"Cache-Control", "no-store"},
                      {"X-Request-Id", this->request_id},
                      {"X-Engine", this->engine},
                      {"X-Placement", this->placement}};
  const bool written =
      co_await this->exchange.StartStream(200, std::move(headers));
  this->client_disconnected = !written;
  co_return written;
}

Awaitable<bool> ResponseWriter::WriteEvent(std::string text) {
  const bool written = co_await this->exchange.Write(text);
  this->client_disconnected = !written;
  co_return written;
}

std::string ResponseWriter::EventId() const {
  return fmt::format("{}/{}/{}", this->engine, this->request_id, this->offset);
}

void ResponseWriter::RecordTokenLatency() {
  const TimePoint now = RuntimeClock::now();
  const double seconds = Seconds(now - this->last_token_at);
  this->last_token_at = now;
  this->metrics.Observe(this->first_token_seen
                            ? "dandelion_between_tokens_seconds"
                            : "dandelion_first_token_seconds",
                        seconds);
  this->first_token_seen = true;
}

Awaitable<bool> ResponseWriter::OnChunk(const wire::Chunk& chunk) {
  if (chunk.request_id() != this->request_id) co_return false;
  if (chunk.offset() != this->offset) co_return false;
  this->offset += chunk.data().size();
  this->RecordTokenLatency();
  if (this->format != ResponseFormat::kEvents) {
    this->body += chunk.data();
    co_return true;
  }
  json::object data{
      {"id", this->request_id},
      {"object", "chat.completion.chunk"},
      {"choices",
       json::array{json::object{
           {"index", 0}, {"delta", json::object{{"content", chunk.data()}}}}}}};
  SseEvent event{this->EventId(), "", json::serialize(data)};
  std::string text = FormatSse(event);
  co_return co_await this->WriteEvent(std::move(text));
}

Awaitable<bool> ResponseWriter::OnEnd(const wire::End& end) {
  if (end.length() != this->offset) co_return false;
  if (this->format == ResponseFormat::kEvents) {
    SseEvent event{this->EventId(), "", "[DONE]"};
    const bool written = co_await this->WriteEvent(FormatSse(event));
    if (written) co_await this->exchange.Finish();
    co_return true;
  }
  if (this->format == ResponseFormat::kVerbatim) co_return true;
  json::object document{
      {"id", this->request_id},
      {"object", "chat.completion"},
      {"choices", json::array{json::object{
                      {"index", 0},
                      {"message", json::object{{"role", "assistant"},
                                               {"content", this->body}}},
                      {"finish_reason", "stop"}}}}};
  HttpResponse response;
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", this->request_id},
                      {"X-Engine", this->engine},
                      {"X-Placement", this->placement}};
  response.body = json::serialize(document);
  this->client_disconnected =
      !co_await this->exchange.Respond(std::move(response));
  co_return true;
}

Awaitable<void> ResponseWriter::Fail(const Problem& problem) {
  if (!this->started) {
    co_await this->exchange.Respond(ProblemResponse(problem));
    co_return;
  }
  // The chunked body is left unterminated, so that the client does not take the
  // response for complete.
  SseEvent event{"", "error", ProblemBody(problem)};
  co_await this->WriteEvent(FormatSse(event));
  this->exchange.Abort();
}

}  // namespace dandelionscale::internal
