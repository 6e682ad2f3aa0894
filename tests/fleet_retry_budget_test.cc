// Retries of all routers stay within the fleet's budget without coordination.
#include "dandelionscale/core/load/fleet_retry_budget.h"

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
  bool is_retry = false;
};

// Largest number of retries above the budget in any window, over all routers.
double MaxExcess(const std::vector<Arrival>& arrivals,
                 const RetryBudgetLimits& limits) {
  double max_excess = -1e9;
  for (const Arrival& end : arrivals) {
    double requests = 0;
    double retries = 0;
    for (const Arrival& arrival : arrivals) {
      const bool inside =
          arrival.at_ms <= end.at_ms && arrival.at_ms > end.at_ms - kWindowMs;
      if (!inside) continue;
      (arrival.is_retry ? retries : requests) += 1;
    }
    max_excess =
        std::max(max_excess, retries - limits.ratio * requests - limits.extra);
  }
  return max_excess;
}

TEST_CASE(
    "the fleet stays within its budget when 45 % of requests fail everywhere") {
  const RetryBudgetLimits limits{0.2, 56, std::chrono::milliseconds(kWindowMs)};
  std::vector<FleetRetryBudget> budgets(kRouters, FleetRetryBudget(limits));
  std::mt19937_64 random(7);
  std::vector<Arrival> arrivals;
  int granted = 0;
  // 60 requests per second, unevenly spread over the routers; 45 % of the
  // requests fail for 4 s.
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
  CHECK(MaxExcess(arrivals, limits) <= 0);
  // A large part of the failed requests is still retried.
  CHECK(granted > 50);
}

TEST_CASE("requests before the current window allow no retries") {
  FleetRetryBudget budget({0.2, 0, std::chrono::seconds(10)});
  for (int n = 0; n < 100; ++n) budget.OnRequest(At(n));
  CHECK(budget.TryTake(At(200), kRouters));
  CHECK_FALSE(budget.TryTake(At(20'000), kRouters));
}

}  // namespace
}  // namespace dandelionscale
