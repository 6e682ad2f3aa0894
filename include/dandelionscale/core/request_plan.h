#ifndef DANDELIONSCALE_CORE_REQUEST_PLAN_H_
#define DANDELIONSCALE_CORE_REQUEST_PLAN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dandelionscale/core/fleet_view.h"
#include "dandelionscale/core/reasons.h"
#include "dandelionscale/core/retry_budget.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Ask `owner` to place the request, or to serve it on `engine`.
struct AskOwner {
  std::string owner;
  std::optional<EngineIndex> engine;
  bool resume = false;
  /// The owner may let the request wait for a slot.
  bool may_wait = false;
};
/// \brief No owner can be reached: admit within the local share.
struct ServeWithinLocalShare {};
/// \brief End the request now.
struct GiveUp {
  RefusalReason reason = RefusalReason::kNone;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  Duration retry_after{};
};
using PlanStep = std::variant<AskOwner, ServeWithinLocalShare, GiveUp>;

/// \brief How an attempt ended without a whole answer.
struct AttemptRedirected {
  EngineIndex engine = 0;
};
struct AttemptRefused {
  RefusalReason reason = RefusalReason::kNone;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::optional<EngineIndex> engine;
  Duration retry_after{};
};
/// \brief The owner did not answer. `sent` tells whether it may have begun.
struct AttemptOwnerLost {
  bool sent = false;
};
using AttemptResult =
    std::variant<AttemptRedirected, AttemptRefused, AttemptOwnerLost>;

/// \brief Decides the attempts of one request at its entry router.
///
/// A pure state machine: `Next()` gives the step to take, and the caller
/// reports how the attempt ended. Rules: an attempt whose outcome is `kUnknown`
/// is followed by another only if the request is idempotent, or by resuming the
/// same engine; every retry that may run twice spends the retry budget.
class RequestPlan {
 public:
  struct Options {
    std::string router;
    ServiceIndex service = 0;
    std::uint64_t session_key = 0;
    bool idempotent = true;
    TimePoint deadline;
    /// Owners found at their bound before the request waits at its home.
    std::size_t full_owners_until_wait = 6;
    std::uint32_t max_attempts = 16;
  };

  RequestPlan(Options options, std::shared_ptr<const FleetView> view,
              RetryBudget* budget);

  /// \returns what to do now.
  PlanStep Next(TimePoint now);
  void OnAttempt(const AttemptResult& result, TimePoint now);
  /// \brief The answer has begun on `engine` and reached `offset`.
  void OnProgress(EngineIndex engine, std::uint64_t offset);

  const std::vector<EngineIndex>& Excluded() const { return this->excluded; }
  std::uint32_t Attempts() const { return this->attempts; }

  /// \brief The owner that remembers the session; empty if none was asked.
  const std::string& Home() const { return this->home; }
  /// \brief The engine to which the home owner sent the request, if any.
  std::optional<EngineIndex> HomeChoice() const { return this->home_choice; }

 private:
  PlanStep NextStep(TimePoint now);
  PlanStep StepTowardsOwner();
  PlanStep StepAmongOwners();
  void ApplyUnknown(RefusalReason reason, TimePoint now);

  Options options;
  std::shared_ptr<const FleetView> view;
  RetryBudget* budget;
  std::uint32_t attempts = 0;
  std::vector<EngineIndex> excluded;
  std::set<std::string, std::less<>> lost_owners;
  std::set<std::string, std::less<>> full_owners;
  std::optional<EngineIndex> directed;
  std::string home;
  std::optional<EngineIndex> home_choice;
  bool waited = false;
  std::optional<EngineIndex> begun;
  std::optional<GiveUp> final_step;
  std::string asked_owner;
  /// Some attempt may have run, so that "not run" must not be told any more.
  bool may_have_run = false;
  RefusalReason last_reason = RefusalReason::kNoLiveEngine;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_REQUEST_PLAN_H_
