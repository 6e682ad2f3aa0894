/// \file
/// \brief Timeouts of many operations under one timer.
#ifndef DANDELIONSCALE_SRC_DISPATCH_WATCHDOG_H_
#define DANDELIONSCALE_SRC_DISPATCH_WATCHDOG_H_

#include <functional>
#include <list>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::internal {

/// \brief Calls back when deadlines pass; as precise as `Sweep()` is called.
class Watchdog {
 private:
  struct Entry {
    TimePoint deadline = TimePoint::max();
    std::function<void()> on_expiry;
  };

 public:
  /// \brief One deadline that can be set anew; ends with its owner.
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

  /// \brief Calls back for every deadline that has passed, once each.
  void Sweep(TimePoint now);

 private:
  std::list<Entry> entries;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_WATCHDOG_H_
