#ifndef DANDELIONSCALE_CORE_SILENCE_POLICY_H_
#define DANDELIONSCALE_CORE_SILENCE_POLICY_H_

#include <string_view>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Most sound engines that fall silent go on within this time.
inline constexpr Duration kMaxSoundSilence = std::chrono::milliseconds(1600);

/// \brief What an engine reports of one request.
enum class RunReport {
  kUnknown,    ///< Not asked, no answer, or the engine can't be asked.
  kListed,     ///< The engine works on the request.
  kNotListed,  ///< It works on others, or on none, and none waits.
  /// It works on others, and some wait: this one may have been preempted, for
  /// which an engine has as long as for any silence.
  kMayWait,
};

/// \returns the name used in logs.
std::string_view ToString(RunReport report);

/// \brief A send whose engine has sent nothing for some time, while its
///        connection is open.
struct SilentSend {
  Duration silent_for{};
  /// Stream events were sent to the client, so that only an engine that goes on
  /// behind the last one can take over.
  bool events_delivered = false;
  /// A second run at the same time does no harm.
  bool may_overlap = false;
  RunReport report = RunReport::kUnknown;
  Duration time_left = Duration::max();  ///< Until the request's deadline.
  /// In which another engine is expected to begin its answer.
  Duration answer_time{};
};

/// \returns true if the request may be sent to another engine too, provided
///          that attempts and retry budget are left and an engine has room.
///
/// The connection to the silent engine stays open until the other one has begun
/// an answer: what a sound engine works on is lost with its connection.
bool MaySendBackup(const SilentSend& send);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_SILENCE_POLICY_H_
