// The decision after a failed send of a request to an engine.
#include "dandelionscale/core/attempt_policy.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr AttemptFailure kAllFailures[] = {
    AttemptFailure::kNotConnected, AttemptFailure::kRefused,
    AttemptFailure::kWrongEngine,  AttemptFailure::kEngineError,
    AttemptFailure::kNoAnswer,     AttemptFailure::kStreamBroken,
    AttemptFailure::kBadAnswer};

Route MakeRoute(RouteKind kind, std::uint32_t attempts,
                bool resumable = false) {
  Route route;
  route.kind = kind;
  route.max_attempts = attempts;
  route.resumable = resumable;
  return route;
}

AttemptHistory History(AttemptFailure failure, std::uint32_t sends) {
  AttemptHistory history;
  history.failure = failure;
  history.sends = sends;
  history.any_may_have_run = !IsProvablyNotRun(failure);
  history.time_left = milliseconds(1000);
  return history;
}

template <typename T>
bool Is(const AttemptDecision& decision) {
  return std::holds_alternative<T>(decision);
}

TEST_CASE("a non-idempotent request that may have run is never sent again") {
  const Route route = MakeRoute(RouteKind::kNonIdempotent, 3);
  CHECK(Is<AnswerFailed>(DecideAfterFailure(
      LimitsOf(route), History(AttemptFailure::kNoAnswer, 1))));
  CHECK(Is<AnswerFailed>(DecideAfterFailure(
      LimitsOf(route), History(AttemptFailure::kBadAnswer, 1))));
}

TEST_CASE("a request that has provably not run may be sent to another engine") {
  const Route route = MakeRoute(RouteKind::kNonIdempotent, 2);
  CHECK(Is<SendAgain>(DecideAfterFailure(
      LimitsOf(route), History(AttemptFailure::kRefused, 1))));
  CHECK(Is<RefuseNotRun>(DecideAfterFailure(
      LimitsOf(route), History(AttemptFailure::kRefused, 2))));
}

TEST_CASE("a failed connection costs neither an attempt nor retry budget") {
  const Route route = MakeRoute(RouteKind::kNonIdempotent, 1);
  const auto decision = DecideAfterFailure(
      LimitsOf(route), History(AttemptFailure::kNotConnected, 0));
  REQUIRE(Is<SendAgain>(decision));
  CHECK_FALSE(std::get<SendAgain>(decision).costs_budget);
}

TEST_CASE("a broken stream is continued only if it can be resumed") {
  AttemptHistory history = History(AttemptFailure::kStreamBroken, 1);
  history.events_delivered = true;
  history.can_resume = true;
  CHECK(Is<SendAgain>(DecideAfterFailure(
      LimitsOf(MakeRoute(RouteKind::kStreaming, 2, true)), history)));
  CHECK(Is<BreakStream>(DecideAfterFailure(
      LimitsOf(MakeRoute(RouteKind::kStreaming, 2, false)), history)));
  history.can_resume = false;
  CHECK(Is<BreakStream>(DecideAfterFailure(
      LimitsOf(MakeRoute(RouteKind::kStreaming, 2, true)), history)));
}

TEST_CASE("an engine's error response is forwarded when no attempts are left") {
  const Route route = MakeRoute(RouteKind::kIdempotent, 2);
  CHECK(Is<SendAgain>(DecideAfterFailure(
      LimitsOf(route), History(AttemptFailure::kEngineError, 1))));
  CHECK(Is<PassEngineAnswer>(DecideAfterFailure(
      LimitsOf(route), History(AttemptFailure::kEngineError, 2))));
}

TEST_CASE("decisions respect the limits of the route for any history") {
  const bool held = rc::check([] {
    const auto failure = *rc::gen::elementOf(std::vector<AttemptFailure>(
        std::begin(kAllFailures), std::end(kAllFailures)));
    const auto kind =
        *rc::gen::element(RouteKind::kIdempotent, RouteKind::kNonIdempotent,
                          RouteKind::kStreaming);
    const Route route = MakeRoute(kind, *rc::gen::inRange<std::uint32_t>(1, 4),
                                  *rc::gen::arbitrary<bool>());
    AttemptHistory history;
    history.failure = failure;
    history.sends = *rc::gen::inRange<std::uint32_t>(0, 5);
    history.any_may_have_run =
        !IsProvablyNotRun(failure) || *rc::gen::arbitrary<bool>();
    history.events_delivered =
        history.any_may_have_run && *rc::gen::arbitrary<bool>();
    history.can_resume =
        history.events_delivered && *rc::gen::arbitrary<bool>();
    history.time_left = milliseconds(*rc::gen::inRange(0, 2000));
    const auto decision = DecideAfterFailure(LimitsOf(route), history);
    if (Is<SendAgain>(decision)) {
      RC_ASSERT(history.sends < route.max_attempts);
      RC_ASSERT(!history.any_may_have_run || route.IsRepeatable());
      RC_ASSERT(!history.events_delivered || history.can_resume);
    }
    if (Is<RefuseNotRun>(decision)) RC_ASSERT(!history.any_may_have_run);
    if (history.events_delivered) {
      RC_ASSERT(Is<SendAgain>(decision) || Is<BreakStream>(decision));
    }
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale
