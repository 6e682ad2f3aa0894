#include "dispatch/request_dispatch.h"

#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

using boost::system::error_code;

namespace {

constexpr unsigned kOkLimit = 300;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServerError = 500;
constexpr unsigned kBadGateway = 502;
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
// Pause between two looks for room while a request waits.
constexpr Duration kWaitPoll = std::chrono::milliseconds(15);
// When clients come back if no configuration or engine is known yet.
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(400);
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
    AttemptDecision decision = DecideAfterFailure(
        *this->route, {*failure, this->sends, this->may_have_run,
                       this->stream_started, !this->events.LastId().empty(),
                       this->Deadline() - RuntimeClock::now()});
    if (!this->MaySendAgain(*failure, decision)) {
      co_await this->Finish(decision, *failure);
      co_return;
    }
  }
}

Awaitable<bool> RequestDispatch::Admit() {
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
  this->spread_key = HashText(this->decoded.id);
  if (!this->decoded.prefix.empty()) {
    this->affinity_key = this->decoded.prefix.back().key;
  }
  this->service =
      ChooseService(*this->route, this->affinity_key != 0 ? this->affinity_key
                                                          : this->spread_key);
  this->state.Service(this->service).budget.OnRequest(this->arrived_at);
  this->state.metrics.Add("requests_total");
  co_return true;
}

Awaitable<std::shared_ptr<Engine>> RequestDispatch::Place() {
  std::shared_ptr<Engine> engine = this->TryPlace();
  if (engine) co_return engine;
  co_return co_await this->WaitForEngine();
}

std::shared_ptr<Engine> RequestDispatch::TryPlace() {
  const auto engines = this->state.engines.Find(this->service);
  PlacementQuestion question;
  question.affinity_key = this->affinity_key;
  question.spread_key = this->spread_key;
  question.load_factor = this->state.options.load_factor;
  if (!this->decoded.prefix.empty()) {
    question.shared_tokens = TotalTokens(this->decoded.prefix);
  }
  // If health leaves no engine, a doubtful one is better than none.
  for (bool ignore_health : {false, true}) {
    const std::vector<PlacementCandidate> candidates =
        this->Candidates(ignore_health);
    question.candidates = candidates;
    if (auto decision = ChooseEngine(question)) {
      std::shared_ptr<Engine> engine = engines[decision->index];
      const auto source = ChooseCopySource(question, decision->index);
      this->fetch_from = source ? engines[*source]->record.address : "";
      this->OnPlaced(*engine, *decision);
      return engine;
    }
  }
  return nullptr;
}

std::vector<PlacementCandidate> RequestDispatch::Candidates(
    bool ignore_health) const {
  const TimePoint now = RuntimeClock::now();
  const auto engines = this->state.engines.Find(this->service);
  double failure_rate = 0;
  for (const auto& engine : engines) {
    failure_rate += engine->health.FailureRate();
  }
  failure_rate /= static_cast<double>(std::max<std::size_t>(1, engines.size()));
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(engines.size());
  for (const auto& engine : engines) {
    PlacementCandidate candidate;
    candidate.engine_key = engine->key;
    candidate.in_flight =
        engine->in_flight + this->state.fleet_load.At(engine->key);
    candidate.max_slots = engine->record.max_slots;
    candidate.held_tokens =
        this->state.prefixes.HeldTokens(now, this->decoded.prefix, engine->key);
    candidate.same_zone = engine->record.availability_zone ==
                          this->state.options.availability_zone;
    const bool tried = std::find(this->tried.begin(), this->tried.end(),
                                 engine->key) != this->tried.end();
    const bool healthy =
        ignore_health ||
        (!engine->health.IsSetAside(now, failure_rate) &&
         !(engine->health.IsOnTrial(now) && engine->in_flight > 0));
    candidate.usable = !engine->draining && !tried && healthy;
    candidate.reachable =
        !engine->health.IsSetAside(now, failure_rate) && !tried;
    candidates.push_back(candidate);
  }
  return candidates;
}

void RequestDispatch::OnPlaced(Engine& engine,
                               const PlacementDecision& decision) {
  const TimePoint now = RuntimeClock::now();
  for (const PrefixLink& link : this->decoded.prefix) {
    const PrefixPlacement placement{link.key, engine.key};
    this->state.prefixes.Apply(now, placement);
    this->state.recent_placements.push_back(placement);
  }
  Logger::Info(
      "request_placed",
      {{"request", this->decoded.id},
       {"engine", engine.record.id},
       {"service", this->service},
       {"workspace", this->workspace},
       {"basis", ToString(decision.basis)},
       {"copy_from", this->fetch_from},
       {"own_load", static_cast<std::int64_t>(engine.in_flight)},
       {"fleet_load",
        static_cast<std::int64_t>(this->state.fleet_load.At(engine.key))},
       {"mean_load", decision.mean_in_flight},
       {"load_age_ms", ToMilliseconds(this->state.fleet_load.OldestAge(now))},
       {"peers", Count(this->state.fleet_load.Routers())},
       {"configuration", static_cast<std::int64_t>(this->table->version)},
       {"engines", static_cast<std::int64_t>(this->state.engines.Version())},
       {"waited_ms", ToMilliseconds(now - this->arrived_at)},
       {"sends", static_cast<std::int64_t>(this->sends)}});
}

