#ifndef DANDELIONSCALE_CORE_START_UP_CHECK_H_
#define DANDELIONSCALE_CORE_START_UP_CHECK_H_

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Delays the readiness of a starting router until a peer has confirmed
///        the state that it has read.
///
/// The store may return old rows to a router that has just started, which knows
/// no newer ones. A revoked key or an engine that has left would be in use
/// again. Peers still know the newer rows. If none answers in time, the router
/// starts with what it has read.
class StartUpCheck {
 public:
  explicit StartUpCheck(TimePoint started_at) : started_at(started_at) {}

  /// \brief Records a digest of a peer.
  /// \param behind true if this router lacks rows that peers have.
  void OnDigest(bool behind) { this->confirmed = this->confirmed || !behind; }
  /// \returns true if the router may report that it is ready.
  bool IsComplete(TimePoint now) const;

 private:
  TimePoint started_at;
  bool confirmed = false;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_START_UP_CHECK_H_
