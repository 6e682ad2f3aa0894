// Which engines are set aside, and when they come back.
#include "dandelionscale/core/engine_health.h"

#include <catch2/catch.hpp>
#include <random>

namespace dandelionscale {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

TimePoint At(int ms) { return kStart + std::chrono::milliseconds(ms); }

TEST_CASE("an engine that fails far more often than its service is set aside") {
  EngineHealth sick;
  for (int n = 0; n < 12; ++n) sick.OnFailure(At(n * 250));
  CHECK(sick.IsSetAside(At(3000), 0.1));
  // All engines fail alike: none is.
  CHECK_FALSE(sick.IsSetAside(At(3000), sick.FailureRate()));
  // It gets another chance.
  CHECK_FALSE(sick.IsSetAside(At(6000), 0.1));
}

// A bench day: a link reset several connections at once, and engines that held
// long prefixes were set aside.
TEST_CASE("failures of one burst count once") {
  EngineHealth health;
  for (int n = 0; n < 10; ++n) health.OnSuccess(At(n * 100));
  for (int n = 0; n < 10; ++n) health.OnFailure(At(2000 + n));
  CHECK_FALSE(health.IsSetAside(At(2020), 0.0));
}

TEST_CASE("no false alarm on a calm day") {
  // 14 in 100 answers of this service are failures of the engines' own.
  std::mt19937_64 random(3);
  EngineHealth health;
  int alarms = 0;
  for (int now = 0; now < 60'000; now += 300) {
    if (random() % 100 < 14) {
      health.OnFailure(At(now));
    } else {
      health.OnSuccess(At(now));
    }
    alarms += health.IsSetAside(At(now + 1), 0.14) ? 1 : 0;
  }
  CHECK(alarms == 0);
}

TEST_CASE("an unreachable engine is tried again after growing pauses") {
  EngineHealth health;
  health.OnUnreachable(At(0));
  CHECK(health.IsSetAside(At(100), 0));
  CHECK_FALSE(health.IsSetAside(At(500), 0));
  CHECK(health.IsOnTrial(At(500)));
  health.OnUnreachable(At(500));
  CHECK(health.IsSetAside(At(1000), 0));
  CHECK_FALSE(health.IsSetAside(At(1400), 0));
  health.OnSuccess(At(1400));
  CHECK_FALSE(health.IsOnTrial(At(1400)));
}

TEST_CASE("connections that fail together are one event") {
  EngineHealth health;
  for (int n = 0; n < 20; ++n) health.OnUnreachable(At(n));
  CHECK_FALSE(health.IsSetAside(At(500), 0));
}

}  // namespace
}  // namespace dandelionscale
