#ifndef DANDELIONSCALE_CORE_LOAD_ENGINE_PAUSE_H_
#define DANDELIONSCALE_CORE_LOAD_ENGINE_PAUSE_H_

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief The time for which an engine has asked this router for no requests.
///
/// A pause says nothing about the engine's health. It binds only the router
/// that the engine has asked.
class EnginePause {
 public:
  /// \brief Records a request for a pause. It extends a pause that ends
  ///        earlier; an excessive duration is capped.
  void Request(TimePoint now, Duration duration);
  /// \returns true if the engine should receive no requests at `now`.
  bool IsActive(TimePoint now) const { return now < this->until; }
  /// \returns the time until the pause ends; zero if there is none.
  Duration Remaining(TimePoint now) const;

 private:
  TimePoint until{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_ENGINE_PAUSE_H_
