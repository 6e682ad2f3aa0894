#include "dispatch/request/request_dispatch.h"

#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/request/backup_send.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace {

constexpr Duration kConfigurationPollInterval = std::chrono::milliseconds(15);
// A router that has just started loads its configuration within this time.
// Waiting is faster for the client than a refusal and a retry.
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds(200);

std::int64_t ToInt64(std::size_t number) {
  return static_cast<std::int64_t>(number);
}

}  // namespace

RequestDispatch::RequestDispatch(DispatchState& state,
                                 EngineConnector& connector,
                                 ClientConnection& client, HttpRequest request)
    : state(state),
      connector(connector),
      client(client),
      request(std::move(request)),
      decoded(state.codec->DecodeRequest(this->request)),
      routing_table(state.routing_table),
      arrived_at(RuntimeClock::now()),
      // The client's time also passes while this process is paused.
      client_deadline(arrived_at - state.LoopStall(arrived_at) +
                      this->decoded.time_left.value_or(kDefaultClientTimeout)),
      timeout_guard(state.watchdog, [this] { this->OnTimeout(); }) {
  state.requests.insert(this);
  this->events.SkipThrough(this->decoded.resume_after);
}

RequestDispatch::~RequestDispatch() {
  if (this->backup) this->backup->exchange->Cancel();
  this->state.requests.erase(this);
}

Awaitable<void> RequestDispatch::Run() {
  if (!co_await this->Admit()) co_return;
  this->client.SetDisconnectCallback(
      [weak = this->weak_from_this()](ClientConnection::ClientEnd end) {
        if (auto self = weak.lock()) self->OnClientEnd(end);
      });
  this->ArmDeadline();
  if (!co_await this->ResolveOrigin()) co_return;
  while (true) {
    std::shared_ptr<Engine> engine;
    if (this->backup) {
      engine = this->backup->exchange->SharedEngine();
    } else {
      engine = co_await this->Place();
    }
    if (!engine) co_return;
    auto failure = co_await this->Attempt(engine);
    this->OnAttemptEnded(*engine, failure);
    if (!failure) {
      this->ObserveTimes();
      this->LogOutcome("answered", this->status, "");
      co_return;
    }
    co_await this->WaitForBackup();
    if (this->interruption == Interruption::kClientGone) {
      co_await this->FinishForGoneClient(ToString(*failure));
      co_return;
    }
    if (this->interruption == Interruption::kDeadline) {
      if (this->stream_started) {
        this->client.EndIncomplete();
        this->LogOutcome("stream_broken", 0, "deadline");
      } else {
        co_await this->Fail(http_status::kGatewayTimeout, "deadline");
      }
      co_return;
    }
    this->interruption = Interruption::kNone;
    if (this->client_has_ended) {
      const AttemptHistory history = this->HistoryAfter(*failure);
      co_await this->Finish(DecideFinal(history), *failure);
      co_return;
    }
    if (this->backup) continue;
    AttemptDecision decision = this->DecideAfterFailedAttempt(*failure);
    if (!this->MayRetry(*failure, decision)) {
      co_await this->Finish(decision, *failure);
      co_return;
    }
  }
}

Awaitable<void> RequestDispatch::WaitForConfiguration() {
  const TimePoint until = this->arrived_at + kMaxConfigurationWait;
  while (!(this->state.routing_table && this->state.engines_known) &&
         RuntimeClock::now() < until) {
    const Duration pause = kConfigurationPollInterval;
    co_await SleepFor(pause);
  }
  this->routing_table = this->state.routing_table;
}

