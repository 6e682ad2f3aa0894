#ifndef DANDELIONSCALE_RUNTIME_RUNTIME_CLOCK_H_
#define DANDELIONSCALE_RUNTIME_RUNTIME_CLOCK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>

namespace dandelionscale {

/// \brief Monotonic clock of the whole program; tests pause and advance it.
///
/// Meets the standard Clock requirements. While paused, `now()` moves only by
/// `Advance()`, and timers over this clock follow it.
class RuntimeClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;  // NOLINT: name set by the standard

  /// \returns the current instant.
  static time_point now() noexcept;
  /// \brief Stops the clock at the current instant.
  static void Pause();
  /// \brief Lets the clock run on from the instant at which it stands.
  static void Resume();
  /// \brief Moves the clock forward by `step`; meant for a paused clock.
  static void Advance(duration step);
  /// \returns true while the clock is paused.
  static bool IsPaused() noexcept;
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

/// \brief Lets Asio timers poll a paused clock.
struct RuntimeWaitTraits {
  /// \returns how long the reactor may sleep before it checks the timer again.
  static Duration to_wait_duration(const Duration& remaining);
  /// \returns the same for an absolute expiry.
  static Duration to_wait_duration(const TimePoint& expiry);
};

/// \brief Timer over `RuntimeClock`.
using Timer =
    boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

template <typename T>
using Awaitable = boost::asio::awaitable<T>;

/// \brief Suspends the calling coroutine for `duration`.
Awaitable<void> SleepFor(Duration duration);

/// \returns `duration` in whole milliseconds, rounded down.
std::int64_t ToMilliseconds(Duration duration);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_RUNTIME_CLOCK_H_
