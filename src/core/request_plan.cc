#include "dandelionscale/core/request_plan.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// When to come back after a refusal that time cures.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

RequestPlan::RequestPlan(Options options, std::shared_ptr<const FleetView> view,
                         RetryBudget* budget)
    : options(std::move(options)), view(std::move(view)), budget(budget) {}

PlanStep RequestPlan::Next(TimePoint now) {
  PlanStep step = this->NextStep(now);
  auto* give_up = std::get_if<GiveUp>(&step);
  if (give_up != nullptr && this->may_have_run) {
    give_up->outcome = RequestOutcome::kUnknown;
  }
  return step;
}

PlanStep RequestPlan::NextStep(TimePoint now) {
  if (this->final_step) return *this->final_step;
  if (now >= this->options.deadline) {
    return GiveUp{RefusalReason::kDeadlineExceeded, RequestOutcome::kNotRun,
                  kRetryAfter};
  }
  if (this->attempts >= this->options.max_attempts) {
    return GiveUp{this->last_reason, RequestOutcome::kNotRun, kRetryAfter};
  }
  ++this->attempts;
  PlanStep step = this->StepTowardsOwner();
  if (const auto* ask = std::get_if<AskOwner>(&step)) {
    this->asked_owner = ask->owner;
  }
  return step;
}

PlanStep RequestPlan::StepTowardsOwner() const {
  auto owner_of = [&](EngineIndex index) -> const std::string& {
    return this->view->Engine(index).owner;
  };
  auto is_lost = [&](const std::string& owner) {
    return owner.empty() || this->lost_owners.contains(owner);
  };
  if (this->begun) {
    // The engine holds the answer; any router can fetch the rest.
    const std::string& owner = owner_of(*this->begun);
    return AskOwner{is_lost(owner) ? this->options.router : owner, this->begun,
                    true};
  }
  if (this->directed && !is_lost(owner_of(*this->directed))) {
    return AskOwner{owner_of(*this->directed), this->directed, false};
  }
  auto ranked =
      this->view->RankByHash(this->options.service, this->options.session_key);
  if (ranked.empty()) {
    return GiveUp{RefusalReason::kNoLiveEngine, RequestOutcome::kNotRun,
                  kRetryAfter};
  }
  for (EngineIndex index : ranked) {
    if (!is_lost(owner_of(index))) {
      return AskOwner{owner_of(index), std::nullopt, false};
    }
  }
  return ServeWithinLocalShare{};
}

void RequestPlan::OnProgress(EngineIndex engine, std::uint64_t) {
  this->begun = engine;
  this->may_have_run = true;
}

void RequestPlan::ApplyUnknown(RefusalReason reason, TimePoint now) {
  this->may_have_run = true;
  if (this->begun) {
    if (!this->budget->TryTake()) {
      this->final_step = GiveUp{RefusalReason::kRetryBudgetSpent,
                                RequestOutcome::kUnknown, kRetryAfter};
    }
    return;
  }
  if (!this->options.idempotent) {
    this->final_step = GiveUp{reason, RequestOutcome::kUnknown, Duration{}};
    return;
  }
  if (now >= this->options.deadline || !this->budget->TryTake()) {
    this->final_step = GiveUp{RefusalReason::kRetryBudgetSpent,
                              RequestOutcome::kUnknown, kRetryAfter};
  }
}

void RequestPlan::OnAttempt(const AttemptResult& result, TimePoint now) {
  struct Visitor {
    RequestPlan& plan;
    TimePoint now;

    void operator()(const AttemptRedirected& redirected) const {
      this->plan.directed = redirected.engine;
    }
    void operator()(const AttemptRefused& refused) const {
      this->plan.last_reason = refused.reason;
      if (refused.engine) this->plan.excluded.push_back(*refused.engine);
      this->plan.directed.reset();
      if (refused.outcome == RequestOutcome::kUnknown) {
        this->plan.ApplyUnknown(refused.reason, this->now);
        return;
      }
      if (this->plan.begun) {
        this->plan.final_step =
            GiveUp{refused.reason, RequestOutcome::kUnknown, kRetryAfter};
        return;
      }
      const bool final = refused.reason == RefusalReason::kNoLiveEngine ||
                         refused.reason == RefusalReason::kAtLoadBound ||
                         refused.reason == RefusalReason::kWorkspaceShare;
      // An owner that chose freely has asked all its engines; only a refusal of
      // one named engine leaves others to try.
      if (final && !refused.engine) {
        this->plan.final_step =
            GiveUp{refused.reason, RequestOutcome::kNotRun, kRetryAfter};
      }
    }
    void operator()(const AttemptOwnerLost& lost) const {
      this->plan.lost_owners.insert(this->plan.asked_owner);
      this->plan.directed.reset();
      this->plan.last_reason = RefusalReason::kOwnerLost;
      if (lost.sent) {
        this->plan.ApplyUnknown(RefusalReason::kOwnerLost, this->now);
      }
    }
  };
  std::visit(Visitor{*this, now}, result);
}

}  // namespace dandelionscale
