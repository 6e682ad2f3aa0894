#include "dandelionscale/core/load/engine_warm_up.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Longer warm-ups are cut to this: an engine or a peer has stated a wrong time.
constexpr Duration kMaxWarmUp = std::chrono::minutes(5);
// While an engine is down, each attempt to reach it records a loss. Peers are
// told no more often than this.
constexpr Duration kLossReportInterval = std::chrono::seconds(5);

}  // namespace

bool EngineWarmUp::Extend(TimePoint now, Duration left, Duration warm_up_time) {
  if (left <= Duration::zero()) return false;
  const TimePoint end = now + std::min(left, kMaxWarmUp);
  if (this->lost_at && end - warm_up_time >= *this->lost_at) {
    this->lost_at.reset();
  }
  if (end <= this->ends_at + kTolerance) return false;
  this->ends_at = end;
  return true;
}

bool EngineWarmUp::OnLost(TimePoint at, Duration warm_up_time) {
  if (this->ends_at - warm_up_time > at) return false;
  const bool is_told =
      this->lost_at && at - this->told_lost_at < kLossReportInterval;
  this->lost_at = std::max(at, this->lost_at.value_or(at));
  if (!is_told) this->told_lost_at = at;
  return !is_told;
}

bool EngineWarmUp::OnAnswered(TimePoint now, Duration warm_up_time) {
  if (!this->lost_at) return false;
  this->lost_at.reset();
  // Always told to peers, which hold the engine as lost as well.
  this->ends_at =
      std::max(this->ends_at, now + std::min(warm_up_time, kMaxWarmUp));
  return true;
}

bool EngineWarmUp::IsActive(TimePoint now) const {
  if (this->lost_at) return true;
  return this->ends_at != TimePoint{} && now < this->ends_at + kTolerance;
}

Duration EngineWarmUp::Left(TimePoint now) const {
  return std::max(this->ends_at - now, Duration::zero());
}

}  // namespace dandelionscale
