// Engine streams with events of another request, events out of order, truncated
// or malformed ones must end with a fault, never as a complete response.
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

/// \returns the fault with which a stream of `body` for request "r" ends, or
/// nothing if it ends as complete.
std::optional<FaultKind> FaultOf(std::string body) {
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
          if (fault || std::holds_alternative<ResponseEnd>(event.value()))
            break;
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

TEST_CASE("a complete response ends without a fault") {
  CHECK_FALSE(FaultOf(Chunk("r", 0, "ab") + End(2)).has_value());
}

TEST_CASE("an invalid response ends with a fault") {
  const std::string first = Chunk("r", 0, "ab");
  // A chunk of another request.
  CHECK(FaultOf(Chunk("s", 0, "ab")) == FaultKind::kMalformedMessage);
  // A missing and a repeated chunk.
  CHECK(FaultOf(first + Chunk("r", 3, "a")) == FaultKind::kMalformedMessage);
  CHECK(FaultOf(first + first) == FaultKind::kMalformedMessage);
  // A truncated response with an end event.
  CHECK(FaultOf(first + End(9)) == FaultKind::kMalformedMessage);
  CHECK(FaultOf("data: not json\n\n") == FaultKind::kMalformedMessage);
  CHECK(FaultOf("data: 7\n\n") == FaultKind::kMalformedMessage);
  // A response without an end event.
  CHECK(FaultOf(first) == FaultKind::kConnectionLost);
  CHECK(FaultOf("") == FaultKind::kConnectionLost);
}

}  // namespace
}  // namespace dandelionscale::internal
