// RequestDispatch: choice of the engine, and waiting while no engine has
// capacity.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

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

std::optional<PlacementPlan> RequestDispatch::PlanPlacement(
    const PlacementLimits& limits) {
  PlacementOutcome outcome = this->Planner().Plan(limits);
  if (outcome.zone_spill) {
    this->state.Service(this->service).zone_spill = *outcome.zone_spill;
  }
  return std::move(outcome.plan);
}

PlacementRequest RequestDispatch::Placement() const {
  PlacementRequest placement;
  placement.service = this->service;
  placement.prefix = this->decoded.prefix;
  placement.affinity_key = this->affinity_key;
  placement.request_key = this->request_key;
  // A request is refused without a route while no configuration is known.
  if (this->route != nullptr) {
    placement.latency_target = this->route->latency_target;
  }
  placement.tried_engine_keys = this->tried_engine_keys;
  placement.required_version = this->required_version;
  return placement;
}

PlacementPlanner RequestDispatch::Planner() const {
  return PlacementPlanner(this->state, this->Placement(), RuntimeClock::now());
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
  const Duration load_age = this->state.LoadEstimateAge(now, engine);
  this->state.metrics.ObserveLatency("load_estimate_age_seconds", load_age);
  const bool same_zone = inputs.candidates[decision.index].same_zone;
  this->state.metrics.Add(
      fmt::format("requests_placed_total{{zone=\"{}\",service=\"{}\"}}",
                  same_zone ? "own" : "other", this->service));
  const UpdateScope scope =
      ScopeOfPrefix(TotalTokens(this->decoded.prefix),
                    this->state.KeepsShortPrefixesInZone());
  for (const PrefixPart& part : this->decoded.prefix) {
    const PrefixUpdate update{part.key, engine.key, false, scope};
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
       {"queue_share", inputs.engine_queue_share},
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
  if (!this->Planner().HasUntriedEngine()) {
    co_await this->FinishWithoutEngine();
    co_return nullptr;
  }
  const TimePoint now = RuntimeClock::now();
  const WaitRequest wait_request = {
      HashText(this->workspace), this->priority, this->route->latency_target,
      this->Deadline(), this->Planner().TimeUntilUsableEngine()};
  const WaitInputs inputs = queue.Inputs(now, wait_request);
  const std::optional<WaitGrant> grant = queue.TryEnqueue(now, wait_request);
  this->LogWait(grant ? "request_waits" : "wait_refused", inputs);
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
    evacuated = this->Planner().IsLeftToEvacuatedZones();
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
