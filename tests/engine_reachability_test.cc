// Which services' engines a router reaches by connections of its own.
#include "dandelionscale/core/engine_reachability.h"

#include <catch2/catch.hpp>

namespace dandelionscale::tests {
namespace {

using Change = EngineReachability::Change;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ReachabilityCheck kNoneReached = {2, 0, true};
constexpr ReachabilityCheck kOneReached = {2, 1, false};
constexpr ReachabilityCheck kAllReached = {2, 2, false};

struct Checks {
  EngineReachability reachability;
  TimePoint now = TimePoint(seconds(1000));

  Change Check(const ReachabilityCheck& check, bool has_alternative = true) {
    this->reachability.OnCheckStarted(this->now, {"chat"});
    return this->reachability.OnChecked(this->now, "chat", check,
                                        has_alternative);
  }
  // Returns the time from now until a check that reaches all regains the
  // service, with a check each half second.
  Duration TimeToRegain() {
    const TimePoint begun = this->now;
    do {
      this->now += milliseconds(500);
    } while (this->Check(kAllReached) != Change::kRegained);
    return this->now - begun;
  }
};

TEST_CASE("a service is cut off when a check reaches none of its engines") {
  Checks checks;
  CHECK(checks.Check(kOneReached) == Change::kNone);
  CHECK_FALSE(checks.reachability.IsCutOff("chat"));
  CHECK(checks.Check(kNoneReached) == Change::kLost);
  CHECK(checks.reachability.IsCutOff("chat"));
  CHECK_FALSE(checks.reachability.IsCutOff("plain"));
  CHECK(checks.Check(kNoneReached) == Change::kNone);
}

TEST_CASE("a check without engines changes nothing") {
  Checks checks;
  CHECK(checks.Check({0, 0, false}) == Change::kNone);
  CHECK_FALSE(checks.reachability.IsCutOff("chat"));
}

TEST_CASE("a cut ends after several checks that reach all engines") {
  Checks checks;
  checks.Check(kNoneReached);
  checks.now += seconds(5);
  CHECK(checks.Check(kAllReached) == Change::kNone);
  CHECK(checks.Check(kOneReached) == Change::kNone);
  CHECK(checks.Check(kAllReached) == Change::kNone);
  CHECK(checks.Check(kAllReached) == Change::kRegained);
  CHECK_FALSE(checks.reachability.IsCutOff("chat"));
}

TEST_CASE("without another way one reached engine ends a cut") {
  Checks checks;
  checks.Check(kNoneReached);
  CHECK(checks.Check(kNoneReached, false) == Change::kNone);
  CHECK(checks.Check(kOneReached, false) == Change::kRegained);
}

TEST_CASE("a link that comes and goes is tried less and less often") {
  Checks checks;
  checks.Check(kNoneReached);
  const Duration first = checks.TimeToRegain();
  CHECK(first <= seconds(1));
  Duration last = first;
  for (int n = 0; n < 5; ++n) {
    checks.now += seconds(1);
    REQUIRE(checks.Check(kNoneReached) == Change::kLost);
    last = checks.TimeToRegain();
    CHECK(last <= seconds(5));
  }
  CHECK(last >= seconds(4));
  // A cut after a long time is a first one again.
  checks.now += seconds(60);
  checks.Check(kNoneReached);
  CHECK(checks.TimeToRegain() == first);
}

TEST_CASE("a check is due after a suspicion, and now and then in a cut") {
  Checks checks;
  CHECK_FALSE(checks.reachability.IsCheckDue(checks.now));
  checks.reachability.OnSuspicion();
  CHECK(checks.reachability.IsCheckDue(checks.now));
  checks.Check(kAllReached);
  checks.now += milliseconds(100);
  checks.reachability.OnSuspicion();
  CHECK(checks.reachability.WasJustChecked(checks.now));
  CHECK_FALSE(checks.reachability.IsCheckDue(checks.now));
  checks.now += milliseconds(300);
  CHECK(checks.reachability.IsCheckDue(checks.now));
  checks.Check(kNoneReached);
  CHECK_FALSE(checks.reachability.IsCheckDue(checks.now));
  checks.now += milliseconds(500);
  CHECK(checks.reachability.IsCheckDue(checks.now));
}

TEST_CASE("silence of all engines is a suspicion, that of one is none") {
  Checks checks;
  checks.reachability.OnSent(checks.now, "chat");
  checks.reachability.OnSent(checks.now, "chat");
  checks.now += milliseconds(300);
  CHECK(checks.reachability.IsCheckDue(checks.now));
  checks.reachability.OnReceived("chat");
  CHECK_FALSE(checks.reachability.IsCheckDue(checks.now));
  checks.reachability.OnSent(checks.now, "chat");
  checks.now += milliseconds(300);
  CHECK_FALSE(checks.reachability.IsCheckDue(checks.now));
}

TEST_CASE("only services that are cut off are checked without a suspicion") {
  Checks checks;
  checks.reachability.OnSuspicion();
  CHECK(checks.reachability.OnCheckStarted(checks.now, {"a", "chat"}) ==
        std::vector<std::string>{"a", "chat"});
  checks.Check(kNoneReached);
  CHECK(checks.reachability.OnCheckStarted(checks.now, {"a", "chat"}) ==
        std::vector<std::string>{"chat"});
}

}  // namespace
}  // namespace dandelionscale::tests
