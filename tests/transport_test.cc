// Tests of the transport module: server-sent events, streams between routers,
// unreachable and misbehaving peers, and reuse of HTTP connections.
#include "dandelionscale/transport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "transport/http2_session.h"

namespace dandelionscale {
namespace {

namespace asio = boost::asio;

/// \returns a loopback endpoint with port 0: the system assigns a free port.
Endpoint AnyPort() { return {asio::ip::address_v4::loopback(), 0}; }

TEST_CASE("server-sent events are parsed however the bytes are split") {
  const std::string text =
      FormatSse({"1", "", "first"}) + FormatSse({"", "end", "a\nb"});
  const std::string wire =
      "id: 1\ndata: first\n\nevent: end\ndata: a\n"
      "data: b\n\n";
  for (std::size_t cut = 0; cut <= wire.size(); ++cut) {
    SseReader reader;
    std::vector<SseEvent> events;
    for (const std::string& part : {wire.substr(0, cut), wire.substr(cut)}) {
      reader.Append(part);
      while (auto event = reader.Next().value()) events.push_back(*event);
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == "1");
    CHECK(events[1].event == "end");
    CHECK(events[1].data == "a\nb");
  }
}

TEST_CASE("a server-sent event over the size limit gives kMessageTooLarge") {
  SseReader reader(16);
  reader.Append("data: 0123456789012345");
  CHECK(reader.Next().error().kind == FaultKind::kMessageTooLarge);
}

TEST_CASE(
    "length-prefixed messages are split, and an oversized one is detected") {
  internal::MessageSplitter splitter;
  splitter.Append(internal::FrameMessage("one") +
                  internal::FrameMessage("two"));
  std::string message;
  REQUIRE(splitter.Next(message));
  CHECK(message == "one");
  REQUIRE(splitter.Next(message));
  CHECK(message == "two");
  CHECK_FALSE(splitter.Next(message));
  splitter.Append("\xff\xff\xff\xff");
  CHECK(splitter.IsTooLarge());
}

TEST_CASE(
    "a peer call receives its replies, then an empty message at the end") {
  asio::io_context loop(1);
  ByteCounters server_counters;
  PeerServer server(
      loop.get_executor(),
      [](PeerCall& call) -> Awaitable<void> {
        const std::string reply = "re:" + std::string(call.Message());
        co_await call.Send(reply);
        co_await call.Send(reply);
      },
      "/x", &server_counters);
  const Endpoint endpoint = server.Listen(AnyPort()).value();
  ByteCounters client_counters;
  PeerClient client(loop.get_executor(), endpoint, &client_counters);
  std::vector<std::string> replies;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        auto stream =
            co_await client.Open("/x", "hello", std::chrono::seconds(5));
        while (true) {
          auto reply = co_await stream.value()->Read(std::chrono::seconds(5));
          replies.push_back(reply.value());
          if (reply.value().empty()) break;
        }
        loop.stop();
      },
      asio::detached);
  loop.run();
  CHECK(replies == std::vector<std::string>{"re:hello", "re:hello", ""});
  CHECK(client_counters.sent > 0);
  CHECK(client_counters.received > 0);
  // Both sides count the same connection, but the server may not have read
  // everything that the client sent.
  CHECK(server_counters.received <= client_counters.sent);
  CHECK(server_counters.received > 0);
}

TEST_CASE("an unreachable peer gives kConnectFailed: nothing was sent") {
  asio::io_context loop(1);
  PeerClient client(loop.get_executor(),
                    Endpoint(asio::ip::address_v4::loopback(), 1), nullptr);
  FaultKind kind = FaultKind::kTimeout;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        auto opened =
            co_await client.Open("/x", "hello", std::chrono::seconds(5));
        kind = opened.error().kind;
      },
      asio::detached);
  loop.run();
  CHECK(kind == FaultKind::kConnectFailed);
}

