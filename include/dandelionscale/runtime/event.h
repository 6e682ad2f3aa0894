#ifndef DANDELIONSCALE_RUNTIME_EVENT_H_
#define DANDELIONSCALE_RUNTIME_EVENT_H_

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Condition variable for coroutines of one event loop.
///
/// Callers re-check their condition after each wake-up.
class Event {
 public:
  explicit Event(const boost::asio::any_io_executor& executor);

  /// \brief Waits until `NotifyAll()` or until `timeout` has passed.
  /// \returns true if notified, false on timeout.
  Awaitable<bool> WaitFor(Duration timeout);
  /// \brief Waits until `NotifyAll()`.
  Awaitable<void> Wait();
  /// \brief Wakes all current waiters.
  void NotifyAll();
  /// \returns how often `NotifyAll()` has been called; for callers that must
  /// not
  ///          miss a call while they don't wait.
  std::uint64_t Generation() const { return this->generation; }

 private:
  Timer timer;
  std::uint64_t generation = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_EVENT_H_
