#include "dandelionscale/core/silence_policy.h"

namespace dandelionscale {

std::string_view ToString(RunReport report) {
  switch (report) {
    case RunReport::kUnknown:
      return "unknown";
    case RunReport::kListed:
      return "listed";
    case RunReport::kNotListed:
      return "not_listed";
    case RunReport::kMayWait:
      return "may_wait";
  }
  return "unknown";
}

bool MayGiveUp(const SilentSend& send) {
  if (send.time_left < send.answer_time) return false;
  if (send.may_overlap) return true;
  if (send.report == RunReport::kListed) return false;
  // An engine lists a request only once it has begun to run it.
  if (send.report == RunReport::kNotListed && send.events_delivered) {
    return true;
  }
  return send.silent_for >= kMaxSoundSilence;
}

}  // namespace dandelionscale
