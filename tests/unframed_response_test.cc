// A router process and engines whose responses have neither a length nor
// chunks: the end of the connection ends them. A stream that ends inside an
// event was broken off, and must not reach its client as a complete response.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::CloseConnection;
using emulator::ResetConnection;
using emulator::Script;
using emulator::ScriptStep;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(100);
// The last chunk of a response to a client, which marks it as complete.

std::string UnframedHead(const HttpRequest& request,
                         std::string_view content_type) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
      "Content-Type: {}\r\n\r\n",
      request.headers.Find("Request-Id"), content_type);
}

Script UnframedStream(const HttpRequest& request, std::string_view events,
                      const ScriptStep& end) {
  return {SendBytes{UnframedHead(request, "text/event-stream") +
                    std::string(events)},
          end};
}

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(1) {
    this->PutConfiguration(3);
    this->AddEngine("chat", [](const HttpRequest&) { return Script{}; });
    this->AddEngine("plain", [](const HttpRequest&) { return Script{}; });
    this->WaitUntilReady(1);
  }

  // Returns all bytes that the client receives if the engines of both services
  // respond by `maker`.
  std::string ResponseOf(const std::string& target,
                         const emulator::ScriptMaker& maker) {
    this->SetScript(0, maker);
    this->SetScript(1, maker);
    return this->Exchange(1, MakeClientRequest("GET", target, "id1"),
                          kReadIdleTimeout);
  }

  std::string StreamOf(const std::string& target, const std::string& events,
                       const ScriptStep& end) {
    return this->ResponseOf(target, [&](const HttpRequest& request) {
      return UnframedStream(request, events, end);
    });
  }
};

constexpr std::string_view kLastEvent = "id: 3\ndata: c\n\n";
constexpr std::string_view kTwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

TEST_CASE("an unframed stream that ends inside an event is not complete") {
  Fleet fleet;
  for (const std::string_view cut :
       {"i", "id: 3", "id: 3\n", "id: 3\ndata: c", "id: 3\ndata: c\n",
        "id: 3\r\ndata: c\r\n"}) {
    CAPTURE(cut);
    const std::string response =
        fleet.StreamOf("/stream/", std::string(kTwoEvents) + std::string(cut),
                       CloseConnection{});
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.find("data: b") != std::string::npos);
    CHECK_FALSE(response.ends_with(kLastChunk));
    // Part of an event would be joined to whatever comes next.
    CHECK(response.find("data: c") == std::string::npos);
  }
  Eventually([&] {
    return fleet.Log(1).find(R"("outcome":"stream_broken")") !=
           std::string::npos;
  });
}

TEST_CASE("an unframed stream that ends inside an event is resumed") {
  Fleet fleet;
  fleet.AddEngine("chat", [](const HttpRequest&) { return Script{}; });
  fleet.WaitUntilReady(1);
  const std::string cut_events = fmt::format("{}id: 3\nda", kTwoEvents);
  const auto maker = [&](const HttpRequest& request) {
    const bool resumed = request.headers.Find("Last-Event-Id") == "2";
    return UnframedStream(request, resumed ? kLastEvent : cut_events,
                          CloseConnection{});
  };
  fleet.SetScript(2, maker);
  const std::string response = fleet.ResponseOf("/stream/", maker);
  CHECK(response.find("da\r\n") == std::string::npos);
  CHECK(response.find(kLastEvent) != std::string::npos);
  CHECK(response.ends_with(kLastChunk));
}

TEST_CASE("an unframed stream that ends in its first event gets 502") {
  Fleet fleet;
  CHECK(fleet.StreamOf("/stream/", "id: 1\ndata: a\n", CloseConnection{})
            .starts_with("HTTP/1.1 502"));
}

TEST_CASE("an unframed stream that ends after an event is complete") {
  Fleet fleet;
  const std::string response =
      fleet.StreamOf("/stream/", std::string(kTwoEvents), CloseConnection{});
  CHECK(response.find("data: b") != std::string::npos);
  CHECK(response.ends_with(kLastChunk));
}

TEST_CASE("an unframed response that ends with a reset is not complete") {
  Fleet fleet;
  const std::string stream =
      fleet.StreamOf("/stream/", std::string(kTwoEvents), ResetConnection{});
  CHECK_FALSE(stream.ends_with(kLastChunk));
  const std::string plain =
      fleet.ResponseOf("/once/", [](const HttpRequest& request) {
        const std::string head = UnframedHead(request, "text/plain");
        return Script{SendBytes{head + "part"}, ResetConnection{}};
      });
  CHECK(plain.starts_with("HTTP/1.1 502"));
}

TEST_CASE("an event stream is recognized however its type is spelled") {
  Fleet fleet;
  for (const std::string_view type :
       {"Text/Event-Stream", "text/event-stream;charset=utf-8",
        "text/event-stream ; charset=utf-8"}) {
    CAPTURE(type);
    const std::string response =
        fleet.ResponseOf("/stream/", [&](const HttpRequest& request) {
          const std::string head = UnframedHead(request, type);
          const std::string events = fmt::format("{}id: 3\nda", kTwoEvents);
          return Script{SendBytes{head + events}, CloseConnection{}};
        });
    CHECK(response.find("data: b") != std::string::npos);
    CHECK(response.find("id: 3\nda") == std::string::npos);
    CHECK(response.find("Content-Length") == std::string::npos);
    CHECK_FALSE(response.ends_with(kLastChunk));
  }
}

TEST_CASE("a chunked stream that ends inside an event is not complete") {
  Fleet fleet;
  const std::string response =
      fleet.ResponseOf("/stream/", [](const HttpRequest& request) {
        return Script{SendBytes{emulator::MakeStreamHead(request) +
                                emulator::MakeEventChunk(1) + "5\r\nid: 2\r\n" +
                                std::string(emulator::kStreamEnd)}};
      });
  CHECK(response.find("data: piece 1") != std::string::npos);
  CHECK_FALSE(response.ends_with(kLastChunk));
}

TEST_CASE("a chunked stream without its last chunk is not complete") {
  Fleet fleet;
  for (const ScriptStep& end :
       {ScriptStep(CloseConnection{}), ScriptStep(ResetConnection{})}) {
    const std::string response =
        fleet.ResponseOf("/stream/", [&](const HttpRequest& request) {
          return Script{SendBytes{emulator::MakeStreamHead(request) +
                                  emulator::MakeEventChunk(1)},
                        end};
        });
    CHECK_FALSE(response.ends_with(kLastChunk));
  }
}

}  // namespace
}  // namespace dandelionscale::tests
