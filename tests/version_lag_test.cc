// For how long a router has lacked rows that its peers have.
#include "dandelionscale/core/version_lag.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr Duration kStep = milliseconds(100);

RowVersions Configuration(std::uint64_t version) { return {version, {1, 5}}; }

TEST_CASE("a router lags since it has first heard of what it lacks") {
  VersionLag lag;
  lag.OnOwn(Configuration(1));
  CHECK_FALSE(lag.Since());
  lag.OnHeard(kStart, Configuration(2));
  lag.OnHeard(kStart + kStep, Configuration(2));
  CHECK(lag.Since() == kStart);
  lag.OnOwn(Configuration(2));
  CHECK_FALSE(lag.Since());
}

// Load pattern: a storm of configurations. Guards against routers that read the
// store since they are never at the newest version, however fast they follow.
TEST_CASE("a router that follows one version behind lags by one version") {
  VersionLag lag;
  lag.OnOwn(Configuration(1));
  for (std::uint64_t version = 2; version < 200; ++version) {
    const TimePoint now = kStart + kStep * static_cast<int>(version);
    lag.OnHeard(now, Configuration(version));
    lag.OnOwn(Configuration(version - 1));
    CHECK(lag.Since() == now);
  }
}

TEST_CASE("a router that gets no version lags since the first one") {
  VersionLag lag;
  lag.OnOwn(Configuration(1));
  for (std::uint64_t version = 2; version < 200; ++version) {
    lag.OnHeard(kStart + kStep * static_cast<int>(version),
                Configuration(version));
  }
  CHECK(lag.Since() == kStart + kStep * 2);
  CHECK(lag.Newest().configuration == 199);
  lag.OnOwn(Configuration(199));
  CHECK_FALSE(lag.Since());
}

TEST_CASE("either table makes a router lag") {
  VersionLag lag;
  lag.OnOwn({3, {1, 5}});
  lag.OnHeard(kStart, {3, {1, 6}});
  CHECK(lag.Since() == kStart);
  lag.OnHeard(kStart + kStep, {4, {1, 5}});
  lag.OnOwn({3, {1, 6}});
  CHECK(lag.Since() == kStart + kStep);
  lag.OnOwn({4, {1, 6}});
  CHECK_FALSE(lag.Since());
}

TEST_CASE("versions that are older than the router's make no lag") {
  VersionLag lag;
  lag.OnOwn({3, {2, 5}});
  lag.OnHeard(kStart, {2, {1, 9}});
  CHECK_FALSE(lag.Since());
}

}  // namespace
}  // namespace dandelionscale
