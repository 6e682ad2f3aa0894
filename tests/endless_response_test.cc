// A router process before engines that send bytes without end until the router
// closes the connection: each request is answered, the engine's connection is
// closed after a bounded number of bytes, and other requests are served.
#include <catch2/catch.hpp>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Script;
using emulator::SendBytes;
using emulator::SendEndlessly;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(100);
// A router may take this many bytes of one response before it gives up: its
// limit for a buffered body of 16 MB, and what sockets hold.
constexpr std::uint64_t kMaxTakenBytes = 32 * 1024 * 1024;

Script RespondOk(const HttpRequest& request) {
  return {SendBytes{MakeResponse(request, 200, "ok")}};
}

std::string MakeHead(const HttpRequest& request, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " +
         std::string(request.headers.Find("Request-Id")) +
         "\r\nResponse-Seal: seal\r\n" + framing + "\r\n\r\n";
}

// A service whose only engine misbehaves, and one whose engine is sound.
struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(1) {
    this->PutConfiguration(3);
    this->AddEngine("chat", RespondOk);
    this->endless = this->AddEngine("plain", RespondOk);
    this->WaitUntilReady(1);
  }

  // The engine's connection was closed and it had sent a bounded number of
  // bytes.
  void CheckEngineWasCutOff() {
    Eventually([this] {
      int abandoned = 0;
      this->RunOnLoop([&] {
        abandoned = this->Engine(this->endless).AbandonedResponses();
      });
      return abandoned > 0;
    });
    this->RunOnLoop([this] {
      CHECK(this->Engine(this->endless).EndlessBytes() < kMaxTakenBytes);
    });
  }

  int endless = 0;
};

struct EndlessPart {
  const char* name;
  emulator::ScriptMaker script;
};

std::string Block() { return std::string(8192, 'x'); }

// Each part of a response that may have no end.
std::vector<EndlessPart> EndlessParts() {
  return {
      {"header field",
       [](const HttpRequest&) {
         return Script{SendBytes{"HTTP/1.1 200 OK\r\nX: "},
                       SendEndlessly{Block()}};
       }},
      {"header fields",
       [](const HttpRequest&) {
         return Script{SendBytes{"HTTP/1.1 200 OK\r\n"},
                       SendEndlessly{"X-Field: value\r\n"}};
       }},
      {"status line",
       [](const HttpRequest&) { return Script{SendEndlessly{Block()}}; }},
      {"interim responses",
       [](const HttpRequest&) {
         return Script{SendEndlessly{"HTTP/1.1 102 Processing\r\n\r\n"}};
       }},
      {"body without a length",
       [](const HttpRequest& request) {
         return Script{SendBytes{MakeHead(request, "Connection: close")},
                       SendEndlessly{Block()}};
       }},
      {"body with a length",
       [](const HttpRequest& request) {
         return Script{
             SendBytes{MakeHead(request, "Content-Length: 999999999999")},
             SendEndlessly{Block()}};
       }},
      {"chunk extension",
       [](const HttpRequest& request) {
         return Script{
             SendBytes{MakeHead(request, "Transfer-Encoding: chunked") + "5;"},
             SendEndlessly{Block()}};
       }},
      {"response to another request",
       [](const HttpRequest&) {
         return Script{SendBytes{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                                 "Response-Seal: seal\r\n\r\n"},
                       SendEndlessly{Block()}};
       }},
  };
}

