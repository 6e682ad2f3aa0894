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

/// \brief The lease of this router, judged by its own monotonic clock.
///
/// A renewal is counted from the moment before it was sent, so that the holder
/// always thinks its lease shorter than its watchers do.
class OwnLease {
 public:
  explicit OwnLease(Duration length) : length(length) {}

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

/// \brief Watches the leases of a few other routers.
///
/// Each router watches its `kWatched` successors in the order of name hashes,
/// so that every lease has as many watchers. A watcher measures with its own
/// clock how long a lease row has not changed; hosts' clocks are never
/// compared.
class LeaseWatch {
 public:
  static constexpr std::size_t kWatched = 2;

  LeaseWatch(std::string router, Duration length)
      : router(std::move(router)), length(length) {}

  void SetMembership(const Membership& membership);
  /// \returns names of the routers to watch.
  const std::vector<std::string>& Watched() const { return this->watched; }
  /// \brief Reports the revision of a lease row, 0 if the row is missing.
  /// \returns true if the lease has run out.
  bool Observe(std::string_view name, std::uint64_t revision, TimePoint now);
  /// \brief Forgets all observations, as after an outage of the platform.
  void Reset() { this->seen.clear(); }

 private:
  struct Seen {
    std::uint64_t revision = 0;
    TimePoint since;
  };

  std::string router;
  Duration length;
  std::vector<std::string> watched;
  std::unordered_map<std::string, Seen> seen;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LEASE_H_
