#ifndef DANDELIONSCALE_CORE_ENGINE_HEALTH_H_
#define DANDELIONSCALE_CORE_ENGINE_HEALTH_H_

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Outlier detection and connection backoff for one engine, from the
///        results of one router's requests.
///
/// An engine is ejected, that is, should receive no requests, for some time
/// after a failure while its failure rate is far above its service's. The
/// caller passes the service's rate in, so that a fault common to all engines
/// ejects none. An engine that can't be reached is ejected for a backoff and
/// should then receive a single trial request.
class EngineHealth {
 public:
  /// \brief Records a complete answer or a stream that ended regularly.
  void OnSuccess(TimePoint now);
  /// \brief Records that the engine failed a request that it had received.
  ///        Failures in one burst count once.
  void OnFailure(TimePoint now);
  /// \brief Records that no connection to the engine could be made, or that
  ///        another engine answers at its address.
  ///        Calls during the resulting backoff have no effect.
  void OnUnreachable(TimePoint now);
  /// \brief Forgets that the engine could not be reached: it was not to blame.
  void ForgetUnreachable();

  /// \returns the weighted share of recent requests that failed, 0 to 1.
  double FailureRate() const { return this->failure_rate; }
  /// \returns true if the engine should receive no requests at `now`.
  /// \param service_failure_rate mean failure rate of the service's engines.
  bool IsEjected(TimePoint now, double service_failure_rate) const;
  /// \returns true if the backoff has ended and no request has succeeded since
  ///          the engine was unreachable; it should then receive only one
  ///          request at a time.
  bool IsHalfOpen(TimePoint now) const;

 private:
  double failure_rate = 0;
  int samples = 0;
  int consecutive_unreachable = 0;
  TimePoint unreachable_until{};
  TimePoint last_failure{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ENGINE_HEALTH_H_
