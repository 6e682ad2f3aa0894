// Load reports between routers that arrive late, repeated or reordered, or are
// lost.
#include "dandelionscale/core/load/peer_load.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

TEST_CASE("reports of several routers add up") {
  PeerLoad load;
  load.OnReport(kNow, "a", 1, 1, std::vector<EngineLoad>{{10, 2}, {11, 1}});
  load.OnReport(kNow, "b", 1, 1, std::vector<EngineLoad>{{10, 3}});
  CHECK(load.InFlight(10) == 5);
  CHECK(load.InFlight(11) == 1);
  CHECK(load.RouterCount() == 2);
}

TEST_CASE("an older report of the same router is ignored") {
  PeerLoad load;
  load.OnReport(kNow, "a", 1, 5, std::vector<EngineLoad>{{10, 2}});
  load.OnReport(kNow, "a", 1, 4, std::vector<EngineLoad>{{10, 9}});
  CHECK(load.InFlight(10) == 2);
  load.OnReport(kNow, "a", 2, 1, std::vector<EngineLoad>{{10, 1}});
  CHECK(load.InFlight(10) == 1);
  load.OnReport(kNow, "a", 1, 6, std::vector<EngineLoad>{{10, 9}});
  CHECK(load.InFlight(10) == 1);
}

TEST_CASE("the report of a router that stops reporting expires") {
  PeerLoad load;
  load.OnReport(kNow, "a", 1, 1, std::vector<EngineLoad>{{10, 2}});
  load.Expire(kNow + std::chrono::seconds(2), kDigestInterval);
  CHECK(load.InFlight(10) == 0);
  CHECK(load.RouterCount() == 0);
}

TEST_CASE("totals equal the newest reports in any order of arrival") {
  const bool held = rc::check([] {
    PeerLoad load;
    std::map<std::string, std::pair<std::uint64_t, std::uint32_t>> newest;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::arbitrary<std::uint32_t>());
    for (std::uint32_t step : steps) {
      const std::string router = std::to_string(step % 4);
      const std::uint64_t sequence = 1 + (step / 4) % 8;
      const std::uint32_t value = (step / 32) % 50;
      load.OnReport(kNow, router, 1, sequence,
                    std::vector<EngineLoad>{{10, value}});
      auto& latest = newest[router];
      if (sequence > latest.first) latest = {sequence, value};
    }
    std::uint32_t expected = 0;
    for (const auto& [router, entry] : newest) expected += entry.second;
    RC_ASSERT(load.InFlight(10) == expected);
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale
