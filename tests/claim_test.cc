// A call with an idempotency key runs at most once, even if responses of the
// platform's table are lost or writes take effect late.
#include "dandelionscale/core/claim.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dandelionscale {
namespace {

/// \brief Simulated result of one table operation.
enum class Delivery {
  kResponseReceived,
  kResponseLost,
  kAppliedLate,
  kNeverApplied,
  kRefused
};

/// \brief Attempts of one call that share a simulated table with one row.
class ClaimSimulation {
 public:
  struct Attempt {
    ClaimStateMachine machine;
    ClaimEffect effect;
    std::string token;
    bool ended = false;
    bool ran = false;
    std::optional<RequestOutcome> reported = {};
  };

  void AddAttempt(std::uint64_t body_hash) {
    const std::string token = std::to_string(this->attempts.size());
    ClaimStateMachine machine(token, body_hash, false);
    ClaimEffect effect = machine.Start();
    this->attempts.push_back({machine, effect, token});
  }

  /// \brief Executes the pending effect of one attempt.
  void Step(std::size_t index, Delivery delivery) {
    Attempt& attempt = this->attempts[index % this->attempts.size()];
    if (attempt.ended) return;
    if (std::holds_alternative<RunCall>(attempt.effect)) {
      this->Run(attempt);
      return;
    }
    if (const auto* refuse = std::get_if<RefuseCall>(&attempt.effect)) {
      attempt.ended = true;
      attempt.reported = refuse->outcome;
      return;
    }
    if (std::holds_alternative<ReplayResponse>(attempt.effect)) {
      attempt.ended = true;
      attempt.reported = RequestOutcome::kCompleted;
      return;
    }
    attempt.effect =
        attempt.machine.Handle(this->Apply(attempt.effect, delivery));
  }

  /// \brief Applies the oldest pending write whose response was lost.
  void ApplyLate() {
    if (this->late_writes.empty()) return;
    if (!this->row) this->row = this->late_writes.front();
    this->late_writes.pop_front();
  }

  int Runs() const {
    int runs = 0;
    for (const Attempt& attempt : this->attempts) runs += attempt.ran ? 1 : 0;
    return runs;
  }

  std::vector<Attempt> attempts;

 private:
  void Run(Attempt& attempt) {
    attempt.ran = true;
    attempt.ended = true;
    this->row = ClaimRow{attempt.token, 1, true, 201, "", "done"};
  }

  ClaimEvent Apply(const ClaimEffect& effect, Delivery delivery) {
    if (const auto* insert = std::get_if<InsertClaim>(&effect)) {
      if (delivery == Delivery::kRefused) return ClaimNotWritten{};
      if (delivery == Delivery::kNeverApplied) return ClaimResponseLost{};
      if (delivery == Delivery::kAppliedLate) {
        this->late_writes.push_back(insert->row);
        return ClaimResponseLost{};
      }
      const bool existed = this->row.has_value();
      if (!existed) this->row = insert->row;
      if (delivery == Delivery::kResponseLost) return ClaimResponseLost{};
      if (existed) return ClaimExists{*this->row};
      return ClaimInserted{};
    }
    if (delivery != Delivery::kResponseReceived) return ClaimReadFailed{};
    return ClaimReadBack{this->row};
  }

  std::optional<ClaimRow> row;
  std::deque<ClaimRow> late_writes;
};

Delivery ArbitraryDelivery() {
  return *rc::gen::element(Delivery::kResponseReceived, Delivery::kResponseLost,
                           Delivery::kAppliedLate, Delivery::kNeverApplied,
                           Delivery::kRefused);
}

TEST_CASE("a claimed call runs at most once under any message loss") {
  const bool held = rc::check([] {
    ClaimSimulation simulation;
    const int attempts = *rc::gen::inRange(1, 6);
    for (int i = 0; i < attempts; ++i) simulation.AddAttempt(7);
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 5) == 0) simulation.ApplyLate();
      simulation.Step(*rc::gen::inRange<std::size_t>(0, 6),
                      ArbitraryDelivery());
      RC_ASSERT(simulation.Runs() <= 1);
    }
    for (const auto& attempt : simulation.attempts) {
      if (attempt.reported == RequestOutcome::kNotRun) RC_ASSERT(!attempt.ran);
    }
  });
  CHECK(held);
}

TEST_CASE("a lost response to the insert is resolved by reading the row") {
  ClaimStateMachine machine("mine", 7, false);
  const ClaimRow row = std::get<InsertClaim>(machine.Start()).row;
  CHECK(std::holds_alternative<ReadClaim>(machine.Handle(ClaimResponseLost{})));
  CHECK(std::holds_alternative<RunCall>(machine.Handle(ClaimReadBack{row})));
}

TEST_CASE("a call whose claim cannot be read back is refused as not run") {
  ClaimStateMachine machine("mine", 7, false);
  machine.Handle(ClaimResponseLost{});
  const ClaimEffect effect = machine.Handle(ClaimReadFailed{});
  const auto* refuse = std::get_if<RefuseCall>(&effect);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->outcome == RequestOutcome::kNotRun);
  CHECK(refuse->reason == RefusalReason::kPlatformUnavailable);
  CHECK(refuse->release_claim);
}

TEST_CASE("the same key with another body is a conflict") {
  ClaimStateMachine machine("mine", 7, false);
  const ClaimEffect effect =
      machine.Handle(ClaimExists{{"other", 8, true, 201, "", ""}});
  const auto* refuse = std::get_if<RefuseCall>(&effect);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->reason == RefusalReason::kIdempotencyKeyConflict);
}

TEST_CASE("a claim held by another attempt is polled, then unknown") {
  ClaimStateMachine machine("mine", 7, false);
  const ClaimRow held{"other", 7, false, 0, "", ""};
  ClaimEffect effect = machine.Handle(ClaimExists{held});
  for (int i = 0; i < ClaimStateMachine::kMaxHolderReads; ++i) {
    REQUIRE(std::holds_alternative<AwaitHolder>(effect));
    effect = machine.Handle(ClaimReadBack{held});
  }
  const auto* refuse = std::get_if<RefuseCall>(&effect);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->outcome == RequestOutcome::kUnknown);
}

TEST_CASE("a claim row survives a serialization round trip") {
  const ClaimRow row{"token",
                     18'000'000'000'000'000'000ULL,
                     true,
                     201,
                     "application/json",
                     "{\"number\":1}"};
  CHECK(ParseClaim(SerializeClaim(row)) == row);
  CHECK_FALSE(ParseClaim("{\"attempt_token\":1}").has_value());
}

}  // namespace
}  // namespace dandelionscale
