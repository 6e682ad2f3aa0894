#ifndef DANDELIONSCALE_CORE_WATCHER_ELECTION_H_
#define DANDELIONSCALE_CORE_WATCHER_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Whether a router watches the shared store for changes itself.
enum class WatchRole {
  kStarting,  ///< Reads the tables once; the election has not begun.
  kListener,  ///< Does not; receives changes from its peers.
  kWatcher,   ///< Watches on behalf of the fleet.
  /// Not elected, but watches until a live watcher is reported: its view is too
  /// old or behind its peers', or it was a watcher before.
  kStandIn,
};

/// \returns the name used in logs.
std::string_view ToString(WatchRole role);
/// \returns true if a router in this role watches the store for changes.
inline bool WatchesStore(WatchRole role) {
  return role == WatchRole::kWatcher || role == WatchRole::kStandIn;
}

/// \brief A router's state in regard to watching the store, sent in digests.
struct WatchReport {
  /// Time since the router's newest view of the store, read by itself or by a
  /// peer, was last shown to be current; none if it has no view.
  std::optional<Duration> view_age{};
  /// Time since the store last answered a watcher; none if no such answer has
  /// been reported.
  std::optional<Duration> watcher_age{};
  bool store_lost = false;  ///< The store does not answer the router.
  /// Bandwidth of the router's link in Mbit/s; 0 if it is not known.
  std::uint32_t link_mbps = 0;
};

/// \brief Elects the few routers that watch the store for the whole fleet.
///
/// Each router ranks itself among the peers whose digests it receives or that
/// are listed in the store; the first few watch and the others rely on digests.
/// Routers with faster links rank first: each change passes the links of the
/// watchers whole, and most peers are supplied from there.
/// A router that has just started knows few peers, so it reads the tables once
/// and takes part a moment later; otherwise routers that start together would
/// all elect themselves. Peers that the store does not answer are not ranked.
/// A router whose own call failed and that would be elected tries again as a
/// stand-in after a while, and is ranked only once the store has answered it.
///
/// A view is as old as the last answer of the store that shows it to be
/// current. A call that is out shows nothing: the store may leave it without an
/// answer. No router depends on a particular watcher: digests carry the age of
/// the newest view, and a router whose view is too old watches the store itself
/// until the store answers a watcher again.
class WatcherElection {
 public:
  /// \param own_key unique to the router; among routers with equal links,
  ///        higher keys rank first.
  /// \param link_mbps bandwidth of the router's link; 0 if it is not known.
  explicit WatcherElection(std::uint64_t own_key, std::uint32_t link_mbps = 0)
      : own_key(own_key), link_mbps(link_mbps) {}

  /// \brief Records a peer's digest.
  /// \param peer address of the peer.
  /// \param peer_key the peer's own key, which decides its rank.
  void OnDigest(TimePoint now, const std::string& peer, std::uint64_t peer_key,
                const WatchReport& report);
  /// \brief Records a peer that is listed in the store. It is ranked until it
  ///        should have sent a digest.
  void OnPeerListed(TimePoint now, const std::string& peer,
                    std::uint64_t peer_key);
  /// \brief Records that this router has taken configuration and engines from a
  ///        peer whose view of the store was current at `view_at`.
  void OnPeerSupplied(TimePoint view_at);
  /// \brief Records that the store has answered this router.
  /// \param shown_at when the answers to the calls for all tables show the
  ///        router's view to have been current.
  void OnStoreAnswered(TimePoint shown_at);
  /// \brief Records that a call of this router to the store failed.
  void OnStoreLost(TimePoint now);
  /// \brief Records that, since `since`, peers have reported newer entries than
  ///        this router holds.
  void OnLagDetected(TimePoint since) { this->lagging_since = since; }
  /// \brief Records that no peer has reported newer entries than this router's.
  void OnCaughtUp() { this->lagging_since.reset(); }
  bool IsLagging() const { return this->lagging_since.has_value(); }

  /// \brief Chooses the role at `now`.
  /// \param known_peers number of peers, including those that send no digests.
  WatchRole Decide(TimePoint now, std::size_t known_peers);
  /// \returns the role chosen by the last call of `Decide`.
  WatchRole Role() const { return this->role; }
  /// \returns the number of peers that rank before this router to watch the
  ///          store.
  std::size_t Rank() const;
  /// \returns the time since this router's view of the store was last shown to
  ///          be current; none if it has no view.
  std::optional<Duration> ViewAge(TimePoint now) const;
  /// \returns this router's state for its digests.
  WatchReport Report(TimePoint now) const;

 private:
  struct Peer {
    std::uint64_t key = 0;
    TimePoint last_digest_at{};
    bool store_lost = false;
    std::uint32_t link_mbps = 0;
  };

  // True if the peer is to watch the store before this router. A peer of which
  // no link is known ranks by its key alone.
  bool RanksBefore(const Peer& peer) const;
  void ExpirePeers(TimePoint now);
  bool IsElected(TimePoint now) const;
  // True if this router would be elected but for its last call, and may try
  // whether the store answers it again.
  bool MayTryAgain(TimePoint now) const;
  bool HasWatcherSince(TimePoint since) const;
  bool IsViewStale(TimePoint now) const;
  // How much later than others this router becomes a stand-in.
  Duration StandInStagger() const;
  // Age by which digests should have delivered a newer view.
  Duration MaxViewAge() const;

  std::uint64_t own_key;
  std::uint32_t link_mbps;
  std::unordered_map<std::string, Peer> peers;
  WatchRole role = WatchRole::kStarting;
  std::optional<TimePoint> started_at;
  bool store_lost = false;
  TimePoint store_lost_at{};
  std::size_t known_peers = 0;
  std::optional<TimePoint> view_at;  ///< When the newest view was current.
  /// When the store last answered a watcher.
  std::optional<TimePoint> watcher_at;
  std::optional<TimePoint> lagging_since;
  TimePoint stand_in_since{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_WATCHER_ELECTION_H_
