#ifndef DANDELIONSCALE_CORE_REASONS_H_
#define DANDELIONSCALE_CORE_REASONS_H_

#include <string_view>

namespace dandelionscale {

/// \brief Whether a request has run, as far as the router can tell.
enum class RequestOutcome {
  kNotRun,     ///< No engine has run or will run it.
  kCompleted,  ///< It ran and its response is complete.
  kUnknown,    ///< It may have run; the response is missing or incomplete.
};

/// \brief Why a request was placed on an engine.
enum class PlacementReason {
  kHashed,    ///< First engine by rendezvous hashing of the session.
  kWarm,      ///< The engine served an earlier turn of the session.
  kSpilled,   ///< The preferred engines were at their load bound.
  kDirected,  ///< The entry router named the engine, after a redirect or spill.
  kLocalShare,  ///< No owner was reachable; admitted within the local share.
  kResumed,     ///< Continues a response that the engine has begun.
  kBaseline,    ///< Chosen by a baseline policy.
};

/// \brief Why a request failed.
enum class RefusalReason {
  kNone,
  kMalformedRequest,
  kUnknownWorkspace,
  kUnknownService,
  kNoLiveEngine,
  kAtLoadBound,
  kWorkspaceShare,
  kNotOwner,
  /// The engine is down, or the request could not be sent to it.
  kEngineUnreachable,
  /// The request was sent, but the engine's response is missing or incomplete.
  kEngineBroke,
  /// The engine reported overload without running the request.
  kEngineRefused,
  /// The owner gave no complete response.
  kOwnerLost,
  kDeadlineExceeded,
  kRetryBudgetSpent,
  kPlatformUnavailable,
  /// The request's idempotency key has been claimed, but whether the claimed
  /// call ran could not be determined.
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
