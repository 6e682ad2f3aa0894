#include "dandelionscale/core/request_plan.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Delay before a client should retry after a transient failure.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

RequestPlan::RequestPlan(Options options, std::shared_ptr<const FleetView> view,
                         RetryBudget* budget)
    : options(std::move(options)), view(std::move(view)), budget(budget) {}

PlanStep RequestPlan::Next(TimePoint now) {
  PlanStep step = this->NextStep(now);
  auto* failure = std::get_if<FailRequest>(&step);
  if (failure != nullptr && this->may_have_run) {
    failure->outcome = RequestOutcome::kUnknown;
  }
  return step;
}

PlanStep RequestPlan::NextStep(TimePoint now) {
  if (this->failure) return *this->failure;
  if (now >= this->options.deadline) {
    return FailRequest{RefusalReason::kDeadlineExceeded,
                       RequestOutcome::kNotRun, kRetryAfter};
  }
  if (this->attempts >= this->options.max_attempts) {
    return FailRequest{this->last_reason, RequestOutcome::kNotRun, kRetryAfter};
  }
  ++this->attempts;
  PlanStep step = this->StepForKnownEngine();
  if (const auto* attempt = std::get_if<TryOwner>(&step)) {
    this->attempted_owner = attempt->owner;
  }
  return step;
}

PlanStep RequestPlan::StepForKnownEngine() {
  if (this->responding_engine) {
    // The engine buffers the response; any router can fetch the rest.
    const std::string& owner =
        this->view->Engine(*this->responding_engine).owner;
    const bool unreachable =
        owner.empty() || this->unreachable_owners.contains(owner);
    return TryOwner{unreachable ? this->options.router : owner,
                    this->responding_engine, true, false};
  }
  if (this->directed_engine) {
    const std::string& owner = this->view->Engine(*this->directed_engine).owner;
    if (!owner.empty() && !this->unreachable_owners.contains(owner)) {
      return TryOwner{owner, this->directed_engine, false, false};
    }
  }
  return this->StepForNextOwner();
}

PlanStep RequestPlan::StepForNextOwner() {
  const std::vector<EngineIndex> ranked =
      this->view->RankByHash(this->options.service, this->options.session_key);
  if (ranked.empty()) {
    return FailRequest{RefusalReason::kNoLiveEngine, RequestOutcome::kNotRun,
                       kRetryAfter};
  }
  bool any_reachable = false;
  const bool full_limit_reached =
      this->full_owners.size() >= this->options.max_full_owners;
  for (EngineIndex index : ranked) {
    const std::string& owner = this->view->Engine(index).owner;
    if (owner.empty() || this->unreachable_owners.contains(owner)) continue;
    any_reachable = true;
    if (full_limit_reached || this->full_owners.contains(owner)) continue;
    if (this->home.empty()) {
      this->home = owner;
      return TryOwner{owner, std::nullopt, false, false};
    }
    if (owner == this->home) return TryOwner{owner, std::nullopt, false, false};
    return TryOwner{owner, index, false, false};
  }
  if (!any_reachable) return ServeWithinLocalShare{};
  if (this->waited || this->unreachable_owners.contains(this->home)) {
    return FailRequest{this->last_reason, RequestOutcome::kNotRun, kRetryAfter};
  }
  // Every owner tried is at its load bound: queue at the home owner.
  this->waited = true;
  return TryOwner{this->home, std::nullopt, false, true};
}

void RequestPlan::OnProgress(EngineIndex engine, std::uint64_t) {
  this->responding_engine = engine;
  this->may_have_run = true;
}

void RequestPlan::OnUnknownOutcome(RefusalReason reason, TimePoint now) {
  this->may_have_run = true;
  if (this->responding_engine) {
    if (!this->budget->TryTake()) {
      this->failure = FailRequest{RefusalReason::kRetryBudgetSpent,
                                  RequestOutcome::kUnknown, kRetryAfter};
    }
    return;
  }
  if (!this->options.idempotent) {
    this->failure = FailRequest{reason, RequestOutcome::kUnknown, Duration{}};
    return;
  }
  if (now >= this->options.deadline || !this->budget->TryTake()) {
    this->failure = FailRequest{RefusalReason::kRetryBudgetSpent,
                                RequestOutcome::kUnknown, kRetryAfter};
  }
}

void RequestPlan::OnAttempt(const AttemptResult& result, TimePoint now) {
  struct Visitor {
    RequestPlan& plan;
    TimePoint now;

    void operator()(const AttemptRedirected& redirected) const {
      this->plan.directed_engine = redirected.engine;
      if (this->plan.attempted_owner == this->plan.home) {
        this->plan.home_redirect = redirected.engine;
      }
    }
    void operator()(const AttemptRefused& refused) const {
      this->plan.last_reason = refused.reason;
      if (refused.engine) this->plan.excluded.push_back(*refused.engine);
      this->plan.directed_engine.reset();
      if (refused.outcome == RequestOutcome::kUnknown) {
        this->plan.OnUnknownOutcome(refused.reason, this->now);
        return;
      }
      if (this->plan.responding_engine) {
        this->plan.failure =
            FailRequest{refused.reason, RequestOutcome::kUnknown, kRetryAfter};
        return;
      }
      if (refused.reason == RefusalReason::kAtLoadBound) {
        // An owner returns this reason only if all its engines are at their
        // load bound.
        this->plan.full_owners.insert(this->plan.attempted_owner);
      }
      if (refused.reason == RefusalReason::kNoLiveEngine && !refused.engine) {
        this->plan.failure =
            FailRequest{refused.reason, RequestOutcome::kNotRun, kRetryAfter};
      }
    }
    void operator()(const AttemptOwnerFailed& unreachable) const {
      this->plan.unreachable_owners.insert(this->plan.attempted_owner);
      this->plan.directed_engine.reset();
      this->plan.last_reason = RefusalReason::kOwnerLost;
      if (unreachable.sent) {
        this->plan.OnUnknownOutcome(RefusalReason::kOwnerLost, this->now);
      }
    }
  };
  std::visit(Visitor{*this, now}, result);
}

}  // namespace dandelionscale
