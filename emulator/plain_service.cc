#include "plain_service.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

#include "json_response.h"

namespace dandelionscale::emulator {

namespace json = boost::json;

namespace {

int ParseInt(std::string_view text) {
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string RecordKey(std::string_view workspace, std::string_view key) {
  return fmt::format("{}/{}", workspace, key);
}

}  // namespace

PlainService::PlainService(boost::asio::any_io_executor executor,
                           PlainServiceOptions options)
    : executor(std::move(executor)),
      options(options),
      running(options.count, 0) {}

Result<void> PlainService::Listen() {
  for (std::size_t i = 0; i < this->options.count; ++i) {
    this->servers.push_back(std::make_unique<HttpServer>(
        this->executor, HttpServerLimits{}, [this, i](HttpExchange& exchange) {
          return this->Handle(i, exchange);
        }));
    const auto port = static_cast<std::uint16_t>(this->options.base_port + i);
    auto bound = this->servers.back()->Listen(
        {boost::asio::ip::address_v4::loopback(), port});
    if (bound.has_error()) return bound.error();
  }
  return {};
}

Awaitable<void> PlainService::Handle(std::size_t engine,
                                     HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const std::string_view path = PathOf(request.target);
  if (path == "/v1/load") {
    co_await exchange.Respond(MakeJsonResponse(
        200, fmt::format("{{\"running\":{},\"incarnation\":1}}",
                         this->running[engine])));
    co_return;
  }
  if (path == "/v1/status") {
    auto found = this->records.find(
        RecordKey(QueryParameter(request.target, "workspace"),
                  QueryParameter(request.target, "key")));
    if (found == this->records.end()) {
      co_await exchange.Respond(MakeJsonResponse(404, "{}"));
      co_return;
    }
    json::object response{{"status", 201},
                          {"content_type", "application/json"},
                          {"body", found->second.body}};
    co_await exchange.Respond(MakeJsonResponse(200, json::serialize(response)));
    co_return;
  }
  if (request.method == "POST") {
    co_await this->HandlePost(engine, exchange);
    co_return;
  }
  co_await exchange.Respond(MakeJsonResponse(
      200, fmt::format("{{\"records\":{}}}", this->records.size())));
}

Awaitable<void> PlainService::HandlePost(std::size_t engine,
                                         HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  std::string key(request.headers.Find("Idempotency-Key"));
  if (key.empty()) key = request.headers.Find("X-Request-Id");
  ++this->running[engine];
  // The record is written at once; the response follows after `work`.
  Record& record =
      this->records[RecordKey(request.headers.Find("X-Workspace"), key)];
  ++record.runs;
  record.body = fmt::format("{{\"number\":{}}}", this->next_number++);
  std::string body = record.body;
  co_await SleepFor(this->options.work + this->extra_delay);
  --this->running[engine];
  if (this->drop_answers > 0) {
    --this->drop_answers;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(MakeJsonResponse(201, std::move(body)));
}

std::string PlainService::Stats() const {
  int runs = 0;
  int run_twice = 0;
  for (const auto& [key, record] : this->records) {
    runs += record.runs;
    if (record.runs > 1) ++run_twice;
  }
  return json::serialize(json::object{{"keys", this->records.size()},
                                      {"runs", runs},
                                      {"keys_run_twice", run_twice}});
}

Awaitable<void> PlainService::HandleControl(HttpExchange& exchange) {
  const std::string& target = exchange.Request().target;
  const std::string_view path = PathOf(target);
  if (path == "/fake/stats") {
    co_await exchange.Respond(MakeJsonResponse(200, this->Stats()));
  } else if (path == "/fake/runs") {
    auto found = this->records.find(RecordKey(
        QueryParameter(target, "workspace"), QueryParameter(target, "key")));
    const int runs = found == this->records.end() ? 0 : found->second.runs;
    co_await exchange.Respond(
        MakeJsonResponse(200, fmt::format("{{\"runs\":{}}}", runs)));
  } else if (path == "/fake/mode") {
    this->drop_answers = ParseInt(QueryParameter(target, "drop_answers"));
    this->extra_delay =
        std::chrono::milliseconds(ParseInt(QueryParameter(target, "delay_ms")));
    co_await exchange.Respond(MakeJsonResponse(200, "{}"));
  } else {
    co_await exchange.Respond(MakeJsonResponse(404, "{}"));
  }
}

}  // namespace dandelionscale::emulator
