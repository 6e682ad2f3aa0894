// A sound engine, or its host, falls silent for about a second and goes on:
// requests that it works on get their answers.
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <future>
#include <thread>

#include "tests/support/platform_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::CutKind;
using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(30);
constexpr milliseconds kSilence(1300);
// The silence begins some time after the request was sent, and covers the first
// keep-alive probe.
constexpr milliseconds kTimeBeforeSilence(500);
constexpr milliseconds kWorkTime(2800);
constexpr std::string_view kRoutes =
    R"({"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,"service":"chat","max_attempts":1},)"
    R"({"name":"once","host":"h.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"chat","max_attempts":1})";

struct Fleet : PlatformFleet {
  explicit Fleet(const emulator::ScriptMaker& maker) : PlatformFleet(1) {
    this->PutConfiguration(3, std::string(kRoutes));
    this->AddEngine("chat", maker);
    this->WaitUntilReady(1);
  }

  std::string Send(const std::string& target) {
    return this->Exchange(1, MakeClientRequest("POST", target, "id", "", "x"),
                          kReadIdleTimeout);
  }

  // Does maintenance, if any, while the host is silent.
  std::string SendWhileHostIsSilent(
      const std::string& target, const std::function<void(Fleet&)>& work = {}) {
    auto response = std::async(std::launch::async,
                               [this, target] { return this->Send(target); });
    std::this_thread::sleep_for(kTimeBeforeSilence);
    this->CutOff({1}, CutKind::kHang);
    if (work) work(*this);
    std::this_thread::sleep_for(kSilence);
    this->CutOff({}, CutKind::kHang);
    return response.get();
  }
};

Script AnswerLate(const HttpRequest& request) {
  return {Pause{kWorkTime}, SendBytes{MakeResponse(request, 200, "whole")}};
}

Script StreamWithGap(const HttpRequest& request) {
  return {SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
          Pause{kSilence}, SendBytes{MakeEventChunk(2)}, Pause{kSilence},
          SendBytes{MakeEventChunk(3) + std::string(emulator::kStreamEnd)}};
}

TEST_CASE("a request whose engine is silent for a second is answered") {
  Fleet fleet(AnswerLate);
  CHECK(fleet.Send("/once/").ends_with("whole"));
}

TEST_CASE("a stream whose engine is silent for a second goes on") {
  Fleet fleet(StreamWithGap);
  const std::string response = fleet.Send("/stream/");
  CAPTURE(response);
  CHECK(response.find("data: piece 3") != std::string::npos);
  CHECK(response.ends_with(kLastChunk));
}

TEST_CASE("a request is answered after its engine's host was silent") {
  Fleet fleet(AnswerLate);
  const std::string response = fleet.SendWhileHostIsSilent("/once/");
  CAPTURE(response, fleet.Log(1));
  CHECK(response.ends_with("whole"));
  CHECK(fleet.Requests(0).size() == 1);
}

TEST_CASE("an engine's host is silent while the router stops or reloads") {
  const std::string target = GENERATE("/once/", "/stream/");
  const int signal = GENERATE(SIGTERM, SIGHUP);
  Fleet fleet(target == "/once/" ? AnswerLate : StreamWithGap);
  const std::string response = fleet.SendWhileHostIsSilent(
      target, [signal](Fleet& router) { router.Signal(1, signal); });
  CAPTURE(response, fleet.Log(1));
  CHECK(response.ends_with(target == "/once/" ? "whole" : kLastChunk));
  CHECK(fleet.Requests(0).size() == 1);
}

TEST_CASE("an engine's host is silent while the configuration changes") {
  const std::string target = GENERATE("/once/", "/stream/");
  Fleet fleet(target == "/once/" ? AnswerLate : StreamWithGap);
  const std::string response = fleet.SendWhileHostIsSilent(
      target,
      [](Fleet& router) { router.PutConfiguration(4, std::string(kRoutes)); });
  CAPTURE(response, fleet.Log(1));
  CHECK(response.ends_with(target == "/once/" ? "whole" : kLastChunk));
  CHECK(fleet.Requests(0).size() == 1);
}

}  // namespace
}  // namespace dandelionscale::tests
