// Router processes, engines in two availability zones and the store: operators
// evacuate a zone, and no request reaches its engines until they take it back.
#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeResponse;
using emulator::Pause;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kQuiet(100);
// `bounds.evacuate_ms` of the platform.
constexpr milliseconds kMaxEvacuationTime(5000);
// Requests that a router sent before it knew of a change have arrived within
// this time.
constexpr milliseconds kTransitTime(200);
constexpr milliseconds kRequestInterval(25);

Script AnswerOk(const HttpRequest& request) {
  return {SendBytes{MakeResponse(request, 200, "ok")}};
}

Script AnswerWithLimit(const HttpRequest& request) {
  return {
      SendBytes{MakeResponse(request, 200, "ok", "Server-Limit: 1000\r\n")}};
}

// Engines 0 and 1 are in the zone north, 2 and 3 in the zone south.
struct Fleet : PlatformFleet {
  explicit Fleet(int routers, const emulator::ScriptMaker& maker = AnswerOk)
      : PlatformFleet(routers) {
    this->PutConfiguration(3);
    for (const char* zone : {"north", "south"}) {
      this->SetZone(zone);
      for (int n = 0; n < 2; ++n) this->AddEngine("plain", maker);
    }
    for (int n = 1; n <= routers; ++n) this->WaitUntilReady(n);
  }

  void Evacuate(const std::string& zone) {
    this->RunOnLoop([&] { this->Store().Put("op", "evacuate/" + zone, "{}"); });
  }
  void TakeBack(const std::string& zone) {
    this->RunOnLoop([&] { this->Store().Remove("op", "evacuate/" + zone); });
  }
  // Waits until a router has logged the event for the `times`th time.
  void WaitForEvent(int router, const std::string& event, int times = 1) {
    CAPTURE(router, event);
    Eventually([&] {
      return Occurrences(this->Log(router), "\"event\":\"" + event + "\"") >=
             times;
    });
  }
  int Get(int router) {
    const std::string text = this->Exchange(
        router,
        MakeClientRequest("GET", "/any/", "r" + std::to_string(++this->ids),
                          "Connection: close\r\n"),
        kQuiet);
    const auto responses = SplitResponses(text);
    return responses.empty() ? 0 : responses.front().status;
  }
  std::size_t RequestsInNorth() {
    return this->Requests(0).size() + this->Requests(1).size();
  }
  std::size_t RequestsInSouth() {
    return this->Requests(2).size() + this->Requests(3).size();
  }

  std::atomic<int> ids{0};
};

// Sends one request after the other to each router. Issuers that have just
// started permit only their share of a limit, a fifth of it among five routers.
// Two engines with `AnswerWithLimit()` then still take twice as many requests.
class Load {
 public:
  Load(Fleet& fleet, int routers) {
    for (int n = 1; n <= routers; ++n) {
      this->threads.emplace_back([this, &fleet, n] {
        while (!this->stopped) {
          if (fleet.Get(n) != 200) ++this->failures;
          std::this_thread::sleep_for(kRequestInterval);
        }
      });
    }
  }
  ~Load() { this->Stop(); }
  int Stop() {
    this->stopped = true;
    for (std::thread& thread : this->threads) {
      if (thread.joinable()) thread.join();
    }
    return this->failures;
  }

 private:
  std::atomic<bool> stopped{false};
  std::atomic<int> failures{0};
  std::vector<std::thread> threads;
};

// Load pattern: all routers serve while a zone is evacuated and taken back.
// Three of them watch the store; the others learn of it by digests. Engines
// that limit their rate get requests by permits, which may be under way.
TEST_CASE("no request reaches an evacuated zone once the routers know") {
  constexpr int kRouters = 5;
  const bool limits_rate = GENERATE(false, true);
  CAPTURE(limits_rate);
  Fleet fleet(kRouters, limits_rate ? AnswerWithLimit : AnswerOk);
  fleet.WaitForElection(3);
  Load load(fleet, kRouters);
  Eventually([&] { return fleet.RequestsInNorth() > 20; });

  const auto evacuated_at = steady_clock::now();
  fleet.Evacuate("north");
  for (int n = 1; n <= kRouters; ++n) fleet.WaitForEvent(n, "zone_evacuated");
  CHECK(steady_clock::now() - evacuated_at < kMaxEvacuationTime);
  std::this_thread::sleep_for(kTransitTime);
  const std::size_t north = fleet.RequestsInNorth();
  const std::size_t south = fleet.RequestsInSouth();
  Eventually([&] { return fleet.RequestsInSouth() > south + 100; });
  CHECK(fleet.RequestsInNorth() == north);
  Eventually([&] {
    return fleet.Metrics(1).find("\nzones_evacuated 1") != std::string::npos;
  });

  fleet.TakeBack("north");
  for (int n = 1; n <= kRouters; ++n) fleet.WaitForEvent(n, "zone_restored");
  Eventually([&] { return fleet.RequestsInNorth() > north + 20; });
  CHECK(load.Stop() == 0);
}

