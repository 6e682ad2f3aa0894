#ifndef DANDELIONSCALE_CORE_ATTEMPT_POLICY_H_
#define DANDELIONSCALE_CORE_ATTEMPT_POLICY_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

#include "dandelionscale/core/routing_table.h"

namespace dandelionscale {

/// \brief How one send of a request to an engine went wrong.
enum class AttemptFailure {
  kNotConnected,  ///< No byte was sent.
  kRefused,       ///< The engine says that it has not run the request.
  kWrongEngine,   ///< Another engine has the address; it has not run it.
  kEngineError,   ///< The engine ran the request and failed (5xx).
  kNoAnswer,      ///< The connection broke before a whole answer; may have run.
  kStreamBroken,  ///< A stream ended early after events were delivered.
  kBadAnswer,     ///< The bytes are not an answer to this request.
};

inline constexpr std::array kAttemptFailures = {
    AttemptFailure::kNotConnected, AttemptFailure::kRefused,
    AttemptFailure::kWrongEngine,  AttemptFailure::kEngineError,
    AttemptFailure::kNoAnswer,     AttemptFailure::kStreamBroken,
    AttemptFailure::kBadAnswer};

/// \returns the name used in logs.
std::string_view ToString(AttemptFailure failure);
/// \returns true if the request certainly has not run and never will.
bool IsProvablyNotRun(AttemptFailure failure);

/// \brief What is known when a send has failed.
struct AttemptHistory {
  AttemptFailure failure = AttemptFailure::kNoAnswer;
  std::uint32_t sends = 0;        ///< Times the request reached an engine.
  bool any_may_have_run = false;  ///< Any send so far, this one included.
  bool events_delivered = false;  ///< Part of a stream reached the client.
  bool can_resume = false;        ///< The last delivered event is known.
  Duration time_left{};
};

/// \brief Send the request to another engine.
struct SendAgain {
  bool costs_budget = true;  ///< The engine counts it as an extra arrival.
};
/// \brief Tell the client to come back: the request has not run.
struct RefuseNotRun {};
/// \brief Answer 502: the request may have run.
struct AnswerFailed {};
/// \brief Pass on the failure that the engine answered.
struct PassEngineAnswer {};
/// \brief End the stream without its regular end.
struct BreakStream {};
using AttemptDecision = std::variant<SendAgain, RefuseNotRun, AnswerFailed,
                                     PassEngineAnswer, BreakStream>;

/// \returns the name used in logs.
std::string_view ToString(const AttemptDecision& decision);

/// \brief What a route allows.
struct AttemptLimits {
  std::uint32_t max_attempts = 1;
  bool is_repeatable = false;  ///< May run again after it may have run.
};

/// \returns the limits of a route.
AttemptLimits LimitsOf(const Route& route);

/// \brief Decides what follows a failed send, before the retry budget is asked.
AttemptDecision DecideAfterFailure(const AttemptLimits& limits,
                                   const AttemptHistory& history);
/// \brief Decides the final answer when no further send is possible.
AttemptDecision DecideFinal(const AttemptHistory& history);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ATTEMPT_POLICY_H_