TEST_CASE("a response without an end is cut off and answered with 502") {
  for (const EndlessPart& part : EndlessParts()) {
    CAPTURE(part.name);
    Fleet fleet;
    fleet.SetScript(fleet.endless, part.script);
    const std::string response =
        fleet.Exchange(1, MakeClientRequest("POST", "/once/", "id1", "", "x"),
                       kReadIdleTimeout);
    // It may have run, so this is no refusal.
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(fleet.Requests(fleet.endless).size() == 1);
    fleet.CheckEngineWasCutOff();
    // A malformed start of a response is noticed before any limit.
    const bool reaches_limit = std::string_view(part.name) != "status line";
    if (reaches_limit) {
      CHECK(fleet.Metrics(1).find("engine_responses_too_long_total") !=
            std::string::npos);
      Eventually([&] {
        return fleet.Log(1).find("engine_response_too_long") !=
               std::string::npos;
      });
    }
    CHECK(fleet
              .Exchange(1, MakeClientRequest("GET", "/stream/", "id2"),
                        kReadIdleTimeout)
              .starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("a stream whose event has no end is broken off") {
  Fleet fleet;
  const int stream = 0;
  fleet.SetScript(stream, [](const HttpRequest& request) {
    return Script{SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
                  SendEndlessly{"2000\r\n" + Block() + "\r\n"}};
  });
  const std::string response = fleet.Exchange(
      1, MakeClientRequest("GET", "/stream/", "id1"), kReadIdleTimeout);
  CHECK(response.find("data: piece 1") != std::string::npos);
  CHECK_FALSE(response.ends_with(std::string(emulator::kStreamEnd)));
  fleet.RunOnLoop(
      [&] { CHECK(fleet.Engine(stream).EndlessBytes() < kMaxTakenBytes); });
  CHECK(fleet.Metrics(1).find("too_long_total{part=\"event\"}") !=
        std::string::npos);
}

// Load pattern: an engine that is stuck keeps its connection busy with a byte
// now and then.
TEST_CASE("a response of a byte now and then ends at the deadline") {
  Fleet fleet;
  fleet.SetScript(fleet.endless, [](const HttpRequest& request) {
    return Script{SendBytes{MakeHead(request, "Content-Length: 100000")},
                  SendEndlessly{"x", milliseconds(100)}};
  });
  const auto began = std::chrono::steady_clock::now();
  const std::string response = fleet.Exchange(
      1, MakeClientRequest("POST", "/once/", "id1", "", "x"), kReadIdleTimeout);
  const auto took = std::chrono::steady_clock::now() - began;
  CHECK(response.starts_with("HTTP/1.1 504"));
  // The route's timeout is 2 s; an answer is due half a second later.
  CHECK(took >= milliseconds(1900));
  CHECK(took < milliseconds(2500));
  fleet.CheckEngineWasCutOff();
}

TEST_CASE("a stalled stream that drips bytes is resumed at another engine") {
  Fleet fleet;
  const auto drip = [](const HttpRequest& request) {
    return Script{SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
                  SendEndlessly{"1\r\nx\r\n", milliseconds(100)}};
  };
  const auto resume = [drip](const HttpRequest& request) {
    if (request.headers.Find("Last-Event-Id").empty()) return drip(request);
    return Script{SendBytes{MakeStreamHead(request) + MakeEventChunk(2) +
                            std::string(emulator::kStreamEnd)}};
  };
  fleet.SetScript(0, resume);
  fleet.AddEngine("chat", resume);
  fleet.WaitUntilReady(1);
  const std::string response = fleet.Exchange(
      1, MakeClientRequest("GET", "/stream/", "id1"), kReadIdleTimeout);
  CHECK(response.find("data: piece 1") != std::string::npos);
  CHECK(response.find("data: piece 2") != std::string::npos);
  CHECK(response.ends_with(std::string(emulator::kStreamEnd)));
}

TEST_CASE("a stream that is slow but sound is not cut") {
  Fleet fleet;
  fleet.SetScript(0, [](const HttpRequest& request) {
    Script script = {SendBytes{MakeStreamHead(request)}};
    // Slower than the latency target of 600 ms between all but the first two.
    for (int id = 1; id <= 5; ++id) {
      script.push_back(SendBytes{MakeEventChunk(id)});
      script.push_back(emulator::Pause{milliseconds(800)});
    }
    script.push_back(SendBytes{std::string(emulator::kStreamEnd)});
    return script;
  });
  const std::string response = fleet.Exchange(
      1, MakeClientRequest("GET", "/stream/", "id1"), kReadIdleTimeout);
  for (int id = 1; id <= 5; ++id) {
    CHECK(response.find("data: piece " + std::to_string(id)) !=
          std::string::npos);
  }
  CHECK(response.ends_with(std::string(emulator::kStreamEnd)));
  CHECK(fleet.Requests(0).size() == 1);
}

}  // namespace
}  // namespace dandelionscale::tests
