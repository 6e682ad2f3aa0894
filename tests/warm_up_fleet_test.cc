// Router processes before an engine that warms up: in no second all of them
// together send it more than it tolerates, however many requests clients send.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/rate_limit_rule.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeResponse;
using emulator::ResetConnection;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 3;
constexpr seconds kWarmUpTime(5);
constexpr double kRate = 4;
// Requests of all clients in a second; several times what the engine tolerates.
constexpr double kDemand = 60;
// Time within which all routers know of a warm-up.
constexpr milliseconds kContactTime(1000);

// Arrivals of requests at the engine that warms up. The script runs on the
// fleet's thread.
class ArrivalLog {
 public:
  void Add() {
    const std::lock_guard lock(this->mutex);
    this->times.push_back(RuntimeClock::now());
  }
  std::size_t Most(TimePoint from, TimePoint until) const {
    const std::lock_guard lock(this->mutex);
    const auto end =
        std::lower_bound(this->times.begin(), this->times.end(), until);
    return MostInWindow({this->times.begin(), end}, from, seconds(1));
  }
  std::ptrdiff_t Count(TimePoint from, TimePoint until) const {
    const std::lock_guard lock(this->mutex);
    return std::count_if(
        this->times.begin(), this->times.end(),
        [=](TimePoint at) { return at >= from && at < until; });
  }

 private:
  mutable std::mutex mutex;
  std::vector<TimePoint> times;
};

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(kRouters) {
    this->SetWarmUp(kWarmUpTime, kRate);
    this->PutConfiguration(3);
    this->AddEngine("plain", this->Answer());
    this->AddEngine("plain", [](const HttpRequest& request) -> Script {
      return {SendBytes{MakeResponse(request, 200, "done")}};
    });
    for (int router = 1; router <= kRouters; ++router) {
      this->WaitUntilReady(router);
      this->WaitForConfiguration(router, 3);
    }
  }

  emulator::ScriptMaker Answer() {
    return [this](const HttpRequest& request) -> Script {
      this->arrivals.Add();
      return {SendBytes{MakeResponse(request, 200, "done")}};
    };
  }
  // The engine loses all requests until it is set to answer.
  void Break() {
    this->SetScript(
        0, [](const HttpRequest&) -> Script { return {ResetConnection{}}; });
  }

  // Sends one request through each of the routers in turn.
  void Press(Duration duration) {
    const TimePoint end = RuntimeClock::now() + duration;
    TimePoint next = RuntimeClock::now();
    while (RuntimeClock::now() < end) {
      std::this_thread::sleep_until(next);
      next += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(1 / kDemand));
      ++this->sent;
      const std::string response = this->Exchange(
          1 + this->sent % kRouters,
          MakeClientRequest("GET", "/any/x", fmt::format("id{}", this->sent)),
          milliseconds(0));
      if (response.starts_with("HTTP/1.1 200")) ++this->served;
    }
  }

  ArrivalLog arrivals;
  int sent = 0;
  int served = 0;
};

TEST_CASE("routers together keep to the rate of an engine that warms up",
          "[warm_up]") {
  Fleet fleet;
  fleet.Press(seconds(2));
  fleet.StateWarmUp(0, kWarmUpTime);
  const TimePoint began = RuntimeClock::now();
  fleet.Press(kWarmUpTime);
  const TimePoint ended = RuntimeClock::now();
  CHECK(static_cast<double>(fleet.arrivals.Most(began + kContactTime, ended)) <=
        ToleratedInSecondOfWarmUp(kRate));
  // It is used within its rate, and like the other one afterwards.
  CHECK(fleet.arrivals.Count(began + kContactTime, ended) >= 4);
  fleet.Press(seconds(3));
  CHECK(static_cast<double>(
            fleet.arrivals.Most(ended + seconds(1), RuntimeClock::now())) >
        ToleratedInSecondOfWarmUp(kRate));
  CHECK(fleet.served == fleet.sent);
}

TEST_CASE("an engine that reset connections is limited after its next answer",
          "[warm_up]") {
  Fleet fleet;
  fleet.Press(seconds(1));
  fleet.Break();
  fleet.Press(seconds(2));
  fleet.SetScript(0, fleet.Answer());
  const TimePoint answers_from = RuntimeClock::now();
  fleet.Press(kWarmUpTime);
  CHECK(static_cast<double>(
            fleet.arrivals.Most(answers_from, RuntimeClock::now())) <=
        ToleratedInSecondOfWarmUp(kRate));
  CHECK(fleet.arrivals.Count(answers_from, RuntimeClock::now()) >= 1);
  fleet.Press(seconds(3));
  const TimePoint warm_from = RuntimeClock::now();
  fleet.Press(seconds(2));
  CHECK(
      static_cast<double>(fleet.arrivals.Most(warm_from, RuntimeClock::now())) >
      ToleratedInSecondOfWarmUp(kRate));
}

TEST_CASE("a router that starts keeps to the rate of a warm-up", "[warm_up]") {
  Fleet fleet;
  fleet.StateWarmUp(0, kWarmUpTime);
  fleet.Press(kContactTime);
  const TimePoint began = RuntimeClock::now();
  fleet.RestartRouters({2});
  fleet.Press(seconds(2));
  CHECK(static_cast<double>(fleet.arrivals.Most(began, began + seconds(3))) <=
        ToleratedInSecondOfWarmUp(kRate));
}

}  // namespace
}  // namespace dandelionscale::tests
