#ifndef DANDELIONSCALE_CORE_REASONS_H_
#define DANDELIONSCALE_CORE_REASONS_H_

#include <string_view>

namespace dandelionscale {

/// \brief What is known of a request whose answer is not whole.
enum class RequestOutcome {
  kNotRun,     ///< No engine has run or will run it.
  kCompleted,  ///< It ran and its answer is known.
  kUnknown,    ///< It may have run.
};

/// \brief Why a request was placed on an engine.
enum class PlacementReason {
  kHashed,      ///< First engine by rendezvous hashing of the session.
  kWarm,        ///< The engine served an earlier turn of the session.
  kSpilled,     ///< The preferred engines were at their bound.
  kDirected,    ///< The home owner sent the request here.
  kLocalShare,  ///< No owner was reachable; admitted by the local share.
  kResumed,     ///< Continues an answer that the engine has begun.
  kBaseline,    ///< Chosen by a baseline policy.
};

/// \brief Why a request was refused or given up.
enum class RefusalReason {
  kNone,
  kMalformedRequest,
  kUnknownWorkspace,
  kUnknownService,
  kNoLiveEngine,
  kAtLoadBound,
  kWorkspaceShare,
  kNotOwner,
  kEngineUnreachable,
  kEngineBroke,
  kEngineRefused,
  kOwnerLost,
  kDeadlineExceeded,
  kRetryBudgetSpent,
  kPlatformUnavailable,
  kClaimUnresolved,
  kClaimInProgress,
  kIdempotencyKeyConflict,
  kNotReady,
  kShuttingDown,
};

/// \returns the name used in logs, metrics and problem documents.
std::string_view ToString(RequestOutcome outcome);
std::string_view ToString(PlacementReason reason);
std::string_view ToString(RefusalReason reason);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_REASONS_H_
