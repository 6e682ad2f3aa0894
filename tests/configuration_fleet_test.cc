// An accepted configuration takes effect on all routers and is never replaced
// by an older version, also after lost responses, outages and pauses.
#include <signal.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

HttpResponse ProposeConfiguration(const ProcessFleet& fleet, int router,
                                  std::int64_t version) {
  HttpRequest request;
  request.method = "PUT";
  request.target = "/v1/config";
  request.headers.Add("Authorization", "Bearer " + std::string(kAdminToken));
  request.headers.Add("If-Match", std::to_string(version));
  request.body = fleet.Configuration();
  return fleet.Call(fleet.AdminPort(router), std::move(request));
}

void WaitForVersion(const ProcessFleet& fleet, int router,
                    std::int64_t version) {
  Eventually([&] {
    return fleet.StatusNumber(router, "configuration_version") == version;
  });
}

TEST_CASE(
    "of two concurrent proposals one is accepted and the other gets a 412") {
  ProcessFleet fleet({.base = 22800});
  for (std::int64_t version = 1; version < 6; ++version) {
    HttpResponse one;
    HttpResponse two;
    std::thread first([&] { one = ProposeConfiguration(fleet, 1, version); });
    std::thread second([&] { two = ProposeConfiguration(fleet, 2, version); });
    first.join();
    second.join();
    CHECK(one.status + two.status == 200 + 412);
    for (int n = 1; n <= 3; ++n) WaitForVersion(fleet, n, version + 1);
  }
}

TEST_CASE("an accepted write whose response is lost is read back") {
  ProcessFleet fleet({.base = 22800});
  fleet.Get(fleet.Port(2), "/fake/mode?lose_answers=1&match=compare_and_set");
  CHECK(ProposeConfiguration(fleet, 1, 1).status == 200);
  for (int n = 1; n <= 3; ++n) WaitForVersion(fleet, n, 2);
}

TEST_CASE(
    "a router restarts while the platform is down after an accepted proposal") {
  ProcessFleet fleet({.base = 22800});
  CHECK(ProposeConfiguration(fleet, 1, 1).status == 200);
  fleet.Get(fleet.Port(2), "/fake/mode?down=1");
  for (int n = 1; n <= 3; ++n) WaitForVersion(fleet, n, 2);
  CHECK(ProposeConfiguration(fleet, 2, 2).status == 503);
  fleet.Signal("router-3", SIGKILL);
  fleet.WaitForExit("router-3");
  fleet.StartRouter(3);
  WaitForVersion(fleet, 3, 2);
  CHECK(fleet.Chat(3, "s", "hello").status == 200);
  fleet.Get(fleet.Port(2), "/fake/mode?down=0");
  Eventually([&] { return ProposeConfiguration(fleet, 3, 2).status == 200; });
  for (int n = 1; n <= 3; ++n) WaitForVersion(fleet, n, 3);
}

TEST_CASE(
    "a paused router catches up and does not return to an older version") {
  ProcessFleet fleet({.base = 22800});
  fleet.Signal("router-3", SIGSTOP);
  CHECK(ProposeConfiguration(fleet, 1, 1).status == 200);
  CHECK(ProposeConfiguration(fleet, 2, 2).status == 200);
  fleet.Signal("router-3", SIGCONT);
  WaitForVersion(fleet, 3, 3);
  CHECK(ProposeConfiguration(fleet, 3, 1).status == 412);
  for (int n = 1; n <= 3; ++n) WaitForVersion(fleet, n, 3);
}

}  // namespace
}  // namespace dandelionscale::tests
