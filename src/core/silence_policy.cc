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

bool MaySendBackup(const SilentSend& send) {
  // An engine lists a request only once it has begun to run it.
  const bool was_dropped =
      send.report == RunReport::kNotListed && send.events_delivered;
  if (was_dropped) return true;
  if (send.time_left < send.answer_time) return false;
  if (send.may_overlap) return true;
  if (send.report == RunReport::kListed) return false;
  return send.silent_for >= kMaxSoundSilence;
}

}  // namespace dandelionscale
