#ifndef DANDELIONSCALE_RUNTIME_RUNTIME_CLOCK_H_
#define DANDELIONSCALE_RUNTIME_RUNTIME_CLOCK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>

namespace dandelionscale {

/// \brief Monotonic clock of the process, which tests can pause and advance.
///
/// Meets the standard Clock requirements. While paused, `now()` changes only by
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
  /// \brief Restarts a paused clock at the instant at which it was paused, plus
  ///        any `Advance()`.
  static void Resume();
  /// \brief Moves the clock forward by `step`; meant for a paused clock.
  static void Advance(duration step);
  /// \returns true while the clock is paused.
  static bool IsPaused() noexcept;
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

/// \brief Wait traits that make Asio timers poll a paused clock.
struct RuntimeWaitTraits {
  /// \returns how long the reactor may sleep before it re-checks a timer with
  ///          `remaining` time to go.
  static Duration to_wait_duration(const Duration& remaining);
  /// \returns the same for an absolute expiry.
  static Duration to_wait_duration(const TimePoint& expiry);
};

/// \brief Timer over `RuntimeClock`.
using Timer =
    boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

/// \brief Return type of coroutines.
template <typename T>
using Awaitable = boost::asio::awaitable<T>;

/// \brief Suspends the calling coroutine for `duration`.
Awaitable<void> SleepFor(Duration duration);

/// \returns `duration` in whole milliseconds, rounded down.
std::int64_t ToMilliseconds(Duration duration);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_RUNTIME_CLOCK_H_
