// Changes reach all routers that the store serves within the bound while it
// leaves others without answers. Guards against a configuration that is learnt
// late because the calls of the routers that watch the store hang, and nobody
// stands in for them.
#include <catch2/catch.hpp>
#include <span>

#include "tests/support/watching_fleet_model.h"

namespace dandelionscale::tests {
namespace {

using std::chrono::milliseconds;
using Model = WatchingFleetModel;
using Router = Model::Router;

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kSettlingTime = 8 * kSecond;
// An operator changes the configuration again and again.
constexpr Duration kChangeInterval = milliseconds(330);
constexpr Duration kBeforeOutage = 2 * kSecond;
constexpr Duration kOutage = 5 * kSecond;

// Number of routers, and within what time a change has to reach them.
struct FleetSize {
  std::size_t routers = 0;
  Duration bound{};
};

constexpr std::array kSmallFleets = {FleetSize{8, 2 * kSecond},
                                     FleetSize{18, 2 * kSecond}};
constexpr std::array kLargeFleets = {FleetSize{68, 3 * kSecond},
                                     FleetSize{410, 4 * kSecond}};

// Which of a router's tables the store does not serve.
enum class Tables { kBoth, kConfiguration, kEngines };

void Silence(Model& fleet, Router& router, Tables tables, StoreAnswer answer) {
  if (tables != Tables::kEngines) {
    fleet.SetAnswer(router, Model::kConfiguration, answer);
  }
  if (tables != Tables::kConfiguration) fleet.SetAnswer(router, 1, answer);
}

void RunWithChanges(Model& fleet, Duration duration) {
  for (Duration passed{}; passed < duration; passed += kChangeInterval) {
    fleet.Change();
    fleet.Run(kChangeInterval);
  }
}

// Turns away the routers that watch, and those that begin to while `left`
// allows it.
void SilenceWatching(Model& fleet, std::size_t& left, Tables tables,
                     StoreAnswer answer) {
  for (Router* router : fleet.Watching()) {
    const bool is_served = router->tables[0].answer == StoreAnswer::kServes &&
                           router->tables[1].answer == StoreAnswer::kServes;
    if (!is_served || left == 0) continue;
    --left;
    Silence(fleet, *router, tables, answer);
  }
}

void CheckOutage(FleetSize size, unsigned seed, Tables tables,
                 StoreAnswer answer) {
  CAPTURE(size.routers, seed, static_cast<int>(tables),
          static_cast<int>(answer));
  Model fleet(size.routers, seed);
  fleet.Run(kSettlingTime + milliseconds(70) * seed);
  fleet.BeginToCount();
  RunWithChanges(fleet, kBeforeOutage);
  // A third of the routers: the watchers, then those that stand in for them.
  std::size_t left = size.routers / 3;
  for (Duration passed{}; passed < kOutage; passed += kChangeInterval) {
    SilenceWatching(fleet, left, tables, answer);
    fleet.Change();
    fleet.Run(kChangeInterval);
  }
  for (auto& router : fleet.routers) {
    Silence(fleet, *router, Tables::kBoth, StoreAnswer::kServes);
  }
  RunWithChanges(fleet, kBeforeOutage);
  CHECK(fleet.longest_delay <= size.bound);
}

TEST_CASE("changes reach all served routers while watchers' calls fail") {
  const FleetSize size = GENERATE(from_range(kSmallFleets));
  const StoreAnswer answer =
      GENERATE(StoreAnswer::kHangs, StoreAnswer::kRefuses);
  const Tables tables =
      GENERATE(Tables::kBoth, Tables::kConfiguration, Tables::kEngines);
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CheckOutage(size, seed, tables, answer);
  }
}

TEST_CASE("the same in large fleets") {
  const FleetSize size = GENERATE(from_range(kLargeFleets));
  CheckOutage(size, 1, Tables::kBoth, StoreAnswer::kHangs);
}

TEST_CASE("changes reach all served routers while a third's calls hang") {
  const FleetSize size = GENERATE(from_range(kSmallFleets));
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(size.routers, seed);
    Model fleet(size.routers, seed);
    fleet.Run(kSettlingTime);
    fleet.BeginToCount();
    std::mt19937 random(seed);
    RunWithChanges(fleet, kBeforeOutage);
    for (auto& router : fleet.routers) {
      constexpr double kShare = 0.35;
      const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
      if (drawn < kShare) {
        Silence(fleet, *router, Tables::kBoth, StoreAnswer::kHangs);
      }
    }
    RunWithChanges(fleet, kOutage);
    CHECK(fleet.longest_delay <= size.bound);
  }
}

TEST_CASE("a store that is slow for all delays changes within the bound") {
  for (const FleetSize size : kSmallFleets) {
    Model fleet(size.routers, 1);
    fleet.Run(kSettlingTime);
    fleet.BeginToCount();
    for (auto& router : fleet.routers) {
      Silence(fleet, *router, Tables::kBoth, StoreAnswer::kSlow);
    }
    RunWithChanges(fleet, kOutage);
    CAPTURE(size.routers, fleet.reads);
    CHECK(fleet.longest_delay <= size.bound);
  }
}

// Load pattern: nothing changes. Each router that takes its view for stale
// reads whole tables.
TEST_CASE("a quiet fleet keeps its view current with three routers' watches") {
  for (const FleetSize size :
       {kSmallFleets[0], kSmallFleets[1], kLargeFleets[0], kLargeFleets[1]}) {
    Model fleet(size.routers, 1);
    fleet.Run(kSettlingTime);
    fleet.BeginToCount();
    constexpr Duration kObserved = 20 * kSecond;
    fleet.Run(kObserved);
    CAPTURE(size.routers, fleet.oldest_view / milliseconds(1));
    CHECK(fleet.Watching().size() == kMaxElected);
    CHECK(fleet.reads == 0);
    const auto expected = static_cast<int>(kObserved / kWatchPeriod *
                                           Model::kTables * kMaxElected);
    CHECK(fleet.calls <= expected + static_cast<int>(2 * kMaxElected));
  }
}

// Load pattern: the store is away for all. Each router tries, but none in a
// tight loop, and few whole tables are read after its return.
TEST_CASE("routers of a store that is away for all try it sparingly") {
  for (const FleetSize size : {kSmallFleets[0], kLargeFleets[0]}) {
    Model fleet(size.routers, 1);
    fleet.Run(kSettlingTime);
    for (auto& router : fleet.routers) {
      Silence(fleet, *router, Tables::kBoth, StoreAnswer::kRefuses);
    }
    fleet.Run(2 * kSecond);
    fleet.BeginToCount();
    fleet.Run(4 * kSecond);
    // One call for each table in the longest retry delay, less its jitter.
    const auto routers = static_cast<int>(size.routers);
    CAPTURE(size.routers, fleet.calls);
    CHECK(fleet.calls <= routers * 2 * 4 * 2);
    for (auto& router : fleet.routers) {
      Silence(fleet, *router, Tables::kBoth, StoreAnswer::kServes);
    }
    fleet.Run(4 * kSecond);
    CHECK(fleet.Watching().size() == kMaxElected);
  }
}

}  // namespace
}  // namespace dandelionscale::tests
