// Raw bytes on client connections: request smuggling is rejected, and each size
// limit has its own status.
#include <catch2/catch.hpp>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeResponse;
using emulator::Script;
using emulator::SendBytes;

constexpr std::chrono::milliseconds kReadIdleTimeout(500);

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(1) {
    this->PutConfiguration(3);
    this->AddEngine("plain", [](const HttpRequest& request) {
      return Script{SendBytes{MakeResponse(request, 200, "ok")}};
    });
    this->WaitUntilReady(1);
  }
};

constexpr std::string_view kSecondRequest =
    "GET /any/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\n"
    "Authorization: Token k1\r\n\r\n";

std::string WithFraming(const std::string& fields, const std::string& body) {
  return "POST /any/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: outer\r\n"
         "Authorization: Token k1\r\n" +
         fields + "\r\n" + body;
}

TEST_CASE(
    "ambiguous framing is rejected, the connection closed, and nothing runs") {
  Fleet fleet;
  for (const std::string& fields :
       {std::string("Transfer-Encoding: xchunked\r\n"),
        std::string("Transfer-Encoding: gzip, chunked\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
        std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
        std::string("Content-Length: 5\r\nContent-Length: 5\r\n"),
        std::string("Transfer-Encoding: chunked\r\n"
                    "Transfer-Encoding: chunked\r\n")}) {
    INFO(fields);
    const std::string response = fleet.Exchange(
        1, WithFraming(fields, std::string(kSecondRequest)), kReadIdleTimeout);
    CHECK(response.starts_with("HTTP/1.1 400"));
    CHECK(response.find("HTTP/1.1", 5) == std::string::npos);
  }
  CHECK(fleet.TotalRequests() == 0);
}

TEST_CASE("a request without or with two Host fields is rejected") {
  Fleet fleet;
  CHECK(fleet
            .Exchange(1, "GET /any/ HTTP/1.1\r\nRequest-Id: a\r\n\r\n",
                      kReadIdleTimeout)
            .starts_with("HTTP/1.1 400"));
  CHECK(fleet
            .Exchange(1,
                      "GET /any/ HTTP/1.1\r\nHost: h.example\r\nHost: b\r\n"
                      "Request-Id: a\r\n\r\n",
                      kReadIdleTimeout)
            .starts_with("HTTP/1.1 400"));
  CHECK(fleet.TotalRequests() == 0);
}

TEST_CASE("exceeded size limits have their own status") {
  Fleet fleet;
  CHECK(fleet
            .Exchange(
                1,
                WithFraming("X-Long: " + std::string(20'000, 'a') + "\r\n", ""),
                kReadIdleTimeout)
            .starts_with("HTTP/1.1 431"));
  CHECK(fleet
            .Exchange(1, WithFraming("Content-Length: 200000\r\n", ""),
                      kReadIdleTimeout)
            .starts_with("HTTP/1.1 413"));
  CHECK(fleet.TotalRequests() == 0);
}

TEST_CASE("chunked bodies and pipelined requests are served in order") {
  Fleet fleet;
  const std::string response =
      fleet.Exchange(1,
                     WithFraming("Transfer-Encoding: chunked\r\n",
                                 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") +
                         std::string(kSecondRequest),
                     kReadIdleTimeout, 2);
  CHECK(response.find("Request-Id: outer") <
        response.find("Request-Id: inner"));
  REQUIRE(fleet.TotalRequests() == 2);
  CHECK(fleet.Requests(0)[0].body == "abcde");
}

TEST_CASE("Expect: 100-continue is answered before the body is sent") {
  Fleet fleet;
  const std::string response = fleet.Exchange(
      1, WithFraming("Expect: 100-continue\r\nContent-Length: 2\r\n", "hi"),
      kReadIdleTimeout);
  CHECK(response.starts_with("HTTP/1.1 100"));
  CHECK(response.find("HTTP/1.1 200") != std::string::npos);
  CHECK(fleet.Requests(0)[0].headers.Find("Expect").empty());
}

}  // namespace
}  // namespace dandelionscale::tests
