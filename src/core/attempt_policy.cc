#include "dandelionscale/core/attempt_policy.h"

namespace dandelionscale {
namespace {

// With less time left, another engine could not answer before the deadline.
constexpr Duration kMinTimeToSend = std::chrono::milliseconds(30);

}  // namespace

std::string_view ToString(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotConnected:
      return "not_connected";
    case AttemptFailure::kRefused:
      return "refused";
    case AttemptFailure::kWrongEngine:
      return "wrong_engine";
    case AttemptFailure::kEngineError:
      return "engine_error";
    case AttemptFailure::kNoAnswer:
      return "no_answer";
    case AttemptFailure::kStreamBroken:
      return "stream_broken";
    case AttemptFailure::kBadAnswer:
      return "bad_answer";
  }
  return "no_answer";
}

bool IsProvablyNotRun(AttemptFailure failure) {
  return failure == AttemptFailure::kNotConnected ||
         failure == AttemptFailure::kRefused ||
         failure == AttemptFailure::kWrongEngine;
}

std::string_view ToString(const AttemptDecision& decision) {
  struct Name {
    std::string_view operator()(SendAgain) const { return "send_again"; }
    std::string_view operator()(RefuseNotRun) const { return "refuse"; }
    std::string_view operator()(AnswerFailed) const { return "answer_failed"; }
    std::string_view operator()(PassEngineAnswer) const {
      return "pass_engine_answer";
    }
    std::string_view operator()(BreakStream) const { return "break_stream"; }
  };
  return std::visit(Name(), decision);
}

AttemptLimits LimitsOf(const Route& route) {
  return {static_cast<std::uint32_t>(route.max_attempts), route.IsRepeatable()};
}

AttemptDecision DecideAfterFailure(const AttemptLimits& limits,
                                   const AttemptHistory& history) {
  if (history.time_left < kMinTimeToSend) return DecideFinal(history);
  if (history.sends >= limits.max_attempts) return DecideFinal(history);
  if (history.any_may_have_run && !limits.is_repeatable) {
    return DecideFinal(history);
  }
  if (history.events_delivered && !history.can_resume) {
    return DecideFinal(history);
  }
  // A send that reached no engine is no repeat of the request.
  const bool is_first_send =
      history.failure == AttemptFailure::kNotConnected && history.sends == 0;
  return SendAgain{!is_first_send};
}

AttemptDecision DecideFinal(const AttemptHistory& history) {
  if (history.events_delivered) return BreakStream{};
  if (history.failure == AttemptFailure::kEngineError) {
    return PassEngineAnswer{};
  }
  if (!history.any_may_have_run) return RefuseNotRun{};
  return AnswerFailed{};
}

}  // namespace dandelionscale
