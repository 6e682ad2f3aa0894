#include "dispatch/request_dispatch.h"

#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace {

constexpr unsigned kOkLimit = 300;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

// Time a client waits that does not say how long.
constexpr Duration kDefaultTimeLeft = std::chrono::seconds(30);
// The engine's own answer at the deadline may take this long to arrive.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(60);
// Silence after which a request that may be repeated goes to another engine, as
// a multiple of the latency target.
constexpr int kSilenceFactor = 2;
constexpr Duration kShortestSilence = std::chrono::milliseconds(500);
// Pause between two looks for the configuration.
constexpr Duration kWaitPoll = std::chrono::milliseconds(15);
// A router that has just started knows the configuration within this time,
// sooner than a refused client would be back.
constexpr Duration kConfigurationWait = std::chrono::milliseconds(200);
// Answers that are passed on whole are no larger than this.
constexpr std::size_t kWholeAnswerBytes = 16 * 1024 * 1024;

std::int64_t Count(std::size_t number) {
  return static_cast<std::int64_t>(number);
}

}  // namespace

RequestDispatch::RequestDispatch(DispatchState& state, EnginePool& pool,
                                 ClientConnection& client, HttpRequest request)
    : state(state),
      pool(pool),
      client(client),
      request(std::move(request)),
      decoded(state.dialect->DecodeRequest(this->request)),
      table(state.table),
      arrived_at(RuntimeClock::now()),
      client_deadline(arrived_at +
                      this->decoded.time_left.value_or(kDefaultTimeLeft)),
      guard(state.watchdog, [this] { this->OnExpiry(); }) {
  state.requests.insert(this);
}

RequestDispatch::~RequestDispatch() { this->state.requests.erase(this); }

Awaitable<void> RequestDispatch::Run() {
  if (!co_await this->Admit()) co_return;
  this->client.WatchGone([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) self->Interrupt(Interruption::kClientGone);
  });
  this->ArmDeadline();
  while (true) {
    std::shared_ptr<Engine> engine = co_await this->Place();
    if (!engine) co_return;
    auto failure = co_await this->Attempt(engine);
    this->OnAttemptEnded(*engine, failure);
    if (!failure) {
      this->LogOutcome("answered", this->status, "");
      co_return;
    }
    if (this->interruption == Interruption::kClientGone) {
      this->LogOutcome("client_gone", 0, ToString(*failure));
      co_return;
    }
    if (this->interruption == Interruption::kDeadline) {
      if (this->stream_started) {
        this->client.Break();
        this->LogOutcome("stream_broken", 0, "deadline");
      } else {
        co_await this->Fail(kGatewayTimeout, "deadline");
      }
      co_return;
    }
    this->interruption = Interruption::kNone;
    AttemptDecision decision = this->DecideNext(*failure);
    if (!this->MaySendAgain(*failure, decision)) {
      co_await this->Finish(decision, *failure);
      co_return;
    }
  }
}

Awaitable<void> RequestDispatch::AwaitConfiguration() {
  const TimePoint until = this->arrived_at + kConfigurationWait;
  while (!(this->state.table && this->state.engines_known) &&
         RuntimeClock::now() < until) {
    const Duration pause = kWaitPoll;
    co_await SleepFor(pause);
  }
  this->table = this->state.table;
}

