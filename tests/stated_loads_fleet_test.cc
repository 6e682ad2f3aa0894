// Router processes before engines that state their load and pace.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <sstream>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/dispatch/decision_replay.h"
#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeResponse;
using emulator::Script;
using emulator::ScriptMaker;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kQuiet(20);
// The largest fleet in which each digest goes to every peer.
constexpr int kSmallFleet = static_cast<int>(kDigestFanout) + 1;

ScriptMaker StateLoad(const std::string& load) {
  return [load](const HttpRequest& request) -> Script {
    return {SendBytes{
        MakeResponse(request, 200, "ok", "Instance-Load: " + load + "\r\n")}};
  };
}

struct Fleet : PlatformFleet {
  explicit Fleet(int routers) : PlatformFleet(routers), routers(routers) {
    this->PutConfiguration(3);
    this->AddEngine("plain", StateLoad("1,0,8,400"));
    this->AddEngine("plain", StateLoad("1,0,8,100"));
    for (int n = 1; n <= routers; ++n) this->WaitUntilReady(n);
    for (int n = 1; n <= routers; ++n) {
      Eventually([&] {
        return this->Metrics(n).find(fmt::format(
                   "peers_heard {}", routers - 1)) != std::string::npos;
      });
    }
  }

  // Sends requests to all routers in turn.
  void SendToAll(int rounds) {
    for (int n = 0; n < rounds * this->routers; ++n) {
      const std::string id = fmt::format("r{}", ++this->sent);
      const std::string answer = this->Exchange(
          1 + n % this->routers, MakeClientRequest("GET", "/any/", id), kQuiet);
      CHECK(answer.starts_with("HTTP/1.1 200"));
    }
  }
  bool HasFromPeers(int router) {
    return this->Metrics(router).find(
               "stated_loads_received_total{from=\"peer\"}") !=
           std::string::npos;
  }

  int routers;
  int sent = 0;
};

// Checks that each placement in the log is the same when replayed. Returns the
// number of those for which an engine was avoided.
int CountAvoiding(const std::string& log) {
  int count = 0;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    if (line.find("\"request_placed\"") == std::string::npos) continue;
    CAPTURE(line);
    CHECK(ReplayDecision(line) == ReplayResult::kSame);
    const auto candidates = boost::json::value_to<std::string>(
        boost::json::parse(line).at("candidates"));
    if (candidates.find("/0/urza") != std::string::npos) ++count;
  }
  return count;
}

TEST_CASE("a large fleet forwards stated loads and avoids a slow engine") {
  Fleet fleet(kSmallFleet + 1);
  fleet.SendToAll(10);
  int avoiding = 0;
  for (int n = 1; n <= fleet.routers; ++n) {
    CAPTURE(n);
    CHECK(fleet.HasFromPeers(n));
    CHECK(fleet.Metrics(n).find("malformed") == std::string::npos);
    avoiding += CountAvoiding(fleet.Log(n));
  }
  CHECK(avoiding > 0);
  const std::size_t at_slow = fleet.Requests(0).size();
  const std::size_t at_other = fleet.Requests(1).size();
  CAPTURE(at_slow, at_other);
  CHECK(at_slow > 0);
  CHECK(2 * at_slow < at_other);
}

// Guards against a change of decisions and messages in fleets in which peers'
// reports are recent.
TEST_CASE("a small fleet ignores stated loads") {
  Fleet fleet(kSmallFleet);
  fleet.SendToAll(4);
  for (int n = 1; n <= fleet.routers; ++n) {
    CAPTURE(n);
    CHECK_FALSE(fleet.HasFromPeers(n));
    CHECK(CountAvoiding(fleet.Log(n)) == 0);
  }
}

}  // namespace
}  // namespace dandelionscale::tests
