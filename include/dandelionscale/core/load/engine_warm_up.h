#ifndef DANDELIONSCALE_CORE_LOAD_ENGINE_WARM_UP_H_
#define DANDELIONSCALE_CORE_LOAD_ENGINE_WARM_UP_H_

#include <optional>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Whether an engine warms up: it has started a short time ago, or may
///        have, and accepts only a limited rate of requests.
///
/// A warm-up has an end. It can only be extended, and it ends by itself. An
/// engine that could not be reached may have restarted. Until it answers, the
/// end of its warm-up is unknown.
class EngineWarmUp {
 public:
  /// Largest difference between two routers' times of the same end that message
  /// delay explains. An end that is later by no more than this is ignored:
  /// otherwise reports that routers pass on in a circle would extend a warm-up
  /// without limit. A warm-up stays in force for this time beyond its end, so
  /// that no ignored extension makes it end early.
  static constexpr Duration kTolerance = std::chrono::milliseconds(400);

  /// \brief Applies a statement that the engine warms up for `left` from now.
  /// \param warm_up_time how long a warm-up of the service takes; the end less
  ///        this time is the beginning. A warm-up that began after a loss ends
  ///        the loss, since a router has reached the engine in between.
  /// \returns true if the warm-up has begun or was extended.
  bool Extend(TimePoint now, Duration left, Duration warm_up_time);
  /// \brief Records that a router could not reach the engine or lost its
  ///        connections to it.
  /// \param warm_up_time as for `Extend()`. A loss from before the warm-up is
  ///        ignored.
  /// \returns true if peers should be told: of the first loss, and of later
  ///          ones at intervals of some seconds.
  bool OnLost(TimePoint at, Duration warm_up_time);
  /// \brief Records that the engine has answered this router.
  /// \returns true if the warm-up has begun or was extended, because the engine
  ///          had been lost.
  bool OnAnswered(TimePoint now, Duration warm_up_time);

  /// \returns true if the engine warms up or may do so.
  bool IsActive(TimePoint now) const;
  /// \returns the time until the end of the warm-up; zero if there is none.
  Duration Left(TimePoint now) const;
  /// \returns when the engine was last lost, if it has not been reached since.
  std::optional<TimePoint> LostAt() const { return this->lost_at; }

 private:
  TimePoint ends_at{};
  std::optional<TimePoint> lost_at;
  TimePoint told_lost_at{};  ///< The last loss that peers were told of.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_ENGINE_WARM_UP_H_
