#include "dandelionscale/core/watch_duty.h"

#include <algorithm>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

// Routers that watch for the fleet.
constexpr std::size_t kWatchers = 3;
// A view may be this much older than digests need to spread.
constexpr Duration kAgeSlack = std::chrono::milliseconds(300);
// Routers that lose the watchers together stand in one after the other, so
// that the first ones' digests spare the others the call.
constexpr std::uint64_t kSteps = 8;
constexpr Duration kStep = std::chrono::milliseconds(40);
// A router that knows of newer entries fetches them from a peer within this
// time, or reads them itself.
constexpr Duration kBehindPatience = std::chrono::milliseconds(700);
constexpr Duration kShortestStandIn = std::chrono::seconds(2);
// A router that the store turned away is no watcher for so long.
constexpr Duration kStoreLostRest = std::chrono::seconds(2);
// Rotations of digests after which a silent peer is not counted any more.
constexpr int kSilentRotations = 3;
constexpr Duration kShortestSilence = std::chrono::milliseconds(1200);

void RaiseTo(std::optional<TimePoint>& at, TimePoint now,
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
    case WatchRole::kListener:
      return "listener";
    case WatchRole::kWatcher:
      return "watcher";
    case WatchRole::kStandIn:
      return "stand_in";
  }
  return "listener";
}

void WatchDuty::OnDigest(TimePoint now, const std::string& peer,
                         std::uint64_t peer_key, const WatchReport& report) {
  this->peers[peer] = {peer_key, now, report.store_lost};
  RaiseTo(this->view_at, now, report.view_age);
  RaiseTo(this->watcher_at, now, report.watcher_age);
}

void WatchDuty::OnStoreAnswered(TimePoint now) {
  this->store_answers = true;
  this->store_lost = false;
  this->view_at = now;
}

void WatchDuty::OnStoreLost(TimePoint now) {
  this->store_answers = false;
  this->store_lost = true;
  this->store_lost_at = now;
}

WatchRole WatchDuty::Decide(TimePoint now, std::size_t listed) {
  this->listed = listed;
  this->ForgetSilentPeers(now);
  if (now - this->store_lost_at > kStoreLostRest) this->store_lost = false;
  const bool behind =
      this->behind_since && now - *this->behind_since > kBehindPatience;
  if (this->IsRankedFirst(now)) {
    this->role = WatchRole::kWatcher;
  } else if (behind || this->IsViewTooOld(now)) {
    if (this->role != WatchRole::kStandIn) this->stand_in_since = now;
    this->role = WatchRole::kStandIn;
  } else if (this->role == WatchRole::kWatcher) {
    this->stand_in_since = now;
    this->role = WatchRole::kStandIn;
  } else if (now - this->stand_in_since > kShortestStandIn &&
             this->KnowsWatcherSince(this->stand_in_since)) {
    this->role = WatchRole::kListener;
    this->store_answers = false;
  }
  return this->role;
}

std::optional<Duration> WatchDuty::ViewAge(TimePoint now) const {
  if (this->store_answers) return Duration::zero();
  return AgeOf(this->view_at, now);
}

WatchReport WatchDuty::Report(TimePoint now) const {
  const bool watches = this->role == WatchRole::kWatcher && this->store_answers;
  const std::optional<Duration> watcher_age =
      watches ? Duration::zero() : AgeOf(this->watcher_at, now);
  return {this->ViewAge(now), watcher_age, this->store_lost};
}

void WatchDuty::ForgetSilentPeers(TimePoint now) {
  const Duration silence = std::max(
      kShortestSilence, DigestRotation(this->listed) * kSilentRotations);
  std::erase_if(this->peers, [&](const auto& entry) {
    return now - entry.second.heard_at > silence;
  });
}

bool WatchDuty::IsRankedFirst(TimePoint now) const {
  if (this->store_lost && this->KnowsWatcherSince(now - this->MostAge())) {
    return false;
  }
  const auto before = static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        return !entry.second.store_lost && entry.second.key > this->own_key;
      }));
  return before < kWatchers;
}

bool WatchDuty::KnowsWatcherSince(TimePoint since) const {
  return this->watcher_at && *this->watcher_at >= since;
}

bool WatchDuty::IsViewTooOld(TimePoint now) const {
  const std::optional<Duration> age = this->ViewAge(now);
  if (!age) return true;
  return *age > this->MostAge() + kStep * (this->own_key % kSteps);
}

Duration WatchDuty::MostAge() const {
  return DigestSpread(this->listed) + kAgeSlack;
}

}  // namespace dandelionscale