// Load pattern: the only engines left are draining, and a request waits for
// room when its engines' zone is evacuated.
TEST_CASE("a request is refused at once if all its engines are evacuated") {
  PlatformFleet fleet(1);
  const std::string route =
      R"({"name":"n","host":"h.example","prefix":"/any/","kind":"idempotent","timeout_ms":20000,"target_latency_ms":9000,"service":"plain","max_attempts":2})";
  fleet.PutConfiguration(3, route);
  fleet.SetMaxSlots(1);
  const int only = fleet.AddEngine("plain", [](const HttpRequest& request) {
    return Script{Pause{milliseconds(4000)},
                  SendBytes{MakeResponse(request, 200, "late")}};
  });
  fleet.SetZone("south");
  const int draining = fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  fleet.RegisterEngine(draining, "draining");
  Eventually([&] {
    return fleet.Log(1).find("\"change\":\"draining\"") != std::string::npos;
  });
  const auto get = [&](const std::string& id) {
    return std::async(std::launch::async, [&fleet, id] {
      return fleet.Exchange(
          1,
          MakeClientRequest("GET", "/any/", id, "Connection: close\r\n", "",
                            milliseconds(20000)),
          kQuiet);
    });
  };
  std::vector<std::future<std::string>> running;
  for (const char* id : {"r1", "r2"}) running.push_back(get(id));
  Eventually([&] { return fleet.Requests(only).size() == 2; });
  auto waiting = get("w1");
  Eventually([&] {
    return fleet.Log(1).find("\"event\":\"request_waits\"") !=
           std::string::npos;
  });

  fleet.RunOnLoop([&] { fleet.Store().Put("op", "evacuate/north", "{}"); });
  const std::string refused = waiting.get();
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("\r\nRetry-After: ") != std::string::npos);
  const std::string refused_later = get("w2").get();
  CHECK(refused_later.starts_with("HTTP/1.1 503"));
  CHECK(refused_later.find("\r\nRetry-After: ") != std::string::npos);
  // Requests that run there are completed.
  for (auto& one : running) {
    CHECK(one.wait_for(milliseconds(0)) == std::future_status::timeout);
  }
  for (auto& one : running) CHECK(one.get().starts_with("HTTP/1.1 200"));
  CHECK(fleet.Requests(only).size() == 2);
  CHECK(fleet.Requests(draining).empty());
}

// Failure: routers start while a zone is evacuated, and the store does not
// answer one of them.
TEST_CASE("a starting router knows of an evacuation before it is ready") {
  constexpr int kRefused = 3;
  constexpr int kNew = 4;
  Fleet fleet(3);
  fleet.WaitForElection(3);
  Eventually([&] {
    return Occurrences(fleet.Log(1), "peer_heard") == 2 &&
           Occurrences(fleet.Log(2), "peer_heard") == 2;
  });
  fleet.Evacuate("north");
  for (int n = 1; n <= 3; ++n) fleet.WaitForEvent(n, "zone_evacuated");
  fleet.Signal(kRefused, SIGKILL);
  fleet.WaitForExit(kRefused);
  const std::size_t log_size = fleet.Log(kRefused).size();
  fleet.StartRouter(kRefused, "platform.address=127.0.0.1:1\n");
  fleet.StartRouter(kNew);
  for (int n : {kRefused, kNew}) Eventually([&] { return fleet.IsReady(n); });
  const std::size_t north = fleet.RequestsInNorth();
  for (int n = 0; n < 20; ++n) {
    CHECK(fleet.Get(kRefused) == 200);
    CHECK(fleet.Get(kNew) == 200);
  }
  CHECK(fleet.RequestsInNorth() == north);
  const std::string log = fleet.Log(kRefused).substr(log_size);
  CHECK(log.find(R"("event":"zone_evacuated","zone":"north","source":"127.)") !=
        std::string::npos);

  fleet.TakeBack("north");
  fleet.WaitForEvent(kRefused, "zone_restored");
  fleet.WaitForEvent(kNew, "zone_restored");
  Eventually([&] {
    fleet.Get(kRefused);
    return fleet.RequestsInNorth() > north;
  });
}

// Failure: the store comes back from a copy that was taken while a zone was
// evacuated, after the zone was taken back.
TEST_CASE("the table of a restored store decides again") {
  constexpr int kRouters = 4;
  Fleet fleet(kRouters);
  fleet.WaitForElection(3);
  fleet.Evacuate("north");
  for (int n = 1; n <= kRouters; ++n) fleet.WaitForEvent(n, "zone_evacuated");
  fleet.RunOnLoop([&] { fleet.Store().TakeCopy(); });
  fleet.TakeBack("north");
  for (int n = 1; n <= kRouters; ++n) fleet.WaitForEvent(n, "zone_restored");
  fleet.RunOnLoop([&] { fleet.Store().Restore(); });
  for (int n = 1; n <= kRouters; ++n) {
    fleet.WaitForEvent(n, "zone_evacuated", 2);
  }
  fleet.TakeBack("north");
  for (int n = 1; n <= kRouters; ++n) {
    fleet.WaitForEvent(n, "zone_restored", 2);
  }
}

}  // namespace
}  // namespace dandelionscale::tests
