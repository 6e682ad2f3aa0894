// Calls with an idempotency key run at most once when routers, the platform or
// the service fail. The booking service of the emulator counts the runs.
#include <signal.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

constexpr std::string_view kBody = "{\"part\":\"nozzle\"}";

std::string Outcome(const HttpResponse& response) {
  if (response.status == 0) return "connection";
  if (response.status == 201) return "completed";
  return boost::json::value_to<std::string>(
      boost::json::parse(response.body).at("outcome"));
}

/// \brief Sends the same booking to every router concurrently.
std::vector<HttpResponse> BookAtAllRouters(const ProcessFleet& fleet,
                                           int routers, std::string key) {
  std::vector<HttpResponse> responses(static_cast<std::size_t>(routers));
  std::vector<std::thread> threads;
  for (int n = 1; n <= routers; ++n) {
    threads.emplace_back([&, n] {
      responses[static_cast<std::size_t>(n - 1)] =
          fleet.Book(n, key, std::string(kBody));
    });
  }
  for (std::thread& thread : threads) thread.join();
  return responses;
}

TEST_CASE("concurrent calls with one key at all routers run once") {
  ProcessFleet fleet({.base = 22000});
  for (int i = 0; i < 10; ++i) {
    const std::string key = "order-" + std::to_string(i);
    for (const HttpResponse& response : BookAtAllRouters(fleet, 3, key)) {
      CHECK(Outcome(response) == "completed");
    }
    CHECK(fleet.Runs(key) == 1);
  }
  // Without a key the requests are independent: each runs.
  CHECK(fleet.Book(1, "", std::string(kBody)).status == 201);
  CHECK(fleet.Book(1, "", std::string(kBody)).status == 201);
  CHECK(fleet.Number(fleet.Port(4), "/fake/stats", "runs") == 12);
}

TEST_CASE("a reused key with a different body is refused") {
  ProcessFleet fleet({.base = 22000});
  CHECK(fleet.Book(1, "order", std::string(kBody)).status == 201);
  const HttpResponse conflict = fleet.Book(2, "order", "{}");
  CHECK(conflict.status == 422);
  CHECK(Outcome(conflict) == "not_run");
  CHECK(fleet.Runs("order") == 1);
}

TEST_CASE(
    "a claim whose response is lost is read back, and the call runs once") {
  ProcessFleet fleet({.base = 22000});
  fleet.Get(fleet.Port(2), "/fake/mode?lose_answers=1&match=claim");
  CHECK(Outcome(fleet.Book(1, "order", std::string(kBody))) == "completed");
  CHECK(Outcome(fleet.Book(2, "order", std::string(kBody))) == "completed");
  CHECK(fleet.Runs("order") == 1);
}

TEST_CASE("with the platform down a booking is refused with outcome not_run") {
  ProcessFleet fleet({.base = 22000});
  fleet.Get(fleet.Port(2), "/fake/mode?down=1");
  const HttpResponse refused = fleet.Book(1, "order", std::string(kBody));
  CHECK(refused.status == 503);
  CHECK(Outcome(refused) == "not_run");
  CHECK(!refused.headers.Find("Retry-After").empty());
  CHECK(fleet.Runs("order") == 0);
  fleet.Get(fleet.Port(2), "/fake/mode?down=0");
  Eventually(
      [&] { return fleet.Book(2, "order", std::string(kBody)).status == 201; });
  CHECK(fleet.Runs("order") == 1);
}

TEST_CASE(
    "a response lost after the run is unknown, and the call is not repeated") {
  ProcessFleet fleet({.base = 22000});
  fleet.Get(fleet.Port(4), "/fake/mode?drop_answers=1");
  CHECK(Outcome(fleet.Book(1, "order", std::string(kBody))) == "unknown");
  CHECK(Outcome(fleet.Book(2, "order", std::string(kBody))) == "unknown");
  CHECK(fleet.Runs("order") == 1);
}

TEST_CASE("a status lookup at the service resolves an unknown outcome") {
  ProcessFleet fleet({.base = 22000, .status_lookup = true});
  fleet.Get(fleet.Port(4), "/fake/mode?drop_answers=1");
  CHECK(Outcome(fleet.Book(1, "order", std::string(kBody))) == "completed");
  CHECK(Outcome(fleet.Book(2, "order", std::string(kBody))) == "completed");
  CHECK(fleet.Runs("order") == 1);
}

TEST_CASE("a call whose router is killed while it runs is not repeated") {
  ProcessFleet fleet({.base = 22000});
  fleet.Get(fleet.Port(4), "/fake/mode?delay_ms=3000");
  std::thread caller([&] { fleet.Book(1, "order", std::string(kBody)); });
  Eventually([&] { return fleet.Runs("order") == 1; });
  fleet.Signal("router-1", SIGKILL);
  caller.join();
  const std::string outcome =
      Outcome(fleet.Book(2, "order", std::string(kBody)));
  CHECK(outcome == "unknown");
  CHECK(fleet.Runs("order") == 1);
}

TEST_CASE("a call at a router paused past its lease runs at most once") {
  ProcessFleet fleet({.base = 22000, .proxied = true});
  // The platform responds slowly, so that router-1 is paused between claiming
  // the key and sending the call.
  fleet.Get(fleet.Port(2), "/fake/mode?delay_ms=400");
  HttpResponse first;
  std::thread caller(
      [&] { first = fleet.Book(1, "order", std::string(kBody)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fleet.Signal("router-1", SIGSTOP);
  const std::string second =
      Outcome(fleet.Book(2, "order", std::string(kBody)));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  fleet.Signal("router-1", SIGCONT);
  caller.join();
  fleet.Get(fleet.Port(2), "/fake/mode?delay_ms=0");
  CHECK(fleet.Runs("order") <= 1);
  // If both calls were refused as not run, the paused router must not have sent
  // its call later.
  if (second == "not_run" && Outcome(first) == "not_run") {
    CHECK(fleet.Runs("order") == 0);
  }
}

TEST_CASE("a call over a link that closes connections does not run") {
  ProcessFleet fleet({.base = 22000, .bookings = 1, .proxied = true});
  fleet.Get(fleet.Port(5), "/fake/link?link=1&refuse=1");
  const HttpResponse refused = fleet.Book(1, "order", std::string(kBody));
  // The proxy accepts and closes the connection. Bytes may have been sent, so
  // the outcome may be unknown; it would be not_run if the connection were
  // refused.
  CHECK(fleet.Runs("order") == 0);
  CHECK(Outcome(refused) != "completed");
  // Restores the link.
  fleet.Get(fleet.Port(5), "/fake/link?link=1");
}

}  // namespace
}  // namespace dandelionscale::tests
