/// \file
/// \brief Replays logged decisions of a router from their logged inputs.
#ifndef DANDELIONSCALE_DISPATCH_DECISION_REPLAY_H_
#define DANDELIONSCALE_DISPATCH_DECISION_REPLAY_H_

#include <string_view>

namespace dandelionscale {

/// \brief Result of replaying one logged decision.
enum class ReplayResult {
  kNoDecision,  ///< The line holds no decision, or not all of its inputs.
  kSame,        ///< The replay gives the logged decision.
  kDifferent,   ///< The replay gives another decision.
};

/// \brief Replays the decision of one log line.
///
/// Supports the events `request_placed`, `request_waits`, `wait_refused` and
/// `attempt_decided`.
/// \param line a log line of a router, in JSON.
/// \returns `kNoDecision` also for other events and for malformed lines.
ReplayResult ReplayDecision(std::string_view line);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_DECISION_REPLAY_H_
