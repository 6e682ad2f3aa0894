/// \file
/// \brief Timeouts of many operations, checked by one periodic timer.
#ifndef DANDELIONSCALE_SRC_DISPATCH_WATCHDOG_H_
#define DANDELIONSCALE_SRC_DISPATCH_WATCHDOG_H_

#include <functional>
#include <list>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::internal {

/// \brief Calls callbacks when their deadlines pass.
///
/// The precision is the interval at which `Sweep()` is called.
class Watchdog {
 private:
  struct Entry {
    TimePoint deadline = TimePoint::max();
    std::function<void()> on_expiry;
  };

 public:
  /// \brief Registration of one deadline, unset at first; its destructor
  /// unregisters it.
  class Guard {
   public:
    Guard(Watchdog& watchdog, std::function<void()> on_expiry);
    ~Guard();
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

    void Set(TimePoint deadline) { this->entry->deadline = deadline; }
    void Clear() { this->entry->deadline = TimePoint::max(); }

   private:
    Watchdog& watchdog;
    std::list<Entry>::iterator entry;
  };

  /// \brief Calls the callback of each deadline that has passed, and unsets it.
  void Sweep(TimePoint now);

 private:
  std::list<Entry> entries;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_WATCHDOG_H_
