#include "dandelionscale/runtime/runtime_clock.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>
#include <optional>

namespace dandelionscale {
namespace {

// Interval at which timers re-check a paused clock.
constexpr Duration kPausedPollInterval = std::chrono::milliseconds(1);

struct ClockState {
  // Added to the steady clock of the system.
  Duration offset{0};
  std::optional<TimePoint> paused_at;
};

ClockState& State() {
  static ClockState state;
  return state;
}

// Unlike std::chrono::steady_clock, this clock counts the time for which the
// host was suspended, so that deadlines pass meanwhile.
TimePoint SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace

TimePoint RuntimeClock::now() noexcept {
  const ClockState& state = State();
  if (state.paused_at) return *state.paused_at;
  return SteadyNow() + state.offset;
}

void RuntimeClock::Pause() { State().paused_at = now(); }

void RuntimeClock::Resume() {
  ClockState& state = State();
  if (!state.paused_at) return;
  state.offset = *state.paused_at - SteadyNow();
  state.paused_at.reset();
}

void RuntimeClock::Advance(duration step) {
  ClockState& state = State();
  if (state.paused_at) {
    *state.paused_at += step;
  } else {
    state.offset += step;
  }
}

bool RuntimeClock::IsPaused() noexcept { return State().paused_at.has_value(); }

Duration RuntimeWaitTraits::to_wait_duration(const Duration& remaining) {
  if (!RuntimeClock::IsPaused()) return remaining;
  return std::min(remaining, kPausedPollInterval);
}

Duration RuntimeWaitTraits::to_wait_duration(const TimePoint& expiry) {
  return to_wait_duration(expiry - RuntimeClock::now());
}

Awaitable<void> SleepFor(Duration duration) {
  auto executor = co_await boost::asio::this_coro::executor;
  Timer timer(executor);
  timer.expires_after(duration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace dandelionscale