Awaitable<bool> RequestDispatch::Admit() {
  if (!this->routing_table || !this->state.engines_known) {
    co_await this->WaitForConfiguration();
  }
  if (!this->routing_table) {
    co_await this->Refuse(http_status::kServiceUnavailable, "no_configuration");
    co_return false;
  }
  Admission admission =
      AdmitRequest(*this->routing_table, this->decoded, this->request);
  this->route = admission.route;
  this->workspace = std::move(admission.workspace);
  this->priority = admission.priority;
  if (admission.fault) {
    co_await this->Fail(admission.fault->status, admission.fault->reason);
    co_return false;
  }
  if (RuntimeClock::now() >= this->client_deadline) {
    co_await this->Refuse(http_status::kServiceUnavailable, "expired");
    co_return false;
  }
  this->timeout = this->route->timeout;
  this->request_key = admission.request_key;
  this->affinity_key = admission.affinity_key;
  this->fingerprint = admission.fingerprint;
  this->quarantine_keys = std::move(admission.quarantine_keys);
  this->service = std::move(admission.service);
  this->work =
      EstimateWork(this->state, *this->route, this->decoded, this->arrived_at);
  if (this->arrived_at >= this->state.draining_since) {
    const ShutdownForecast forecast = this->Forecast();
    this->LogForecast(forecast);
    if (forecast.may_outlive_router) {
      co_await this->Refuse(http_status::kServiceUnavailable, "shutting_down");
      co_return false;
    }
  }
  this->state.Service(this->service).budget.OnRequest(this->arrived_at);
  this->state.metrics.Add("requests_total");
  co_return true;
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::Attempt(
    std::shared_ptr<Engine> engine) {
  ++engine->in_flight;
  this->attempt_began_at = RuntimeClock::now();
  this->answer_begun = false;
  std::optional<AttemptFailure> failure;
  if (this->backup) {
    this->TakeBackup();
  } else {
    failure = co_await this->OpenExchange(engine);
  }
  if (!failure) failure = co_await this->RelayResponse();
  this->CheckSilenceAt(TimePoint::max());
  if (failure && this->exchange) co_await this->exchange->FindCause();
  if (failure && !IsProvablyNotRun(*failure)) this->may_have_run = true;
  co_return failure;
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::OpenExchange(
    std::shared_ptr<Engine> engine) {
  this->tried_engine_keys.push_back(engine->key);
  this->exchange = std::make_unique<EngineExchange>(
      this->state, this->connector, engine, this->permitted_at);
  const bool repeatable = this->route->IsRepeatable();
  this->OnProgress();
  auto failure = co_await this->exchange->Connect(
      this->decoded.id,
      repeatable ? ReusePolicy::kAnyIdle : ReusePolicy::kRecentlyIdle);
  if (failure) co_return failure;
  const HttpHeaders headers = this->EncodeHeaders(*engine);
  failure = this->exchange->Send(this->request, headers, this->decoded.id);
  if (this->exchange->WasSent()) ++this->sends;
  if (failure) co_return failure;
  co_return co_await this->exchange->ReadHead(this->request.method,
                                              this->decoded.id);
}

// What is left of the time is stated when the request is sent.
HttpHeaders RequestDispatch::EncodeHeaders(const Engine& engine) const {
  const std::string resume_after =
      this->events.EventCount() > 0 ? this->events.LastId() : std::string();
  return this->state.codec->EncodeEngineRequest(
      this->decoded, {engine.record.id, this->Deadline() - RuntimeClock::now(),
                      this->workspace, this->priority, resume_after,
                      this->cache_source_address});
}

void RequestDispatch::OnLostBeforeAnswer(const Engine& engine) {
  LostSend send;
  send.request_key = this->request_key;
  send.engine = ShortKey(engine.key);
  send.keys = PartKeys(this->decoded.prefix);
  this->state.OnOwnQuarantineChanges(
      this->state.quarantine.OnLost(RuntimeClock::now(), this->service,
                                    std::move(send), this->fingerprint),
      "loss");
}

void RequestDispatch::OnAttemptEnded(Engine& engine,
                                     std::optional<AttemptFailure> failure) {
  const TimePoint now = RuntimeClock::now();
  --engine.in_flight;
  SendEnd end = this->exchange ? EndOf(*this->exchange) : SendEnd();
  end.answer_begun = this->answer_begun;
  end.silent = this->interruption == Interruption::kStalled;
  this->exchange.reset();
  ServiceState& service_state = this->state.Service(this->service);
  service_state.queue.OnCompleted(now);
  const bool ended_by_client_or_deadline =
      this->interruption == Interruption::kClientGone ||
      this->interruption == Interruption::kDeadline;
  if (!failure) {
    service_state.work_time.OnAnswered(now - this->attempt_began_at);
    engine.health.OnSuccess(now);
    return;
  }
  if (ended_by_client_or_deadline) return;
  this->OnSendFailed(engine, end, *failure);
}

RequestDispatch::SendEnd RequestDispatch::EndOf(
    const EngineExchange& exchange) {
  SendEnd end;
  end.connection_lost = exchange.WasLost();
  end.withheld = exchange.WasWithheld();
  end.path_lost = exchange.WasPathLost();
  end.kept_connection = exchange.IsKeptConnection();
  end.connection_error = exchange.ConnectionError();
  return end;
}

void RequestDispatch::OnSendFailed(Engine& engine, const SendEnd& end,
                                   AttemptFailure failure) {
  if (!end.withheld && !end.path_lost) {
    this->RecordFailure(engine, failure);
    const bool was_lost =
        end.connection_lost || failure == AttemptFailure::kNotConnected;
    if (was_lost) this->state.OnEngineLost(engine);
  }
  if (end.connection_lost && !end.path_lost && !end.answer_begun) {
    this->OnLostBeforeAnswer(engine);
  }
  if (failure == AttemptFailure::kWrongEngine) {
    this->state.prefixes.RemoveEngine(engine.key);
  }
  this->state.metrics.Add(fmt::format("attempt_failures_total{{reason=\"{}\"}}",
                                      ToString(failure)));
  Logger::Info(
      "attempt_failed",
      {{"request", this->decoded.id},
       {"engine", engine.record.id},
       {"failure", ToString(failure)},
       {"withheld", end.withheld},
       {"silent", end.silent},
       {"path_lost", end.path_lost},
       {"kept_connection", end.kept_connection},
       {"connection_error", end.connection_error},
       {"sends", static_cast<std::int64_t>(this->sends)},
       {"failure_rate", engine.health.FailureRate()},
       {"time_left_ms", ToMilliseconds(this->Deadline() - RuntimeClock::now())},
       {"events", static_cast<std::int64_t>(this->events.EventCount())},
       {"parts", FormatPartKeys(PartKeys(this->decoded.prefix))},
       {"fingerprint", fmt::format("{:x}", this->fingerprint)}});
}

void RequestDispatch::RecordFailure(Engine& engine, AttemptFailure failure) {
  const TimePoint now = RuntimeClock::now();
  // An engine that asks for a pause or is leaving works as intended.
  if (engine.draining || engine.pause.IsActive(now)) return;
  // A different engine at this address means that this one no longer exists.
  if (failure == AttemptFailure::kNotConnected ||
      failure == AttemptFailure::kWrongEngine) {
    engine.health.OnUnreachable(now);
  } else if (failure != AttemptFailure::kRefused) {
    engine.health.OnFailure(now);
  }
}

AttemptHistory RequestDispatch::HistoryAfter(AttemptFailure failure) const {
  return {failure,
          this->sends,
          this->may_have_run || !IsProvablyNotRun(failure),
          this->stream_started,
          !this->events.LastId().empty(),
          this->Deadline() - RuntimeClock::now()};
}

AttemptDecision RequestDispatch::DecideAfterFailedAttempt(
    AttemptFailure failure) const {
  using std::chrono::microseconds;
  const AttemptLimits limits = LimitsOf(*this->route);
  const AttemptHistory history = this->HistoryAfter(failure);
  const AttemptDecision decision = DecideAfterFailure(limits, history);
  const auto time_left =
      std::chrono::duration_cast<microseconds>(history.time_left);
  Logger::Info(
      "attempt_decided",
      {{"request", this->decoded.id},
       {"decision", ToString(decision)},
       {"failure", ToString(failure)},
       {"sends", static_cast<std::int64_t>(history.sends)},
       {"max_attempts", static_cast<std::int64_t>(limits.max_attempts)},
       {"repeatable", limits.is_repeatable},
       {"may_have_run", history.any_may_have_run},
       {"events_delivered", history.events_delivered},
       {"can_resume", history.can_resume},
       {"time_left_us", static_cast<std::int64_t>(time_left.count())}});
  return decision;
}

bool RequestDispatch::MayRetry(AttemptFailure failure,
                               AttemptDecision& decision) {
  const auto* retry = std::get_if<SendAgain>(&decision);
  if (retry == nullptr) return false;
  if (!retry->costs_budget) return true;
  if (this->TakeRetry()) return true;
  const FleetRetryBudget& budget = this->state.Service(this->service).budget;
  Logger::Info("retry_budget_spent",
               {{"request", this->decoded.id},
                {"service", this->service},
                {"requests", static_cast<std::int64_t>(budget.Requests())},
                {"repeats", static_cast<std::int64_t>(budget.Retries())},
                {"routers", ToInt64(this->state.RouterCount())}});
  decision = DecideFinal({failure, this->sends, this->may_have_run,
                          this->stream_started, false, Duration::zero()});
  return false;
}

void RequestDispatch::ObserveTimes() {
  // A resumed stream says nothing about whole streams, nor an error about
  // answers.
  if (this->IsResumption()) return;
  if (!http_status::IsBelowRedirection(this->status)) return;
  const TimePoint now = RuntimeClock::now();
  ServiceTimes& times = this->state.Service(this->service).times;
  if (!this->work.is_stream) {
    times.OnCallAnswered(now - this->arrived_at);
  } else if (this->events.EventCount() > 0) {
    times.OnStreamAnswered(
        this->work, {this->first_event_at - this->arrived_at,
                     now - this->first_event_at, this->events.EventCount()});
  }
}

ShutdownForecast RequestDispatch::Forecast() const {
  const ShutdownQuestion question = {this->service, this->work,
                                     this->arrived_at, this->OwnDeadline()};
  return ForecastShutdown(this->state, question, RuntimeClock::now());
}

void RequestDispatch::LogForecast(const ShutdownForecast& forecast) const {
  const bool taken = !forecast.may_outlive_router;
  this->state.metrics.Add(
      fmt::format("draining_requests_total{{decision=\"{}\",estimated=\"{}\"}}",
                  taken ? "taken" : "refused", forecast.estimate.has_value()));
  const TimePoint now = RuntimeClock::now();
  const ServiceTimes& times = this->state.Service(this->service).times;
  Logger::Info(
      "request_while_draining",
      {{"request", this->decoded.id},
       {"service", this->service},
       {"taken", taken},
       {"estimate_ms", forecast.estimate ? ToMilliseconds(*forecast.estimate)
                                         : std::int64_t{-1}},
       {"observations", ToInt64(times.Observations(this->work))},
       {"uncached_tokens", ToInt64(this->work.uncached_tokens)},
       {"expected_output", ToInt64(this->work.expected_output.value_or(0))},
       {"max_output", ToInt64(this->work.max_output.value_or(0))},
       {"router_ends_ms", ToMilliseconds(this->state.answers_end_at - now)},
       {"time_left_ms", ToMilliseconds(this->OwnDeadline() - now)}});
}

bool RequestDispatch::IsTooLateToBegin() const {
  if (this->may_have_run || this->stream_started) return false;
  const ShutdownForecast forecast = this->Forecast();
  if (forecast.may_outlive_router) this->LogForecast(forecast);
  return forecast.may_outlive_router;
}

TimePoint RequestDispatch::OwnDeadline() const {
  return std::min(this->client_deadline, this->arrived_at + this->timeout);
}

TimePoint RequestDispatch::Deadline() const {
  if (this->stream_started) return this->OwnDeadline();
  return std::min(this->OwnDeadline(), this->state.answers_end_at);
}

void RequestDispatch::OnRoutingTableChanged(const RoutingTable& new_table) {
  if (this->route == nullptr) return;
  const Route* current_route =
      new_table.FindRoute(this->decoded.host, this->decoded.path);
  if (current_route == nullptr || current_route->name != this->route->name) {
    return;
  }
  // A stream that has begun is not cut off for a shorter timeout.
  if (this->stream_started && current_route->timeout < this->timeout) return;
  if (this->timeout != current_route->timeout) {
    Logger::Info(
        "request_timeout_changed",
        {{"request", this->decoded.id},
         {"configuration", static_cast<std::int64_t>(new_table.version)},
         {"before_ms", ToMilliseconds(this->timeout)},
         {"timeout_ms", ToMilliseconds(current_route->timeout)},
         {"took_ms", ToMilliseconds(RuntimeClock::now() - this->arrived_at)},
         {"sends", static_cast<std::int64_t>(this->sends)}});
  }
  this->timeout = current_route->timeout;
  this->ArmDeadline();
}

void RequestDispatch::OnShutdown() {
  if (this->route != nullptr) this->ArmDeadline();
}

void RequestDispatch::ArmDeadline() {
  this->timeout_guard.Set(
      std::min(this->Deadline() + kDeadlineGrace, this->silence_check_at));
}

void RequestDispatch::OnClientEnd(ClientConnection::ClientEnd end) {
  if (end == ClientConnection::ClientEnd::kReset) this->client.Abort();
  this->client_has_ended = true;
  // What may run only once can't be taken back, so its answer is awaited. All
  // else would occupy an engine for a client that has most likely left.
  const bool is_awaited = end == ClientConnection::ClientEnd::kClosed &&
                          this->route->kind == RouteKind::kNonIdempotent &&
                          this->exchange != nullptr &&
                          this->exchange->WasSent();
  if (!is_awaited) this->Interrupt(Interruption::kClientGone);
}

void RequestDispatch::Interrupt(Interruption cause) {
  const bool is_first = this->interruption == Interruption::kNone ||
                        this->interruption == Interruption::kStalled;
  if (is_first) this->interruption = cause;
  if (cause != Interruption::kStalled) this->DropBackup();
  if (this->exchange) this->exchange->Cancel();
  if (this->wait_timer) this->wait_timer->cancel();
}

}  // namespace dandelionscale::internal
