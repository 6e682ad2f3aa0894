#include "dispatch/peers/peer_reports.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "dandelionscale/runtime/trace.h"
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

void FillStatedLoads(const DispatchState& state, wire::RouterDigest& digest) {
  if (!state.UsesStatedLoads()) return;
  constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
  const TimePoint now = RuntimeClock::now();
  for (const StatedLoad& load : state.stated_loads.LoadsToForward(now)) {
    digest.add_stated_engines(ShortKey(load.engine_key));
    digest.add_stated_in_flight(
        static_cast<std::uint32_t>(std::min(load.in_flight, kMaxCount)));
    digest.add_stated_paces(static_cast<std::uint32_t>(std::lround(load.pace)));
    digest.add_stated_ages_ms(
        static_cast<std::uint32_t>(ToMilliseconds(load.age)));
  }
}

bool HasMalformedStatedLoads(const wire::RouterDigest& digest) {
  const int count = digest.stated_engines_size();
  return digest.stated_in_flight_size() != count ||
         digest.stated_paces_size() != count ||
         digest.stated_ages_ms_size() != count;
}

void ApplyForwardedLoads(DispatchState& state,
                         const wire::RouterDigest& digest) {
  const TimePoint now = RuntimeClock::now();
  // The digest may have waited while this process was paused.
  if (state.LoopStall(now) > Duration::zero()) return;
  for (int n = 0; n < digest.stated_engines_size(); ++n) {
    const auto engine = state.engines.FindByShortKey(digest.stated_engines(n));
    if (engine == nullptr) continue;
    state.metrics.Add("stated_loads_received_total{from=\"peer\"}");
    StatedLoad load;
    load.engine_key = engine->key;
    load.in_flight = digest.stated_in_flight(n);
    load.pace = digest.stated_paces(n);
    load.age = std::chrono::milliseconds(digest.stated_ages_ms(n));
    state.stated_loads.OnForwarded(now, load, engine->in_flight);
  }
}

}  // namespace dandelionscale::internal
