#ifndef DANDELIONSCALE_CORE_START_UP_SOURCE_H_
#define DANDELIONSCALE_CORE_START_UP_SOURCE_H_

#include <cstdint>
#include <optional>
#include <span>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Default number of listed routers from which on a starting router asks peers
/// before it reads the store. The store can serve the reads of smaller fleets,
/// and does so sooner than peers that are starting, too.
inline constexpr std::size_t kMinLargeFleet = 512;

/// \brief Where a starting router gets configuration and engines from.
///
/// In a small fleet it reads them from the store as soon as it knows the table
/// of routers. In a large one, only the first few of the listed routers do, so
/// that hundreds that start together do not read the whole tables. The others
/// ask peers, and read the store if these have not supplied them by a time that
/// depends on the rank: the number of readers doubles in equal intervals, as
/// does the number of peers that can supply others.
class StartUpSource {
 public:
  /// \param own_key unique to the router; higher keys rank first, as in
  ///        `WatcherElection`.
  /// \param min_large_fleet number of routers from which on peers are asked.
  StartUpSource(TimePoint started_at, std::uint64_t own_key,
                std::size_t min_large_fleet)
      : started_at(started_at),
        own_key(own_key),
        min_large_fleet(min_large_fleet) {}

  /// \brief Records the other routers that the store lists; only the first call
  ///        counts.
  void OnRoutersListed(TimePoint now, std::span<const std::uint64_t> peer_keys);
  /// \brief Records that the table of routers could not be read.
  void OnListFailed() { this->list_failed = true; }
  /// \brief Records that a peer has responded, even if it refuses.
  void OnPeerAnswered() { this->peer_answered = true; }
  /// \brief Records that configuration and engines are known from a peer.
  void OnPeerSupplied() { this->supplied = true; }

  /// \returns true if this router should read the store.
  bool ReadsStore(TimePoint now) const;
  /// \returns true once the table of routers is known.
  bool IsDecided() const { return this->listed_at.has_value(); }
  /// \returns true if this router should ask peers.
  bool AsksPeers() const;
  /// \returns true if so many routers are listed that peers are asked.
  bool IsLargeFleet() const;

 private:
  TimePoint started_at;
  std::uint64_t own_key;
  std::size_t min_large_fleet;
  bool list_failed = false;
  bool peer_answered = false;
  bool supplied = false;
  std::optional<TimePoint> listed_at;
  std::size_t peers = 0;
  std::size_t rank = 0;  ///< Of this router among the listed, from 0.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_START_UP_SOURCE_H_
