// Router processes before engines that crash at one part of a prompt: requests
// with that part must soon be kept off all engines, by all routers, and
// requests that share their other parts and their caller must be served.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeEventChunk;
using emulator::MakeStreamHead;
using emulator::ResetConnection;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(50);
// The users' bound on what a fleet must know; see docs/proof.md.
constexpr std::chrono::seconds kContactTime(3);
constexpr int kEngines = 6;
// Crashes after which the part counts as known.
constexpr std::size_t kKnownCrashes = 5;
// Requests that may reach engines after it is known.
constexpr std::size_t kMaxLaterSends = 3;

constexpr std::string_view kCrashingPart = "dead:300";

bool HasCrashingPart(const HttpRequest& request) {
  return request.headers.Find("Prompt-Prefix").find(kCrashingPart) !=
         std::string_view::npos;
}

// An engine that breaks off before it has begun to answer.
Script CrashAtPart(const HttpRequest& request) {
  if (HasCrashingPart(request)) return {ResetConnection{}};
  return {SendBytes{MakeStreamHead(request) + MakeEventChunk(1) +
                    std::string(emulator::kStreamEnd)}};
}

struct Fleet : PlatformFleet {
  explicit Fleet(int routers) : PlatformFleet(routers), routers(routers) {
    this->PutConfiguration(3);
    for (int n = 0; n < kEngines; ++n) this->AddEngine("chat", CrashAtPart);
    for (int router = 1; router <= routers; ++router) {
      this->WaitUntilReady(router);
    }
  }

  // Sends a request through each router in turn. Each has a last part of its
  // own. Returns the response.
  std::string Send(std::string_view shared_parts) {
    ++this->sent;
    const std::string prefix = fmt::format(
        "Model: m\r\nToken-Count: 900,40\r\nPrompt-Prefix: "
        "{},{:x}:100\r\n",
        shared_parts, 4096 + this->sent);
    return this->Exchange(
        1 + this->sent % this->routers,
        MakeClientRequest("POST", "/stream/", fmt::format("id{}", this->sent),
                          prefix, "x"),
        kReadIdleTimeout);
  }
  // Sends a request with the crashing part. Engines that crash start again.
  std::string SendCrashing() {
    const std::string response = this->Send("aaaa:400,bbbb:200,dead:300");
    for (int n = 0; n < kEngines; ++n) {
      const std::size_t crashes = this->CrashesOf(n);
      if (crashes > this->seen_crashes[n]) this->RestartEngine(n);
      this->seen_crashes[n] = crashes;
    }
    return response;
  }
  bool IsSoundServed() {
    return this->Send("aaaa:400,bbbb:200").starts_with("HTTP/1.1 200");
  }

  // Requests with the crashing part that an engine has received.
  std::size_t CrashesOf(int engine) {
    const std::vector<HttpRequest> received = this->Requests(engine);
    return static_cast<std::size_t>(
        std::count_if(received.begin(), received.end(), HasCrashingPart));
  }
  std::size_t Crashes() {
    std::size_t count = 0;
    for (int n = 0; n < kEngines; ++n) count += this->CrashesOf(n);
    return count;
  }

  // Sends crashing requests, with sound ones between, until they have crashed
  // engines often enough to be known; then waits until all routers must know.
  void CrashUntilKnown() {
    for (int n = 0; n < 20 && this->Crashes() < kKnownCrashes; ++n) {
      this->SendCrashing();
      for (int sound = 0; sound < 6; ++sound) this->IsSoundServed();
    }
    const TimePoint end = RuntimeClock::now() + kContactTime;
    while (RuntimeClock::now() < end) {
      this->IsSoundServed();
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  int routers;
  int sent = 0;
  std::map<int, std::size_t> seen_crashes;  ///< By engine.
};

TEST_CASE("requests with a part that crashes engines are kept off engines") {
  Fleet fleet(3);
  fleet.CrashUntilKnown();
  REQUIRE(fleet.Crashes() >= 3);
  const std::size_t before = fleet.Crashes();
  for (int n = 0; n < 12; ++n) {
    const std::string response = fleet.SendCrashing();
    if (fleet.Crashes() > before + kMaxLaterSends) break;
    if (n < static_cast<int>(kMaxLaterSends)) continue;
    // It has not run and will not, so this is true.
    CHECK(response.starts_with("HTTP/1.1 503"));
  }
  CHECK(fleet.Crashes() <= before + kMaxLaterSends);
}

TEST_CASE("sound requests that share the other parts are served") {
  Fleet fleet(3);
  fleet.CrashUntilKnown();
  for (int n = 0; n < 12; ++n) {
    fleet.SendCrashing();
    CHECK(fleet.IsSoundServed());
  }
}

// Sends requests with the part through all routers, after the time within which
// they must know of it. Returns how many reached engines.
std::size_t LaterCrashes(Fleet& fleet) {
  std::this_thread::sleep_for(kContactTime);
  const std::size_t before = fleet.Crashes();
  for (int n = 0; n < 12; ++n) {
    fleet.SendCrashing();
    if (fleet.Crashes() > before + kMaxLaterSends) break;
  }
  return fleet.Crashes() - before;
}

void Restart(Fleet& fleet, const std::vector<int>& routers) {
  for (int router : routers) fleet.Signal(router, SIGKILL);
  for (int router : routers) fleet.WaitForExit(router);
  for (int router : routers) fleet.StartRouter(router);
  for (int router : routers) fleet.WaitUntilReady(router);
}

TEST_CASE("a router that restarts learns which part crashes engines") {
  Fleet fleet(3);
  fleet.CrashUntilKnown();
  Restart(fleet, {2});
  CHECK(LaterCrashes(fleet) <= kMaxLaterSends);
}

TEST_CASE("routers that all restart know which part crashes engines") {
  Fleet fleet(3);
  fleet.CrashUntilKnown();
  Restart(fleet, {1, 2, 3});
  CHECK(LaterCrashes(fleet) <= kMaxLaterSends);
}

}  // namespace
}  // namespace dandelionscale::tests
