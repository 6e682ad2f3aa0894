// Which engines are ejected, and when they receive requests again.
#include "dandelionscale/core/engine_health.h"

#include <catch2/catch.hpp>
#include <random>

namespace dandelionscale {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

TimePoint At(int ms) { return kStart + std::chrono::milliseconds(ms); }

TEST_CASE("an engine that fails far more often than its service is ejected") {
  EngineHealth failing;
  for (int n = 0; n < 12; ++n) failing.OnFailure(At(n * 250));
  CHECK(failing.IsEjected(At(3000), 0.1));
  // No engine is ejected if all fail equally often.
  CHECK_FALSE(failing.IsEjected(At(3000), failing.FailureRate()));
  // The ejection ends some time after the last failure.
  CHECK_FALSE(failing.IsEjected(At(6000), 0.1));
}

// Guards against ejection for a single fault: in a load run, a link reset
// several connections at once, and engines with long cached prefixes were
// ejected.
TEST_CASE("failures of one burst count once") {
  EngineHealth health;
  for (int n = 0; n < 10; ++n) health.OnSuccess(At(n * 100));
  for (int n = 0; n < 10; ++n) health.OnFailure(At(2000 + n));
  CHECK_FALSE(health.IsEjected(At(2020), 0.0));
}

TEST_CASE("an engine that fails as often as its service is never ejected") {
  // The engines of this service fail 14 % of their requests.
  std::mt19937_64 random(3);
  EngineHealth health;
  int ejections = 0;
  for (int now = 0; now < 60'000; now += 300) {
    if (random() % 100 < 14) {
      health.OnFailure(At(now));
    } else {
      health.OnSuccess(At(now));
    }
    ejections += health.IsEjected(At(now + 1), 0.14) ? 1 : 0;
  }
  CHECK(ejections == 0);
}

TEST_CASE("an unreachable engine is tried again after a growing backoff") {
  EngineHealth health;
  health.OnUnreachable(At(0));
  CHECK(health.IsEjected(At(100), 0));
  CHECK_FALSE(health.IsEjected(At(500), 0));
  CHECK(health.IsHalfOpen(At(500)));
  health.OnUnreachable(At(500));
  CHECK(health.IsEjected(At(1000), 0));
  CHECK_FALSE(health.IsEjected(At(1400), 0));
  health.OnSuccess(At(1400));
  CHECK_FALSE(health.IsHalfOpen(At(1400)));
}

TEST_CASE("connections that fail together count as one event") {
  EngineHealth health;
  for (int n = 0; n < 20; ++n) health.OnUnreachable(At(n));
  CHECK_FALSE(health.IsEjected(At(500), 0));
}

}  // namespace
}  // namespace dandelionscale
