// Where requests go: single decisions, and replays of the loads that are hard.
#include "dandelionscale/core/placement.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <numeric>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/placement_record.h"
#include "tests/support/engine_simulator.h"

namespace dandelionscale::tests {
namespace {

// Of a service of 18 engines at 150 requests a second that run 1.2 s.
constexpr int kEngines = 18;
constexpr int kGapMs = 7;
constexpr int kRunMs = 1200;
constexpr int kDayMs = 30'000;
constexpr std::uint32_t kLongTokens = 10'000;
constexpr std::uint32_t kShortTokens = 700;
// The users' bound on requests that reach an engine above the bound on load.
constexpr double kOverBoundAllowed = 0.03;

std::vector<PlacementCandidate> Candidates(std::vector<std::uint32_t> loads) {
  std::vector<PlacementCandidate> candidates;
  for (std::size_t n = 0; n < loads.size(); ++n) {
    PlacementCandidate candidate;
    candidate.engine_key = 100 + n;
    candidate.in_flight = loads[n];
    candidate.max_slots = 10;
    candidates.push_back(candidate);
  }
  return candidates;
}

TEST_CASE("an engine that holds the prefix is chosen before idle ones") {
  auto candidates = Candidates({4, 0, 0, 0});
  candidates[0].held_tokens = 1000;
  PlacementQuestion question{candidates, 1000, 7, 1, 4.0};
  const auto decision = ChooseEngine(question);
  REQUIRE(decision);
  CHECK(decision->index == 0);
  CHECK(decision->basis == PlacementBasis::kHoldsPrefix);
}

TEST_CASE("a holder above the bound is passed over, and its cache copied") {
  auto candidates = Candidates({9, 0, 0, 0});
  candidates[0].held_tokens = 1000;
  PlacementQuestion question{candidates, 1000, 7, 1, 1.0};
  const auto decision = ChooseEngine(question);
  REQUIRE(decision);
  CHECK(decision->index != 0);
  CHECK(decision->basis == PlacementBasis::kSpilled);
  CHECK(ChooseCopySource(question, decision->index) == std::size_t{0});
}

TEST_CASE("nothing is copied from an engine that can't be reached") {
  auto candidates = Candidates({0, 0});
  candidates[0].held_tokens = 1000;
  candidates[0].reachable = false;
  PlacementQuestion question{candidates, 1000, 7, 1, 2.0};
  CHECK_FALSE(ChooseCopySource(question, 1));
  CHECK_FALSE(ChooseCopySource(question, 0));
}

TEST_CASE(
    "routers with the same view choose the same engine for a new prefix") {
  auto candidates = Candidates({2, 2, 2, 2, 2, 2});
  PlacementQuestion first{candidates, 1000, 42, 1, 2.0};
  PlacementQuestion second{candidates, 1000, 42, 999, 2.0};
  CHECK(ChooseEngine(first)->index == ChooseEngine(second)->index);
}

TEST_CASE("requests without a prompt go to the least loaded engine") {
  auto candidates = Candidates({3, 1, 2});
  PlacementQuestion question{candidates, 0, 0, 5, 2.0};
  CHECK(ChooseEngine(question)->index == 1);
  candidates[1].usable = false;
  CHECK(ChooseEngine(question)->index == 2);
}

TEST_CASE("no engine is chosen when all are full or unusable") {
  auto candidates = Candidates({13, 13});
  PlacementQuestion question{candidates, 0, 0, 5, 2.0};
  CHECK_FALSE(ChooseEngine(question));
  candidates = Candidates({0, 0});
  for (auto& candidate : candidates) candidate.usable = false;
  question.candidates = candidates;
  CHECK_FALSE(ChooseEngine(question));
}

// Plays a day of requests for 150 parts; `extra` may change the engines or name
// a part of its own for a request.
SimulationCounts PlayDay(
    EngineSimulator& model, std::uint32_t tokens,
    const std::function<std::optional<std::uint64_t>(int)>& extra) {
  PrefixIndex index(10'000);
  SimulationCounts counts;
  for (int now = 0; now < kDayMs; now += kGapMs) {
    const auto part = extra(now);
    model.PlaceAndRun(now, part.value_or(1 + model.random() % 150), tokens,
                      kRunMs, index, counts);
  }
  return counts;
}

TEST_CASE("replay: one key gets a third of the traffic") {
  EngineSimulator model(kEngines, 1);
  const auto counts = PlayDay(model, kShortTokens, [&](int) {
    return model.random() % 3 == 0 ? std::optional<std::uint64_t>(9999)
                                   : std::nullopt;
  });
  CHECK(counts.not_placed == 0);
  CHECK(counts.OverBoundShare() <= kOverBoundAllowed);
  // The hot key spills to a few steady engines, not to whoever comes last.
  CHECK(counts.recomputed < 150);
}

TEST_CASE("replay: returning chats while engines are replaced one by one") {
  EngineSimulator model(kEngines, 2);
  std::size_t replaced = 0;
  const auto counts =
      PlayDay(model, kLongTokens, [&](int now) -> std::optional<std::uint64_t> {
        if (now / 2000 > static_cast<int>(replaced) && replaced < 9) {
          model.engines[replaced].usable = false;
          model.Add();
          ++replaced;
        }
        return std::nullopt;
      });
  CHECK(counts.OverBoundShare() <= kOverBoundAllowed);
  // Every part has its first engine, and half of them lose it once.
  CHECK(counts.reused > counts.requests * 9 / 10);
}

TEST_CASE("replay: empty engines are added") {
  EngineSimulator model(kEngines, 3);
  const auto counts =
      PlayDay(model, kLongTokens, [&](int now) -> std::optional<std::uint64_t> {
        if (now % 5000 < kGapMs) model.Add();
        return std::nullopt;
      });
  CHECK(counts.OverBoundShare() <= kOverBoundAllowed);
  // New engines attract nothing that another engine holds.
  CHECK(counts.RecomputedShare() < 0.03);
}

// A log line holds the chosen engine and its rivals only.
TEST_CASE("the rivals of a decision are enough to make it again") {
  rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    std::vector<PlacementCandidate> candidates(count);
    for (std::size_t n = 0; n < count; ++n) {
      candidates[n].engine_key = HashText(std::to_string(n));
      candidates[n].in_flight = *rc::gen::inRange<std::uint32_t>(0, 30);
      candidates[n].max_slots = *rc::gen::inRange<std::uint32_t>(1, 48);
      candidates[n].held_tokens = *rc::gen::element(0U, 500U, 11'000U);
      candidates[n].usable = *rc::gen::inRange(0, 6) != 0;
      candidates[n].reachable = *rc::gen::arbitrary<bool>();
      candidates[n].same_zone = *rc::gen::arbitrary<bool>();
    }
    PlacementQuestion question;
    question.candidates = candidates;
    question.affinity_key = *rc::gen::element<std::uint64_t>(0, 77, 91'234);
    question.shared_tokens =
        question.affinity_key == 0 ? 0 : *rc::gen::element(500U, 11'000U);
    question.spread_key = *rc::gen::arbitrary<std::uint64_t>();
    const auto decision = ChooseEngine(question);
    RC_PRE(decision.has_value());
    const std::string text =
        FormatCandidates(PlacementRivals(question, *decision));
    const auto rivals = ParseCandidates(text);
    RC_ASSERT(rivals.has_value());
    RC_ASSERT(rivals->size() <= 4);
    RC_ASSERT(FormatCandidates(*rivals) == text);
    PlacementQuestion again = question;
    again.candidates = *rivals;
    again.mean_in_flight = decision->mean_in_flight;
    const auto replayed = ChooseEngine(again);
    RC_ASSERT(replayed.has_value());
    RC_ASSERT(replayed->index == 0);
    RC_ASSERT(replayed->basis == decision->basis);
  });
}

TEST_CASE("text that is no list of candidates is told apart") {
  for (const char* text : {"x", "1:2/3", "1:2/3/4", "1:2/3/4/u ,", "1:-2/3/4/u",
                           "g:1/1/1/u", "1:1/1/99999999999/u"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseCandidates(text));
  }
  CHECK(ParseCandidates("")->empty());
}

}  // namespace
}  // namespace dandelionscale::tests
