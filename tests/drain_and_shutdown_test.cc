// Draining engines get no new requests, and routers that shut down complete all
// responses in progress.
#include <signal.h>

#include <atomic>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

std::int64_t StartedRequests(const ProcessFleet& fleet, std::size_t engine) {
  const HttpResponse stats = fleet.Get(fleet.Port(3), "/fake/stats");
  return boost::json::parse(stats.body)
      .at("engines")
      .at(engine)
      .at("started")
      .as_int64();
}

void SendChats(const ProcessFleet& fleet, int chats) {
  for (int i = 0; i < chats; ++i) {
    const HttpResponse response =
        fleet.Chat(1 + i % 3, "s" + std::to_string(i), "hello");
    CHECK(response.status == 200);
  }
}

bool AllRoutersReportDraining(const ProcessFleet& fleet, std::size_t engine,
                              bool draining) {
  for (int n = 1; n <= 3; ++n) {
    const HttpResponse status = fleet.Get(fleet.AdminPort(n), "/v1/status");
    if (boost::json::parse(status.body)
            .at("engines")
            .at(engine)
            .at("draining")
            .as_bool() != draining) {
      return false;
    }
  }
  return true;
}

TEST_CASE("an engine drained by configuration gets no new requests") {
  ProcessFleet fleet({.base = 23200, .engines = 3});
  SendChats(fleet, 12);
  CHECK(fleet.Ctl({"drain", "advice-2"}).exit_code == 0);
  Eventually([&] { return AllRoutersReportDraining(fleet, 1, true); });
  const std::int64_t before = StartedRequests(fleet, 1);
  fleet.Get(fleet.Port(2), "/fake/mode?down=1");
  SendChats(fleet, 12);
  CHECK(StartedRequests(fleet, 1) == before);
  fleet.Get(fleet.Port(2), "/fake/mode?down=0");
  Eventually([&] { return fleet.Ctl({"undrain", "advice-2"}).exit_code == 0; });
  Eventually([&] { return AllRoutersReportDraining(fleet, 1, false); });
}

TEST_CASE("an engine listed as leaving gets no new requests") {
  ProcessFleet fleet({.base = 23200, .engines = 3});
  const std::string hosts = "/fake/hosts?name=advice-1&incarnation=";
  fleet.Get(fleet.Port(2), hosts + "1&state=leaving");
  Eventually([&] { return AllRoutersReportDraining(fleet, 0, true); });
  const std::int64_t before = StartedRequests(fleet, 0);
  // The list may switch back to an outdated state; the engine keeps draining
  // until it is listed as live with a higher incarnation.
  fleet.Get(fleet.Port(2), hosts + "1&state=live");
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  SendChats(fleet, 12);
  CHECK(StartedRequests(fleet, 0) == before);
  fleet.Get(fleet.Port(2), hosts + "2&state=live");
  Eventually([&] { return AllRoutersReportDraining(fleet, 0, false); });
  fleet.Get(fleet.Port(2), hosts + "2&state=leaving");
  Eventually([&] { return AllRoutersReportDraining(fleet, 0, true); });
}

TEST_CASE("routers restarted in turn under load fail no request") {
  // Responses take longer than the shutdown grace period.
  ProcessFleet fleet(
      {.base = 23200,
       .engine_arguments = {"--token-ms", "30", "--answer-tokens", "120"},
       .router_arguments = {"--shutdown-grace-ms", "2000"}});
  std::atomic<bool> stop = false;
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  // Number of the router that the load balancer has removed; 0 for none.
  std::atomic<int> removed_router = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      for (int i = 0; !stop; ++i) {
        int router = 1 + (c + i) % 3;
        if (router == removed_router) router = 1 + router % 3;
        const HttpResponse response =
            fleet.Chat(router, "s" + std::to_string(c), "hello");
        response.status == 200 ? ++served : ++failed;
      }
    });
  }
  for (int n = 1; n <= 3; ++n) {
    const std::string name = "router-" + std::to_string(n);
    const int before = served;
    Eventually([&] { return served > before + 3; });
    fleet.Signal(name, SIGTERM);
    // The load balancer continues to send requests for a short time, then
    // removes the router.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    removed_router = n;
    CHECK(fleet.WaitForExit(name) == 0);
    fleet.StartRouter(n);
    fleet.WaitUntilReady(n, 3);
    removed_router = 0;
  }
  stop = true;
  for (std::thread& client : clients) client.join();
  CHECK(failed == 0);
  CHECK(served > 0);
}

}  // namespace
}  // namespace dandelionscale::tests
