// Choice of an engine for a request: single decisions, and simulations of load
// patterns that are difficult to balance.
#include "dandelionscale/core/load/placement.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <numeric>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/load/placement_record.h"
#include "dandelionscale/core/load/work_time.h"
#include "tests/support/engine_simulator.h"

namespace dandelionscale::tests {
namespace {

// A service of 18 engines receives about 150 requests/s that run for 1.2 s
// each.
constexpr int kEngines = 18;
constexpr int kArrivalIntervalMs = 7;
constexpr int kRunMs = 1200;
constexpr int kSimulatedMs = 30'000;
constexpr std::uint32_t kLongTokens = 10'000;
constexpr std::uint32_t kShortTokens = 700;
// Requirement: at most this share of the requests is placed on an engine whose
// load exceeds the load bound.
constexpr double kMaxOverBoundShare = 0.03;

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

TEST_CASE("an engine that has cached the prefix is preferred to idle engines") {
  auto candidates = Candidates({4, 0, 0, 0});
  candidates[0].cached_tokens = 1000;
  PlacementInputs inputs{candidates, 1000, 7, 1, 4.0};
  const auto decision = ChooseEngine(inputs);
  REQUIRE(decision);
  CHECK(decision->index == 0);
  CHECK(decision->basis == PlacementBasis::kHoldsPrefix);
}

// Two of six engines are free, the others limit their rate: the free ones must
// take nearly all requests and still be chosen for the prompts they hold.
TEST_CASE(
    "engines that limit their rate do not lower the bound of the others") {
  auto candidates = Candidates({1, 1, 1, 1, 9, 9});
  for (std::size_t n = 0; n < 4; ++n) {
    candidates[n].limits_rate = true;
    candidates[n].usable = false;
  }
  candidates[4].cached_tokens = 1000;
  PlacementInputs inputs{candidates, 1000, 7, 1, 2.0};
  const auto decision = ChooseEngine(inputs);
  REQUIRE(decision);
  CHECK(decision->index == 4);
  CHECK(decision->basis == PlacementBasis::kHoldsPrefix);
  CHECK(decision->mean_in_flight == 9);
}

TEST_CASE("if all engines limit their rate, the mean is over all") {
  auto candidates = Candidates({2, 4});
  for (PlacementCandidate& candidate : candidates) candidate.limits_rate = true;
  PlacementInputs inputs{candidates, 0, 0, 1, 2.0};
  CHECK(ChooseEngine(inputs)->mean_in_flight == 3);
}

TEST_CASE(
    "a holder above the load bound is not chosen but serves as copy source") {
  auto candidates = Candidates({9, 0, 0, 0});
  candidates[0].cached_tokens = 1000;
  PlacementInputs inputs{candidates, 1000, 7, 1, 1.0};
  const auto decision = ChooseEngine(inputs);
  REQUIRE(decision);
  CHECK(decision->index != 0);
  CHECK(decision->basis == PlacementBasis::kSpilled);
  CHECK(ChooseCopySource(inputs, decision->index) == std::size_t{0});
}

TEST_CASE("a holder that is refused for its load is not chosen by its hash") {
  // With a factor of 1, the bound of holders is below that of other engines.
  auto candidates = Candidates({20, 22, 22, 22});
  for (auto& candidate : candidates) candidate.max_slots = 40;
  candidates[0].cached_tokens = 1000;
  for (std::uint64_t affinity = 1; affinity < 50; ++affinity) {
    // The mean is 21.5: the holder's bound is 18.4, the other engines' 27.9.
    PlacementInputs inputs{candidates, 1000, affinity, 1, 1.0};
    const auto decision = ChooseEngine(inputs);
    REQUIRE(decision);
    // All exceed their bounds, so the least loaded engine is chosen.
    CHECK(decision->basis == PlacementBasis::kSpilled);
    CHECK(decision->index == 0);
  }
}

TEST_CASE("an unreachable engine is never the copy source") {
  auto candidates = Candidates({0, 0});
  candidates[0].cached_tokens = 1000;
  candidates[0].reachable = false;
  PlacementInputs inputs{candidates, 1000, 7, 1, 2.0};
  CHECK_FALSE(ChooseCopySource(inputs, 1));
  CHECK_FALSE(ChooseCopySource(inputs, 0));
}

TEST_CASE(
    "routers with the same view choose the same engine for a new prefix") {
  auto candidates = Candidates({2, 2, 2, 2, 2, 2});
  PlacementInputs first{candidates, 1000, 42, 1, 2.0};
  PlacementInputs second{candidates, 1000, 42, 999, 2.0};
  CHECK(ChooseEngine(first)->index == ChooseEngine(second)->index);
}

TEST_CASE("requests without shared parts go to the least loaded engine") {
  auto candidates = Candidates({3, 1, 2});
  PlacementInputs inputs{candidates, 0, 0, 5, 2.0};
  CHECK(ChooseEngine(inputs)->index == 1);
  candidates[1].usable = false;
  CHECK(ChooseEngine(inputs)->index == 2);
}

// Load pattern: short requests in a burst, with reports that are older than a
// request takes. Guards against refusals while engines have slots again.
TEST_CASE("more requests may wait at an engine if they are short") {
  using std::chrono::milliseconds;
  CHECK(EngineQueueShare(milliseconds(200), milliseconds(40)) == 1.25);
  // Waiting requests lengthen the work time, so that the share falls.
  CHECK(EngineQueueShare(milliseconds(200), milliseconds(100)) == 0.5);
  // Streams that run for seconds, and services without any answer yet.
  CHECK(EngineQueueShare(milliseconds(600), milliseconds(2000)) == 0.25);
  CHECK(EngineQueueShare(milliseconds(200), WorkTime::kUnknown) == 0.25);
  // Bounded also if the target is far above the work time.
  CHECK(EngineQueueShare(milliseconds(5000), milliseconds(1)) == 2.0);

  auto candidates = Candidates({20, 21});
  PlacementInputs inputs{candidates, 0, 0, 1, 4.0};
  CHECK_FALSE(ChooseEngine(inputs));
  inputs.engine_queue_share = 1.25;
  REQUIRE(ChooseEngine(inputs));
  CHECK(ChooseEngine(inputs)->index == 0);
  inputs.engine_queue_share = 1.0;
  CHECK_FALSE(ChooseEngine(inputs));
}

TEST_CASE("no engine is chosen when all are full or unusable") {
  auto candidates = Candidates({13, 13});
  PlacementInputs inputs{candidates, 0, 0, 5, 2.0};
  CHECK_FALSE(ChooseEngine(inputs));
  candidates = Candidates({0, 0});
  for (auto& candidate : candidates) candidate.usable = false;
  inputs.candidates = candidates;
  CHECK_FALSE(ChooseEngine(inputs));
}

// Simulates requests for 150 parts chosen at random. `before_request` may
// change the engines and may return the part that the request uses instead.
SimulationCounts Simulate(
    EngineSimulator& simulator, std::uint32_t tokens,
    const std::function<std::optional<std::uint64_t>(int)>& before_request) {
  PrefixIndex index(10'000);
  SimulationCounts counts;
  for (int now = 0; now < kSimulatedMs; now += kArrivalIntervalMs) {
    const auto part = before_request(now);
    simulator.PlaceAndRun(now, part.value_or(1 + simulator.random() % 150),
                          tokens, kRunMs, index, counts);
  }
  return counts;
}

TEST_CASE("simulation: one key gets a third of the traffic") {
  EngineSimulator simulator(kEngines, 1);
  const auto counts = Simulate(simulator, kShortTokens, [&](int) {
    return simulator.random() % 3 == 0 ? std::optional<std::uint64_t>(9999)
                                       : std::nullopt;
  });
  CHECK(counts.not_placed == 0);
  CHECK(counts.OverBoundShare() <= kMaxOverBoundShare);
  // Requests for the hot key that spill over go to the same few engines, so few
  // engines have to recompute its prefix.
  CHECK(counts.recomputed < 150);
}

TEST_CASE("simulation: engines are replaced one by one") {
  EngineSimulator simulator(kEngines, 2);
  std::size_t replaced = 0;
  const auto counts = Simulate(
      simulator, kLongTokens, [&](int now) -> std::optional<std::uint64_t> {
        if (now / 2000 > static_cast<int>(replaced) && replaced < 9) {
          simulator.engines[replaced].usable = false;
          simulator.Add();
          ++replaced;
        }
        return std::nullopt;
      });
  CHECK(counts.OverBoundShare() <= kMaxOverBoundShare);
  // Each part misses the cache on its first use, and half of the parts once
  // more after their engine is replaced.
  CHECK(counts.reused > counts.requests * 9 / 10);
}

TEST_CASE("simulation: engines with empty caches are added") {
  EngineSimulator simulator(kEngines, 3);
  const auto counts = Simulate(simulator, kLongTokens,
                               [&](int now) -> std::optional<std::uint64_t> {
                                 if (now % 5000 < kArrivalIntervalMs)
                                   simulator.Add();
                                 return std::nullopt;
                               });
  CHECK(counts.OverBoundShare() <= kMaxOverBoundShare);
  // New engines do not attract requests whose prefix another engine has cached.
  CHECK(counts.RecomputedShare() < 0.03);
}

// A log line lists only the candidates that determine the decision. Replaying
// it must give the same engine for the same reason as all candidates did.
TEST_CASE("a decision can be replayed from its decisive candidates") {
  const bool held = rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    std::vector<PlacementCandidate> candidates(count);
    for (std::size_t n = 0; n < count; ++n) {
      candidates[n].engine_key = HashText(std::to_string(n));
      candidates[n].in_flight = *rc::gen::inRange<std::uint32_t>(0, 30);
      candidates[n].max_slots = *rc::gen::inRange<std::uint32_t>(1, 48);
      candidates[n].cached_tokens = *rc::gen::element(0U, 500U, 11'000U);
      candidates[n].usable = *rc::gen::inRange(0, 6) != 0;
      candidates[n].reachable = *rc::gen::arbitrary<bool>();
      candidates[n].same_zone = *rc::gen::arbitrary<bool>();
      candidates[n].avoided = *rc::gen::inRange(0, 4) == 0;
      candidates[n].margin = *rc::gen::element(0U, 0U, 3U, 15U);
    }
    PlacementInputs inputs;
    inputs.candidates = candidates;
    inputs.zone_rule = *rc::gen::element(ZoneRule::kIgnored, ZoneRule::kStay,
                                         ZoneRule::kLeave);
    inputs.affinity_key = *rc::gen::element<std::uint64_t>(0, 77, 91'234);
    inputs.shared_tokens =
        inputs.affinity_key == 0 ? 0 : *rc::gen::element(500U, 11'000U);
    inputs.request_key = *rc::gen::arbitrary<std::uint64_t>();
    const auto decision = ChooseEngine(inputs);
    RC_PRE(decision.has_value());
    const std::string text =
        FormatCandidates(DecisiveCandidates(inputs, *decision));
    const auto decisive = ParseCandidates(text);
    RC_ASSERT(decisive.has_value());
    RC_ASSERT(decisive->size() <= 4);
    RC_ASSERT(FormatCandidates(*decisive) == text);
    PlacementInputs replay = inputs;
    replay.candidates = *decisive;
    replay.mean_in_flight = decision->mean_in_flight;
    const auto replayed = ChooseEngine(replay);
    RC_ASSERT(replayed.has_value());
    RC_ASSERT(replayed->index == 0);
    RC_ASSERT(replayed->basis == decision->basis);
  });
  CHECK(held);
}

TEST_CASE("malformed candidate lists are rejected") {
  for (const char* text :
       {"x", "1:2/3", "1:2/3/4", "1:2/3/4/u ,", "1:-2/3/4/u", "g:1/1/1/u",
        "1:1/1/99999999999/u", "1:1/1/1/u+", "1:1/1/1/u+99999999999"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseCandidates(text));
  }
  CHECK(ParseCandidates("")->empty());
}

}  // namespace
}  // namespace dandelionscale::tests
