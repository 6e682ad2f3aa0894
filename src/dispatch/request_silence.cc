// RequestDispatch: engines that send nothing for some time.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/runtime/logger.h"
#include "dispatch/engine_reports.h"
#include "dispatch/permit_exchange.h"
#include "dispatch/request_dispatch.h"

namespace dandelionscale::internal {

namespace {

// An engine is looked at if it has sent nothing for this multiple of the
// latency target.
constexpr int kSilenceFactor = 2;
constexpr Duration kMinSilence = std::chrono::milliseconds(500);
// Interval at which it is looked at again.
constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(200);

}  // namespace

void RequestDispatch::OnProgress() {
  this->last_progress_at = RuntimeClock::now();
  const bool may_retry =
      this->route->IsRepeatable() && this->attempt < this->route->max_attempts;
  const Duration silence =
      std::max(kMinSilence, this->route->latency_target * kSilenceFactor);
  this->stall_deadline =
      may_retry ? this->last_progress_at + silence : TimePoint::max();
  this->ArmDeadline();
}

void RequestDispatch::OnTimeout() {
  if (RuntimeClock::now() >= this->Deadline() + kDeadlineGrace) {
    this->Interrupt(Interruption::kDeadline);
    return;
  }
  // What was not sent has nothing to lose.
  if (!this->exchange || !this->exchange->WasSent()) {
    this->Interrupt(Interruption::kStalled);
    return;
  }
  this->stall_deadline = TimePoint::max();
  this->ArmDeadline();
  boost::asio::co_spawn(this->state.executor, this->HandleSilence(),
                        boost::asio::detached);
}

Awaitable<void> RequestDispatch::HandleSilence() {
  const auto self = this->shared_from_this();
  const std::shared_ptr<Engine> engine = this->exchange->SharedEngine();
  const EngineExchange* const silent_exchange = this->exchange.get();
  const TimePoint silent_since = this->last_progress_at;
  const auto is_silent = [&] {
    return this->exchange.get() == silent_exchange &&
           this->last_progress_at == silent_since &&
           this->interruption == Interruption::kNone;
  };
  const bool is_stream = this->route->kind == RouteKind::kStreaming;
  SilentSend send;
  send.events_delivered = this->stream_started;
  send.may_overlap = !is_stream;
  std::optional<PlacementPlan> plan = this->PlanSuccessor();
  if (plan && is_stream) {
    send.report =
        co_await this->state.engine_reports->Find(engine, this->decoded.id);
  }
  if (!is_silent()) co_return;
  send.silent_for = RuntimeClock::now() - silent_since;
  const bool may_give_up = plan && MayGiveUp(send);
  if (may_give_up) plan = co_await this->PlanPermittedSuccessor();
  if (!is_silent()) co_return;
  const bool gives_up = may_give_up && plan && this->ReserveSuccessor(*plan);
  Logger::Info(
      "engine_silent",
      {{"request", this->decoded.id},
       {"engine", engine->record.id},
       {"silent_ms", ToMilliseconds(send.silent_for)},
       {"events", static_cast<std::int64_t>(this->events.EventCount())},
       {"report", ToString(send.report)},
       {"has_successor", plan.has_value()},
       {"given_up", gives_up}});
  if (gives_up) {
    this->Interrupt(Interruption::kStalled);
    co_return;
  }
  this->stall_deadline = RuntimeClock::now() + kSilenceCheckInterval;
  this->ArmDeadline();
}

std::optional<RequestDispatch::PlacementPlan> RequestDispatch::PlanSuccessor() {
  AttemptHistory history = this->HistoryAfter(AttemptFailure::kNoAnswer);
  // The current send is counted once its response begins.
  history.sends = this->attempt;
  const AttemptDecision decision =
      DecideAfterFailure(LimitsOf(*this->route), history);
  FleetRetryBudget& budget = this->state.Service(this->service).budget;
  const bool may_send =
      std::holds_alternative<SendAgain>(decision) &&
      budget.HasRetry(RuntimeClock::now(), this->state.RouterCount()) &&
      this->state.quarantine.Find(this->quarantine_keys) == nullptr;
  if (!may_send) return std::nullopt;
  PlacementLimits limits;
  limits.only_healthy = true;
  return this->PlanPlacement(limits);
}

Awaitable<std::optional<RequestDispatch::PlacementPlan>>
RequestDispatch::PlanPermittedSuccessor() {
  std::optional<PlacementPlan> plan = this->PlanSuccessor();
  if (!plan || !plan->engine->rate_limit.IsActive()) co_return plan;
  const bool permitted = co_await this->state.permits->Acquire(plan->engine);
  const Engine& engine = *plan->engine;
  if (!permitted || engine.draining || engine.gone) co_return std::nullopt;
  plan->permitted_at = RuntimeClock::now();
  co_return plan;
}

bool RequestDispatch::ReserveSuccessor(const PlacementPlan& plan) {
  FleetRetryBudget& budget = this->state.Service(this->service).budget;
  if (!budget.TryTake(RuntimeClock::now(), this->state.RouterCount())) {
    return false;
  }
  this->state.metrics.Add("retries_total");
  this->OnPlaced(plan);
  this->successor.emplace(plan.engine);
  return true;
}

}  // namespace dandelionscale::internal
