#include "dandelionscale/core/reasons.h"

namespace dandelionscale {

std::string_view ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kCompleted:
      return "completed";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kHashed:
      return "hashed";
    case PlacementReason::kWarm:
      return "warm";
    case PlacementReason::kSpilled:
      return "spilled";
    case PlacementReason::kDirected:
      return "directed";
    case PlacementReason::kLocalShare:
      return "local_share";
    case PlacementReason::kResumed:
      return "resumed";
    case PlacementReason::kBaseline:
      return "baseline";
  }
  return "hashed";
}

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kMalformedRequest:
      return "malformed_request";
    case RefusalReason::kUnknownWorkspace:
      return "unknown_workspace";
    case RefusalReason::kUnknownService:
      return "unknown_service";
    case RefusalReason::kNoLiveEngine:
      return "no_live_engine";
    case RefusalReason::kAtLoadBound:
      return "at_load_bound";
    case RefusalReason::kWorkspaceShare:
      return "workspace_share";
    case RefusalReason::kNotOwner:
      return "not_owner";
    case RefusalReason::kEngineUnreachable:
      return "engine_unreachable";
    case RefusalReason::kEngineBroke:
      return "engine_broke";
    case RefusalReason::kEngineRefused:
      return "engine_refused";
    case RefusalReason::kOwnerLost:
      return "owner_lost";
    case RefusalReason::kDeadlineExceeded:
      return "deadline_exceeded";
    case RefusalReason::kRetryBudgetSpent:
      return "retry_budget_spent";
    case RefusalReason::kPlatformUnavailable:
      return "platform_unavailable";
    case RefusalReason::kClaimUnresolved:
      return "claim_unresolved";
    case RefusalReason::kClaimInProgress:
      return "claim_in_progress";
    case RefusalReason::kIdempotencyKeyConflict:
      return "idempotency_key_conflict";
    case RefusalReason::kNotReady:
      return "not_ready";
    case RefusalReason::kShuttingDown:
      return "shutting_down";
  }
  return "none";
}

}  // namespace dandelionscale
