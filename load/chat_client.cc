#include "load/chat_client.h"

#include <boost/json.hpp>

#include "dandelionscale/transport/http_fields.h"
#include "dandelionscale/transport/sse.h"

namespace dandelionscale::load {

namespace json = boost::json;

namespace {

void ParseProblem(std::string_view body, ChatAnswer& answer) {
  json::error_code error;
  json::value problem =
      json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !problem.is_object()) return;
  const json::object& object = problem.get_object();
  if (const auto* title = object.if_contains("title")) {
    answer.reason = json::value_to<std::string>(*title);
  }
  if (const auto* outcome = object.if_contains("outcome")) {
    answer.outcome = json::value_to<std::string>(*outcome);
  }
}

/// \brief Appends the content of an event to the answer, or records the error
/// or the end that the event reports.
void ApplyEvent(const SseEvent& event, TimePoint now, TimePoint& last_token,
                ChatAnswer& answer) {
  if (event.event == "error") {
    ParseProblem(event.data, answer);
    return;
  }
  if (event.data == "[DONE]") {
    answer.complete = true;
    return;
  }
  const json::value data = json::parse(event.data);
  const json::value& delta = data.at("choices").at(0).at("delta");
  if (answer.content.empty()) {
    answer.first_token = now - last_token;
  } else {
    answer.token_gaps.push_back(now - last_token);
  }
  last_token = now;
  answer.content += json::value_to<std::string>(delta.at("content"));
  answer.last_event_id = event.id;
}

}  // namespace

HttpRequest MakeChatRequest(const ChatTurn& turn) {
  json::array messages;
  for (const ChatMessage& message : turn.messages) {
    messages.push_back(
        json::object{{"role", message.role}, {"content", message.content}});
  }
  json::object body{{"model", turn.service},
                    {"stream", true},
                    {"max_tokens", turn.answer_tokens},
                    {"messages", std::move(messages)}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("X-Workspace", turn.workspace);
  request.headers.Add("X-Session-Id", turn.session);
  request.body = json::serialize(body);
  return request;
}

Awaitable<ChatAnswer> ChatClient::Send(Endpoint router, ChatTurn turn) {
  HttpRequest request = MakeChatRequest(turn);
  ChatAnswer answer;
  co_return co_await this->Exchange(router, std::move(request), std::move(turn),
                                    std::move(answer));
}

Awaitable<ChatAnswer> ChatClient::Resume(Endpoint router, ChatTurn turn,
                                         ChatAnswer broken) {
  HttpRequest request = MakeChatRequest(turn);
  request.headers.Add("Last-Event-ID", broken.last_event_id);
  broken.reason.clear();
  broken.outcome.clear();
  co_return co_await this->Exchange(router, std::move(request), std::move(turn),
                                    std::move(broken));
}

Awaitable<ChatAnswer> ChatClient::Exchange(Endpoint router, HttpRequest request,
                                           ChatTurn turn, ChatAnswer answer) {
  const TimePoint started = RuntimeClock::now();
  const TimePoint deadline = started + turn.timeout;
  auto opened = co_await this->http.Open(router, std::move(request),
                                         ConnectionUse::kReuse, turn.timeout);
  if (opened.has_error()) {
    answer.reason = ToString(opened.error().kind);
    answer.outcome = "connection";
    co_return answer;
  }
  std::shared_ptr<HttpStream> stream = opened.value();
  answer.status = stream->Status();
  answer.request_id = stream->Headers().Find("X-Request-Id");
  answer.engine = stream->Headers().Find("X-Engine");
  answer.placement = stream->Headers().Find("X-Placement");
  const bool events = IsEventStreamType(stream->Headers().Find("Content-Type"));
  SseReader reader;
  std::string body;
  TimePoint last_token = started;
  while (true) {
    auto fragment = co_await stream->Read(deadline - RuntimeClock::now());
    if (fragment.has_error() || fragment.value().empty()) break;
    if (!events) {
      body += fragment.value();
      continue;
    }
    reader.Append(fragment.value());
    while (true) {
      auto event = reader.Next();
      if (event.has_error() || !event.value()) break;
      ApplyEvent(*event.value(), RuntimeClock::now(), last_token, answer);
      if (turn.on_event) turn.on_event();
    }
  }
  if (!events) ParseProblem(body, answer);
  if (events && !answer.complete && answer.reason.empty()) {
    answer.reason = "connection_lost";
    answer.outcome = "unknown";
  }
  co_return answer;
}

}  // namespace dandelionscale::load