Awaitable<bool> RequestDispatch::Admit() {
  if (!this->table || !this->state.engines_known) {
    co_await this->AwaitConfiguration();
  }
  if (!this->table) {
    co_await this->Refuse(kUnavailable, "no_configuration");
    co_return false;
  }
  this->route = this->table->FindRoute(this->decoded.host, this->decoded.path);
  if (this->route == nullptr) {
    co_await this->Fail(kNotFound, "no_route");
    co_return false;
  }
  this->priority = this->route->priority;
  if (this->table->keys_required && !this->route->is_public) {
    const WorkspaceEntry* entry = this->table->FindWorkspace(this->decoded.key);
    if (entry == nullptr) {
      co_await this->Fail(kUnauthorized, "unknown_key");
      co_return false;
    }
    this->workspace = entry->name;
    this->priority = entry->priority.value_or(this->priority);
  }
  if (this->decoded.id.empty()) {
    co_await this->Fail(kBadRequest, "no_request_id");
    co_return false;
  }
  this->timeout = this->route->timeout;
  this->request_key = HashText(this->decoded.id);
  if (!this->decoded.prefix.empty()) {
    this->affinity_key = this->decoded.prefix.back().key;
  }
  this->service =
      ChooseService(*this->route, this->affinity_key != 0 ? this->affinity_key
                                                          : this->request_key);
  this->state.Service(this->service).budget.OnRequest(this->arrived_at);
  this->state.metrics.Add("requests_total");
  co_return true;
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::Attempt(
    std::shared_ptr<Engine> engine) {
  ++engine->in_flight;
  this->attempt = this->sends + 1;
  this->tried.push_back(engine->key);
  this->exchange =
      std::make_unique<EngineExchange>(this->state, this->pool, engine);
  const std::string resume_after = this->events.LastId();
  const HttpHeaders headers = this->state.dialect->EncodeSend(
      this->decoded,
      {engine->record.id, this->Deadline() - RuntimeClock::now(),
       this->workspace, this->priority, resume_after, this->fetch_from});
  const bool repeatable = this->route->IsRepeatable();
  this->ArmSilence();
  auto failure = co_await this->exchange->Open(
      this->request, headers, this->decoded.id,
      repeatable ? ReuseCare::kUsual : ReuseCare::kNotRepeatable);
  if (this->exchange->WasSent()) ++this->sends;
  if (!failure) failure = co_await this->RelayAnswer();
  this->silence_deadline = TimePoint::max();
  this->ArmDeadline();
  if (failure && !IsProvablyNotRun(*failure)) this->may_have_run = true;
  co_return failure;
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::RelayAnswer() {
  const EngineAnswer& answer = this->exchange->Answer();
  this->status = answer.status;
  if (answer.wrong_engine) co_return AttemptFailure::kWrongEngine;
  if (answer.not_run) co_return AttemptFailure::kRefused;
  const bool is_stream = this->route->kind == RouteKind::kStreaming &&
                         this->exchange->IsEventStream() &&
                         answer.status < kOkLimit;
  if (is_stream) co_return co_await this->RelayEvents();
  co_return co_await this->RelayWhole();
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::RelayWhole() {
  std::string body;
  while (true) {
    auto piece = co_await this->exchange->ReadPiece();
    if (piece.has_error()) co_return AttemptFailure::kNoAnswer;
    if (piece.value().empty()) break;
    body += piece.value();
    if (body.size() > kWholeAnswerBytes) co_return AttemptFailure::kBadAnswer;
  }
  const EngineAnswer answer = this->exchange->Answer();
  this->exchange.reset();
  const bool failed = answer.status >= kServerError;
  if (failed || this->stream_started) {
    this->failed_answer = answer;
    this->failed_body = std::move(body);
    co_return AttemptFailure::kEngineError;
  }
  this->silence_deadline = TimePoint::max();
  co_await this->client.SendWhole(answer.status, answer.end_to_end, body);
  co_return std::nullopt;
}

Awaitable<std::optional<AttemptFailure>> RequestDispatch::RelayEvents() {
  if (this->stream_started) this->events.OnResumed();
  while (true) {
    auto piece = co_await this->exchange->ReadPiece();
    if (piece.has_error()) {
      co_return this->stream_started ? AttemptFailure::kStreamBroken
                                     : AttemptFailure::kNoAnswer;
    }
    const bool at_end = piece.value().empty();
    const std::string ready =
        at_end ? this->events.TakeRest() : this->events.Take(piece.value());
    if (!ready.empty() || (at_end && !this->stream_started)) {
      if (!co_await this->DeliverEvents(ready)) {
        this->Interrupt(Interruption::kClientGone);
        co_return AttemptFailure::kStreamBroken;
      }
    }
    if (at_end) break;
    this->ArmSilence();
  }
  this->exchange.reset();
  co_await this->client.EndStream();
  co_return std::nullopt;
}

Awaitable<bool> RequestDispatch::DeliverEvents(const std::string& events) {
  if (this->stream_started) co_return co_await this->client.SendPiece(events);
  this->stream_started = true;
  this->state.metrics.ObserveLatency("first_event_seconds",
                                     RuntimeClock::now() - this->arrived_at);
  co_return co_await this->client.StartStream(
      this->exchange->Answer().status, this->exchange->Answer().end_to_end,
      events);
}

void RequestDispatch::OnAttemptEnded(Engine& engine,
                                     std::optional<AttemptFailure> failure) {
  const TimePoint now = RuntimeClock::now();
  --engine.in_flight;
  this->exchange.reset();
  this->state.Service(this->service).queue.OnCompleted(now);
  const bool ours = this->interruption == Interruption::kClientGone ||
                    this->interruption == Interruption::kDeadline;
  if (!failure) {
    engine.health.OnSuccess(now);
    return;
  }
  if (ours) return;
  // Another engine at the address means that this one has ended.
  if (*failure == AttemptFailure::kNotConnected ||
      *failure == AttemptFailure::kWrongEngine) {
    engine.health.OnUnreachable(now);
  } else if (*failure != AttemptFailure::kRefused) {
    engine.health.OnFailure(now);
  }
  if (*failure == AttemptFailure::kWrongEngine) {
    this->state.prefixes.RemoveEngine(engine.key);
  }
  this->state.metrics.Add(fmt::format("attempt_failures_total{{reason=\"{}\"}}",
                                      ToString(*failure)));
  Logger::Info("attempt_failed",
               {{"request", this->decoded.id},
                {"engine", engine.record.id},
                {"failure", ToString(*failure)},
                {"silent", this->interruption == Interruption::kSilence},
                {"sends", static_cast<std::int64_t>(this->sends)},
                {"failure_rate", engine.health.FailureRate()},
                {"time_left_ms", ToMilliseconds(this->Deadline() - now)},
                {"events", static_cast<std::int64_t>(this->events.Events())}});
}

AttemptDecision RequestDispatch::DecideNext(AttemptFailure failure) const {
  using std::chrono::microseconds;
  const auto time_left = std::chrono::duration_cast<microseconds>(
      this->Deadline() - RuntimeClock::now());
  const AttemptLimits limits = LimitsOf(*this->route);
  const AttemptHistory history = {failure,
                                  this->sends,
                                  this->may_have_run,
                                  this->stream_started,
                                  !this->events.LastId().empty(),
                                  time_left};
  const AttemptDecision decision = DecideAfterFailure(limits, history);
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

bool RequestDispatch::MaySendAgain(AttemptFailure failure,
                                   AttemptDecision& decision) {
  const auto* again = std::get_if<SendAgain>(&decision);
  if (again == nullptr) return false;
  if (!again->costs_budget) return true;
  FleetRetryBudget& budget = this->state.Service(this->service).budget;
  if (budget.TryTake(RuntimeClock::now(), this->state.Routers())) {
    this->state.metrics.Add("retries_total");
    return true;
  }
  Logger::Info("retry_budget_spent",
               {{"request", this->decoded.id},
                {"service", this->service},
                {"requests", static_cast<std::int64_t>(budget.Requests())},
                {"repeats", static_cast<std::int64_t>(budget.Retries())},
                {"routers", Count(this->state.Routers())}});
  decision = DecideFinal({failure, this->sends, this->may_have_run,
                          this->stream_started, false, Duration::zero()});
  return false;
}

TimePoint RequestDispatch::Deadline() const {
  return std::min(this->client_deadline, this->arrived_at + this->timeout);
}

void RequestDispatch::OnTableChanged(const RoutingTable& newest) {
  if (this->route == nullptr) return;
  const Route* now_in_force =
      newest.FindRoute(this->decoded.host, this->decoded.path);
  if (now_in_force == nullptr || now_in_force->name != this->route->name) {
    return;
  }
  this->timeout = now_in_force->timeout;
  this->ArmDeadline();
}

void RequestDispatch::ArmDeadline() {
  this->guard.Set(
      std::min(this->Deadline() + kDeadlineSlack, this->silence_deadline));
}

void RequestDispatch::ArmSilence() {
  const bool may_move =
      this->route->IsRepeatable() && this->attempt < this->route->max_attempts;
  this->silence_deadline =
      may_move ? RuntimeClock::now() +
                     std::max(kShortestSilence,
                              this->route->latency_target * kSilenceFactor)
               : TimePoint::max();
  this->ArmDeadline();
}

void RequestDispatch::OnExpiry() {
  const bool deadline =
      RuntimeClock::now() >= this->Deadline() + kDeadlineSlack;
  this->Interrupt(deadline ? Interruption::kDeadline : Interruption::kSilence);
}

void RequestDispatch::Interrupt(Interruption why) {
  if (this->interruption == Interruption::kNone) this->interruption = why;
  if (this->exchange) this->exchange->Cancel();
  if (this->wait_timer) this->wait_timer->cancel();
}

}  // namespace dandelionscale::internal
