// The load bound of an engine, and how owners place requests at the bound.
#include "dandelionscale/core/load/load_bound.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/load/baseline_policy.h"
#include "dandelionscale/core/owner_core.h"
#include "load_monitor.h"

namespace dandelionscale {
namespace {

constexpr double kFactor = 1.25;

std::shared_ptr<const FleetView> MakeView(int engines, int routers,
                                          std::uint32_t max_in_flight = 1000) {
  Configuration configuration;
  configuration.version = 1;
  configuration.services.push_back(
      {"advice", ServiceKind::kChat, kFactor, false});
  for (int i = 0; i < engines; ++i) {
    configuration.engines.push_back({"engine-" + std::to_string(i), "advice",
                                     "north", "127.0.0.1:1", max_in_flight});
  }
  Membership membership;
  for (int i = 0; i < routers; ++i) {
    membership.members.push_back(
        {"router-" + std::to_string(i), "north", "127.0.0.1:2", 1, false});
  }
  return std::make_shared<FleetView>(configuration, membership,
                                     std::set<std::string>{});
}

OwnerCore MakeCore(std::shared_ptr<const FleetView> view, int router = 0) {
  OwnerCore core({"router-" + std::to_string(router), 1000});
  core.SetView(std::move(view));
  return core;
}

TEST_CASE("the cap counts the request being admitted and rounds up") {
  CHECK(LoadCap(1.25, {0, 20}) == 1);
  CHECK(LoadCap(1.25, {15, 20}) == 1);
  CHECK(LoadCap(1.25, {16, 20}) == 2);
  CHECK(LoadCap(1.25, {59, 20}) == 4);
  CHECK(LoadCap(1.25, {0, 0}) == 1);
}

TEST_CASE(
    "the emulator's ledger checks a start against the mean of its window") {
  using std::chrono::seconds;
  const TimePoint start = RuntimeClock::now();
  emulator::LoadMonitor ledger(2, 1.25, seconds(2));
  for (int i = 0; i < 4; ++i) ledger.OnStart(0, start);
  // Loads of 2, 3 and 4 on one engine of two, under caps of 2, 2 and 3.
  CHECK(ledger.BoundViolations() == 2);
  for (int i = 0; i < 4; ++i) ledger.OnFinish(0, start + seconds(1));
  ledger.SetLive(1, false, start + seconds(1));
  ledger.OnStart(0, start + seconds(1));
  ledger.SetLive(1, true, start + seconds(2));
  // The mean was 2 within the window, whatever engines are live now.
  ledger.OnStart(0, start + seconds(2));
  CHECK(ledger.BoundViolations() == 2);
  // Later the window holds no load but the request that starts.
  ledger.OnStart(0, start + seconds(9));
  CHECK(ledger.BoundViolations() == 3);
}

TEST_CASE("a sole owner keeps every engine within the bound at every instant") {
  const bool held = rc::check([] {
    const int engines = *rc::gen::inRange(1, 30);
    OwnerCore core = MakeCore(MakeView(engines, 1));
    std::vector<EngineIndex> running;
    const int steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
      if (!running.empty() && *rc::gen::inRange(0, 3) == 0) {
        const auto pick = *rc::gen::inRange<std::size_t>(0, running.size());
        core.Finish(running[pick], 1);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(pick));
        continue;
      }
      PlaceRequest request;
      request.session_key = *rc::gen::inRange<std::uint64_t>(0, 20);
      request.workspace_hash = 1;
      const PlaceDecision decision = core.Place(request);
      const auto* admit = std::get_if<PlaceAdmit>(&decision);
      // Some engine is always below the cap, so that a sole owner always
      // admits.
      RC_ASSERT(admit != nullptr);
      running.push_back(admit->engine);
      const std::uint32_t cap =
          LoadCap(kFactor, {static_cast<std::uint32_t>(running.size() - 1),
                            static_cast<std::uint32_t>(engines)});
      RC_ASSERT(core.Load(admit->engine) <= cap);
    }
  });
  CHECK(held);
}

