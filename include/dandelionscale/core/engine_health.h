#ifndef DANDELIONSCALE_CORE_ENGINE_HEALTH_H_
#define DANDELIONSCALE_CORE_ENGINE_HEALTH_H_

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief What one router has seen of one engine's answers.
///
/// Outlier detection: an engine is set aside when it fails much more often than
/// its service does, and comes back by a trial request. The caller compares
/// against the service, so that a fault that all engines share sets none aside.
class EngineHealth {
 public:
  /// \brief An answer came, or a stream ended whole.
  void OnSuccess(TimePoint now);
  /// \brief The engine failed a request that it had received.
  void OnFailure(TimePoint now);
  /// \brief No connection could be made, or a peer stopped acknowledging.
  void OnUnreachable(TimePoint now);

  /// \returns the share of recent requests that failed, 0 to 1.
  double FailureRate() const { return this->failure_rate; }
  /// \returns true if the engine should get no request now.
  /// \param service_failure_rate mean failure rate of the service's engines.
  bool IsSetAside(TimePoint now, double service_failure_rate) const;
  /// \returns true if the engine is back on trial after being unreachable.
  bool IsOnTrial(TimePoint now) const;

 private:
  double failure_rate = 0;
  int samples = 0;
  int unreachable_in_a_row = 0;
  TimePoint unreachable_until{};
  TimePoint last_failure{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ENGINE_HEALTH_H_
