#include "dispatch/peers/peer_reports.h"

#include <algorithm>

#include "dispatch/peers/peer_messages.h"

namespace dandelionscale::internal {

void ApplyPlacements(DispatchState& state, std::span<const std::uint64_t> parts,
                     std::span<const std::uint32_t> short_keys,
                     std::optional<std::size_t> for_all_zones) {
  const TimePoint now = RuntimeClock::now();
  const std::size_t count = std::min(parts.size(), short_keys.size());
  for (std::size_t n = 0; n < count; ++n) {
    const auto engine = state.engines.FindByShortKey(short_keys[n]);
    if (engine == nullptr) continue;
    const UpdateScope scope = n < for_all_zones.value_or(count)
                                  ? UpdateScope::kAllZones
                                  : UpdateScope::kOwnZone;
    state.prefixes.Apply(now, {parts[n], engine->key, false, scope});
  }
}

void ApplyEvictions(DispatchState& state, std::span<const std::uint64_t> parts,
                    std::span<const std::uint32_t> short_keys) {
  const TimePoint now = RuntimeClock::now();
  const std::size_t count = std::min(parts.size(), short_keys.size());
  for (std::size_t n = 0; n < count; ++n) {
    const auto engine = state.engines.FindByShortKey(short_keys[n]);
    if (engine == nullptr) continue;
    state.prefixes.Apply(now, {parts[n], engine->key, true});
  }
}

void ApplyRateLimit(DispatchState& state, Engine& engine,
                    const wire::RateLimitReport& report,
                    const std::string& sender) {
  const auto rate = ToRateLimit(report);
  if (rate.has_error()) {
    state.metrics.Add("peer_rate_limits_malformed_total");
    return;
  }
  const TimePoint now = RuntimeClock::now();
  state.OnRateLimitReported(engine, rate.value(), StatedAt(report, now),
                            sender);
  std::optional<TimePoint> lost_at;
  if (report.has_lost_age_ms()) {
    lost_at = now - std::chrono::milliseconds(report.lost_age_ms());
  }
  state.OnWarmUpReported(engine,
                         std::chrono::milliseconds(report.warm_up_left_ms()),
                         lost_at, sender);
}

void ApplyRateLimits(
    DispatchState& state,
    const google::protobuf::RepeatedPtrField<wire::RateLimitReport>& reports,
    const std::string& sender) {
  for (const wire::RateLimitReport& report : reports) {
    const auto engine = state.engines.FindByShortKey(report.engine());
    if (engine == nullptr) continue;
    ApplyRateLimit(state, *engine, report, sender);
  }
}

}  // namespace dandelionscale::internal