TEST_CASE("local shares of many routers do not add up to more than the bound") {
  // Whether a router's share is rounded up is fixed for each engine and uniform
  // over the routers, so that the sum over 40 routers stays close to the cap.
  constexpr int kRouters = 40;
  constexpr int kEngines = 20;
  constexpr int kRequestsEach = 5;
  auto view = MakeView(kEngines, 0);
  std::vector<int> load(kEngines, 0);
  int admitted = 0;
  for (int router = 0; router < kRouters; ++router) {
    OwnerCore core = MakeCore(view, router);
    for (int i = 0; i < kRequestsEach; ++i) {
      PlaceRequest request;
      // The same session on all routers, so that all prefer the same engine.
      request.session_key = 1;
      request.workspace_hash = 1;
      const PlaceDecision decision = core.PlaceLocalShare(request);
      const auto* admit = std::get_if<PlaceAdmit>(&decision);
      if (admit == nullptr) continue;
      ++load[admit->engine];
      ++admitted;
    }
  }
  const int highest = *std::max_element(load.begin(), load.end());
  const double mean = static_cast<double>(admitted) / kEngines;
  // The standard deviation of the sum of 40 independent roundings is at most
  // sqrt(40) / 2 = 3.2; three of these are allowed.
  CHECK(highest <= kFactor * mean + 3 * 3.2);
}

TEST_CASE("a session stays on its warm engine until that is at the bound") {
  OwnerCore core = MakeCore(MakeView(4, 1));
  PlaceRequest request;
  request.session_key = 9;
  request.workspace_hash = 1;
  const auto first = std::get<PlaceAdmit>(core.Place(request));
  CHECK(first.reason == PlacementReason::kHashed);
  core.Finish(first.engine, 1);
  const auto second = std::get<PlaceAdmit>(core.Place(request));
  CHECK(second.engine == first.engine);
  CHECK(second.reason == PlacementReason::kWarm);
  // One request on four engines: the cap is 1, so the next one spills.
  const auto third = std::get<PlaceAdmit>(core.Place(request));
  CHECK(third.engine != first.engine);
  CHECK(third.reason == PlacementReason::kSpilled);
  core.Finish(second.engine, 1);
  core.Finish(third.engine, 1);
  // The most recently used warm engine is tried first.
  CHECK(std::get<PlaceAdmit>(core.Place(request)).engine == third.engine);
}

TEST_CASE("a new owner counts requests admitted by the previous owner") {
  OwnerCore core = MakeCore(MakeView(2, 1));
  core.OnLoadReport(0, 5);
  core.OnLoadReport(1, 0);
  CHECK(core.Load(0) == 5);
  PlaceRequest request;
  request.workspace_hash = 1;
  for (std::uint64_t key = 0; key < 3; ++key) {
    request.session_key = key;
    CHECK(std::get<PlaceAdmit>(core.Place(request)).engine == 1);
  }
}

TEST_CASE("a lagging report does not count own requests twice") {
  OwnerCore core = MakeCore(MakeView(1, 1));
  PlaceRequest request;
  request.workspace_hash = 1;
  core.Place(request);
  core.Place(request);
  core.OnLoadReport(0, 2);
  CHECK(core.Load(0) == 2);
  core.Finish(0, 1);
  core.Finish(0, 1);
  core.OnLoadReport(0, 2);  // sampled before the requests finished
  CHECK(core.Load(0) == 0);
}

TEST_CASE("a workspace with a burst leaves room on a contended engine") {
  constexpr std::uint32_t kSlots = 16;
  OwnerCore core = MakeCore(MakeView(1, 1, kSlots));
  PlaceRequest surge;
  surge.workspace_hash = 1;
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    surge.session_key = static_cast<std::uint64_t>(i);
    admitted += std::holds_alternative<PlaceAdmit>(core.Place(surge)) ? 1 : 0;
  }
  CHECK(admitted < static_cast<int>(kSlots));
  PlaceRequest other;
  other.workspace_hash = 2;
  CHECK(std::holds_alternative<PlaceAdmit>(core.Place(other)));
}

TEST_CASE("loads and sessions survive a change of view") {
  OwnerCore core = MakeCore(MakeView(3, 1));
  PlaceRequest request;
  request.session_key = 4;
  request.workspace_hash = 1;
  const auto placed = std::get<PlaceAdmit>(core.Place(request));
  const std::string name = core.View().Engine(placed.engine).name;
  core.SetView(MakeView(5, 1));
  const EngineIndex moved = *core.View().FindEngine(name);
  CHECK(core.Load(moved) == 1);
  CHECK(core.Sessions().Find(4) != nullptr);
}

TEST_CASE("a directed request is refused by a router that is not the owner") {
  auto view = MakeView(6, 2);
  OwnerCore core = MakeCore(view, 0);
  for (EngineIndex i = 0; i < 6; ++i) {
    if (core.Owns(i)) continue;
    PlaceRequest request;
    request.engine = i;
    const PlaceDecision decision = core.Place(request);
    const auto* refuse = std::get_if<PlaceRefuse>(&decision);
    REQUIRE(refuse != nullptr);
    CHECK(refuse->reason == RefusalReason::kNotOwner);
  }
}

}  // namespace
}  // namespace dandelionscale