TEST_CASE("bytes that are not HTTP/2 close only the connection they came on") {
  asio::io_context loop(1);
  PeerServer server(loop.get_executor(), [](PeerCall& call) -> Awaitable<void> {
    const std::string reply(call.Message());
    co_await call.Send(reply);
  });
  const Endpoint endpoint = server.Listen(AnyPort()).value();
  bool closed = false;
  std::string reply;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        asio::ip::tcp::socket raw_client(loop);
        co_await raw_client.async_connect(endpoint, asio::use_awaitable);
        const std::string garbage(200, 'x');
        co_await asio::async_write(raw_client, asio::buffer(garbage),
                                   asio::use_awaitable);
        std::string received_bytes;
        try {
          co_await asio::async_read(raw_client,
                                    asio::dynamic_buffer(received_bytes),
                                    asio::use_awaitable);
        } catch (const boost::system::system_error&) {
          closed = true;
        }
        PeerClient client(loop.get_executor(), endpoint, nullptr);
        auto call_result =
            co_await client.Call("/x", "still", std::chrono::seconds(5));
        reply = call_result.value();
        loop.stop();
      },
      asio::detached);
  loop.run();
  CHECK(closed);
  CHECK(reply == "still");
}

TEST_CASE(
    "a connection is reused only after its response was read completely") {
  asio::io_context loop(1);
  HttpServer server(loop.get_executor(), HttpServerLimits{},
                    [](HttpExchange& exchange) -> Awaitable<void> {
                      HttpResponse response;
                      response.body = exchange.Request().target;
                      co_await exchange.Respond(std::move(response));
                    });
  const Endpoint endpoint = server.Listen(AnyPort()).value();
  HttpClient client(loop.get_executor(), nullptr);
  std::vector<std::string> bodies;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        HttpRequest request;
        request.method = "GET";
        request.target = "/unread";
        {
          auto unread =
              co_await client.Open(endpoint, request, ConnectionUse::kReuse,
                                   std::chrono::seconds(5));
          CHECK(unread.value()->Status() == 200);
        }
        for (const char* target : {"/a", "/b"}) {
          request.target = target;
          auto response =
              co_await client.Fetch(endpoint, request, ConnectionUse::kReuse,
                                    std::chrono::seconds(5));
          bodies.push_back(response.value().body);
        }
        loop.stop();
      },
      asio::detached);
  loop.run();
  CHECK(bodies == std::vector<std::string>{"/a", "/b"});
}

TEST_CASE("a late second response is not taken for that to the next request") {
  asio::io_context loop(1);
  asio::ip::tcp::acceptor acceptor(loop, AnyPort());
  const Endpoint endpoint = acceptor.local_endpoint();
  // Each connection gets its number as the body of every response, and the
  // first one is sent again after a pause.
  auto serve = [](asio::ip::tcp::socket socket, int number) -> Awaitable<void> {
    const std::string body = std::to_string(number);
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
    const Duration pause = std::chrono::milliseconds(20);
    std::string request(4096, ' ');
    co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
    for (int n = 0; n < 2; ++n) {
      co_await asio::async_write(socket, asio::buffer(response),
                                 asio::use_awaitable);
      co_await SleepFor(pause);
    }
    const Duration open_time = std::chrono::seconds(1);
    co_await SleepFor(open_time);
  };
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        for (int number = 1;; ++number) {
          auto socket = co_await acceptor.async_accept(asio::use_awaitable);
          asio::co_spawn(loop, serve(std::move(socket), number),
                         asio::detached);
        }
      },
      asio::detached);
  HttpClient client(loop.get_executor(), nullptr);
  std::vector<std::string> bodies;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        for (int n = 0; n < 2; ++n) {
          auto response =
              co_await client.Fetch(endpoint, request, ConnectionUse::kReuse,
                                    std::chrono::seconds(5));
          bodies.push_back(response.value().body);
          const Duration pause = std::chrono::milliseconds(60);
          co_await SleepFor(pause);
        }
        loop.stop();
      },
      asio::detached);
  loop.run();
  CHECK(bodies == std::vector<std::string>{"1", "2"});
}

}  // namespace
}  // namespace dandelionscale
