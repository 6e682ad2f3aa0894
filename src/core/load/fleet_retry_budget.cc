#include "dandelionscale/core/load/fleet_retry_budget.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Requests and retries are counted, and expire, in buckets of this length.
constexpr Duration kBucketLength = std::chrono::milliseconds(250);
// Share of the limits that is used; the rest allows for clocks and windows that
// are not aligned between routers.
constexpr double kUsedShare = 0.85;

}  // namespace

void FleetRetryBudget::OnRequest(TimePoint now) {
  this->Expire(now);
  ++this->CurrentBucket(now).requests;
  ++this->requests;
}

bool FleetRetryBudget::HasRetry(TimePoint now, std::size_t routers) {
  this->Expire(now);
  const double extra_share =
      this->limits.extra /
      static_cast<double>(std::max<std::size_t>(1, routers));
  const double max_retries =
      kUsedShare * (this->limits.ratio * this->requests + extra_share);
  return this->retries + 1 <= max_retries;
}

bool FleetRetryBudget::TryTake(TimePoint now, std::size_t routers) {
  if (!this->HasRetry(now, routers)) return false;
  ++this->CurrentBucket(now).retries;
  ++this->retries;
  return true;
}

FleetRetryBudget::Bucket& FleetRetryBudget::CurrentBucket(TimePoint now) {
  if (this->buckets.empty() ||
      now - this->buckets.back().start >= kBucketLength) {
    this->buckets.push_back({now, 0, 0});
  }
  return this->buckets.back();
}

void FleetRetryBudget::Expire(TimePoint now) {
  while (!this->buckets.empty() && now - this->buckets.front().start >
                                       this->limits.window + kBucketLength) {
    this->requests -= this->buckets.front().requests;
    this->retries -= this->buckets.front().retries;
    this->buckets.pop_front();
  }
}

}  // namespace dandelionscale
