// Requests that a router has received get an answer: none ends with a closed
// connection because of timeouts, a change of the configuration, or bytes of
// others.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/test_client.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(100);
constexpr std::string_view kStreamRoute =
    R"({{"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":{},"target_latency_ms":600,"priority":0,"service":"chat","max_attempts":1}})";

Script AnswerOk(const HttpRequest& request) {
  return {SendBytes{MakeResponse(request, 200, "ok")}};
}

// Two events with a pause between them.
Script StreamFor(const HttpRequest& request, Duration pause) {
  return {SendBytes{MakeStreamHead(request) + MakeEventChunk(1)}, Pause{pause},
          SendBytes{MakeEventChunk(2) + std::string(emulator::kStreamEnd)}};
}

// One router that keeps idle connections for a short time, and one engine.
struct IdleFleet : PlatformFleet {
  IdleFleet() : PlatformFleet(0) {
    this->SetIdleTimeout(milliseconds(1500));
    this->PutConfiguration(3);
    this->AddEngine("plain", AnswerOk);
    this->StartRouter(1);
    this->WaitUntilReady(1);
  }
};

TEST_CASE("a request that arrives while the router stands still is answered") {
  IdleFleet fleet;
  TestClient client(fleet);
  client.Send(MakeClientRequest("GET", "/any/", "first"));
  REQUIRE(client.ReadUntil("ok").ends_with("ok"));
  std::this_thread::sleep_for(milliseconds(1000));
  fleet.Signal(1, SIGSTOP);
  client.Send(MakeClientRequest("GET", "/any/", "second"));
  std::this_thread::sleep_for(milliseconds(1000));
  fleet.Signal(1, SIGCONT);
  const std::string answer = client.ReadUntil("ok");
  CAPTURE(answer, fleet.Log(1));
  CHECK(answer.ends_with("ok"));
}

TEST_CASE("a shorter idle timeout holds after the client was told of it") {
  PlatformFleet fleet(0);
  fleet.SetIdleTimeout(milliseconds(8000));
  fleet.PutConfiguration(3);
  fleet.AddEngine("chat", [](const HttpRequest& request) {
    return StreamFor(request, milliseconds(1000));
  });
  fleet.StartRouter(1);
  fleet.WaitUntilReady(1);
  TestClient client(fleet);
  client.Send(MakeClientRequest("POST", "/stream/", "first", "", "x"));
  REQUIRE(client.ReadUntil("piece 1").find("timeout=8") != std::string::npos);
  fleet.SetIdleTimeout(milliseconds(500));
  fleet.PutConfiguration(4);
  REQUIRE(client.ReadUntil(kLastChunk).ends_with(kLastChunk));
  std::this_thread::sleep_for(milliseconds(1500));
  client.Send(MakeClientRequest("POST", "/stream/", "second", "", "x"));
  CHECK(client.ReadUntil(kLastChunk).ends_with(kLastChunk));
}

TEST_CASE("a longer idle timeout holds for connections that are idle") {
  IdleFleet fleet;
  TestClient client(fleet);
  client.Send(MakeClientRequest("GET", "/any/", "first"));
  REQUIRE(client.ReadUntil("ok").ends_with("ok"));
  fleet.SetIdleTimeout(milliseconds(8000));
  fleet.PutConfiguration(4);
  std::this_thread::sleep_for(milliseconds(3000));
  client.Send(MakeClientRequest("GET", "/any/", "second"));
  CHECK(client.ReadUntil("ok").ends_with("ok"));
}

TEST_CASE("a stream that has begun is not cut off for a shorter timeout") {
  PlatformFleet fleet(0);
  fleet.PutConfiguration(3, fmt::format(kStreamRoute, 5000));
  fleet.AddEngine("chat", [](const HttpRequest& request) {
    return StreamFor(request, milliseconds(1500));
  });
  fleet.StartRouter(1);
  fleet.WaitUntilReady(1);
  auto response = std::async(std::launch::async, [&] {
    return fleet.Exchange(1,
                          MakeClientRequest("POST", "/stream/", "id", "", "x"),
                          kReadIdleTimeout);
  });
  std::this_thread::sleep_for(milliseconds(500));
  fleet.PutConfiguration(4, fmt::format(kStreamRoute, 300));
  CHECK(response.get().ends_with(kLastChunk));
}

TEST_CASE("a request that is too large gets its answer, not a reset") {
  constexpr std::size_t kBodyBytes = 8 * 1024 * 1024;
  PlatformFleet fleet(0);
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", AnswerOk);
  fleet.StartRouter(1);
  fleet.WaitUntilReady(1);
  TestClient client(fleet);
  client.Send(MakeClientRequest("POST", "/any/", "id", "",
                                std::string(kBodyBytes, 'x')));
  CHECK(client.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 413"));
}

TEST_CASE("streams of faulty engines leave memory for those of sound ones") {
  constexpr int kEngines = 3;
  constexpr int kFaulty = 12;
  constexpr std::size_t kUnfinishedBytes = 900 * 1024;
  PlatformFleet fleet(0);
  fleet.PutConfiguration(3);
  const auto send_unfinished = [](const HttpRequest& request) {
    const std::string begun =
        "id: 1\ndata: " + std::string(kUnfinishedBytes, 'x');
    return Script{SendBytes{MakeStreamHead(request) +
                            fmt::format("{:x}\r\n{}\r\n", begun.size(), begun)},
                  Pause{std::chrono::seconds(3)}};
  };
  // An event in two parts.
  const auto send_sound = [](const HttpRequest& request) {
    const std::string first = "5\r\nid: 1\r\n";
    const std::string rest = "f\r\n\ndata: piece 1\n\r\n1\r\n\n\r\n";
    return Script{SendBytes{MakeStreamHead(request) + first},
                  Pause{milliseconds(300)},
                  SendBytes{rest + std::string(emulator::kStreamEnd)}};
  };
  const auto maker = [&](const HttpRequest& request) {
    const bool is_sound = request.headers.Find("Request-Id") == "sound";
    return is_sound ? send_sound(request) : send_unfinished(request);
  };
  for (int n = 0; n < kEngines; ++n) fleet.AddEngine("chat", maker);
  fleet.StartRouter(1, "limits.memory_mb=24\n");
  fleet.WaitUntilReady(1);
  std::vector<std::unique_ptr<TestClient>> faulty;
  for (int n = 0; n < kFaulty; ++n) {
    faulty.push_back(std::make_unique<TestClient>(fleet));
    faulty.back()->Send(MakeClientRequest(
        "POST", "/stream/", fmt::format("faulty-{}", n), "", "x"));
  }
  std::this_thread::sleep_for(milliseconds(500));
  const std::string response =
      fleet.Exchange(1, MakeClientRequest("POST", "/stream/", "sound", "", "x"),
                     kReadIdleTimeout);
  CAPTURE(response);
  CHECK(response.ends_with(kLastChunk));
}

}  // namespace
}  // namespace dandelionscale::tests
