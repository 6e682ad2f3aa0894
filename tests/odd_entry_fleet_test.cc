// Tests with real router processes: odd entries of another writer among those
// of the engines.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeResponse;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kQuiet(100);

Script AnswerOk(const HttpRequest& request) {
  return {SendBytes{MakeResponse(request, 200, "ok")}};
}

bool IsServed(PlatformFleet& fleet, int router) {
  static int number = 0;
  const std::string id = fmt::format("r{}", ++number);
  return fleet.Exchange(router, MakeClientRequest("GET", "/once/", id), kQuiet)
      .starts_with("HTTP/1.1 200");
}

std::string Entry(const std::string& address, const std::string& slots,
                  const std::string& more = "") {
  return R"({"service":"plain","address":)" + address + R"(,"zone":"north",)" +
         R"("max_slots":)" + slots + R"(,"state":"ready")" + more + "}";
}

// Entries by key, each with one oddity.
std::vector<std::pair<std::string, std::string>> OddEntries() {
  const std::string address = R"("127.0.0.1:9")";
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  return {
      {"odd-depth", deep},
      {"odd-deep-field", Entry(address, "8", R"(,"more":)" + deep)},
      {"odd-bytes", "\xff\xfe{"},
      {"odd-empty", ""},
      {"odd-list", "[]"},
      {"odd-port", Entry(R"("127.0.0.1:70000")", "8")},
      {"odd-port-zero", Entry(R"("127.0.0.1:0")", "8")},
      {"odd-port-negative", Entry(R"("127.0.0.1:-1")", "8")},
      {"odd-address", Entry(R"("0.0.0.0:9")", "8")},
      {"odd-address-line", Entry(R"("127.0.0.1\u0000\r\nX: y:9")", "8")},
      {"odd-slots-wrap", Entry(address, "4294967296")},
      {"odd-slots-large", Entry(address, "1e300")},
      {"odd-slots-over", Entry(address, "99999999999999999999999")},
      {"odd-slots-zero", Entry(address, "0")},
      {"odd-slots-negative", Entry(address, "-3")},
      {"odd-slots-fraction", Entry(address, "1.5")},
      {"odd-slots-text", Entry(address, R"("8")")},
      {"odd-born", Entry(address, "8", R"(,"born":9223372036854775807)")},
      {"odd-id\r\nX: y", Entry(address, "8")},
  };
}

void PutOddEntries(PlatformFleet& fleet) {
  fleet.RunOnLoop([&] {
    for (const auto& [key, value] : OddEntries()) {
      fleet.Store().Put("servers", key, value);
    }
  });
}

void CheckFollowsChanges(PlatformFleet& fleet, int router, int removed) {
  const int added = fleet.AddEngine("plain", AnswerOk);
  Eventually([&] {
    CHECK(IsServed(fleet, router));
    return !fleet.Requests(added).empty();
  });
  fleet.DeregisterEngine(removed);
  Eventually([&] {
    return fleet.Log(router).find(R"("change":"gone")") != std::string::npos;
  });
  const std::size_t before = fleet.Requests(removed).size();
  for (int n = 0; n < 10; ++n) CHECK(IsServed(fleet, router));
  CHECK(fleet.Requests(removed).size() == before);
}

void CheckNoOddEngineIsUsed(PlatformFleet& fleet, int router) {
  const std::string log = fleet.Log(router);
  CHECK(log.find(R"("event":"engine_belief","engine":"odd)") ==
        std::string::npos);
  CHECK(log.find(R"("event":"engine_entry_malformed","engine":"odd-depth")") !=
        std::string::npos);
}

// Returns 0 if the router has no such metric.
std::size_t CountedEntries(PlatformFleet& fleet, int router) {
  const std::string name = "\nengine_entries_malformed_total ";
  const std::string metrics = fleet.Metrics(router);
  const auto found = metrics.find(name);
  if (found == std::string::npos) return 0;
  return std::stoul(metrics.substr(found + name.size()));
}

TEST_CASE("odd entries that a router reads at its start are left out") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  PutOddEntries(fleet);
  fleet.AddEngine("plain", AnswerOk);
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  for (int n = 0; n < 10; ++n) CHECK(IsServed(fleet, 1));
  CheckFollowsChanges(fleet, 1, 0);
  CheckNoOddEngineIsUsed(fleet, 1);
}

TEST_CASE("odd entries written while a router runs are left out") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", AnswerOk);
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  PutOddEntries(fleet);
  Eventually([&] {
    return fleet.Log(1).find("odd-slots-negative") != std::string::npos;
  });
  for (int n = 0; n < 10; ++n) CHECK(IsServed(fleet, 1));
  CheckFollowsChanges(fleet, 1, 0);
  CheckNoOddEngineIsUsed(fleet, 1);
  CHECK(CountedEntries(fleet, 1) >= OddEntries().size());
}

TEST_CASE("an engine is used once a sound entry replaces its odd one") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  fleet.RunOnLoop([&] {
    fleet.Store().Put(
        "servers", "e1",
        Entry(R"("127.0.0.1:9")", "8", R"(,"born":9223372036854775807)"));
  });
  Eventually([&] {
    return fleet.Log(1).find(R"("engine":"e1")") != std::string::npos;
  });
  const int second = fleet.AddEngine("plain", AnswerOk);
  Eventually([&] {
    CHECK(IsServed(fleet, 1));
    return !fleet.Requests(second).empty();
  });
}

}  // namespace
}  // namespace dandelionscale::tests
