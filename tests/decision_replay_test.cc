// Tests that logged decisions can be replayed, with logs of real router
// processes and with single lines.
#include "dandelionscale/dispatch/decision_replay.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeResponse;
using emulator::Pause;
using emulator::Script;
using emulator::SendBytes;

// After a complete response, an exchange ends when nothing more arrives for
// this time.
constexpr std::chrono::milliseconds kQuiet(50);
// More requests than one engine has slots for, so that some wait in the
// admission queue or are refused.
constexpr int kClients = 24;

Script Slow(const HttpRequest& request) {
  return {Pause{std::chrono::milliseconds(1200)},
          SendBytes{MakeResponse(request, 200, "hello")}};
}

Script Failing(const HttpRequest& request) {
  return {SendBytes{MakeResponse(request, 500, "broken")}};
}

// Checks that each decision in `log` is the same when replayed. Returns the
// number of replayed decisions for each log event.
std::map<std::string, int> ReplayLog(const std::string& log) {
  std::map<std::string, int> replayed;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const ReplayResult result = ReplayDecision(line);
    if (result == ReplayResult::kNoDecision) continue;
    CAPTURE(line);
    CHECK(result == ReplayResult::kSame);
    const auto event = boost::json::parse(line).at("event").as_string();
    ++replayed[std::string(event.data(), event.size())];
  }
  return replayed;
}

TEST_CASE("every logged decision on a request can be replayed") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("chat", Failing);
  fleet.AddEngine("chat", Failing);
  fleet.AddEngine("plain", Slow);
  fleet.WaitUntilReady(1);
  const std::string parts = "Prompt-Prefix: a1:5000,b2:700,c3:100\r\n";
  for (int n = 0; n < 6; ++n) {
    fleet.Exchange(
        1,
        MakeClientRequest("POST", "/stream/", "c" + std::to_string(n),
                          parts + "Model: m\r\n", "x"),
        kQuiet);
  }
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&fleet, n] {
      fleet.Exchange(1,
                     MakeClientRequest("GET", "/any/", "p" + std::to_string(n)),
                     kQuiet);
    });
  }
  for (std::thread& client : clients) client.join();
  const auto replayed = ReplayLog(fleet.Log(1));
  CHECK(replayed.at("request_placed") >= 6 + 8);
  CHECK(replayed.at("attempt_decided") >= 6);
  const int waits =
      replayed.contains("request_waits") ? replayed.at("request_waits") : 0;
  const int refused =
      replayed.contains("wait_refused") ? replayed.at("wait_refused") : 0;
  CHECK(waits + refused > 0);
}

TEST_CASE("a decision that does not follow from its logged inputs is found") {
  const std::string wait =
      R"({"event":"request_waits","waiting":500,"workspaces":1,)"
      R"("own_waiting":500,"gap_us":20000,"target_us":500000,)"
      R"("time_left_us":2000000,"priority":1})";
  CHECK(ReplayDecision(wait) == ReplayResult::kDifferent);
  const std::string placed =
      R"({"event":"request_placed","basis":"holds_prefix","candidates":)"
      R"("a:9/10/0/ur b:0/10/500/ur","affinity":"7","spread":"8",)"
      R"("load_factor":2.0,"shared_tokens":500,"mean_load":4.5})";
  CHECK(ReplayDecision(placed) == ReplayResult::kDifferent);
  // A request that stays in the zone, but was sent to another one's engine.
  const std::string zone =
      R"({"event":"request_placed","basis":"least_loaded","candidates":)"
      R"("a:1/10/0/ur b:4/10/0/urz","affinity":"0","spread":"8",)"
      R"("load_factor":2.0,"shared_tokens":0,"mean_load":2.5,)"
      R"("zone_rule":"stay"})";
  CHECK(ReplayDecision(zone) == ReplayResult::kDifferent);
  const std::string repeat =
      R"({"event":"attempt_decided","decision":"send_again",)"
      R"("failure":"no_answer","sends":1,"max_attempts":3,"repeatable":false,)"
      R"("may_have_run":true,"events_delivered":false,"can_resume":false,)"
      R"("time_left_us":900000})";
  CHECK(ReplayDecision(repeat) == ReplayResult::kDifferent);
}

// `ignored` is also the rule of lines that an earlier build has logged.
TEST_CASE("decisions are replayed by their zone rule") {
  std::ifstream file(DANDELION_GOLDEN "/zone_decisions.txt");
  std::ostringstream lines;
  lines << file.rdbuf();
  CHECK(ReplayLog(lines.str())["request_placed"] == 7);
}

// The lines of earlier builds have neither flag `a` nor a margin.
TEST_CASE("decisions on slow engines and with margins are replayed") {
  std::ifstream file(DANDELION_GOLDEN "/stated_load_decisions.txt");
  std::ostringstream lines;
  lines << file.rdbuf();
  CHECK(ReplayLog(lines.str())["request_placed"] == 5);
  // A slow engine was chosen while the other one had room.
  const std::string slow =
      R"({"event":"request_placed","basis":"least_loaded","candidates":)"
      R"("a:1/10/0/ura b:9/10/0/ur","affinity":"0","spread":"8",)"
      R"("load_factor":2.0,"shared_tokens":0,"mean_load":5.0})";
  CHECK(ReplayDecision(slow) == ReplayResult::kDifferent);
  // With its margin, the holder exceeds the bound: 0.75 * (2 * 4 + 3) = 8.25.
  const std::string margin =
      R"({"event":"request_placed","basis":"holds_prefix","candidates":)"
      R"("a:6/10/700/ur+2 b:2/10/0/ur","affinity":"7","spread":"8",)"
      R"("load_factor":2.0,"shared_tokens":700,"mean_load":4.0})";
  CHECK(ReplayDecision(margin) == ReplayResult::kDifferent);
}

TEST_CASE("lines without a decision, or without its inputs, are skipped") {
  for (const char* line :
       {"", "no JSON", "[]", R"({"event":"start"})", R"({"event":7})",
        R"({"event":"request_placed","basis":"hashed"})",
        R"({"event":"request_placed","basis":"least_loaded",)"
        R"("candidates":"a:1/10/0/ur","affinity":"0","spread":"8",)"
        R"("load_factor":2.0,"shared_tokens":0,"mean_load":1.0,)"
        R"("zone_rule":"unheard of"})",
        R"({"event":"request_waits","waiting":"many"})",
        R"({"event":"attempt_decided","failure":"unheard of"})"}) {
    CAPTURE(line);
    CHECK(ReplayDecision(line) == ReplayResult::kNoDecision);
  }
}

}  // namespace
}  // namespace dandelionscale::tests
