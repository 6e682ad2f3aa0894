// Readiness of a router that has read old rows of the store after a restart.
#include "dandelionscale/core/start_up_check.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

TEST_CASE("a starting router is ready once a peer has no newer rows") {
  StartUpCheck check(kStart);
  CHECK_FALSE(check.IsComplete(kStart + milliseconds(50)));
  check.OnDigest(true);
  CHECK_FALSE(check.IsComplete(kStart + milliseconds(100)));
  check.OnDigest(false);
  CHECK(check.IsComplete(kStart + milliseconds(120)));
  // Later changes are no matter of the start.
  check.OnDigest(true);
  CHECK(check.IsComplete(kStart + milliseconds(150)));
}

TEST_CASE("a starting router without peers is ready within a second") {
  const StartUpCheck check(kStart);
  CHECK_FALSE(check.IsComplete(kStart + milliseconds(100)));
  CHECK(check.IsComplete(kStart + milliseconds(1000)));
}

}  // namespace
}  // namespace dandelionscale
