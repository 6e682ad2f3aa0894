#include "dandelionscale/core/watcher_election.h"

#include <algorithm>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/watch_schedule.h"

namespace dandelionscale {
namespace {

// A view is stale if it is older than the time between two ends of watches and
// the propagation time of digests by more than this and the router's stagger
// below.
constexpr Duration kViewAgeSlack = std::chrono::milliseconds(300);
// Routers that lose all watchers at the same time become stand-ins at one of
// `kStandInSlots` times, `kStandInSlotLength` apart and chosen by the router's
// key, so that the digests of the first ones spare the others a call to the
// store.
constexpr std::uint64_t kStandInSlots = 8;
constexpr Duration kStandInSlotLength = std::chrono::milliseconds(40);
// A router that has not obtained the newer entries reported by its peers within
// this time reads the store itself.
constexpr Duration kCatchUpTimeout = std::chrono::milliseconds(700);
constexpr Duration kMinStandInTime = std::chrono::milliseconds(300);
// Time from the start of a router until it takes part in the election. Routers
// that start together are listed and send digests by then.
constexpr Duration kStartTime = std::chrono::milliseconds(600);
// Time from a failed call to the store until the router tries whether it is
// answered again.
constexpr Duration kStoreLostHoldOff = std::chrono::seconds(2);
// A peer is no longer ranked if it has sent no digest for this many rotations,
// and for at least this time.
constexpr int kPeerTimeoutRotations = 3;
constexpr Duration kMinPeerTimeout = std::chrono::milliseconds(1200);

// Sets `at` to `now - age` if that is later.
void Advance(std::optional<TimePoint>& at, TimePoint now,
             const std::optional<Duration>& age) {
  if (age) at = std::max(at.value_or(TimePoint::min()), now - *age);
}

std::optional<Duration> AgeOf(const std::optional<TimePoint>& at,
                              TimePoint now) {
  if (!at) return std::nullopt;
  return now - *at;
}

}  // namespace

std::string_view ToString(WatchRole role) {
  switch (role) {
    case WatchRole::kStarting:
      return "starting";
    case WatchRole::kListener:
      return "listener";
    case WatchRole::kWatcher:
      return "watcher";
    case WatchRole::kStandIn:
      return "stand_in";
  }
  return "listener";
}

void WatcherElection::OnDigest(TimePoint now, const std::string& peer,
                               std::uint64_t peer_key,
                               const WatchReport& report) {
  this->peers[peer] = {peer_key, now, report.store_lost, report.link_mbps};
  Advance(this->view_at, now, report.view_age);
  Advance(this->watcher_at, now, report.watcher_age);
}

void WatcherElection::OnPeerListed(TimePoint now, const std::string& peer,
                                   std::uint64_t peer_key) {
  this->peers.try_emplace(peer, Peer{peer_key, now});
}

void WatcherElection::OnPeerSupplied(TimePoint view_at) {
  this->view_at = std::max(this->view_at.value_or(TimePoint::min()), view_at);
}

void WatcherElection::OnStoreAnswered(TimePoint shown_at) {
  this->store_lost = false;
  this->view_at = std::max(this->view_at.value_or(TimePoint::min()), shown_at);
  if (this->role != WatchRole::kWatcher) return;
  this->watcher_at =
      std::max(this->watcher_at.value_or(TimePoint::min()), shown_at);
}

void WatcherElection::OnStoreLost(TimePoint now) {
  this->store_lost = true;
  this->store_lost_at = now;
}

WatchRole WatcherElection::Decide(TimePoint now, std::size_t known_peers) {
  this->known_peers = known_peers;
  this->ExpirePeers(now);
  if (!this->started_at) this->started_at = now;
  if (now - *this->started_at < kStartTime) return this->role;
  const bool may_try_again = this->MayTryAgain(now);
  const bool is_lagging =
      this->lagging_since &&
      now - *this->lagging_since > kCatchUpTimeout + this->StandInStagger();
  if (this->IsElected(now)) {
    this->role = WatchRole::kWatcher;
  } else if (is_lagging || may_try_again || this->IsViewStale(now)) {
    if (this->role != WatchRole::kStandIn) this->stand_in_since = now;
    this->role = WatchRole::kStandIn;
  } else if (this->role == WatchRole::kWatcher) {
    // A watcher that is no longer elected keeps watching until another watcher
    // is known to be alive.
    this->stand_in_since = now;
    this->role = WatchRole::kStandIn;
  } else if (this->role == WatchRole::kStarting ||
             (now - this->stand_in_since > kMinStandInTime &&
              this->HasWatcherSince(this->stand_in_since))) {
    this->role = WatchRole::kListener;
  }
  return this->role;
}

std::optional<Duration> WatcherElection::ViewAge(TimePoint now) const {
  return AgeOf(this->view_at, now);
}

WatchReport WatcherElection::Report(TimePoint now) const {
  return {this->ViewAge(now), AgeOf(this->watcher_at, now), this->store_lost,
          this->link_mbps};
}

void WatcherElection::ExpirePeers(TimePoint now) {
  const Duration timeout =
      std::max(kMinPeerTimeout,
               DigestRotationPeriod(this->known_peers) * kPeerTimeoutRotations);
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.last_digest_at > timeout;
  });
}

bool WatcherElection::IsElected(TimePoint now) const {
  if (this->store_lost && this->HasWatcherSince(now - this->MaxViewAge())) {
    return false;
  }
  return this->Rank() < kMaxElected;
}

bool WatcherElection::MayTryAgain(TimePoint now) const {
  return this->store_lost && now - this->store_lost_at > kStoreLostHoldOff &&
         this->Rank() < kMaxElected;
}

std::size_t WatcherElection::Rank() const {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        return !entry.second.store_lost && this->RanksBefore(entry.second);
      }));
}

bool WatcherElection::RanksBefore(const Peer& peer) const {
  const bool are_known = peer.link_mbps > 0 && this->link_mbps > 0;
  if (are_known && peer.link_mbps != this->link_mbps) {
    return peer.link_mbps > this->link_mbps;
  }
  return peer.key > this->own_key;
}

bool WatcherElection::HasWatcherSince(TimePoint since) const {
  return this->watcher_at && *this->watcher_at >= since;
}

bool WatcherElection::IsViewStale(TimePoint now) const {
  const std::optional<Duration> age = this->ViewAge(now);
  if (!age) return true;
  return *age > this->MaxViewAge() + this->StandInStagger();
}

Duration WatcherElection::StandInStagger() const {
  return kStandInSlotLength * (this->own_key % kStandInSlots);
}

Duration WatcherElection::MaxViewAge() const {
  return kWatchEndInterval + DigestPropagationTime(this->known_peers) +
         kViewAgeSlack;
}

}  // namespace dandelionscale
