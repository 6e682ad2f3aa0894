#ifndef DANDELIONSCALE_CORE_LEASE_H_
#define DANDELIONSCALE_CORE_LEASE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/fleet_view.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief The lease of this router, timed by its own monotonic clock.
///
/// The lease runs from the time before a renewal was sent, so that it expires
/// for its holder before it expires for the routers that watch it.
class OwnLease {
 public:
  explicit OwnLease(Duration length) : length(length) {}

  /// \param sent_at time just before the successful renewal was sent.
  void OnRenewed(TimePoint sent_at) { this->renewed_at = sent_at; }
  void OnLost() { this->renewed_at = TimePoint(); }
  bool IsHeld(TimePoint now) const {
    return this->renewed_at != TimePoint() &&
           now < this->renewed_at + this->length;
  }

 private:
  Duration length;
  TimePoint renewed_at;
};

/// \brief Detects expired leases of other routers.
///
/// Each router watches its `kMaxWatched` successors in the order of name
/// hashes, so that every lease has `kMaxWatched` watchers (fewer in a
/// fleet of up to `kMaxWatched` routers). A watcher measures
/// by its own clock how long a lease row has not changed; clocks of different
/// hosts are never compared.
class LeaseWatch {
 public:
  static constexpr std::size_t kMaxWatched = 2;

  LeaseWatch(std::string router, Duration length)
      : router(std::move(router)), length(length) {}

  void SetMembership(const Membership& membership);
  /// \returns names of the routers to watch.
  const std::vector<std::string>& Watched() const { return this->watched; }
  /// \brief Records the revision of a lease row, 0 if the row is missing.
  /// \returns true if the lease has expired.
  bool Observe(std::string_view name, std::uint64_t revision, TimePoint now);
  /// \brief Discards all observations. Needed after an outage of the platform,
  /// during which no lease could be renewed.
  void Reset() { this->observations.clear(); }

 private:
  struct Observation {
    std::uint64_t revision = 0;
    TimePoint since;
  };

  std::string router;
  Duration length;
  std::vector<std::string> watched;
  std::unordered_map<std::string, Observation> observations;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LEASE_H_
