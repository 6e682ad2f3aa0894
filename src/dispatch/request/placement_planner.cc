#include "dispatch/request/placement_planner.h"

#include <algorithm>
#include <utility>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale::internal {

namespace {

// If requests run for this many rotations of digests, nine in ten of those in a
// report are still in flight when the next report arrives.
constexpr int kMinRecentRotations = 10;
// A longer work time, or an unknown one, counts as this when the share of
// requests that leave the zone is adapted.
constexpr Duration kMaxResponseTime = std::chrono::seconds(10);

}  // namespace

std::string_view ToString(EngineExclusion exclusion) {
  switch (exclusion) {
    case EngineExclusion::kVersion:
      return "version";
    case EngineExclusion::kDraining:
      return "draining";
    case EngineExclusion::kEvacuated:
      return "evacuated";
    case EngineExclusion::kTried:
      return "tried";
    case EngineExclusion::kEjected:
      return "ejected";
    case EngineExclusion::kProbeInFlight:
      return "probe_in_flight";
    case EngineExclusion::kPaused:
      return "paused";
    case EngineExclusion::kRateLimited:
      return "rate_limited";
    case EngineExclusion::kPermitDenied:
      return "permit_denied";
    case EngineExclusion::kWarmingUp:
      return "warming_up";
    case EngineExclusion::kFull:
      return "full";
  }
  return "unknown";
}

PlacementOutcome PlacementPlanner::Plan(const PlacementLimits& limits) const {
  const auto engines = this->state.engines.Find(this->request.service);
  PlacementOutcome outcome;
  PlacementPlan plan;
  plan.inputs.affinity_key = this->request.affinity_key;
  plan.inputs.request_key = this->request.request_key;
  plan.inputs.load_factor = this->state.options.load_factor;
  plan.inputs.engine_queue_share = this->QueueShare();
  if (!this->request.prefix.empty()) {
    plan.inputs.shared_tokens = TotalTokens(this->request.prefix);
  }
  ZoneSpill zone_spill = this->CurrentZoneSpill();
  // Each pass admits more engines than the one before. An engine that warms up
  // is slow to compute a long prompt, so that the first pass leaves it out. If
  // no healthy engine is usable, an unhealthy one is better than none.
  const bool is_long = plan.inputs.shared_tokens >= kMinLongPrefixTokens;
  for (const auto& [avoid_warm_up, ignore_health] :
       {std::pair(true, false), std::pair(false, false),
        std::pair(false, true)}) {
    if (avoid_warm_up && !is_long) continue;
    if (ignore_health && limits.only_healthy) break;
    outcome.pass = {limits, ignore_health};
    outcome.pass.limits.avoid_warm_up = avoid_warm_up;
    plan.candidates = this->BuildCandidates(outcome.pass);
    if (!avoid_warm_up && !ignore_health && !limits.avoid_limited) {
      outcome.zone_spill = this->AdaptZoneSpill(plan.candidates);
      if (outcome.zone_spill) zone_spill = *outcome.zone_spill;
    }
    this->ApplyZoneRule(zone_spill, plan);
    this->CorrectLoads(plan.candidates);
    plan.inputs.candidates = plan.candidates;
    const auto decision = ChooseEngine(plan.inputs);
    if (!decision) continue;
    plan.decision = *decision;
    plan.engine = engines[decision->index];
    const auto source = ChooseCopySource(plan.inputs, decision->index);
    if (source) plan.cache_source_address = engines[*source]->record.address;
    outcome.plan = std::move(plan);
    return outcome;
  }
  return outcome;
}

std::vector<PlacementCandidate> PlacementPlanner::BuildCandidates(
    const PlacementPass& pass) const {
  const auto engines = this->state.engines.Find(this->request.service);
  const double failure_rate = this->MeanFailureRate();
  const std::vector<PrefixMatch> matches =
      this->state.prefixes.FindMatches(this->now, this->request.prefix);
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(engines.size());
  for (const auto& engine : engines) {
    PlacementCandidate candidate;
    candidate.engine_key = engine->key;
    candidate.in_flight =
        engine->in_flight + this->state.peer_load.InFlight(engine->key);
    candidate.own_in_flight = engine->in_flight;
    candidate.max_slots = engine->record.max_slots;
    candidate.cached_tokens = MatchedTokens(matches, engine->key);
    candidate.same_zone = engine->record.availability_zone ==
                          this->state.options.availability_zone;
    // An engine that only warms up counts in the mean load: it takes its share
    // of the load within seconds.
    candidate.limits_rate = engine->rate_limit.IsActive();
    candidate.usable = !this->FindExclusion(
        *engine, pass, candidate.cached_tokens, failure_rate);
    candidate.reachable = !engine->health.IsEjected(this->now, failure_rate) &&
                          !this->WasTried(*engine) &&
                          !this->state.IsEvacuated(*engine);
    candidates.push_back(candidate);
  }
  return candidates;
}

std::vector<ExaminedEngine> PlacementPlanner::Examine(
    const PlacementPass& pass) const {
  const auto engines = this->state.engines.Find(this->request.service);
  const double failure_rate = this->MeanFailureRate();
  const double queue_share = this->QueueShare();
  std::vector<PlacementCandidate> candidates = this->BuildCandidates(pass);
  this->CorrectLoads(candidates);
  std::vector<ExaminedEngine> examined;
  examined.reserve(candidates.size());
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    const PlacementCandidate& candidate = candidates[n];
    auto exclusion = this->FindExclusion(*engines[n], pass,
                                         candidate.cached_tokens, failure_rate);
    const bool is_full = !exclusion && !HasRoom(candidate, queue_share);
    if (is_full) exclusion = EngineExclusion::kFull;
    examined.push_back({candidate, exclusion});
  }
  return examined;
}

void PlacementPlanner::CorrectLoads(
    std::span<PlacementCandidate> candidates) const {
  StatedLoadInputs use;
  use.queue_share = this->QueueShare();
  use.request_key = this->request.request_key;
  use.affinity_key = this->request.affinity_key;
  use.shared_tokens = TotalTokens(this->request.prefix);
  if (this->MayHaveStaleLoads()) {
    this->state.peer_load.SpreadStaleLoad(this->now, candidates);
    use.work_time = this->WorkTimeMean();
  }
  this->state.CorrectByStatedLoads(this->now, use, candidates);
}

double PlacementPlanner::QueueShare() const {
  return EngineQueueShare(this->request.latency_target, this->WorkTimeMean());
}

std::optional<EngineExclusion> PlacementPlanner::FindBar(
    const Engine& engine) const {
  if (!this->FitsVersion(engine)) return EngineExclusion::kVersion;
  if (engine.draining) return EngineExclusion::kDraining;
  if (this->state.IsEvacuated(engine)) return EngineExclusion::kEvacuated;
  if (this->WasTried(engine)) return EngineExclusion::kTried;
  return std::nullopt;
}

std::optional<EngineExclusion> PlacementPlanner::FindExclusion(
    const Engine& engine, const PlacementPass& pass,
    std::uint32_t cached_tokens, double failure_rate) const {
  if (const auto bar = this->FindBar(engine)) return bar;
  if (!pass.ignore_health) {
    if (engine.health.IsEjected(this->now, failure_rate)) {
      return EngineExclusion::kEjected;
    }
    const bool probe_in_flight =
        engine.health.IsHalfOpen(this->now) && engine.in_flight > 0;
    if (probe_in_flight) return EngineExclusion::kProbeInFlight;
  }
  if (engine.pause.IsActive(this->now)) return EngineExclusion::kPaused;
  const auto rate = this->state.RateOf(engine, this->now);
  if (!rate) return std::nullopt;
  if (pass.limits.avoid_limited) return EngineExclusion::kRateLimited;
  if (!engine.rate_limit.MayAsk(this->now)) {
    return EngineExclusion::kPermitDenied;
  }
  const bool must_warm_up = pass.limits.avoid_warm_up && rate->is_warm_up &&
                            cached_tokens < TotalTokens(this->request.prefix);
  if (must_warm_up) return EngineExclusion::kWarmingUp;
  return std::nullopt;
}

double PlacementPlanner::MeanFailureRate() const {
  const auto engines = this->state.engines.Find(this->request.service);
  double failure_rate = 0;
  for (const auto& engine : engines) {
    failure_rate += engine->health.FailureRate();
  }
  return failure_rate /
         static_cast<double>(std::max<std::size_t>(1, engines.size()));
}

bool PlacementPlanner::MayHaveStaleLoads() const {
  // Requests with the same prefix keep their engine busy beyond the time of one
  // of them, and the load bound relies on their number.
  if (this->request.affinity_key != 0) return false;
  return this->WorkTimeMean() <
         kMinRecentRotations * DigestRotationPeriod(this->state.peers.size());
}

Duration PlacementPlanner::WorkTimeMean() const {
  const ServiceState* service_state =
      this->state.FindServiceState(this->request.service);
  return service_state != nullptr ? service_state->work_time.Mean()
                                  : WorkTime::kUnknown;
}

std::optional<ZoneSpill> PlacementPlanner::AdaptZoneSpill(
    std::span<const PlacementCandidate> candidates) const {
  const double zone_cost = this->state.options.zone_cost;
  // A repeat or a resumption may not use all engines of the service, so that
  // the loads of its candidates are not those of the zones.
  const bool may_use_all = this->request.tried_engine_keys.empty() &&
                           !this->request.required_version;
  if (zone_cost == 0 || !may_use_all) return std::nullopt;
  const Duration response_time =
      DigestRotationPeriod(this->state.peers.size()) +
      std::min(this->WorkTimeMean(), kMaxResponseTime);
  ZoneSpill zone_spill = this->CurrentZoneSpill();
  zone_spill.Update(this->now, SumZoneLoads(candidates), response_time,
                    zone_cost);
  return zone_spill;
}

ZoneSpill PlacementPlanner::CurrentZoneSpill() const {
  const ServiceState* service_state =
      this->state.FindServiceState(this->request.service);
  return service_state != nullptr ? service_state->zone_spill : ZoneSpill();
}

void PlacementPlanner::ApplyZoneRule(const ZoneSpill& zone_spill,
                                     PlacementPlan& plan) const {
  plan.inputs.zone_rule = ZoneRule::kIgnored;
  if (this->state.options.zone_cost == 0) return;
  plan.zone_share = zone_spill.Share();
  plan.inputs.zone_rule = zone_spill.RuleFor(SumZoneLoads(plan.candidates),
                                             this->request.request_key);
}

bool PlacementPlanner::WasTried(const Engine& engine) const {
  const auto& tried = this->request.tried_engine_keys;
  return std::find(tried.begin(), tried.end(), engine.key) != tried.end();
}

bool PlacementPlanner::FitsVersion(const Engine& engine) const {
  if (!this->request.required_version) return true;
  return engine.version_key != 0 &&
         engine.version_key == *this->request.required_version;
}

bool PlacementPlanner::MayTry(const Engine& engine) const {
  return !this->FindBar(engine);
}

bool PlacementPlanner::HasUntriedEngine() const {
  const auto engines = this->state.engines.Find(this->request.service);
  return std::any_of(
      engines.begin(), engines.end(),
      [this](const auto& engine) { return this->MayTry(*engine); });
}

bool PlacementPlanner::IsLeftToEvacuatedZones() const {
  const auto engines = this->state.engines.Find(this->request.service);
  const bool has_evacuated = std::any_of(
      engines.begin(), engines.end(),
      [this](const auto& engine) { return this->state.IsEvacuated(*engine); });
  return has_evacuated && !this->HasUntriedEngine();
}

Duration PlacementPlanner::TimeUntilUsableEngine() const {
  std::optional<Duration> shortest;
  for (const auto& engine : this->state.engines.Find(this->request.service)) {
    if (!this->MayTry(*engine)) continue;
    const Duration denial = this->state.RateOf(*engine, this->now)
                                ? engine->rate_limit.TimeUntilMayAsk(this->now)
                                : Duration::zero();
    const Duration pause = std::max(engine->pause.Remaining(this->now), denial);
    shortest = std::min(shortest.value_or(pause), pause);
  }
  return shortest.value_or(Duration::zero());
}

}  // namespace dandelionscale::internal
