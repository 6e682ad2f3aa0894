#include "dispatch/peer_reports.h"

#include <algorithm>

#include "dispatch/peer_messages.h"

namespace dandelionscale::internal {

void ApplyPlacements(DispatchState& state, std::span<const std::uint64_t> parts,
                     std::span<const std::uint32_t> short_keys, bool dropped) {
  const TimePoint now = RuntimeClock::now();
  const std::size_t count = std::min(parts.size(), short_keys.size());
  for (std::size_t n = 0; n < count; ++n) {
    const auto engine = state.engines.FindByShortKey(short_keys[n]);
    if (engine == nullptr) continue;
    state.prefixes.Apply(now, {parts[n], engine->key, dropped});
  }
}

void ApplyRateLimits(
    DispatchState& state,
    const google::protobuf::RepeatedPtrField<wire::RateLimitReport>& reports,
    const std::string& sender) {
  const TimePoint now = RuntimeClock::now();
  for (const wire::RateLimitReport& report : reports) {
    const auto engine = state.engines.FindByShortKey(report.engine());
    if (engine == nullptr) continue;
    state.OnRateLimitReported(*engine, ToRateLimit(report),
                              StatedAt(report, now), sender);
  }
}

}  // namespace dandelionscale::internal
