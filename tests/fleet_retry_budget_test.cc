// Repeated sends stay inside the fleet's budget without coordination.
#include "dandelionscale/core/fleet_retry_budget.h"

#include <catch2/catch.hpp>
#include <random>

namespace dandelionscale {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr int kRouters = 8;
constexpr int kWindowMs = 10'000;

TimePoint At(int ms) { return kStart + std::chrono::milliseconds(ms); }

struct Arrival {
  int at_ms = 0;
  bool repeat = false;
};

// Most repeats beyond the budget in any window of the fleet.
double WorstExcess(const std::vector<Arrival>& arrivals,
                   const RetryBudgetTerms& terms) {
  double worst = -1e9;
  for (const Arrival& end : arrivals) {
    double requests = 0;
    double repeats = 0;
    for (const Arrival& arrival : arrivals) {
      const bool inside =
          arrival.at_ms <= end.at_ms && arrival.at_ms > end.at_ms - kWindowMs;
      if (!inside) continue;
      (arrival.repeat ? repeats : requests) += 1;
    }
    worst = std::max(worst, repeats - terms.ratio * requests - terms.extra);
  }
  return worst;
}

TEST_CASE("replay: 45 in 100 requests fail at every router at once") {
  const RetryBudgetTerms terms{0.2, 56, std::chrono::milliseconds(kWindowMs)};
  std::vector<FleetRetryBudget> budgets(kRouters, FleetRetryBudget(terms));
  std::mt19937_64 random(7);
  std::vector<Arrival> arrivals;
  int granted = 0;
  // 60 requests a second, unevenly spread; all engines fail for 4 s.
  for (int now = 0; now < 20'000; now += 16) {
    FleetRetryBudget& budget =
        budgets[random() % 3 == 0 ? 0 : random() % kRouters];
    budget.OnRequest(At(now));
    arrivals.push_back({now, false});
    const bool fails = now > 11'000 && now < 15'000 && random() % 100 < 45;
    if (!fails || !budget.TryTake(At(now), kRouters)) continue;
    ++granted;
    arrivals.push_back({now, true});
  }
  CHECK(WorstExcess(arrivals, terms) <= 0);
  // Most of the failures are still tried again.
  CHECK(granted > 50);
}

TEST_CASE("a burst of requests does not pay for later repeats") {
  FleetRetryBudget budget({0.2, 0, std::chrono::seconds(10)});
  for (int n = 0; n < 100; ++n) budget.OnRequest(At(n));
  CHECK(budget.TryTake(At(200), kRouters));
  CHECK_FALSE(budget.TryTake(At(20'000), kRouters));
}

}  // namespace
}  // namespace dandelionscale
