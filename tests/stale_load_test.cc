// Placement by load reports that are older than the work they report.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cmath>

#include "tests/support/stale_load_fleet.h"

namespace dandelionscale::tests {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr int kWarmUpMs = 10'000;
constexpr int kRunMs = 60'000;

// 3 engines with 6 slots in 3 zones; 190 requests/s that run for 30 ms use 32 %
// of the slots.
StaleLoadSettings SmallService(int routers, ReportUse use) {
  StaleLoadSettings settings;
  settings.zones.assign(3, {routers / 3, 1, 190.0 / 3});
  settings.use = use;
  return settings;
}

StaleLoadResult Measure(std::string_view name, StaleLoadSettings settings) {
  StaleLoadFleet fleet(std::move(settings));
  fleet.Run(kWarmUpMs);
  const StaleLoadResult result = fleet.Run(kRunMs);
  fmt::print("{}: found full {:.4f}, not placed {}, load deviation {:.2f}\n",
             name, result.FoundFullShare(), result.not_placed,
             result.load_deviation);
  return result;
}

// Guards against herding: by reports counted in full, the routers send their
// requests to the engine that was idle when these were made, up to 0.25 s (12
// routers) or 1.75 s (84) ago. Most such requests ran for 30 ms.
TEST_CASE("short requests do not fill the engine that once was idle") {
  for (int routers : {12, 84}) {
    const auto full = Measure("full reports, short requests",
                              SmallService(routers, ReportUse::kFull));
    const auto none = Measure("random engine, short requests",
                              SmallService(routers, ReportUse::kNone));
    const auto spread = Measure("stale load spread, short requests",
                                SmallService(routers, ReportUse::kSpread));
    CHECK(full.FoundFullShare() > 0.018);
    CHECK(spread.FoundFullShare() < 0.012);
    CHECK(spread.FoundFullShare() < none.FoundFullShare());
    CHECK(spread.load_deviation < none.load_deviation);
    CHECK(spread.not_placed == 0);
  }
}

// Guards against a loss of what reports are worth if they are recent: long
// streams must be balanced as well as by full reports.
TEST_CASE("long streams are balanced as by full reports") {
  for (int routers : {4, 28}) {
    StaleLoadSettings settings;
    settings.zones.assign(3, {routers, 4, 20});
    settings.slots = 64;
    settings.work_ms = 8000;
    settings.varied = true;
    settings.use = ReportUse::kFull;
    const auto full = Measure("streams, full reports", settings);
    settings.use = ReportUse::kSpread;
    const auto spread = Measure("streams, spread", settings);
    CHECK(spread.load_deviation < 1.1 * full.load_deviation + 0.5);
  }
}

// Load pattern: a burst on a small service. 5 engines with 6 slots, 31 routers,
// requests of 60 ms on the mean with a target of 300 ms that use 0.9 of the
// slots. Guards against refusals because of reports that are older than the
// requests in them.
TEST_CASE("a burst of short requests waits at the engines instead of failing") {
  StaleLoadSettings settings;
  settings.zones = {{8, 2, 180}, {8, 1, 90}, {8, 1, 90}, {7, 1, 90}};
  settings.work_ms = 60;
  settings.varied = true;
  const auto before = Measure("burst, few wait at engines", settings);
  settings.latency_target_ms = 300;
  const auto after = Measure("burst, room by the latency target", settings);
  const auto share = [](int count, const StaleLoadResult& result) {
    return static_cast<double>(count) / result.requests;
  };
  CAPTURE(share(before.not_placed, before), share(after.not_placed, after),
          after.LateShare());
  CHECK(after.not_placed < 0.5 * before.not_placed);
  CHECK(share(after.not_placed + after.late, after) <
        share(before.not_placed, before));
}

StaleLoadResult MeasureStated(std::string_view name, StaleLoadSettings settings,
                              bool uses_stated_loads) {
  settings.uses_stated_loads = uses_stated_loads;
  StaleLoadFleet fleet(std::move(settings));
  fleet.Run(kWarmUpMs);
  const StaleLoadResult result = fleet.Run(kRunMs);
  fmt::print(
      "{}, stated loads {}: over bound {:.4f}, late {:.4f}, found full {:.4f}, "
      "not placed {}, at first engine {:.4f}, at slow engine {:.4f}, load "
      "deviation {:.2f}\n",
      name, uses_stated_loads ? "used" : "not used", result.OverBoundShare(),
      result.LateShare(), result.FoundFullShare(), result.not_placed,
      result.FirstShare(), result.SlowShare(), result.load_deviation);
  return result;
}

// 84 routers and streams of 1 s on 60 engines with 64 slots.
StaleLoadSettings Streams() {
  StaleLoadSettings settings;
  settings.zones.assign(1, {84, 60, 1000});
  settings.slots = 64;
  settings.work_ms = 1000;
  settings.varied = true;
  settings.states_at_begin = true;
  return settings;
}

// 31 routers and 5 engines with 6 slots; requests of 60 ms use half of them.
StaleLoadSettings Calls() {
  StaleLoadSettings settings;
  settings.zones.assign(1, {31, 5, 204});
  settings.work_ms = 60;
  settings.varied = true;
  settings.latency_target_ms = 300;
  return settings;
}

// Guards against holders of a hot prefix that hold more than the load bound
// because peers' reports show only a part of their requests.
TEST_CASE("stated loads keep holders of a hot prefix near the load bound") {
  StaleLoadSettings settings = Streams();
  settings.hot_prefix_share = 0.3;
  const auto before = MeasureStated("hot prefix", settings, false);
  const auto stated = MeasureStated("hot prefix", settings, true);
  CHECK(stated.OverBoundShare() < 0.5 * before.OverBoundShare());
  CHECK(stated.load_deviation < before.load_deviation);
  CHECK(stated.not_placed == 0);
}

// Guards against herding to engines that have just stated a low load.
TEST_CASE("stated loads balance streams without a prefix no worse") {
  const auto before = MeasureStated("streams", Streams(), false);
  const auto stated = MeasureStated("streams", Streams(), true);
  CHECK(stated.load_deviation < 1.02 * before.load_deviation);
  CHECK(stated.OverBoundShare() <= before.OverBoundShare() + 0.001);
}

// Guards against requests that are late because an engine is slow for 600 ms.
TEST_CASE("slow engines get fewer requests, and fewer are late") {
  StaleLoadSettings settings = Calls();
  settings.slow_share = 0.15;
  const auto before = MeasureStated("slow engines", settings, false);
  const auto stated = MeasureStated("slow engines", settings, true);
  CHECK(stated.SlowShare() < 0.85 * before.SlowShare());
  CHECK(stated.LateShare() < before.LateShare());
  CHECK(stated.FoundFullShare() < before.FoundFullShare());
}

// Guards against a faulty engine that draws all requests to itself, or that
// changes where the requests to the others go.
TEST_CASE("an engine that states a false load keeps about its share") {
  for (StaleLoadSettings settings : {Streams(), Calls()}) {
    const double fair = 1.0 / settings.zones[0].engines;
    settings.false_load = 0;
    const auto low = MeasureStated("states 0", settings, true);
    CHECK(low.FirstShare() > 0.5 * fair);
    CHECK(low.FirstShare() < 2 * fair);
    settings.false_load = 1'000'000'000;
    const auto high = MeasureStated("states 10^9", settings, true);
    CHECK(high.FirstShare() > 0.4 * fair);
    CHECK(high.FirstShare() < 2 * fair);
    CHECK(high.not_placed == 0);
  }
}

std::vector<PlacementCandidate> Candidates(const PeerLoad& load, int engines) {
  std::vector<PlacementCandidate> candidates;
  for (int n = 0; n < engines; ++n) {
    PlacementCandidate candidate;
    candidate.engine_key = static_cast<std::uint64_t>(n);
    candidate.in_flight = load.InFlight(candidate.engine_key);
    candidates.push_back(candidate);
  }
  return candidates;
}

std::vector<std::uint32_t> Loads(std::span<const PlacementCandidate> engines) {
  std::vector<std::uint32_t> loads;
  for (const auto& engine : engines) loads.push_back(engine.in_flight);
  return loads;
}

TEST_CASE("a report decays toward the mean with its age") {
  PeerLoad load;
  const Duration work_time = std::chrono::milliseconds(100);
  load.OnReport(kNow, "a", 1, 1, std::vector<EngineLoad>{{0, 90, work_time}});
  const auto loads_at = [&load](Duration age) {
    auto candidates = Candidates(load, 3);
    load.SpreadStaleLoad(kNow + age, candidates);
    return Loads(candidates);
  };
  CHECK(loads_at(Duration::zero()) == std::vector<std::uint32_t>{90, 0, 0});
  CHECK(loads_at(work_time) == std::vector<std::uint32_t>{52, 19, 19});
  CHECK(loads_at(20 * work_time) == std::vector<std::uint32_t>{30, 30, 30});
}

TEST_CASE("reports count in full while the work time is unknown") {
  PeerLoad load;
  load.OnReport(kNow, "a", 1, 1, std::vector<EngineLoad>{{0, 90}});
  auto candidates = Candidates(load, 3);
  load.SpreadStaleLoad(kNow + std::chrono::seconds(2), candidates);
  CHECK(Loads(candidates) == std::vector<std::uint32_t>{90, 0, 0});
}

TEST_CASE("engines that can't be chosen keep their load and get no other") {
  PeerLoad load;
  const Duration work_time = std::chrono::milliseconds(1);
  load.OnReport(kNow, "a", 1, 1,
                std::vector<EngineLoad>{{0, 8, work_time}, {1, 5, work_time}});
  auto candidates = Candidates(load, 4);
  candidates[1].usable = false;
  candidates[2].limits_rate = true;
  load.SpreadStaleLoad(kNow + std::chrono::seconds(1), candidates);
  CHECK(Loads(candidates) == std::vector<std::uint32_t>{4, 5, 0, 4});
}

// The sums are kept up to date by each report; they must equal what the reports
// in force amount to, also when the work time changes in between.
TEST_CASE("a report leaves the decayed sum as it has entered it") {
  PeerLoad load;
  std::mt19937_64 random(5);
  TimePoint now = kNow;
  for (std::uint64_t n = 1; n <= 20'000; ++n) {
    now += std::chrono::milliseconds(random() % 20);
    const Duration work_time = std::chrono::milliseconds(20 + random() % 100);
    load.OnReport(now, std::to_string(random() % 8), 1, n,
                  std::vector<EngineLoad>{
                      {1, static_cast<std::uint32_t>(random() % 9), work_time},
                      {2, 3, work_time}});
  }
  const auto sum = static_cast<double>(load.InFlight(1));
  CHECK(load.StillInFlight(now, 1) <= sum);
  const std::vector<EngineLoad> last = {{1, 7, std::chrono::milliseconds(50)}};
  for (int router = 0; router < 8; ++router) {
    load.OnReport(now, std::to_string(router), 2, 1, last);
  }
  CHECK(load.StillInFlight(now, 1) == Approx(56));
  CHECK(load.StillInFlight(now + std::chrono::milliseconds(50), 1) ==
        Approx(56 * std::exp(-1)));
  CHECK(load.InFlight(2) == 0);
}

}  // namespace
}  // namespace dandelionscale::tests
