// RequestDispatch: engines that send nothing for some time.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/engine_reports.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/request/backup_send.h"
#include "dispatch/request/request_dispatch.h"

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
  this->last_report = RunReport::kUnknown;
  this->was_asked = false;
  this->DropBackup();
  const bool may_retry = this->route->IsRepeatable() && this->HasSendLeft();
  this->CheckSilenceAt(may_retry ? this->last_progress_at + this->MaxSilence()
                                 : TimePoint::max());
}

void RequestDispatch::OnResponseProgress() {
  if (!http_status::IsServerError(this->status)) this->OnProgress();
}

Duration RequestDispatch::MaxSilence() const {
  return std::max(kMinSilence, this->route->latency_target * kSilenceFactor);
}

std::uint32_t RequestDispatch::SendsWithUnsent() const {
  std::uint32_t count = this->sends;
  if (this->exchange && !this->exchange->WasSent()) ++count;
  if (this->backup && !this->backup->exchange->WasSent()) ++count;
  return count;
}

bool RequestDispatch::HasSendLeft() const {
  return this->SendsWithUnsent() < this->route->max_attempts;
}

void RequestDispatch::CheckSilenceAt(TimePoint at) {
  this->silence_check_at = at;
  this->ArmDeadline();
}

void RequestDispatch::SuspendSilenceCheck() {
  this->last_progress_at = RuntimeClock::now();
  this->DropBackup();
  this->CheckSilenceAt(TimePoint::max());
}

void RequestDispatch::OnTimeout() {
  if (RuntimeClock::now() >= this->Deadline() + kDeadlineGrace) {
    this->Interrupt(Interruption::kDeadline);
    return;
  }
  this->CheckSilenceAt(TimePoint::max());
  // Between two sends no engine is silent.
  if (!this->exchange) return;
  if (this->backup) {
    this->OnBackupSilent();
    return;
  }
  // What was not sent has nothing to lose.
  if (!this->exchange->WasSent()) {
    this->Interrupt(Interruption::kStalled);
    return;
  }
  boost::asio::co_spawn(
      this->state.executor,
      [weak = this->weak_from_this()] { return HandleSilence(weak); },
      boost::asio::detached);
}

bool RequestDispatch::IsSilent(const Silence& silence) const {
  return this->exchange.get() == silence.exchange &&
         this->last_progress_at == silence.since &&
         this->interruption == Interruption::kNone;
}

// Holds no reference to the request while it waits: the request may end, and
// the router with it.
Awaitable<void> RequestDispatch::HandleSilence(
    std::weak_ptr<RequestDispatch> weak) {
  std::shared_ptr<RequestDispatch> request = weak.lock();
  if (!request || !request->exchange) co_return;
  DispatchState& state = request->state;
  const std::shared_ptr<Engine> engine = request->exchange->SharedEngine();
  const std::string id = request->decoded.id;
  const Silence silence = {request->exchange.get(), request->last_progress_at};
  if (request->BeginsToAsk()) {
    request.reset();
    const RunReport report = co_await state.engine_reports->Find(engine, id);
    request = weak.lock();
    if (!request || !request->IsSilent(silence)) co_return;
    request->last_report = report;
  }
  request.reset();
  const Duration read_grace = kReadGrace;
  co_await SleepFor(read_grace);
  request = weak.lock();
  if (!request || !request->IsSilent(silence)) co_return;
  std::optional<PlacementPlan> plan = request->PlanBackup();
  const TimePoint asked_at = RuntimeClock::now();
  if (plan && state.RateOf(*plan->engine, asked_at)) {
    const std::shared_ptr<Engine> limited = plan->engine;
    plan.reset();
    request.reset();
    const bool permitted = co_await state.permits->Acquire(limited);
    request = weak.lock();
    if (!request || !request->IsSilent(silence)) co_return;
    if (permitted) plan = request->PlanBackup();
    if (plan && plan->engine != limited) plan.reset();
    if (plan) plan->permitted_at = asked_at;
  }
  request->DecideOnSilence(plan);
}

bool RequestDispatch::BeginsToAsk() {
  if (this->route->kind != RouteKind::kStreaming) return false;
  // An engine that has not answered once is not asked when its time is over.
  const Duration silent_for = RuntimeClock::now() - this->last_progress_at;
  const bool is_over = this->was_asked && silent_for >= kMaxSoundSilence &&
                       this->last_report == RunReport::kUnknown;
  if (is_over || !this->PlanBackup()) return false;
  this->was_asked = true;
  return true;
}

void RequestDispatch::DecideOnSilence(
    const std::optional<PlacementPlan>& plan) {
  const TimePoint now = RuntimeClock::now();
  SilentSend send;
  send.silent_for = now - this->last_progress_at;
  send.events_delivered = this->stream_started;
  send.may_overlap = this->route->kind != RouteKind::kStreaming;
  send.report = this->last_report;
  send.time_left = this->Deadline() - now;
  send.answer_time = this->route->latency_target;
  const bool may_decide = send.may_overlap || this->was_asked;
  const bool may_send =
      may_decide && !this->exchange->HasUnreadBytes() && MaySendBackup(send);
  const bool sends_backup = plan && may_send && this->TakeRetry();
  Logger::Info(
      "engine_silent",
      {{"request", this->decoded.id},
       {"engine", this->exchange->ServingEngine().record.id},
       {"silent_ms", ToMilliseconds(send.silent_for)},
       {"events", static_cast<std::int64_t>(this->events.EventCount())},
       {"report", ToString(send.report)},
       {"has_backup_engine", plan.has_value()},
       {"sends_backup", sends_backup},
       {"time_left_ms", ToMilliseconds(send.time_left)}});
  if (sends_backup) {
    this->StartBackup(*plan);
    return;
  }
  TimePoint next = now + kSilenceCheckInterval;
  const TimePoint sound_until = this->last_progress_at + kMaxSoundSilence;
  if (sound_until > now) next = std::min(next, sound_until);
  this->CheckSilenceAt(next);
}

std::optional<PlacementPlan> RequestDispatch::PlanBackup() {
  AttemptHistory history = this->HistoryAfter(AttemptFailure::kNoAnswer);
  history.sends = this->SendsWithUnsent();
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

void RequestDispatch::WatchBackup() {
  if (!this->HasSendLeft()) return;
  const bool is_stream = this->route->kind == RouteKind::kStreaming;
  const Duration patience = is_stream
                                ? std::max(this->MaxSilence(), kMaxSoundSilence)
                                : this->MaxSilence();
  this->CheckSilenceAt(this->backup->begun_at + patience);
}

void RequestDispatch::OnBackupSilent() {
  const EngineExchange& silent = *this->backup->exchange;
  const std::optional<PlacementPlan> plan = this->PlanBackup();
  const bool is_replaceable =
      plan && !this->state.RateOf(*plan->engine, RuntimeClock::now()) &&
      !this->backup->has_answer && !silent.HasUnreadBytes() &&
      this->TakeRetry();
  if (!is_replaceable) {
    this->CheckSilenceAt(RuntimeClock::now() + kSilenceCheckInterval);
    return;
  }
  this->backup->exchange->Cancel();
  this->OnBackupFailed(silent.WasSent() ? AttemptFailure::kNoAnswer
                                        : AttemptFailure::kNotConnected);
  this->StartBackup(*plan);
}

bool RequestDispatch::TakeRetry() {
  FleetRetryBudget& budget = this->state.Service(this->service).budget;
  if (!budget.TryTake(RuntimeClock::now(), this->state.RouterCount())) {
    return false;
  }
  this->state.metrics.Add("retries_total");
  return true;
}

}  // namespace dandelionscale::internal
