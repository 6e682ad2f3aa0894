#ifndef DANDELIONSCALE_CORE_WATCH_DUTY_H_
#define DANDELIONSCALE_CORE_WATCH_DUTY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Whether a router watches the shared store itself.
enum class WatchRole {
  kListener,  ///< Learns from its peers.
  kWatcher,   ///< Watches for the fleet.
  kStandIn,   ///< Watches since it heard of no watcher for too long.
};

/// \returns the name used in logs.
std::string_view ToString(WatchRole role);

/// \brief What a peer's digest says about watching the store.
struct WatchReport {
  /// Age of its view of the store, its own or a peer's; none if it has none.
  std::optional<Duration> view_age{};
  /// Time since a watcher that the store answers was known to live; none if
  /// none was.
  std::optional<Duration> watcher_age{};
  bool store_lost = false;  ///< The store does not answer it.
};

/// \brief Decides which few routers watch the store for the whole fleet.
///
/// Each router ranks itself among the peers that it hears; the first few watch
/// and the others listen. Nobody depends on one watcher: the age of the newest
/// view travels with the digests, and a router whose view is too old watches
/// for itself until a watcher is heard again.
class WatchDuty {
 public:
  /// \param own_key differs between routers and decides the rank.
  explicit WatchDuty(std::uint64_t own_key) : own_key(own_key) {}

  /// \brief A peer's digest has come.
  void OnDigest(TimePoint now, const std::string& peer, std::uint64_t peer_key,
                const WatchReport& report);
  /// \brief The store answers this router again, or no longer.
  void OnStoreAnswered(TimePoint now);
  void OnStoreLost(TimePoint now);
  /// \brief A peer knows newer entries, which this router could not get yet.
  void OnBehind(TimePoint since) { this->behind_since = since; }
  /// \brief This router knows all that its peers know.
  void OnCaughtUp() { this->behind_since.reset(); }

  /// \brief Chooses the role at `now`.
  /// \param listed peers that exist, heard or not.
  WatchRole Decide(TimePoint now, std::size_t listed);
  /// \returns the role chosen last.
  WatchRole Role() const { return this->role; }
  /// \returns the age of this router's view of the store; none if it has none.
  std::optional<Duration> ViewAge(TimePoint now) const;
  /// \returns what to tell peers.
  WatchReport Report(TimePoint now) const;

 private:
  struct Peer {
    std::uint64_t key = 0;
    TimePoint heard_at{};
    bool store_lost = false;
  };

  void ForgetSilentPeers(TimePoint now);
  bool IsRankedFirst(TimePoint now) const;
  bool KnowsWatcherSince(TimePoint since) const;
  bool IsViewTooOld(TimePoint now) const;
  // Age beyond which news should have come by digests.
  Duration MostAge() const;

  std::uint64_t own_key;
  std::unordered_map<std::string, Peer> peers;
  WatchRole role = WatchRole::kListener;
  bool store_answers = false;
  bool store_lost = false;
  TimePoint store_lost_at{};
  std::size_t listed = 0;
  std::optional<TimePoint> view_at;     ///< When the newest view was current.
  std::optional<TimePoint> watcher_at;  ///< When a watcher last was known.
  std::optional<TimePoint> behind_since;
  TimePoint stand_in_since{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_WATCH_DUTY_H_
