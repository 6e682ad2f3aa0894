#include "dandelionscale/core/load/engine_warm_up.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// A longer warm-up is a mistake of the engine or of a peer.
constexpr Duration kMaxWarmUp = std::chrono::minutes(5);
// Each router that tries to reach an engine loses it again and again. Peers are
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
  return this->Extend(now, warm_up_time, warm_up_time);
}

bool EngineWarmUp::IsActive(TimePoint now) const {
  if (this->lost_at) return true;
  return this->ends_at != TimePoint{} && now < this->ends_at + kTolerance;
}

Duration EngineWarmUp::Left(TimePoint now) const {
  return std::max(this->ends_at - now, Duration::zero());
}

}  // namespace dandelionscale
