// Which peer a router fetches newer rows from, and when it leaves its zone for
// that.
#include "dandelionscale/core/snapshot_sources.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr RowVersions kOld{1, {1, 10}};
constexpr RowVersions kNew{1, {1, 11}};

TEST_CASE("a peer of the own zone is asked at once") {
  SnapshotSources sources;
  sources.OnNewer(kStart, "far", kNew, false, kOwnZoneWait);
  CHECK_FALSE(sources.Take(kStart));
  sources.OnNewer(kStart + milliseconds(50), "near", kNew, true, kOwnZoneWait);
  CHECK(sources.Take(kStart + milliseconds(50)) == "near");
}

TEST_CASE("a peer of another zone is asked if none of the own zone has rows") {
  SnapshotSources sources;
  sources.OnNewer(kStart, "far-1", kNew, false, kOwnZoneWait);
  // Further digests do not prolong the wait.
  sources.OnNewer(kStart + milliseconds(100), "far-2", kNew, false,
                  kOwnZoneWait);
  CHECK(sources.NextAt() == kStart + kOwnZoneWait);
  CHECK(sources.Take(kStart + kOwnZoneWait).has_value());
}

TEST_CASE("a router that need not wait asks a peer of another zone at once") {
  SnapshotSources sources;
  sources.OnNewer(kStart, "far", kNew, false, Duration::zero());
  CHECK(sources.Take(kStart) == "far");
}

// Guards against a router that waits for its next digest while it knows of
// another peer with the rows: the first one may have been lost or refuse.
TEST_CASE("the other peers are asked after one that did not respond") {
  SnapshotSources sources;
  sources.OnNewer(kStart, "a", kNew, true, kOwnZoneWait);
  sources.OnNewer(kStart, "b", kNew, true, kOwnZoneWait);
  CHECK(sources.Take(kStart) == "b");
  CHECK(sources.Take(kStart) == "a");
  CHECK_FALSE(sources.Take(kStart));
  CHECK_FALSE(sources.NextAt());
}

TEST_CASE("peers without newer rows are forgotten") {
  SnapshotSources sources;
  sources.OnNewer(kStart, "a", kNew, true, kOwnZoneWait);
  sources.OnVersions(kOld);
  CHECK(sources.NextAt());
  sources.OnVersions(kNew);
  CHECK_FALSE(sources.NextAt());
  // A later change is waited for anew.
  const TimePoint later = kStart + std::chrono::seconds(5);
  sources.OnNewer(later, "far", {1, {2, 1}}, false, kOwnZoneWait);
  CHECK(sources.NextAt() == later + kOwnZoneWait);
}

// How a change spreads in a fleet whose routers are in several zones, in steps
// of a millisecond: digests go to the next peers in rotation, the time of a
// fetch is that of a few round trips and of the sender's link.
class SpreadModel {
 public:
  struct Router {
    int zone = 0;
    bool is_zone_fetcher = false;
    Duration wait = kOwnZoneWait;
    bool knows = false;
    bool knows_drain = false;
    std::optional<TimePoint> digest_at;
    std::optional<TimePoint> fetched_at;
    TimePoint rotation_at{};
    std::size_t next_peer = 0;
    SnapshotSources sources;
  };

  SpreadModel(std::size_t count, int zones, unsigned seed)
      : random(seed), routers(count) {
    std::vector<std::size_t> in_zone(static_cast<std::size_t>(zones));
    for (std::size_t n = 0; n < count; ++n) {
      Router& router = this->routers[n];
      router.zone = static_cast<int>(n) % zones;
      router.is_zone_fetcher =
          in_zone[static_cast<std::size_t>(router.zone)]++ < kZoneFetchers;
      router.next_peer = this->Draw(count);
      router.wait += milliseconds(this->Draw(ToMilliseconds(kOwnZoneWait)));
      router.rotation_at =
          this->now + milliseconds(this->Draw(ToMilliseconds(kDigestInterval)));
    }
  }

  // The routers that watch the store learn a change.
  void Learn(std::initializer_list<std::size_t> watchers) {
    for (std::size_t n : watchers) this->OnRows(this->routers[n]);
  }

  template <typename Predicate>
  Duration RunUntilAll(Predicate predicate) {
    const TimePoint began = this->now;
    while (
        !std::all_of(this->routers.begin(), this->routers.end(), predicate) &&
        this->now - began < std::chrono::seconds(20)) {
      this->Step();
    }
    return this->now - began;
  }

  int CrossZoneFetches() const { return this->cross_zone_fetches; }

 private:
  // Round trips of the fetch and the handling on both sides.
  static constexpr Duration kFetchTime = milliseconds(30);
  static constexpr Duration kMinDigestInterval = milliseconds(30);

  std::size_t Draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      bound - 1)(this->random);
  }

  void OnRows(Router& router) {
    router.knows = true;
    this->OnDrain(router);
    router.sources.OnVersions(kNew);
    this->Announce(router);
  }
  void OnDrain(Router& router) {
    if (!router.knows_drain) this->Announce(router);
    router.knows_drain = true;
  }
  void Announce(Router& router) {
    if (!router.digest_at) router.digest_at = this->now + kMinDigestInterval;
  }

  void Step() {
    this->now += milliseconds(1);
    for (Router& router : this->routers) {
      const bool is_due = (router.digest_at && *router.digest_at <= this->now);
      if (is_due || router.rotation_at <= this->now) this->SendDigest(router);
      if (router.fetched_at && *router.fetched_at <= this->now) {
        router.fetched_at.reset();
        this->OnRows(router);
      }
      this->Fetch(router);
    }
  }

  void SendDigest(Router& sender) {
    sender.digest_at.reset();
    sender.rotation_at = this->now + kDigestInterval;
    for (std::size_t n = 0; n < kDigestFanout; ++n) {
      Router& router = this->routers[sender.next_peer++ % this->routers.size()];
      if (&router == &sender) continue;
      if (sender.knows_drain) this->OnDrain(router);
      if (!sender.knows || router.knows) continue;
      const auto index =
          static_cast<std::size_t>(&sender - this->routers.data());
      router.sources.OnNewer(
          this->now, std::to_string(index), kNew, sender.zone == router.zone,
          router.is_zone_fetcher ? Duration::zero() : router.wait);
    }
  }

  void Fetch(Router& router) {
    if (router.knows || router.fetched_at) return;
    const auto peer = router.sources.Take(this->now);
    if (!peer) return;
    router.fetched_at = this->now + kFetchTime;
    if (this->routers[std::stoul(*peer)].zone != router.zone) {
      ++this->cross_zone_fetches;
    }
  }

  std::mt19937 random;
  TimePoint now = kStart;
  std::vector<Router> routers;
  int cross_zone_fetches = 0;
};

TEST_CASE("a change reaches 300 routers within a second, mostly in the zone") {
  const auto seed = GENERATE(range(1U, 9U));
  CAPTURE(seed);
  SpreadModel model(300, 3, seed);
  model.Learn({0, 3, 7});
  const Duration drain = model.RunUntilAll(
      [](const SpreadModel::Router& router) { return router.knows_drain; });
  const Duration rest = model.RunUntilAll(
      [](const SpreadModel::Router& router) { return router.knows; });
  CAPTURE(ToMilliseconds(drain), ToMilliseconds(drain + rest),
          model.CrossZoneFetches());
  CHECK(drain < milliseconds(1000));
  CHECK(drain + rest < milliseconds(1500));
  // Without preference two thirds of the fetches, about 200, leave the zone.
  CHECK(model.CrossZoneFetches() < 80);
}

}  // namespace
}  // namespace dandelionscale
