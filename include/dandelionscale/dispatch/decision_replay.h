/// \file
/// \brief Makes decisions again from what a router's log says of their inputs.
#ifndef DANDELIONSCALE_DISPATCH_DECISION_REPLAY_H_
#define DANDELIONSCALE_DISPATCH_DECISION_REPLAY_H_

#include <string_view>

namespace dandelionscale {

/// \brief What making a logged decision again has shown.
enum class ReplayResult {
  kNoDecision,  ///< The line holds no decision, or not all of its inputs.
  kSame,
  kDifferent,
};

/// \brief Makes the decision of one log line again.
///
/// Knows `request_placed`, `request_waits`, `wait_refused` and
/// `attempt_decided`.
/// \param line a JSON line as a router writes it.
ReplayResult ReplayDecision(std::string_view line);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_DECISION_REPLAY_H_
