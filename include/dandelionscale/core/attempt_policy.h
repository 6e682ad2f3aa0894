#ifndef DANDELIONSCALE_CORE_ATTEMPT_POLICY_H_
#define DANDELIONSCALE_CORE_ATTEMPT_POLICY_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

#include "dandelionscale/core/routing_table.h"

namespace dandelionscale {

/// \brief How one send of a request to an engine failed.
enum class AttemptFailure {
  kNotConnected,  ///< No byte was sent.
  kRefused,       ///< The engine answered that it has not run the request.
  kWrongEngine,   ///< Another engine answered; it has not run the request.
  kEngineError,   ///< The engine ran the request and answered 5xx.
  kNoAnswer,      ///< No complete answer was received; may have run.
  kStreamBroken,  ///< A stream ended early, after events were delivered.
  kBadAnswer,     ///< The response is not a valid answer to this request.
};

/// All values of `AttemptFailure`.
inline constexpr std::array kAttemptFailures = {
    AttemptFailure::kNotConnected, AttemptFailure::kRefused,
    AttemptFailure::kWrongEngine,  AttemptFailure::kEngineError,
    AttemptFailure::kNoAnswer,     AttemptFailure::kStreamBroken,
    AttemptFailure::kBadAnswer};

/// \returns the name used in logs and metrics, and parsed by the replay of
///          logged decisions.
std::string_view ToString(AttemptFailure failure);
/// \returns true if the request certainly has not run and never will.
bool IsProvablyNotRun(AttemptFailure failure);

/// \brief State of a request after a failed send.
struct AttemptHistory {
  AttemptFailure failure = AttemptFailure::kNoAnswer;
  std::uint32_t sends = 0;  ///< Sends that reached an engine.
  /// True if any send, the failed one included, may have run.
  bool any_may_have_run = false;
  bool events_delivered = false;  ///< Stream events were sent to the client.
  bool can_resume = false;        ///< The last delivered event has an id.
  Duration time_left{};           ///< Until the request's deadline.
};

/// \brief Send the request to another engine.
struct SendAgain {
  /// Charged to the retry budget, since an engine already received the request.
  bool costs_budget = true;
};
/// \brief Answer 503: the request has not run, and the client may retry.
struct RefuseNotRun {};
/// \brief Answer 502: the request may have run.
struct AnswerFailed {};
/// \brief Forward the error response of the engine.
struct PassEngineAnswer {};
/// \brief Close the client's stream without its regular end.
struct BreakStream {};
using AttemptDecision = std::variant<SendAgain, RefuseNotRun, AnswerFailed,
                                     PassEngineAnswer, BreakStream>;

/// \returns the name used in logs, and compared by the replay of logged
///          decisions.
std::string_view ToString(const AttemptDecision& decision);

/// \brief A route's limits on repeated sends.
struct AttemptLimits {
  std::uint32_t max_attempts = 1;  ///< Limit on sends that reach an engine.
  /// True if a request may run again after it may have run.
  bool is_repeatable = false;
};

/// \returns the limits of a route.
AttemptLimits LimitsOf(const Route& route);

/// \brief Decides the next step after a failed send, without regard to the
///        retry budget: the caller charges `SendAgain` to it afterwards.
AttemptDecision DecideAfterFailure(const AttemptLimits& limits,
                                   const AttemptHistory& history);
/// \brief Decides the final answer when no further send is possible.
AttemptDecision DecideFinal(const AttemptHistory& history);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ATTEMPT_POLICY_H_