Awaitable<std::shared_ptr<Engine>> RequestDispatch::WaitForEngine() {
  AdmissionQueue& queue = this->state.Service(this->service).queue;
  const TimePoint now = RuntimeClock::now();
  const bool any_usable =
      std::any_of(this->state.engines.Find(this->service).begin(),
                  this->state.engines.Find(this->service).end(),
                  [this](const auto& engine) {
                    return !engine->draining &&
                           std::find(this->tried.begin(), this->tried.end(),
                                     engine->key) == this->tried.end();
                  });
  std::optional<WaitGrant> grant;
  if (any_usable) {
    grant = queue.TryWait(now, {HashText(this->workspace), this->priority,
                                this->route->latency_target, this->Deadline()});
  }
  if (!grant) {
    if (this->stream_started) {
      this->client.Break();
      this->LogOutcome("stream_broken", 0, "no_engine");
    } else if (this->may_have_run) {
      co_await this->Fail(kBadGateway, "no_other_engine");
    } else {
      co_await this->Refuse(kUnavailable,
                            any_usable ? "queue_full" : "no_engine");
    }
    co_return nullptr;
  }
  Logger::Info(
      "request_waits",
      {{"request", this->decoded.id},
       {"service", this->service},
       {"waiting", Count(queue.Size())},
       {"estimate_ms",
        ToMilliseconds(queue.EstimatedWait(HashText(this->workspace)))}});
  this->wait_timer = std::make_unique<Timer>(this->state.executor);
  while (RuntimeClock::now() < grant->until &&
         this->interruption == Interruption::kNone) {
    if (queue.IsFirst(grant->ticket)) {
      if (auto engine = this->TryPlace()) {
        queue.OnPlaced(RuntimeClock::now(), grant->ticket);
        co_return engine;
      }
    }
    this->wait_timer->expires_after(kWaitPoll);
    error_code ignored;
    co_await this->wait_timer->async_wait(Redirect(ignored));
  }
  queue.OnAbandoned(grant->ticket);
  if (this->interruption == Interruption::kClientGone) {
    this->LogOutcome("client_gone", 0, "waiting");
  } else if (this->stream_started) {
    this->client.Break();
    this->LogOutcome("stream_broken", 0, "no_room");
  } else if (this->may_have_run) {
    co_await this->Fail(kBadGateway, "no_room");
  } else {
    co_await this->Refuse(kUnavailable, "no_room");
  }
  co_return nullptr;
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
  this->state.metrics.Observe(
      "first_event_seconds",
      std::chrono::duration<double>(RuntimeClock::now() - this->arrived_at)
          .count());
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
  if (*failure == AttemptFailure::kNotConnected) {
    engine.health.OnUnreachable(now);
  } else if (*failure != AttemptFailure::kRefused) {
    engine.health.OnFailure(now);
  }
  if (*failure == AttemptFailure::kWrongEngine) {
    this->state.prefixes.Forget(engine.key);
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
                {"repeats", static_cast<std::int64_t>(budget.Repeats())},
                {"routers", Count(this->state.Routers())}});
  decision = DecideFinal({failure, this->sends, this->may_have_run,
                          this->stream_started, false, Duration::zero()});
  return false;
}

Awaitable<void> RequestDispatch::Finish(const AttemptDecision& decision,
                                        AttemptFailure failure) {
  if (std::holds_alternative<BreakStream>(decision)) {
    this->client.Break();
    this->LogOutcome("stream_broken", 0, ToString(failure));
  } else if (std::holds_alternative<RefuseNotRun>(decision)) {
    co_await this->Refuse(kUnavailable, ToString(failure));
  } else if (this->failed_answer) {
    co_await this->client.SendWhole(this->failed_answer->status,
                                    this->failed_answer->end_to_end,
                                    this->failed_body);
    this->LogOutcome("engine_failed", this->failed_answer->status,
                     ToString(failure));
  } else {
    co_await this->Fail(kBadGateway, ToString(failure));
  }
}

Awaitable<void> RequestDispatch::Refuse(unsigned status,
                                        std::string_view reason) {
  Duration retry_after = kNotReadyRetryAfter;
  if (!this->service.empty()) {
    retry_after =
        this->state.Service(this->service)
            .queue.RetryAfter(HashText(this->workspace), this->state.Random());
  }
  co_await this->SendFailure(status, reason, retry_after);
}

Awaitable<void> RequestDispatch::Fail(unsigned status,
                                      std::string_view reason) {
  co_await this->SendFailure(status, reason, std::nullopt);
}

Awaitable<void> RequestDispatch::SendFailure(
    unsigned status, std::string_view reason,
    std::optional<Duration> retry_after) {
  HttpHeaders headers = this->state.dialect->EncodeFailure(this->decoded.id);
  if (retry_after) {
    headers.Add(
        "Retry-After",
        fmt::format("{:.3f}",
                    std::chrono::duration<double>(*retry_after).count()));
  }
  co_await this->client.SendWhole(status, std::move(headers), "");
  this->LogOutcome(retry_after ? "refused" : "failed", status, reason);
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

void RequestDispatch::LogOutcome(std::string_view outcome, unsigned status,
                                 std::string_view reason) {
  const Duration age = RuntimeClock::now() - this->arrived_at;
  this->state.metrics.Add(
      fmt::format("request_outcomes_total{{outcome=\"{}\",reason=\"{}\"}}",
                  outcome, reason));
  this->state.metrics.Observe("request_seconds",
                              std::chrono::duration<double>(age).count());
  Logger::Info(
      "request_finished",
      {{"request", this->decoded.id},
       {"outcome", outcome},
       {"status", static_cast<std::int64_t>(status)},
       {"reason", reason},
       {"route", this->route == nullptr ? std::string_view()
                                        : std::string_view(this->route->name)},
       {"took_ms", ToMilliseconds(age)},
       {"sends", static_cast<std::int64_t>(this->sends)},
       {"events", static_cast<std::int64_t>(this->events.Events())}});
}

}  // namespace dandelionscale::internal
