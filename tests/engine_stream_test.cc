// Answers of engines that are crossed, out of order, short or malformed.
#include "router/engine_stream.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::internal {
namespace {

namespace asio = boost::asio;

/// \returns the fault with which a stream of `body` to request "r" ends, or
/// nothing if it ends whole.
std::optional<FaultKind> EndOf(std::string body) {
  asio::io_context loop(1);
  HttpServer server(loop.get_executor(), HttpServerLimits{},
                    [&](HttpExchange& exchange) -> Awaitable<void> {
                      HttpResponse response;
                      response.body = body;
                      co_await exchange.Respond(std::move(response));
                    });
  const Endpoint endpoint =
      server.Listen({asio::ip::address_v4::loopback(), 0}).value();
  HttpClient client(loop.get_executor(), nullptr);
  std::optional<FaultKind> fault;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        auto http = co_await client.Open(
            endpoint, request, ConnectionUse::kFresh, std::chrono::seconds(30));
        EngineStream stream(http.value(), "r", 0);
        while (true) {
          auto event = co_await stream.Next(std::chrono::seconds(30));
          if (event.has_error()) fault = event.error().kind;
          if (fault || std::holds_alternative<AnswerEnd>(event.value())) break;
        }
        loop.stop();
      },
      asio::detached);
  loop.run();
  return fault;
}

/// \returns a chunk event.
std::string Chunk(std::string_view request_id, int offset,
                  std::string_view content) {
  return fmt::format(
      "data: {{\"request_id\":\"{}\",\"offset\":{},\"content\":\"{}\"}}\n\n",
      request_id, offset, content);
}

/// \returns an end event.
std::string End(int length) {
  return fmt::format(
      "event: end\ndata: {{\"request_id\":\"r\",\"length\":{}}}\n\n", length);
}

TEST_CASE("a whole answer ends whole") {
  CHECK_FALSE(EndOf(Chunk("r", 0, "ab") + End(2)).has_value());
}

TEST_CASE("anything else is a fault, and never an end") {
  const std::string first = Chunk("r", 0, "ab");
  // Another request's answer.
  CHECK(EndOf(Chunk("s", 0, "ab")) == FaultKind::kMalformedMessage);
  // A gap, and a repetition.
  CHECK(EndOf(first + Chunk("r", 3, "a")) == FaultKind::kMalformedMessage);
  CHECK(EndOf(first + first) == FaultKind::kMalformedMessage);
  // A short answer that claims to be whole.
  CHECK(EndOf(first + End(9)) == FaultKind::kMalformedMessage);
  CHECK(EndOf("data: not json\n\n") == FaultKind::kMalformedMessage);
  CHECK(EndOf("data: 7\n\n") == FaultKind::kMalformedMessage);
  // An answer that stops.
  CHECK(EndOf(first) == FaultKind::kConnectionLost);
  CHECK(EndOf("") == FaultKind::kConnectionLost);
}

}  // namespace
}  // namespace dandelionscale::internal
