// Tests that the outcome of a request is explained from logs alone.
#include "dandelionscale/dispatch/log_explanation.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

std::string Line(const std::string& time, const std::string& event,
                 const std::string& more) {
  return R"({"time":"2026-12-04T05:00:)" + time +
         R"(Z","level":"info","process":"router-1","event":")" + event + "\"," +
         more + "}";
}

// A log in which request r1 fails at engine e1, while e1 answers request r2.
std::vector<std::string> LogOfFailedRequest(const std::string& outcome,
                                            const std::string& reason) {
  return {"a line that is not JSON",
          Line("01.000", "engine_belief",
               R"("engine":"e1","service":"s","change":"unlisted")"),
          Line("01.100", "request_placed", R"("request":"r1","engine":"e1")"),
          Line("01.110", "request_placed", R"("request":"r2","engine":"e1")"),
          Line("01.200", "request_finished",
               R"("request":"r2","outcome":"answered","reason":"")"),
          Line("01.300", "attempt_failed",
               R"("request":"r1","engine":"e1","failure":"no_answer")"),
          Line("01.310", "request_finished",
               R"("request":"r1","outcome":")" + outcome + R"(","reason":")" +
                   reason + "\"")};
}

TEST_CASE("the lines of a request are selected and ordered by time") {
  auto lines = LogOfFailedRequest("failed", "no_answer");
  std::reverse(lines.begin(), lines.end());
  const auto found = ExplainRequest("r1", lines);
  REQUIRE(found.lines.size() == 3);
  CHECK(found.lines[0].find("request_placed") != std::string::npos);
  CHECK(found.lines[2].find("request_finished") != std::string::npos);
}

TEST_CASE("an explanation has the cause, state changes and contradictions") {
  const auto found =
      ExplainRequest("r1", LogOfFailedRequest("failed", "no_answer"));
  CHECK(found.cause.find("may have run") != std::string::npos);
  REQUIRE(found.context.size() == 1);
  CHECK(found.context[0].find("unlisted") != std::string::npos);
  REQUIRE(found.contradictions.size() == 1);
  CHECK(found.contradictions[0] ==
        "engine e1 answered 1 other requests meanwhile");
}

TEST_CASE("lines of a router that carried a tunnel are shown, not its end") {
  auto lines = LogOfFailedRequest("failed", "no_answer");
  lines.push_back(Line("01.150", "tunnel_carried",
                       R"("request":"r1","engine":"e1","peer":"10.0.0.1")"));
  lines.push_back(
      Line("01.400", "tunnel_ended", R"("request":"r1","peer":"10.0.0.1")"));
  lines.push_back(Line("01.120", "reachability_lost", R"("service":"s")"));
  const auto found = ExplainRequest("r1", lines);
  CHECK(found.lines.size() == 5);
  CHECK(found.cause.find("may have run") != std::string::npos);
  CHECK(found.context.size() == 2);
}

TEST_CASE("every reason that routers write has a cause") {
  for (const char* reason :
       {"no_configuration", "no_route", "unknown_key", "queue_full", "no_room",
        "no_engine", "deadline", "no_answer", "bad_answer", "engine_error",
        "stream_broken", "refused", "wrong_engine", "not_connected"}) {
    INFO(reason);
    const auto found =
        ExplainRequest("r1", LogOfFailedRequest("failed", reason));
    CHECK(found.cause.find("unknown reason") == std::string::npos);
  }
  CHECK(ExplainRequest("r1", LogOfFailedRequest("client_gone", ""))
            .cause.find("client") != std::string::npos);
}

TEST_CASE("a request without a final line, and one that is in no log") {
  auto lines = LogOfFailedRequest("failed", "no_answer");
  lines.pop_back();
  CHECK(ExplainRequest("r1", lines).cause.starts_with("no final line"));
  CHECK(ExplainRequest("r9", lines).lines.empty());
}

TEST_CASE("decisions are replayed, and those that differ are listed") {
  const std::string inputs =
      R"("request":"r1","failure":"no_answer","sends":1,"max_attempts":2,)"
      R"("may_have_run":true,"events_delivered":false,"can_resume":false,)"
      R"("time_left_us":500000,"decision":)";
  const std::string repeated =
      Line("01.400", "attempt_decided",
           R"("repeatable":true,)" + inputs + R"("send_again")");
  const std::string wrong =
      Line("01.500", "attempt_decided",
           R"("repeatable":false,)" + inputs + R"("send_again")");
  const std::vector<std::string> log = {repeated, wrong};
  const RequestExplanation explanation = ExplainRequest("r1", log);
  CHECK(explanation.decisions == 2);
  REQUIRE(explanation.mismatches.size() == 1);
  CHECK(explanation.mismatches[0] == wrong);
}

}  // namespace
}  // namespace dandelionscale
