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

/// \brief Step: forward the request to `owner`, which chooses an engine unless
/// `engine` names one.
struct TryOwner {
  std::string owner;
  std::optional<EngineIndex> engine;
  /// Continue the response that `engine` has begun.
  bool resume = false;
  /// The owner may queue the request until a slot is free.
  bool may_wait = false;
};
/// \brief Step: no owner is reachable; choose an engine here, within the local
/// share (see `OwnerCore::PlaceLocalShare`).
struct ServeWithinLocalShare {};
/// \brief Step: end the request with an error.
struct FailRequest {
  RefusalReason reason = RefusalReason::kNone;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  Duration retry_after{};
};
using PlanStep = std::variant<TryOwner, ServeWithinLocalShare, FailRequest>;

/// \brief Result: the owner redirected the attempt to the owner of `engine`.
struct AttemptRedirected {
  EngineIndex engine = 0;
};
/// \brief Result: the attempt failed at the owner or at an engine.
struct AttemptRefused {
  RefusalReason reason = RefusalReason::kNone;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  /// Engine that was tried, if any.
  std::optional<EngineIndex> engine;
  Duration retry_after{};
};
/// \brief Result: the owner gave no complete response (connect failure, broken
/// stream or timeout).
struct AttemptOwnerFailed {
  /// The owner may have received the request and begun to serve it.
  bool sent = false;
};
/// \brief How an attempt ended without a complete response.
using AttemptResult =
    std::variant<AttemptRedirected, AttemptRefused, AttemptOwnerFailed>;

/// \brief Decides the attempts of one request at its entry router, the router
/// that received it from the client.
///
/// A state machine without I/O: `Next()` returns the step to take, and the
/// caller reports how the attempt ended. After an attempt whose outcome is
/// `kUnknown`, the request is sent again only if it is idempotent, or to resume
/// the response at the same engine. Every attempt after an unknown
/// outcome, including a resume, takes a token of the retry budget.
class RequestPlan {
 public:
  struct Options {
    std::string router;  ///< Name of this router.
    ServiceIndex service = 0;
    std::uint64_t session_key = 0;
    bool idempotent = true;
    TimePoint deadline;
    /// Once this many owners have reported that all their engines are at the
    /// load bound, the request is queued at its home owner.
    std::size_t max_full_owners = 6;
    std::uint32_t max_attempts = 16;
  };

  /// \param budget not owned; must outlive the plan.
  RequestPlan(Options options, std::shared_ptr<const FleetView> view,
              RetryBudget* budget);

  /// \returns the step to take now.
  PlanStep Next(TimePoint now);
  /// \brief Processes the result of the attempt that `Next()` started.
  void OnAttempt(const AttemptResult& result, TimePoint now);
  /// \brief Records that `engine` has begun its response. From then on the
  /// request can only be resumed there.
  /// \param offset not used.
  void OnProgress(EngineIndex engine, std::uint64_t offset);

  /// \returns engines on which an attempt failed.
  const std::vector<EngineIndex>& Excluded() const { return this->excluded; }
  std::uint32_t Attempts() const { return this->attempts; }

  /// \returns the home owner, the first owner to which the request was
  /// forwarded. It stores which engines served the session. Empty before the
  /// first attempt.
  const std::string& Home() const { return this->home; }
  /// \returns the engine to which the home owner redirected the request, if
  /// any.
  std::optional<EngineIndex> HomeRedirect() const {
    return this->home_redirect;
  }

 private:
  PlanStep NextStep(TimePoint now);
  PlanStep StepForKnownEngine();
  PlanStep StepForNextOwner();
  void OnUnknownOutcome(RefusalReason reason, TimePoint now);

  Options options;
  std::shared_ptr<const FleetView> view;
  RetryBudget* budget;
  std::uint32_t attempts = 0;
  std::vector<EngineIndex> excluded;
  std::set<std::string, std::less<>> unreachable_owners;
  std::set<std::string, std::less<>> full_owners;
  std::optional<EngineIndex> directed_engine;
  std::string home;
  std::optional<EngineIndex> home_redirect;
  bool waited = false;
  std::optional<EngineIndex> responding_engine;
  std::optional<FailRequest> failure;
  std::string attempted_owner;
  /// An attempt may have run, so that `kNotRun` must not be reported any more.
  bool may_have_run = false;
  RefusalReason last_reason = RefusalReason::kNoLiveEngine;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_REQUEST_PLAN_H_
