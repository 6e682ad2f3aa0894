#include "dandelionscale/core/load/engine_rate_limit.h"

namespace dandelionscale {

bool EngineRateLimit::OnStated(TimePoint now, double new_rate) {
  const bool is_new = !this->rate.has_value();
  this->rate = new_rate;
  this->stated_at = now;
  return is_new;
}

bool EngineRateLimit::OnNotStated(TimePoint now, TimePoint sent_at) {
  if (!this->rate || sent_at <= this->stated_at) return false;
  this->rate.reset();
  this->stated_at = now;
  return true;
}

bool EngineRateLimit::OnReported(std::optional<double> new_rate,
                                 TimePoint reported_at) {
  if (reported_at <= this->stated_at) return false;
  const bool has_changed = new_rate.has_value() != this->rate.has_value();
  this->rate = new_rate;
  this->stated_at = reported_at;
  return has_changed;
}

Duration EngineRateLimit::TimeUntilMayAsk(TimePoint now) const {
  if (this->MayAsk(now)) return Duration::zero();
  return this->denied_until - now;
}

Duration EngineRateLimit::Age(TimePoint now) const {
  return this->WasStated() ? now - this->stated_at : Duration::zero();
}

}  // namespace dandelionscale
