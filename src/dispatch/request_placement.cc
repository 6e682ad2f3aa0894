// Where a request goes, and how it waits when no engine has room.
#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/placement_record.h"
#include "dandelionscale/runtime/logger.h"
#include "dispatch/request_dispatch.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

using boost::system::error_code;

namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

// Pause between two looks for room while a request waits.
constexpr Duration kRoomPoll = std::chrono::milliseconds(15);

std::int64_t Count(std::size_t number) {
  return static_cast<std::int64_t>(number);
}

std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

}  // namespace

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
      this->OnPlaced(*engine, *decision, question);
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
  const std::vector<PrefixHolding> holdings =
      this->state.prefixes.Holdings(now, this->decoded.prefix);
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(engines.size());
  for (const auto& engine : engines) {
    PlacementCandidate candidate;
    candidate.engine_key = engine->key;
    candidate.in_flight =
        engine->in_flight + this->state.fleet_load.At(engine->key);
    candidate.max_slots = engine->record.max_slots;
    candidate.held_tokens = TokensAt(holdings, engine->key);
    candidate.same_zone = engine->record.availability_zone ==
                          this->state.options.availability_zone;
    const bool tried = this->WasTried(*engine);
    const bool set_aside = engine->health.IsSetAside(now, failure_rate);
    const bool on_trial =
        engine->health.IsOnTrial(now) && engine->in_flight > 0;
    const bool healthy = ignore_health || (!set_aside && !on_trial);
    candidate.usable = !engine->draining && !tried && healthy;
    candidate.reachable = !set_aside && !tried;
    candidates.push_back(candidate);
  }
  return candidates;
}

void RequestDispatch::OnPlaced(Engine& engine,
                               const PlacementDecision& decision,
                               const PlacementQuestion& question) {
  const TimePoint now = RuntimeClock::now();
  this->state.metrics.ObserveLatency("placement_wait_seconds",
                                     now - this->arrived_at);
  for (const PrefixLink& link : this->decoded.prefix) {
    const PrefixPlacement placement{link.key, engine.key};
    if (!this->state.prefixes.Observe(now, placement)) continue;
    this->state.placement_news.Add(placement);
  }
  Logger::Info(
      "request_placed",
      {{"request", this->decoded.id},
       {"engine", engine.record.id},
       {"service", this->service},
       {"workspace", this->workspace},
       {"basis", ToString(decision.basis)},
       {"candidates", FormatCandidates(PlacementRivals(question, decision))},
       {"affinity", fmt::format("{:x}", question.affinity_key)},
       {"spread", fmt::format("{:x}", question.spread_key)},
       {"load_factor", question.load_factor},
       {"copy_from", this->fetch_from},
       {"shared_tokens", static_cast<std::int64_t>(question.shared_tokens)},
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
  const bool any_usable = this->AnyEngineLeft();
  std::optional<WaitGrant> grant;
  if (any_usable) {
    const WaitTerms terms = {HashText(this->workspace), this->priority,
                             this->route->latency_target, this->Deadline()};
    const WaitInputs inputs = queue.Inputs(now, terms);
    grant = queue.TryWait(now, terms);
    this->LogWait(grant ? "request_waits" : "wait_refused", inputs);
  }
  if (!grant) {
    co_await this->EndUnplaced(any_usable ? "queue_full" : "no_engine");
    co_return nullptr;
  }
  this->wait_timer = std::make_unique<Timer>(this->state.executor);
  while (RuntimeClock::now() < grant->until &&
         this->interruption == Interruption::kNone) {
    if (queue.IsFirst(grant->ticket)) {
      if (auto engine = this->TryPlace()) {
        queue.OnPlaced(RuntimeClock::now(), grant->ticket);
        co_return engine;
      }
    }
    this->wait_timer->expires_after(kRoomPoll);
    error_code ignored;
    co_await this->wait_timer->async_wait(RedirectError(ignored));
  }
  queue.OnAbandoned(grant->ticket);
  if (this->interruption == Interruption::kClientGone) {
    this->LogOutcome("client_gone", 0, "waiting");
  } else {
    co_await this->EndUnplaced("no_room");
  }
  co_return nullptr;
}

void RequestDispatch::LogWait(std::string_view event,
                              const WaitInputs& inputs) const {
  Logger::Info(event, {{"request", this->decoded.id},
                       {"service", this->service},
                       {"workspace", this->workspace},
                       {"waiting", Count(inputs.waiting)},
                       {"workspaces", Count(inputs.workspaces)},
                       {"own_waiting", Count(inputs.own_waiting)},
                       {"gap_us", ToMicroseconds(inputs.completion_gap)},
                       {"target_us", ToMicroseconds(inputs.latency_target)},
                       {"time_left_us", ToMicroseconds(inputs.time_left)},
                       {"priority", static_cast<std::int64_t>(inputs.priority)},
                       {"estimate_ms", ToMilliseconds(EstimateWait(inputs))}});
}

bool RequestDispatch::WasTried(const Engine& engine) const {
  return std::find(this->tried.begin(), this->tried.end(), engine.key) !=
         this->tried.end();
}

bool RequestDispatch::AnyEngineLeft() const {
  const auto engines = this->state.engines.Find(this->service);
  return std::any_of(engines.begin(), engines.end(),
                     [this](const auto& engine) {
                       return !engine->draining && !this->WasTried(*engine);
                     });
}

Awaitable<void> RequestDispatch::EndUnplaced(std::string_view reason) {
  if (this->stream_started) {
    this->client.Break();
    this->LogOutcome("stream_broken", 0, reason);
  } else if (this->failed_answer) {
    co_await this->PassFailedAnswer(reason);
  } else if (this->may_have_run) {
    co_await this->Fail(kBadGateway, reason);
  } else {
    co_await this->Refuse(kUnavailable, reason);
  }
}

}  // namespace dandelionscale::internal
