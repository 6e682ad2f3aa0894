// DispatchState: rate limits and warm-ups of engines.
#include <fmt/format.h>

#include "dandelionscale/runtime/logger.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

void DispatchState::OnRateLimitAnswer(Engine& engine,
                                      const EngineResponse& response,
                                      TimePoint sent_at) {
  if (response.wrong_engine) return;
  const TimePoint now = RuntimeClock::now();
  if (engine.warm_up.LostAt() &&
      engine.warm_up.OnAnswered(now, this->SpecOf(engine).warm_up_time)) {
    this->OnWarmUpChanged(engine, "answered", "engine");
  }
  if (response.has_malformed_rate_limit) {
    this->WarnOnce("engine_rate_limit_malformed", engine);
    return;
  }
  const EngineRateLimit before = engine.rate_limit;
  const bool has_changed =
      response.rate_limit
          ? engine.rate_limit.OnStated(now, *response.rate_limit)
          : engine.rate_limit.OnNotStated(now, sent_at);
  if (has_changed) this->OnRateLimitChanged(engine, before, "engine");
}

void DispatchState::OnRateLimitReported(Engine& engine,
                                        std::optional<double> rate,
                                        TimePoint stated_at,
                                        std::string_view source) {
  const EngineRateLimit before = engine.rate_limit;
  if (!engine.rate_limit.OnReported(rate, stated_at)) return;
  this->OnRateLimitChanged(engine, before, source);
}

void DispatchState::OnRateLimitChanged(const Engine& engine,
                                       const EngineRateLimit& before,
                                       std::string_view source) {
  const Duration age_before = before.Age(RuntimeClock::now());
  this->metrics.Add("engine_rate_limit_changes_total");
  Logger::Info("engine_rate_limit", {{"engine", engine.record.id},
                                     {"service", engine.record.service},
                                     {"limited", engine.rate_limit.IsActive()},
                                     {"per_second", engine.rate_limit.Rate()},
                                     {"before", before.Rate()},
                                     {"age_ms", ToMilliseconds(age_before)},
                                     {"source", source}});
  this->rate_limit_news.Add(engine.key);
  this->state_changed.NotifyAll();
}

void DispatchState::OnWarmUpReported(Engine& engine, Duration left,
                                     std::optional<TimePoint> lost_at,
                                     std::string_view source) {
  if (left <= Duration::zero() && !lost_at) return;
  const ServiceSpec& spec = this->SpecOf(engine);
  if (!spec.HasWarmUp()) return;
  const TimePoint now = RuntimeClock::now();
  // A report that waited while this process was paused states a time that has
  // partly passed.
  if (this->LoopStall(now) > Duration::zero()) return;
  const Duration time = spec.warm_up_time;
  const bool extended = engine.warm_up.Extend(now, left, time);
  const bool lost = lost_at && engine.warm_up.OnLost(*lost_at, time);
  if (extended || lost) this->OnWarmUpChanged(engine, "reported", source);
}

void DispatchState::OnEngineLost(Engine& engine) {
  // An engine that is leaving ends its connections as intended.
  if (engine.draining || engine.gone) return;
  const ServiceSpec& spec = this->SpecOf(engine);
  if (!spec.HasWarmUp()) return;
  const TimePoint now = RuntimeClock::now();
  // Connections that fail after a pause of this process tell nothing of the
  // engine.
  if (this->LoopStall(now) > Duration::zero()) return;
  if (!engine.warm_up.OnLost(now, spec.warm_up_time)) return;
  this->OnWarmUpChanged(engine, "lost", "own");
}

void DispatchState::BeginWarmUp(std::string_view availability_zone) {
  const TimePoint now = RuntimeClock::now();
  for (const auto& [id, engine] : this->engines.Engines()) {
    if (engine->record.availability_zone != availability_zone) continue;
    const Duration time = this->SpecOf(*engine).warm_up_time;
    if (!engine->warm_up.Extend(now, time, time)) continue;
    this->OnWarmUpChanged(*engine, "zone_restored", "own");
  }
}

std::optional<RateInForce> DispatchState::RateOf(const Engine& engine,
                                                 TimePoint now) const {
  // Saves the look-up of the service for the many engines that do not warm up.
  const double warm_up_rate =
      engine.warm_up.IsActive(now) ? this->SpecOf(engine).warm_up_rate : 0;
  return FindRate(now, engine.rate_limit, engine.warm_up, warm_up_rate);
}

const ServiceSpec& DispatchState::SpecOf(const Engine& engine) const {
  static const ServiceSpec kNone;
  const ServiceSpec* spec = this->FindService(engine.record.service);
  return spec != nullptr ? *spec : kNone;
}

void DispatchState::ApplyRowWarmUp(const EngineChange& change,
                                   std::string_view source) {
  const bool is_start = change.kind == EngineChange::Kind::kAdded ||
                        change.kind == EngineChange::Kind::kRestarted;
  if (!is_start && change.kind != EngineChange::Kind::kWarmingUp) return;
  const auto found = this->engines.Engines().find(change.id);
  if (found == this->engines.Engines().end()) return;
  Engine& engine = *found->second;
  const Duration time = this->SpecOf(engine).warm_up_time;
  const Duration after_start =
      change.is_new_incarnation ? time : Duration::zero();
  const Duration left = engine.record.warm_up_left.value_or(after_start);
  if (!engine.warm_up.Extend(RuntimeClock::now(), left, time)) return;
  this->OnWarmUpChanged(engine, is_start ? "started" : "row", source);
}

void DispatchState::OnWarmUpChanged(const Engine& engine,
                                    std::string_view reason,
                                    std::string_view source) {
  const TimePoint now = RuntimeClock::now();
  const auto rate = this->RateOf(engine, now);
  if (!rate || !rate->is_warm_up) return;
  this->metrics.Add(
      fmt::format("engine_warm_ups_total{{reason=\"{}\"}}", reason));
  Logger::Info("engine_warming_up",
               {{"engine", engine.record.id},
                {"service", engine.record.service},
                {"reason", reason},
                {"left_ms", ToMilliseconds(engine.warm_up.Left(now))},
                {"lost", engine.warm_up.LostAt().has_value()},
                {"per_second", rate->per_second},
                {"source", source}});
  this->rate_limit_news.Add(engine.key);
  this->state_changed.NotifyAll();
}

}  // namespace dandelionscale::internal
