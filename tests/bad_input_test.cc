// Malformed input from clients, operators and peers must be refused, with a
// problem type where there is a response, and must not affect other requests.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "dandelionscale/transport/peer_connection.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

namespace asio = boost::asio;

/// \brief Sends raw bytes and returns everything received until the end.
std::string SendRaw(std::uint16_t port, std::string_view bytes) {
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), port});
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ignored);
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), ignored);
  return response;
}

std::string Title(const HttpResponse& response) {
  return boost::json::value_to<std::string>(
      boost::json::parse(response.body).at("title"));
}

HttpRequest ChatRequest(std::string workspace, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Add("X-Workspace", workspace);
  request.body = std::move(body);
  return request;
}

TEST_CASE("malformed input gets a typed error") {
  ProcessFleet fleet({.base = 22400,
                      .routers = 2,
                      .router_arguments = {"--client-read-timeout-ms", "500",
                                           "--body-bytes", "65536"}});
  const std::uint16_t client = fleet.ClientPort(1);
  auto title = [&](HttpRequest request) {
    return Title(fleet.Call(client, std::move(request)));
  };
  const std::string good =
      R"({"model":"advice","messages":[{"role":"user","content":"x"}]})";

  SECTION("requests") {
    CHECK(title(ChatRequest("guild", "{")) == "malformed_request");
    CHECK(title(ChatRequest("guild", R"({"model":"advice"})")) ==
          "malformed_request");
    CHECK(title(ChatRequest("nobody", good)) == "unknown_workspace");
    CHECK(title(ChatRequest("guild", R"({"model":"none","messages":[]})")) ==
          "unknown_service");
    // A plain service can't be used as a model.
    CHECK(title(ChatRequest("guild", R"({"model":"booking","messages":[]})")) ==
          "unknown_service");
    HttpRequest request = ChatRequest("guild", good);
    request.headers.Add("X-Request-Timeout-Ms", "soon");
    CHECK(title(request) == "malformed_request");
    request = ChatRequest("guild", good);
    request.headers.Add("Last-Event-ID", "nonsense");
    CHECK(title(request) == "malformed_request");
    request = ChatRequest("guild", good);
    request.target = "/v1/services/none/x";
    CHECK(title(request) == "unknown_service");
    request.target = "/other";
    CHECK(title(request) == "unknown_service");
    request = ChatRequest("buyers", "{}");
    request.target = "/v1/services/booking/x";
    request.headers.Add("Idempotency-Key", "a b");
    CHECK(title(request) == "malformed_request");
  }
  SECTION("HTTP") {
    CHECK(SendRaw(client, "NOT HTTP\r\n\r\n").find("400") != std::string::npos);
    // Request smuggling: a second request must not be hidden in a body whose
    // length is ambiguous.
    const std::string hidden =
        SendRaw(client,
                "POST / HTTP/1.1\r\nHost: x\r\n"
                "Transfer-Encoding: xchunked\r\n\r\n"
                "GET /v1/hidden HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(hidden.starts_with("HTTP/1.1 400"));
    CHECK(hidden.find("HTTP/1.1", 1) == std::string::npos);
    const std::string long_header =
        "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n";
    CHECK(SendRaw(client, long_header).starts_with("HTTP/1.1 431"));
    for (const char* hosts : {"", "Host: x\r\nHost: y\r\n"}) {
      const std::string response = SendRaw(
          client, std::string("GET /livez HTTP/1.1\r\n") + hosts + "\r\n");
      CHECK(response.starts_with("HTTP/1.1 400"));
    }
    CHECK(SendRaw(client, "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
              .find(" 413 ") != std::string::npos);
  }
  SECTION("a client that sends its request too slowly is disconnected") {
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::address_v4::loopback(), client});
    boost::system::error_code error;
    Eventually([&] {
      asio::write(socket, asio::buffer("P", 1), error);
      return error.failed();
    });
  }
  SECTION("operators") {
    HttpRequest request;
    request.method = "GET";
    request.target = "/v1/config";
    CHECK(fleet.Call(fleet.AdminPort(1), request).status == 401);
    request.headers.Add("Authorization", "Bearer wrong");
    CHECK(fleet.Call(fleet.AdminPort(1), request).status == 401);
    CHECK(fleet.Get(fleet.AdminPort(1), "/v1/nothing").status == 404);
  }
  SECTION("a peer that sends malformed messages") {
    for (const char* path : {"/serve", "/control", "/other"}) {
      asio::io_context loop;
      PeerClient peer(loop.get_executor(),
                      {asio::ip::address_v4::loopback(), fleet.Port(11)},
                      nullptr);
      std::string reply = "none";
      asio::co_spawn(
          loop,
          [&]() -> Awaitable<void> {
            auto response = co_await peer.Call(path, "\xff\xff\xff",
                                               std::chrono::seconds(30));
            reply = response.has_value() ? response.value() : "fault";
            peer.Close();
          },
          asio::detached);
      loop.run();
      CHECK(reply.empty());
    }
  }
  SECTION("a peer that does not speak HTTP/2") {
    SendRaw(fleet.Port(11), std::string(300, 'x'));
  }
  // After each section chats are still served.
  CHECK(fleet.Chat(1, "s", "hello").status == 200);
  CHECK(fleet.Chat(2, "s", "hello").status == 200);
}

TEST_CASE("a request whose client disconnects is cancelled at the engine") {
  ProcessFleet fleet(
      {.base = 22400,
       .routers = 2,
       .engines = 2,
       .engine_arguments = {"--token-ms", "50", "--answer-tokens", "100000"}});
  auto running = [&] {
    const HttpResponse stats = fleet.Get(fleet.Port(3), "/fake/stats");
    std::int64_t total = 0;
    auto document = boost::json::parse(stats.body);
    for (const auto& engine : document.at("engines").as_array()) {
      total += engine.at("running").as_int64();
    }
    return total;
  };
  for (int router : {1, 2}) {
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop);
    socket.connect(
        {asio::ip::address_v4::loopback(), fleet.ClientPort(router)});
    const std::string body =
        R"({"model":"advice","stream":true,"messages":[]})";
    const std::string request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        "X-Workspace: guild\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::write(socket, asio::buffer(request));
    Eventually([&] { return running() == 1; });
    socket.close();
    Eventually([&] { return running() == 0; });
    Eventually(
        [&] { return fleet.StatusNumber(router, "requests_in_flight") == 0; });
  }
}

}  // namespace
}  // namespace dandelionscale::tests
