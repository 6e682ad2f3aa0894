// When requests leave the router's availability zone: the share that does, and
// the choice of an engine by zone.
#include "dandelionscale/core/load/zone_spill.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "dandelionscale/core/load/placement_record.h"
#include "tests/support/stale_load_fleet.h"

namespace dandelionscale::tests {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr int kSettleMs = 40'000;
constexpr int kRunMs = 60'000;

StaleLoadResult Run(StaleLoadFleet& fleet, std::string_view name,
                    int duration_ms) {
  const StaleLoadResult result = fleet.Run(duration_ms);
  fmt::print(
      "{}: left zone {:.3f}, found full {:.4f}, utilization {::.2f}, share "
      "{::.2f} from {::.2f} to {::.2f}\n",
      name, result.LeftZoneShare(), result.FoundFullShare(), result.utilization,
      result.mean_share, result.min_share, result.max_share);
  return result;
}

// 31 routers and engines with 24 slots. Requests run for `work_ms` and use
// `utilization` of the slots of 8 engines.
StaleLoadSettings Service(std::vector<int> engines, double utilization,
                          int work_ms) {
  StaleLoadSettings settings;
  settings.slots = 24;
  settings.work_ms = work_ms;
  settings.varied = true;
  settings.zone_cost = 1;
  const double rate = utilization * 8 * 24 * 1000 / work_ms;
  settings.zones = {{10, engines[0], rate / 3},
                    {10, engines[1], rate / 3},
                    {11, engines[2], rate / 3}};
  return settings;
}

TEST_CASE("zones that are equally busy send each other no requests") {
  auto settings = Service({3, 3, 3}, 0.55, 500);
  StaleLoadFleet fleet(settings);
  const auto result = Run(fleet, "equal zones", kRunMs);
  CHECK(result.LeftZoneShare() < 0.005);
  settings.zone_cost = 0;
  StaleLoadFleet ignoring(settings);
  CHECK(Run(ignoring, "equal zones, zones ignored", kRunMs).LeftZoneShare() >
        0.4);
}

// Random differences in load between engines with few slots are hardly a reason
// to leave the zone.
TEST_CASE("few requests leave zones with one small engine each") {
  StaleLoadSettings settings;
  settings.zones.assign(3, {28, 1, 190.0 / 3});
  settings.zone_cost = 1;
  StaleLoadFleet fleet(settings);
  fleet.Run(kSettleMs);
  const auto result = Run(fleet, "small service", kRunMs);
  CHECK(result.LeftZoneShare() < 0.12);
  CHECK(result.FoundFullShare() < 0.02);
}

// An eighth of the engines gets a third of the requests. The share must settle,
// though reports differ in age between routers, and follow the loads slowly if
// requests run for long.
TEST_CASE("a zone with too few engines ends about as busy as the others") {
  for (int work_ms : {500, 5000}) {
    StaleLoadFleet fleet(Service({1, 3, 4}, 0.6, work_ms));
    Run(fleet, "few engines, start", kSettleMs);
    const auto result = Run(fleet, "few engines", 2 * kRunMs);
    CHECK(result.utilization[0] < result.utilization[1] + 0.15);
    CHECK(result.utilization[0] > result.utilization[1] - 0.05);
    CHECK(result.max_share[0] - result.min_share[0] < 0.25);
    CHECK(result.mean_share[0] > 0.45);
    // The others have no reason to send requests back.
    CHECK(result.mean_share[1] < 0.01);
    CHECK(result.mean_share[2] < 0.01);
  }
}

TEST_CASE("a zone sends part of a surge away, and hardly anything after it") {
  StaleLoadSettings settings;
  settings.zones.assign(3, {28, 1, 40});
  settings.zone_cost = 1;
  StaleLoadFleet fleet(settings);
  fleet.SetRequestsPerSecond(0, 120);
  fleet.Run(kSettleMs);
  const auto surge = Run(fleet, "surge", kRunMs);
  CHECK(surge.utilization[0] < 0.45);
  CHECK(surge.mean_share[0] > 0.2);
  fleet.SetRequestsPerSecond(0, 40);
  fleet.Run(kSettleMs);
  CHECK(Run(fleet, "after the surge", kRunMs).mean_share[0] < 0.05);
}

TEST_CASE("a zone that returns takes its load back gradually") {
  StaleLoadFleet fleet(Service({3, 3, 3}, 0.55, 500));
  fleet.Run(kSettleMs);
  fleet.SetUsable(0, false);
  fleet.Run(5000);
  const auto gone = Run(fleet, "zone gone", 15'000);
  CHECK(gone.utilization[0] < 0.001);
  CHECK(gone.not_placed == 0);
  fleet.SetUsable(0, true);
  const auto returned = Run(fleet, "zone back for 2 s", 2000);
  CHECK(returned.utilization[0] < 0.2);
  fleet.Run(kSettleMs);
  const auto later = Run(fleet, "zone back", kRunMs);
  CHECK(later.utilization[0] > 0.45);
  CHECK(later.LeftZoneShare() < 0.05);
}

ZoneLoads Loads(std::uint64_t own, std::uint64_t others) {
  return {{true, own, 100}, {true, others, 100}};
}

TEST_CASE("a larger zone cost keeps requests in the zone by a wider margin") {
  for (const auto& [cost, leaves] :
       {std::pair{0.5, true}, std::pair{1.0, true}, std::pair{4.0, false}}) {
    ZoneSpill spill;
    for (int n = 0; n < 400; ++n) {
      spill.Update(kNow + n * kDigestInterval, Loads(70, 50), kDigestInterval,
                   cost);
    }
    CHECK((spill.Share() > 0.5) == leaves);
  }
}

// Load pattern: a zone is evacuated and taken back while engines are hardly
// used. Guards against requests that keep leaving it for half a minute, so that
// the engines of the other zones hold more than the mean.
TEST_CASE("an idle zone takes most of its load back within seconds") {
  // At 84 routers and streams of 1 s.
  constexpr Duration kResponseTime = std::chrono::milliseconds(2750);
  ZoneSpill spill;
  TimePoint now = kNow;
  const auto run = [&](const ZoneLoads& loads, int seconds) {
    for (int n = 0; n < 4 * seconds; ++n) {
      now += kDigestInterval;
      spill.Update(now, loads, kResponseTime, 1.0);
    }
  };
  run({{true, 0, 0}, {true, 10, 100}}, 10);
  CHECK(spill.Share() > 0.9);
  run(Loads(1, 10), 8);
  CHECK(spill.Share() < 0.2);
}

TEST_CASE("idle engines are no reason to leave the zone") {
  ZoneSpill spill;
  for (int n = 0; n < 400; ++n) {
    spill.Update(kNow + n * kDigestInterval, Loads(28, 0), kDigestInterval, 1);
  }
  CHECK(spill.Share() == 0);
}

TEST_CASE("all requests leave a zone without usable engines at once") {
  ZoneSpill spill;
  ZoneLoads loads = Loads(50, 50);
  spill.Update(kNow, loads, kDigestInterval, 1);
  CHECK(spill.RuleFor(loads, 1) == ZoneRule::kStay);
  loads.own.slots = 0;
  CHECK(spill.RuleFor(loads, 1) == ZoneRule::kLeave);
  loads = Loads(50, 50);
  loads.others.slots = 0;
  CHECK(spill.RuleFor(loads, 1) == ZoneRule::kStay);
}

TEST_CASE("the share is always within its limits") {
  const bool held = rc::check([] {
    ZoneSpill spill;
    TimePoint now = kNow;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::arbitrary<std::uint32_t>());
    for (std::uint32_t step : steps) {
      ZoneLoads loads = Loads(step % 200, step / 200 % 200);
      if (step % 7 == 0) loads.own.slots = 0;
      if (step % 11 == 0) loads.others.slots = 0;
      now += std::chrono::milliseconds(step % 3000);
      spill.Update(now, loads, std::chrono::milliseconds(step % 8000), 1);
      RC_ASSERT(spill.Share() >= 0);
      RC_ASSERT(spill.Share() <= 1);
    }
  });
  CHECK(held);
}

std::vector<PlacementCandidate> Candidates(std::vector<std::uint32_t> loads,
                                           std::size_t own) {
  std::vector<PlacementCandidate> candidates;
  for (std::size_t n = 0; n < loads.size(); ++n) {
    PlacementCandidate candidate;
    candidate.engine_key = 100 + n;
    candidate.in_flight = loads[n];
    candidate.max_slots = 10;
    candidate.same_zone = n < own;
    candidates.push_back(candidate);
  }
  return candidates;
}

std::size_t Choose(std::span<const PlacementCandidate> candidates,
                   ZoneRule rule, std::uint32_t shared_tokens = 0) {
  PlacementInputs inputs;
  inputs.candidates = candidates;
  inputs.shared_tokens = shared_tokens;
  inputs.affinity_key = shared_tokens > 0 ? 7 : 0;
  inputs.request_key = 5;
  inputs.zone_rule = rule;
  const auto decision = ChooseEngine(inputs);
  REQUIRE(decision);
  return decision->index;
}

TEST_CASE("a request that stays goes to the own zone while it has room") {
  auto candidates = Candidates({5, 6, 1, 0}, 2);
  CHECK(Choose(candidates, ZoneRule::kStay) == 0);
  CHECK(Choose(candidates, ZoneRule::kLeave) == 3);
  CHECK(Choose(candidates, ZoneRule::kIgnored) == 3);
  candidates[0].in_flight = candidates[1].in_flight = 13;
  CHECK(Choose(candidates, ZoneRule::kStay) == 3);
}

TEST_CASE("no engine exceeds the load bound for the sake of its zone") {
  // The mean is 2: the bound is 7.
  auto candidates = Candidates({7, 1, 1, 1, 0}, 1);
  CHECK(Choose(candidates, ZoneRule::kStay) == 4);
  candidates = Candidates({6, 1, 1, 1, 1}, 1);
  CHECK(Choose(candidates, ZoneRule::kStay) == 0);
}

TEST_CASE("a request that leaves stays if no other zone has room") {
  auto candidates = Candidates({2, 13, 13}, 1);
  CHECK(Choose(candidates, ZoneRule::kLeave) == 0);
}

TEST_CASE("an engine that limits its rate does not count as room in the zone") {
  auto candidates = Candidates({0, 3, 4}, 1);
  candidates[0].limits_rate = true;
  CHECK(Choose(candidates, ZoneRule::kStay) == 1);
}

// Guards against prompts that each zone computes again, or copies, although an
// engine of another zone holds them.
TEST_CASE("a cached prefix is followed into any zone, others obey the rule") {
  auto candidates = Candidates({2, 2, 2}, 1);
  CHECK(Choose(candidates, ZoneRule::kStay, 3999) == 0);
  CHECK(Choose(candidates, ZoneRule::kLeave, 3999) != 0);
  candidates[2].cached_tokens = 20'000;
  for (std::uint32_t shared_tokens : {500U, 3999U, 4000U}) {
    for (ZoneRule rule : {ZoneRule::kStay, ZoneRule::kLeave}) {
      CHECK(Choose(candidates, rule, shared_tokens) == 2);
    }
  }
  candidates[0].cached_tokens = 4000;
  CHECK(Choose(candidates, ZoneRule::kStay, 3999) == 0);
  CHECK(Choose(candidates, ZoneRule::kLeave, 3999) == 2);
  for (ZoneRule rule : {ZoneRule::kStay, ZoneRule::kLeave}) {
    CHECK(Choose(candidates, rule, 4000) == 0);
  }
}

// Fleets with one zone, and routers whose zone has no engine of the service,
// must decide as if there were no zones.
TEST_CASE("zones are ignored unless both sides have engines to choose from") {
  for (std::size_t own : {0, 3}) {
    const auto candidates = Candidates({9, 0, 4}, own);
    const ZoneLoads loads = SumZoneLoads(candidates);
    ZoneSpill spill;
    spill.Update(kNow, loads, kDigestInterval, 1);
    CHECK(spill.RuleFor(loads, 1) == ZoneRule::kIgnored);
  }
  auto candidates = Candidates({9, 0, 4}, 1);
  for (auto& candidate : candidates) candidate.limits_rate = true;
  const ZoneLoads loads = SumZoneLoads(candidates);
  CHECK(ZoneSpill().RuleFor(loads, 1) == ZoneRule::kIgnored);
}

TEST_CASE("a decision by zone can be replayed from its decisive candidates") {
  const bool held = rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 30);
    auto candidates = Candidates(std::vector<std::uint32_t>(count), 0);
    for (PlacementCandidate& candidate : candidates) {
      candidate.in_flight = *rc::gen::inRange<std::uint32_t>(0, 30);
      candidate.max_slots = *rc::gen::inRange<std::uint32_t>(1, 48);
      candidate.cached_tokens = *rc::gen::element(0U, 500U, 11'000U);
      candidate.usable = *rc::gen::inRange(0, 6) != 0;
      candidate.same_zone = *rc::gen::arbitrary<bool>();
      candidate.limits_rate = *rc::gen::inRange(0, 4) == 0;
    }
    PlacementInputs inputs;
    inputs.candidates = candidates;
    inputs.affinity_key = *rc::gen::element<std::uint64_t>(0, 77, 91'234);
    inputs.shared_tokens =
        inputs.affinity_key == 0 ? 0 : *rc::gen::element(500U, 11'000U);
    inputs.request_key = *rc::gen::arbitrary<std::uint64_t>();
    inputs.zone_rule = *rc::gen::element(ZoneRule::kStay, ZoneRule::kLeave);
    const auto decision = ChooseEngine(inputs);
    RC_PRE(decision.has_value());
    const auto decisive = DecisiveCandidates(inputs, *decision);
    RC_ASSERT(decisive.size() <= 4);
    PlacementInputs replay = inputs;
    replay.candidates = decisive;
    replay.mean_in_flight = decision->mean_in_flight;
    const auto replayed = ChooseEngine(replay);
    RC_ASSERT(replayed.has_value());
    RC_ASSERT(replayed->index == 0);
    RC_ASSERT(replayed->basis == decision->basis);
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale::tests
