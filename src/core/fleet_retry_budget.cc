#include "dandelionscale/core/fleet_retry_budget.h"

#include <algorithm>

namespace dandelionscale {
namespace {

constexpr Duration kBucketLength = std::chrono::milliseconds(250);
// Part of the bound that is used; the rest covers clocks and windows that do
// not line up between routers.
constexpr double kUsedShare = 0.85;

}  // namespace

void FleetRetryBudget::OnRequest(TimePoint now) {
  this->Expire(now);
  ++this->Current(now).requests;
  ++this->requests;
}

bool FleetRetryBudget::TryTake(TimePoint now, std::size_t routers) {
  this->Expire(now);
  const double part = this->terms.extra /
                      static_cast<double>(std::max<std::size_t>(1, routers));
  const double allowed =
      kUsedShare * (this->terms.ratio * this->requests + part);
  if (this->repeats + 1 > allowed) return false;
  ++this->Current(now).repeats;
  ++this->repeats;
  return true;
}

FleetRetryBudget::Bucket& FleetRetryBudget::Current(TimePoint now) {
  if (this->buckets.empty() ||
      now - this->buckets.back().from >= kBucketLength) {
    this->buckets.push_back({now, 0, 0});
  }
  return this->buckets.back();
}

void FleetRetryBudget::Expire(TimePoint now) {
  while (!this->buckets.empty() && now - this->buckets.front().from >
                                       this->terms.window + kBucketLength) {
    this->requests -= this->buckets.front().requests;
    this->repeats -= this->buckets.front().repeats;
    this->buckets.pop_front();
  }
}

}  // namespace dandelionscale
