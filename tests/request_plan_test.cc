// Attempts of one request: retries, redirects and the outcome that the client
// receives.
#include "dandelionscale/core/request_plan.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

std::shared_ptr<const FleetView> MakeView(int routers) {
  Configuration configuration;
  configuration.services.push_back({"advice", ServiceKind::kChat, 1.25, false});
  for (int i = 0; i < 6; ++i) {
    configuration.engines.push_back(
        {"engine-" + std::to_string(i), "advice", "north", "127.0.0.1:1", 64});
  }
  Membership membership;
  for (int i = 0; i < routers; ++i) {
    membership.members.push_back(
        {"router-" + std::to_string(i), "north", "127.0.0.1:2", 1, false});
  }
  return std::make_shared<FleetView>(configuration, membership,
                                     std::set<std::string>{});
}

class PlanFixture {
 public:
  explicit PlanFixture(bool idempotent, int routers = 3, double budget = 10)
      : budget(0, budget),
        plan(MakeOptions(idempotent), MakeView(routers), &this->budget) {}

  static RequestPlan::Options MakeOptions(bool idempotent) {
    RequestPlan::Options options;
    options.router = "router-0";
    options.session_key = 5;
    options.idempotent = idempotent;
    options.deadline = TimePoint(std::chrono::seconds(10));
    return options;
  }

  PlanStep Next() { return this->plan.Next(this->now); }
  void End(const AttemptResult& result) {
    this->plan.OnAttempt(result, this->now);
  }

  TimePoint now{std::chrono::seconds(1)};
  RetryBudget budget;
  RequestPlan plan;
};

TEST_CASE("each unreachable owner is tried once, then the local share") {
  PlanFixture fixture(true);
  std::set<std::string> attempted;
  for (int i = 0; i < 3; ++i) {
    const auto attempt = std::get<TryOwner>(fixture.Next());
    CHECK(attempted.insert(attempt.owner).second);
    fixture.End(AttemptOwnerFailed{false});
  }
  CHECK(std::holds_alternative<ServeWithinLocalShare>(fixture.Next()));
}

TEST_CASE("a request that may have run is not sent again") {
  PlanFixture fixture(false);
  fixture.Next();
  fixture.End(AttemptOwnerFailed{true});
  const auto failure = std::get<FailRequest>(fixture.Next());
  CHECK(failure.outcome == RequestOutcome::kUnknown);
}

TEST_CASE("a redirect is followed to the owner of the named engine") {
  PlanFixture fixture(true);
  fixture.Next();
  fixture.End(AttemptRedirected{3});
  const auto attempt = std::get<TryOwner>(fixture.Next());
  CHECK(attempt.engine == EngineIndex{3});
}

TEST_CASE("a response that has begun is only resumed at its engine") {
  PlanFixture fixture(true);
  fixture.Next();
  fixture.plan.OnProgress(2, 10);
  fixture.End(AttemptOwnerFailed{true});
  const auto attempt = std::get<TryOwner>(fixture.Next());
  CHECK(attempt.resume);
  CHECK(attempt.engine == EngineIndex{2});
  fixture.End(AttemptRefused{RefusalReason::kEngineUnreachable,
                             RequestOutcome::kNotRun,
                             EngineIndex{2},
                             {}});
  CHECK(std::get<FailRequest>(fixture.Next()).outcome ==
        RequestOutcome::kUnknown);
}

TEST_CASE("retries that may run twice stop when the budget is spent") {
  PlanFixture fixture(true, 3, 1);
  fixture.Next();
  fixture.End(AttemptOwnerFailed{true});
  CHECK(std::holds_alternative<TryOwner>(fixture.Next()));
  fixture.End(AttemptOwnerFailed{true});
  const auto failure = std::get<FailRequest>(fixture.Next());
  CHECK(failure.reason == RefusalReason::kRetryBudgetSpent);
  CHECK(failure.retry_after > Duration::zero());
}

TEST_CASE("not_run is reported only if no attempt may have run") {
  const bool held = rc::check([] {
    PlanFixture fixture(*rc::gen::arbitrary<bool>());
    bool may_have_run = false;
    for (int i = 0; i < 50; ++i) {
      fixture.now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      const PlanStep step = fixture.Next();
      if (const auto* failure = std::get_if<FailRequest>(&step)) {
        if (may_have_run) {
          RC_ASSERT(failure->outcome == RequestOutcome::kUnknown);
        }
        return;
      }
      const auto engine = static_cast<EngineIndex>(*rc::gen::inRange(0, 6));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          fixture.End(AttemptRedirected{engine});
          break;
        case 1:
          fixture.End(AttemptRefused{RefusalReason::kAtLoadBound,
                                     RequestOutcome::kNotRun,
                                     engine,
                                     {}});
          break;
        case 2:
          may_have_run = true;
          fixture.End(AttemptRefused{RefusalReason::kEngineBroke,
                                     RequestOutcome::kUnknown,
                                     engine,
                                     {}});
          break;
        case 3:
          fixture.End(AttemptOwnerFailed{false});
          break;
        case 4:
          may_have_run = true;
          fixture.End(AttemptOwnerFailed{true});
          break;
      }
    }
    RC_FAIL("the plan did not end within 50 attempts");
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale
