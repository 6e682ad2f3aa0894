// RequestDispatch: choice of the engine, and waiting while no engine has
// capacity.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/load/placement_record.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/request/request_dispatch.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

using boost::system::error_code;

namespace {

// Interval at which a waiting request checks for an engine with capacity.
constexpr Duration kCapacityPollInterval = std::chrono::milliseconds(15);
// If requests run for this many rotations of digests, nine in ten of those in a
// report are still in flight when the next report arrives.
constexpr int kMinRecentRotations = 10;
// A longer work time, or an unknown one, counts as this when the share of
// requests that leave the zone is adapted.
constexpr Duration kMaxResponseTime = std::chrono::seconds(10);
// Permits that a request asks for, one after the other, before it goes to an
// engine that does not limit its rate.
constexpr int kMaxPermitRequests = 2;

std::int64_t ToInt64(std::size_t number) {
  return static_cast<std::int64_t>(number);
}

std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

}  // namespace

Awaitable<std::shared_ptr<Engine>> RequestDispatch::Place() {
  if (this->IsQuarantined()) {
    co_await this->FinishUnplaced("quarantined");
    co_return nullptr;
  }
  if (!this->tried_engine_keys.empty() && this->IsTooLateToBegin()) {
    co_await this->FinishUnplaced("shutting_down");
    co_return nullptr;
  }
  std::shared_ptr<Engine> engine = co_await this->TryPlace();
  if (engine) co_return engine;
  co_return co_await this->WaitForEngine();
}

Awaitable<std::shared_ptr<Engine>> RequestDispatch::TryPlace() {
  for (int n = 0; n <= kMaxPermitRequests; ++n) {
    PlacementLimits limits;
    limits.avoid_limited = n == kMaxPermitRequests;
    std::optional<PlacementPlan> plan = this->PlanPlacement(limits);
    if (!plan) break;
    Engine& engine = *plan->engine;
    const TimePoint asked_at = RuntimeClock::now();
    if (this->state.RateOf(engine, asked_at)) {
      if (!co_await this->state.permits->Acquire(plan->engine)) continue;
      plan->permitted_at = asked_at;
    }
    if (this->interruption != Interruption::kNone) break;
    const bool is_unwanted =
        engine.draining || engine.gone || this->state.IsEvacuated(engine);
    if (is_unwanted) continue;
    this->OnPlaced(*plan);
    co_return plan->engine;
  }
  co_return nullptr;
}

std::optional<RequestDispatch::PlacementPlan> RequestDispatch::PlanPlacement(
    const PlacementLimits& limits) const {
  const auto engines = this->state.engines.Find(this->service);
  PlacementPlan plan;
  plan.inputs.affinity_key = this->affinity_key;
  plan.inputs.request_key = this->request_key;
  plan.inputs.load_factor = this->state.options.load_factor;
  if (!this->decoded.prefix.empty()) {
    plan.inputs.shared_tokens = TotalTokens(this->decoded.prefix);
  }
  // Each pass admits more engines than the one before. An engine that warms up
  // is slow to compute a long prompt, so that the first pass leaves it out. If
  // no healthy engine is usable, an unhealthy one is better than none.
  const bool is_long = plan.inputs.shared_tokens >= kMinLongPrefixTokens;
  for (const auto& [avoid_warm_up, ignore_health] :
       {std::pair(true, false), std::pair(false, false),
        std::pair(false, true)}) {
    if (avoid_warm_up && !is_long) continue;
    if (ignore_health && limits.only_healthy) break;
    PlacementLimits pass = limits;
    pass.avoid_warm_up = avoid_warm_up;
    plan.candidates = this->BuildCandidates(ignore_health, pass);
    if (!avoid_warm_up && !ignore_health && !limits.avoid_limited) {
      this->UpdateZoneSpill(plan.candidates);
    }
    this->ApplyZoneRule(plan);
    StatedLoadUse use;
    use.request_key = this->request_key;
    use.affinity_key = this->affinity_key;
    use.shared_tokens = plan.inputs.shared_tokens;
    if (this->MayHaveStaleLoads()) {
      this->state.peer_load.SpreadStaleLoad(RuntimeClock::now(),
                                            plan.candidates);
      use.work_time = this->state.Service(this->service).work_time.Mean();
    }
    this->state.ApplyStatedLoads(use, plan.candidates);
    plan.inputs.candidates = plan.candidates;
    const auto decision = ChooseEngine(plan.inputs);
    if (!decision) continue;
    plan.decision = *decision;
    plan.engine = engines[decision->index];
    const auto source = ChooseCopySource(plan.inputs, decision->index);
    if (source) plan.cache_source_address = engines[*source]->record.address;
    return plan;
  }
  return std::nullopt;
}

std::vector<PlacementCandidate> RequestDispatch::BuildCandidates(
    bool ignore_health, const PlacementLimits& limits) const {
  const TimePoint now = RuntimeClock::now();
  const auto engines = this->state.engines.Find(this->service);
  double failure_rate = 0;
  for (const auto& engine : engines) {
    failure_rate += engine->health.FailureRate();
  }
  failure_rate /= static_cast<double>(std::max<std::size_t>(1, engines.size()));
  const std::vector<PrefixMatch> matches =
      this->state.prefixes.FindMatches(now, this->decoded.prefix);
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
    const auto rate = this->state.RateOf(*engine, now);
    // An engine that only warms up counts in the mean load: it takes its share
    // of the load within seconds.
    candidate.limits_rate = engine->rate_limit.IsActive();
    const bool was_tried = this->WasTried(*engine);
    const bool evacuated = this->state.IsEvacuated(*engine);
    const bool ejected = engine->health.IsEjected(now, failure_rate);
    const bool probe_in_flight =
        engine->health.IsHalfOpen(now) && engine->in_flight > 0;
    const bool healthy = ignore_health || (!ejected && !probe_in_flight);
    const bool may_permit =
        !rate || (!limits.avoid_limited && engine->rate_limit.MayAsk(now));
    const bool must_warm_up =
        limits.avoid_warm_up && rate && rate->is_warm_up &&
        candidate.cached_tokens < TotalTokens(this->decoded.prefix);
    candidate.usable = this->MayTry(*engine) && healthy &&
                       !engine->pause.IsActive(now) && may_permit &&
                       !must_warm_up;
    candidate.reachable = !ejected && !was_tried && !evacuated;
    candidates.push_back(candidate);
  }
  return candidates;
}

bool RequestDispatch::MayHaveStaleLoads() const {
  // Requests with the same prefix keep their engine busy beyond the time of one
  // of them, and the load bound relies on their number.
  if (this->affinity_key != 0) return false;
  return this->state.Service(this->service).work_time.Mean() <
         kMinRecentRotations * DigestRotationPeriod(this->state.peers.size());
}

void RequestDispatch::UpdateZoneSpill(
    std::span<const PlacementCandidate> candidates) const {
  const double zone_cost = this->state.options.zone_cost;
  // A repeat or a resumption may not use all engines of the service, so that
  // the loads of its candidates are not those of the zones.
  const bool may_use_all =
      this->tried_engine_keys.empty() && !this->required_version;
  if (zone_cost == 0 || !may_use_all) return;
  ServiceState& service_state = this->state.Service(this->service);
  const Duration response_time =
      DigestRotationPeriod(this->state.peers.size()) +
      std::min(service_state.work_time.Mean(), kMaxResponseTime);
  service_state.zone_spill.Update(RuntimeClock::now(), SumZoneLoads(candidates),
                                  response_time, zone_cost);
}

void RequestDispatch::ApplyZoneRule(PlacementPlan& plan) const {
  plan.inputs.zone_rule = ZoneRule::kIgnored;
  if (this->state.options.zone_cost == 0) return;
  const ServiceState& service_state = this->state.Service(this->service);
  const ZoneLoads loads = SumZoneLoads(plan.candidates);
  plan.zone_share = service_state.zone_spill.Share();
  plan.inputs.zone_rule =
      service_state.zone_spill.RuleFor(loads, this->request_key);
}

void RequestDispatch::OnPlaced(const PlacementPlan& plan) {
  const Engine& engine = *plan.engine;
  const PlacementDecision& decision = plan.decision;
  const PlacementInputs& inputs = plan.inputs;
  this->cache_source_address = plan.cache_source_address;
  this->permitted_at = plan.permitted_at;
  const TimePoint now = RuntimeClock::now();
  this->state.metrics.ObserveLatency("placement_wait_seconds",
                                     now - this->arrived_at);
  const Duration load_age = this->state.LoadEstimateAge(engine);
  this->state.metrics.ObserveLatency("load_estimate_age_seconds", load_age);
  const bool same_zone = inputs.candidates[decision.index].same_zone;
  this->state.metrics.Add(
      fmt::format("requests_placed_total{{zone=\"{}\",service=\"{}\"}}",
                  same_zone ? "own" : "other", this->service));
  for (const PrefixPart& part : this->decoded.prefix) {
    const PrefixUpdate update{part.key, engine.key};
    if (!this->state.prefixes.Observe(now, update)) continue;
    this->state.prefix_updates.Add(update);
  }
  Logger::Info(
      "request_placed",
      {{"request", this->decoded.id},
       {"engine", engine.record.id},
       {"service", this->service},
       {"workspace", this->workspace},
       {"software_version", engine.record.software_version.value_or("")},
       {"resumes", std::string_view(this->decoded.resumed_request_id)
                       .substr(0, kMaxLoggedIdBytes)},
       {"basis", ToString(decision.basis)},
       {"candidates", FormatCandidates(DecisiveCandidates(inputs, decision))},
       {"affinity", fmt::format("{:x}", inputs.affinity_key)},
       {"spread", fmt::format("{:x}", inputs.request_key)},
       {"load_factor", inputs.load_factor},
       {"copy_from", this->cache_source_address},
       {"shared_tokens", static_cast<std::int64_t>(inputs.shared_tokens)},
       {"mean_load", decision.mean_in_flight},
       {"load_age_ms", ToMilliseconds(this->state.peer_load.OldestAge(now))},
       {"estimate_age_ms", ToMilliseconds(load_age)},
       {"peers", ToInt64(this->state.peer_load.RouterCount())},
       {"configuration",
        static_cast<std::int64_t>(this->routing_table->version)},
       {"era", static_cast<std::int64_t>(this->state.engines.Version().era)},
       {"engines",
        static_cast<std::int64_t>(this->state.engines.Version().number)},
       {"waited_ms", ToMilliseconds(now - this->arrived_at)},
       {"same_zone", same_zone},
       {"zone_rule", ToString(inputs.zone_rule)},
       {"zone_share", plan.zone_share},
       {"sends", static_cast<std::int64_t>(this->sends)}});
}

Awaitable<std::shared_ptr<Engine>> RequestDispatch::WaitForEngine() {
  AdmissionQueue& queue = this->state.Service(this->service).queue;
  const TimePoint now = RuntimeClock::now();
  const bool has_untried_engine = this->HasUntriedEngine();
  std::optional<WaitGrant> grant;
  if (has_untried_engine) {
    const WaitRequest wait_request = {
        HashText(this->workspace), this->priority, this->route->latency_target,
        this->Deadline(), this->TimeUntilUsableEngine()};
    const WaitInputs inputs = queue.Inputs(now, wait_request);
    grant = queue.TryEnqueue(now, wait_request);
    this->LogWait(grant ? "request_waits" : "wait_refused", inputs);
  }
  if (!has_untried_engine) {
    co_await this->FinishWithoutEngine();
    co_return nullptr;
  }
  if (!grant) {
    co_await this->FinishUnplaced("queue_full");
    co_return nullptr;
  }
  this->wait_timer = std::make_unique<Timer>(this->state.executor);
  std::string_view reason = "no_room";
  bool evacuated = false;
  while (RuntimeClock::now() < grant->until &&
         this->interruption == Interruption::kNone) {
    if (this->IsQuarantined()) reason = "quarantined";
    if (this->IsTooLateToBegin()) reason = "shutting_down";
    evacuated = this->IsLeftToEvacuatedZones();
    if (evacuated || reason != "no_room") break;
    if (queue.IsFirst(grant->ticket)) {
      if (auto engine = co_await this->TryPlace()) {
        queue.OnPlaced(RuntimeClock::now(), grant->ticket);
        co_return engine;
      }
    }
    this->wait_timer->expires_after(kCapacityPollInterval);
    error_code ignored;
    co_await this->wait_timer->async_wait(RedirectError(ignored));
  }
  queue.OnAbandoned(grant->ticket);
  if (this->interruption == Interruption::kClientGone) {
    co_await this->FinishForGoneClient("waiting");
  } else if (evacuated) {
    co_await this->FinishWithoutEngine();
  } else {
    co_await this->FinishUnplaced(reason);
  }
  co_return nullptr;
}

bool RequestDispatch::IsQuarantined() {
  RequestQuarantine& quarantine = this->state.quarantine;
  const BlockedKeys* found = quarantine.Find(this->quarantine_keys);
  if (found == nullptr) return false;
  // A probe is a single send.
  if (this->sends > 0) return true;
  if (this->is_probe) return false;
  const std::size_t rank = this->state.RankAmongPeers(found->keys.front());
  this->is_probe = quarantine.TryStartProbe(RuntimeClock::now(), *found, rank,
                                            this->state.RouterCount());
  if (this->is_probe) {
    Logger::Info("quarantine_trial", {{"request", this->decoded.id},
                                      {"parts", FormatPartKeys(found->keys)}});
  }
  return !this->is_probe;
}

Duration RequestDispatch::TimeUntilProbe() const {
  const BlockedKeys* found = this->state.quarantine.Find(this->quarantine_keys);
  if (found == nullptr) return Duration::zero();
  return CrashBlocklist::TimeUntilProbe(RuntimeClock::now(), *found);
}

void RequestDispatch::LogWait(std::string_view event,
                              const WaitInputs& inputs) const {
  Logger::Info(event, {{"request", this->decoded.id},
                       {"service", this->service},
                       {"workspace", this->workspace},
                       {"waiting", ToInt64(inputs.waiting)},
                       {"workspaces", ToInt64(inputs.workspaces)},
                       {"own_waiting", ToInt64(inputs.own_waiting)},
                       {"gap_us", ToMicroseconds(inputs.completion_gap)},
                       {"target_us", ToMicroseconds(inputs.latency_target)},
                       {"time_left_us", ToMicroseconds(inputs.time_left)},
                       {"pause_us", ToMicroseconds(inputs.engine_pause)},
                       {"priority", static_cast<std::int64_t>(inputs.priority)},
                       {"estimate_ms", ToMilliseconds(EstimateWait(inputs))}});
}

bool RequestDispatch::WasTried(const Engine& engine) const {
  return std::find(this->tried_engine_keys.begin(),
                   this->tried_engine_keys.end(),
                   engine.key) != this->tried_engine_keys.end();
}

bool RequestDispatch::MayTry(const Engine& engine) const {
  return this->FitsVersion(engine) && !engine.draining &&
         !this->state.IsEvacuated(engine) && !this->WasTried(engine);
}

Duration RequestDispatch::TimeUntilUsableEngine() const {
  const TimePoint now = RuntimeClock::now();
  std::optional<Duration> shortest;
  for (const auto& engine : this->state.engines.Find(this->service)) {
    if (!this->MayTry(*engine)) continue;
    const Duration denial = this->state.RateOf(*engine, now)
                                ? engine->rate_limit.TimeUntilMayAsk(now)
                                : Duration::zero();
    const Duration pause = std::max(engine->pause.Remaining(now), denial);
    shortest = std::min(shortest.value_or(pause), pause);
  }
  return shortest.value_or(Duration::zero());
}

bool RequestDispatch::HasUntriedEngine() const {
  const auto engines = this->state.engines.Find(this->service);
  return std::any_of(
      engines.begin(), engines.end(),
      [this](const auto& engine) { return this->MayTry(*engine); });
}

bool RequestDispatch::IsLeftToEvacuatedZones() const {
  const auto engines = this->state.engines.Find(this->service);
  const bool has_evacuated = std::any_of(
      engines.begin(), engines.end(),
      [this](const auto& engine) { return this->state.IsEvacuated(*engine); });
  return has_evacuated && !this->HasUntriedEngine();
}

Awaitable<void> RequestDispatch::FinishWithoutEngine() {
  const bool is_unsent_resumption =
      this->IsResumption() && this->required_version && this->sends == 0;
  if (is_unsent_resumption) {
    co_await this->RefuseResumption("no_engine_of_version");
  } else {
    co_await this->FinishUnplaced("no_engine");
  }
}

Awaitable<void> RequestDispatch::FinishUnplaced(std::string_view reason) {
  if (this->stream_started) {
    this->client.EndIncomplete();
    this->LogOutcome("stream_broken", 0, reason);
  } else if (this->error_response) {
    co_await this->RelayErrorResponse(reason);
  } else if (this->may_have_run) {
    co_await this->Fail(http_status::kBadGateway, reason);
  } else {
    co_await this->Refuse(http_status::kServiceUnavailable, reason);
  }
}

}  // namespace dandelionscale::internal
