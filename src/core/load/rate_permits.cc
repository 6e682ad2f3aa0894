#include "dandelionscale/core/load/rate_permits.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Share of the rate that a router permits while another may permit the whole.
// Low enough for two such routers beside one that does.
constexpr double kSubstituteShare = 0.2;
// Tokens that are kept while no router asks: for one request, for one more if
// the whole rate is permitted, and what the rate yields in this time.
constexpr double kBurstSeconds = 0.25;
// The same for an engine that warms up, which tolerates 1.5 times its rate plus
// 5 requests in any second. In the worst case three routers issue permits, one
// of the whole rate and two of a substitute's share, and permits are used up to
// 0.2 s after they were asked for. In a second that allows 3 requests plus
// kWarmUpShare * (1 + 0.2 + 0.05) * 1.4 = 1.49 times the rate.
constexpr double kWarmUpBurstSeconds = 0.05;
// Share of a warm-up's rate that is permitted; see above.
constexpr double kWarmUpShare = 0.85;
// Lowest rate that is permitted. An engine that takes none is asked now and
// then, since only its responses tell when its limit has ended.
constexpr double kMinRate = 0.1;
constexpr Duration kBucketLifetime = std::chrono::minutes(1);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::optional<RateInForce> FindRate(TimePoint now, const EngineRateLimit& limit,
                                    const EngineWarmUp& warm_up,
                                    double warm_up_rate) {
  std::optional<RateInForce> rate;
  if (limit.IsActive()) rate = RateInForce{limit.Rate(), false};
  if (warm_up_rate <= 0 || !warm_up.IsActive(now)) return rate;
  const double permitted = kWarmUpShare * warm_up_rate;
  return RateInForce{rate ? std::min(rate->per_second, permitted) : permitted,
                     true};
}

double IssuerShare(const IssuerView& view) {
  if (view.live_routers * 2 <= view.known_routers) {
    return 1.0 / static_cast<double>(view.known_routers);
  }
  if (view.live_before > 1) return 0;
  const bool is_first = view.live_before == 0 && view.lost_before == 0;
  return is_first && !view.has_just_resumed ? 1 : kSubstituteShare;
}

PermitDecision RatePermits::Decide(TimePoint now, std::uint64_t engine_key,
                                   const RateInForce& rate, double share) {
  if (share <= 0) return {false, FromSeconds(1 / kMinRate)};
  const double permitted_rate = std::max(rate.per_second, kMinRate) * share;
  Bucket& bucket =
      this->buckets.try_emplace(engine_key, Bucket{1, now}).first->second;
  const std::chrono::duration<double> elapsed = now - bucket.updated_at;
  const double capacity = rate.is_warm_up
                              ? 1 + permitted_rate * kWarmUpBurstSeconds
                              : 1 + share + permitted_rate * kBurstSeconds;
  bucket.tokens =
      std::min(capacity, bucket.tokens + permitted_rate * elapsed.count());
  bucket.updated_at = now;
  if (bucket.tokens < 1) {
    return {false, FromSeconds((1 - bucket.tokens) / permitted_rate)};
  }
  bucket.tokens -= 1;
  return {true, Duration::zero()};
}

void RatePermits::Expire(TimePoint now) {
  std::erase_if(this->buckets, [now](const auto& entry) {
    return now - entry.second.updated_at > kBucketLifetime;
  });
}

}  // namespace dandelionscale
