// A call with an idempotency key runs at most once, whatever happens to the
// answers of the platform's table.
#include "dandelionscale/core/claim.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dandelionscale {
namespace {

/// What the table and the network do to one operation.
enum class Fate {
  kAnswered,
  kAnswerLost,
  kAppliedLate,
  kNeverApplied,
  kRefused
};

/// \brief One attempt with its machine, under a table of one row.
class ClaimWorld {
 public:
  struct Attempt {
    ClaimMachine machine;
    ClaimEffect effect;
    std::string token;
    bool ended = false;
    bool ran = false;
    std::optional<RequestOutcome> told = {};
  };

  void AddAttempt(std::uint64_t body_hash) {
    const std::string token = std::to_string(this->attempts.size());
    ClaimMachine machine(token, body_hash, false);
    ClaimEffect effect = machine.Start();
    this->attempts.push_back({machine, effect, token});
  }

  /// \brief Carries out the effect of one attempt.
  void Step(std::size_t index, Fate fate) {
    Attempt& attempt = this->attempts[index % this->attempts.size()];
    if (attempt.ended) return;
    if (std::holds_alternative<RunCall>(attempt.effect)) {
      this->Run(attempt);
      return;
    }
    if (const auto* refuse = std::get_if<RefuseCall>(&attempt.effect)) {
      attempt.ended = true;
      attempt.told = refuse->outcome;
      return;
    }
    if (std::holds_alternative<ReplayAnswer>(attempt.effect)) {
      attempt.ended = true;
      attempt.told = RequestOutcome::kCompleted;
      return;
    }
    attempt.effect = attempt.machine.Handle(this->Apply(attempt.effect, fate));
  }

  /// \brief Lets a write take effect whose answer was lost long ago.
  void ApplyLate() {
    if (this->late.empty()) return;
    if (!this->row) this->row = this->late.front();
    this->late.pop_front();
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

  ClaimEvent Apply(const ClaimEffect& effect, Fate fate) {
    if (const auto* insert = std::get_if<InsertClaim>(&effect)) {
      if (fate == Fate::kRefused) return ClaimNotWritten{};
      if (fate == Fate::kNeverApplied) return ClaimAnswerLost{};
      if (fate == Fate::kAppliedLate) {
        this->late.push_back(insert->row);
        return ClaimAnswerLost{};
      }
      const bool existed = this->row.has_value();
      if (!existed) this->row = insert->row;
      if (fate == Fate::kAnswerLost) return ClaimAnswerLost{};
      if (existed) return ClaimExists{*this->row};
      return ClaimInserted{};
    }
    if (fate != Fate::kAnswered) return ClaimReadFailed{};
    return ClaimReadBack{this->row};
  }

  std::optional<ClaimRow> row;
  std::deque<ClaimRow> late;
};

Fate ArbitraryFate() {
  return *rc::gen::element(Fate::kAnswered, Fate::kAnswerLost,
                           Fate::kAppliedLate, Fate::kNeverApplied,
                           Fate::kRefused);
}

TEST_CASE("a claimed call runs at most once under any loss") {
  const bool held = rc::check([] {
    ClaimWorld world;
    const int attempts = *rc::gen::inRange(1, 6);
    for (int i = 0; i < attempts; ++i) world.AddAttempt(7);
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 5) == 0) world.ApplyLate();
      world.Step(*rc::gen::inRange<std::size_t>(0, 6), ArbitraryFate());
      RC_ASSERT(world.Runs() <= 1);
    }
    for (const auto& attempt : world.attempts) {
      if (attempt.told == RequestOutcome::kNotRun) RC_ASSERT(!attempt.ran);
    }
  });
  CHECK(held);
}

TEST_CASE("a lost answer to the claim is resolved by reading it back") {
  ClaimMachine machine("mine", 7, false);
  const ClaimRow row = std::get<InsertClaim>(machine.Start()).row;
  CHECK(std::holds_alternative<ReadClaim>(machine.Handle(ClaimAnswerLost{})));
  CHECK(std::holds_alternative<RunCall>(machine.Handle(ClaimReadBack{row})));
}

TEST_CASE("a claim that can't be resolved is refused as not run") {
  ClaimMachine machine("mine", 7, false);
  machine.Handle(ClaimAnswerLost{});
  const ClaimEffect effect = machine.Handle(ClaimReadFailed{});
  const auto* refuse = std::get_if<RefuseCall>(&effect);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->outcome == RequestOutcome::kNotRun);
  CHECK(refuse->reason == RefusalReason::kPlatformUnavailable);
  CHECK(refuse->release_claim);
}

TEST_CASE("the same key with another body is a conflict") {
  ClaimMachine machine("mine", 7, false);
  const ClaimEffect effect =
      machine.Handle(ClaimExists{{"other", 8, true, 201, "", ""}});
  const auto* refuse = std::get_if<RefuseCall>(&effect);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->reason == RefusalReason::kIdempotencyKeyConflict);
}

TEST_CASE("a claim held by another attempt is awaited, then unknown") {
  ClaimMachine machine("mine", 7, false);
  const ClaimRow held{"other", 7, false, 0, "", ""};
  ClaimEffect effect = machine.Handle(ClaimExists{held});
  for (int i = 0; i < ClaimMachine::kHolderReads; ++i) {
    REQUIRE(std::holds_alternative<AwaitHolder>(effect));
    effect = machine.Handle(ClaimReadBack{held});
  }
  const auto* refuse = std::get_if<RefuseCall>(&effect);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->outcome == RequestOutcome::kUnknown);
}

TEST_CASE("a claim row survives its serialization") {
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
