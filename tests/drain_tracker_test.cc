// Tracking of leaving hosts when the host list lags and its entries revert to
// an older state.
#include "dandelionscale/core/drain_tracker.h"

#include <catch2/catch.hpp>
#include <vector>

namespace dandelionscale {
namespace {

bool Apply(DrainTracker& tracker, std::vector<HostEntry> hosts) {
  return tracker.OnHosts(hosts);
}

TEST_CASE("a host counts as leaving until a higher incarnation is live") {
  DrainTracker tracker;
  CHECK(Apply(tracker, {{"a", 1, true}}));
  CHECK_FALSE(Apply(tracker, {{"a", 1, false}}));
  CHECK(tracker.Leaving().contains("a"));
  CHECK(Apply(tracker, {{"a", 2, false}}));
  CHECK_FALSE(tracker.Leaving().contains("a"));
}

TEST_CASE("a host that rejoins can leave again") {
  DrainTracker tracker;
  Apply(tracker, {{"a", 1, true}});
  Apply(tracker, {{"a", 2, false}});
  CHECK(Apply(tracker, {{"a", 2, true}}));
  CHECK_FALSE(Apply(tracker, {{"a", 1, false}}));
  CHECK(tracker.Leaving().contains("a"));
}

}  // namespace
}  // namespace dandelionscale
