// Which routers watch the store for the fleet, and when a router without a live
// watcher watches the store itself.
#include "dandelionscale/core/watcher_election.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/watch_schedule.h"

namespace dandelionscale {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kSecond = std::chrono::seconds(1);
// Longer than three rotations of digests among 410 routers.
constexpr Duration kSettlingTime = std::chrono::seconds(30);

// A fleet of routers that exchange digests over a network that loses some of
// them, and a store whose version the tests increment.
class FleetModel {
 public:
  explicit FleetModel(std::size_t count) : random(count) {
    for (std::size_t n = 0; n < count; ++n) {
      this->routers.push_back(
          std::make_unique<Router>(fmt::format("router-{}", n)));
    }
  }

  void Run(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->now += kTick;
      for (std::size_t n = 0; n < this->routers.size(); ++n) this->Step(n);
    }
  }

  struct Router {
    explicit Router(std::string id)
        : name(std::move(id)),
          key(HashText(this->name)),
          election(this->key),
          next_peer(this->key % 1000) {}
    std::string name;
    std::uint64_t key;
    WatcherElection election;
    std::uint64_t version = 0;
    bool has_read = false;  // Since the start.
    bool alive = true;
    bool store_reachable = true;
    /// Routers in different partitions can't reach each other.
    int partition = 0;
    // Routers start at different positions of their rotation.
    std::size_t next_peer;
  };

  std::size_t CountWatching() const {
    std::size_t count = 0;
    for (const auto& router : this->routers) {
      if (router->alive && WatchesStore(router->election.Role())) ++count;
    }
    return count;
  }

  std::size_t CountOutdated() const {
    std::size_t count = 0;
    for (const auto& router : this->routers) {
      if (router->alive && router->version < this->store_version) ++count;
    }
    return count;
  }

  // All routers start again; each lists the others.
  void RestartAll() {
    for (auto& router : this->routers) {
      auto restarted = std::make_unique<Router>(router->name);
      for (const auto& peer : this->routers) {
        if (peer->name == router->name) continue;
        restarted->election.OnPeerListed(this->now, peer->name, peer->key);
      }
      router = std::move(restarted);
    }
  }

  void StopWatchers() {
    for (auto& router : this->routers) {
      if (router->election.Role() == WatchRole::kWatcher) router->alive = false;
    }
  }

  std::vector<std::unique_ptr<Router>> routers;
  std::uint64_t store_version = 1;
  double digest_loss = 0.01;
  Duration watched{};  // Time for which routers have watched, together.
  TimePoint now{std::chrono::hours(1)};

 private:
  void Step(std::size_t n) {
    Router& router = *this->routers[n];
    if (!router.alive) return;
    const WatchRole role =
        router.election.Decide(this->now, this->routers.size() - 1);
    const bool reads_once = role == WatchRole::kStarting && !router.has_read;
    if (WatchesStore(role)) this->watched += kTick;
    if (WatchesStore(role) || reads_once) {
      router.has_read = router.has_read || router.store_reachable;
      if (router.store_reachable) {
        router.version = this->store_version;
        router.election.OnStoreAnswered(this->now);
      } else {
        router.election.OnStoreLost(this->now);
      }
    }
    const auto ticks = this->now.time_since_epoch() / kTick;
    const auto interval = kDigestInterval / kTick;
    if (ticks % interval != static_cast<long>(n) % interval) return;
    for (std::size_t sent = 0; sent < kDigestFanout; ++sent) {
      this->SendDigest(n, router.next_peer++ % this->routers.size());
    }
  }

  void SendDigest(std::size_t from, std::size_t to) {
    Router& sender = *this->routers[from];
    Router& receiver = *this->routers[to];
    const bool lost = std::uniform_real_distribution<double>(
                          0, 1)(this->random) < this->digest_loss;
    if (from == to || lost || !receiver.alive) return;
    if (sender.partition != receiver.partition) return;
    receiver.election.OnDigest(this->now, sender.name, sender.key,
                               sender.election.Report(this->now));
    receiver.version = std::max(receiver.version, sender.version);
  }

  std::mt19937 random;
};

TEST_CASE("a router without peers reads at once and watches within a second") {
  WatcherElection election(1);
  CHECK(election.Decide(TimePoint(kSecond), 0) == WatchRole::kStarting);
  CHECK(election.Decide(TimePoint(2 * kSecond), 0) == WatchRole::kWatcher);
}

// Load pattern: all routers of a large fleet start together, as after a loss of
// power. Each watch of a table is a call to the store a second or more, and
// each engine that registers meanwhile is one to every router that watches.
TEST_CASE("routers that start together do not all watch the store") {
  for (std::size_t count : {18, 86, 295}) {
    CAPTURE(count);
    FleetModel fleet(count);
    fleet.RestartAll();
    constexpr Duration kObserved = 10 * kSecond;
    fleet.Run(kObserved);
    CHECK(fleet.CountWatching() == 3);
    // Twice the three watchers' time.
    CHECK(fleet.watched <= 2 * 3 * kObserved);
    ++fleet.store_version;
    fleet.Run(kSecond);
    CHECK(fleet.CountOutdated() == 0);
  }
}

TEST_CASE("at most three routers watch, and changes reach all within 1 s") {
  for (std::size_t count : {1, 3, 8, 68, 410}) {
    CAPTURE(count);
    FleetModel fleet(count);
    fleet.Run(kSettlingTime);
    CHECK(fleet.CountWatching() == std::min<std::size_t>(count, 3));
    ++fleet.store_version;
    fleet.Run(kSecond);
    CHECK(fleet.CountOutdated() == 0);
  }
}

// All watchers fail at the moment when an operator changes the configuration;
// the change has to reach all other routers within 2 s.
TEST_CASE("changes reach all routers within 2 s of the loss of all watchers") {
  for (std::size_t count : {8, 68}) {
    CAPTURE(count);
    FleetModel fleet(count);
    fleet.Run(kSettlingTime);
    fleet.StopWatchers();
    ++fleet.store_version;
    fleet.Run(2 * kSecond);
    CHECK(fleet.CountOutdated() == 0);
    fleet.Run(kSettlingTime);
    CHECK(fleet.CountWatching() == 3);
  }
}

TEST_CASE("each part of a partitioned fleet elects watchers of its own") {
  FleetModel fleet(68);
  fleet.Run(8 * kSecond);
  for (std::size_t n = 0; n < 20; ++n) fleet.routers[n]->partition = 1;
  fleet.routers[60]->partition = 2;
  ++fleet.store_version;
  fleet.Run(2 * kSecond);
  CHECK(fleet.CountOutdated() == 0);
  fleet.Run(10 * kSecond);
  for (auto& router : fleet.routers) router->partition = 0;
  fleet.Run(10 * kSecond);
  CHECK(fleet.CountWatching() == 3);
}

// The store becomes unreachable for all watchers, 3 of 8 routers.
TEST_CASE("other routers take over when watchers cannot reach the store") {
  FleetModel fleet(8);
  fleet.Run(8 * kSecond);
  std::size_t unreachable = 0;
  for (auto& router : fleet.routers) {
    if (router->election.Role() != WatchRole::kWatcher) continue;
    router->store_reachable = false;
    if (++unreachable == 3) break;
  }
  ++fleet.store_version;
  fleet.Run(2 * kSecond);
  CHECK(fleet.CountOutdated() == 0);
  fleet.Run(5 * kSecond);
  ++fleet.store_version;
  fleet.Run(2 * kSecond);
  CHECK(fleet.CountOutdated() == 0);
}

TEST_CASE("a router that cannot catch up with its peers becomes a stand-in") {
  WatcherElection election(0);
  TimePoint now{kSecond};
  const auto receive_digests = [&] {
    for (std::uint64_t peer = 1; peer <= 5; ++peer) {
      election.OnDigest(now, std::to_string(peer), peer,
                        {Duration::zero(), Duration::zero(), false});
    }
  };
  receive_digests();
  for (int tick = 0; tick < 100; ++tick, now += kTick) {
    receive_digests();
    election.Decide(now, 5);
  }
  REQUIRE(election.Role() == WatchRole::kListener);
  election.OnLagDetected(now);
  now += std::chrono::milliseconds(750);
  receive_digests();
  CHECK(election.Decide(now, 5) == WatchRole::kStandIn);
}

// Guards against watchers on slow links, over which a large configuration takes
// most of the time that it may need to reach all routers.
TEST_CASE("routers with faster links watch before others") {
  constexpr std::uint32_t kSlowMbps = 10;
  constexpr std::uint32_t kFastMbps = 200;
  const TimePoint now{kSecond};
  WatcherElection election(3, kSlowMbps);
  const auto hear = [&](std::uint64_t key, std::uint32_t link_mbps) {
    WatchReport report;
    report.link_mbps = link_mbps;
    election.OnDigest(now, std::to_string(key), key, report);
  };
  hear(2, kFastMbps);
  CHECK(election.Rank() == 1);
  hear(4, kSlowMbps);
  CHECK(election.Rank() == 2);
  hear(1, kSlowMbps);
  CHECK(election.Rank() == 2);
  // A router of an earlier build states no link, and ranks by its key.
  hear(5, 0);
  CHECK(election.Rank() == 3);
  hear(0, 0);
  CHECK(election.Rank() == 3);
}

// Guards against reads of the whole tables by all routers of a large fleet that
// have just started: a router without a view watches the store itself.
TEST_CASE("a router that a peer has supplied need not read the store") {
  WatcherElection election(0);
  const TimePoint now{kSecond};
  for (std::uint64_t peer = 1; peer <= 5; ++peer) {
    election.OnPeerListed(now, std::to_string(peer), peer);
  }
  election.Decide(now, 5);
  election.OnPeerSupplied(now + std::chrono::milliseconds(400));
  CHECK(election.Decide(now + std::chrono::milliseconds(650), 5) ==
        WatchRole::kListener);
  // Nobody has told that the view is still current, though a watch must have
  // ended since.
  for (std::uint64_t peer = 1; peer <= 5; ++peer) {
    election.OnDigest(now + std::chrono::milliseconds(1000),
                      std::to_string(peer), peer, {});
  }
  CHECK(election.Decide(now + std::chrono::milliseconds(1400), 5) ==
        WatchRole::kStandIn);
}

// Guards against watchers that report a current view while their calls hang.
TEST_CASE("a view grows old while no answer shows it to be current") {
  WatcherElection election(1);
  election.Decide(TimePoint(kSecond), 0);
  REQUIRE(election.Decide(TimePoint(2 * kSecond), 0) == WatchRole::kWatcher);
  election.OnStoreAnswered(TimePoint(2 * kSecond));
  const WatchReport report = election.Report(TimePoint(3 * kSecond));
  CHECK(report.view_age == kSecond);
  CHECK(report.watcher_age == kSecond);
}

// Guards against a router that takes the place of a watcher again and again
// while the store does not answer it.
TEST_CASE("a router that the store has left tries before it is ranked again") {
  WatcherElection election(100);
  TimePoint now{kSecond};
  const auto run = [&](Duration duration) {
    for (const TimePoint end = now + duration; now < end; now += kTick) {
      for (std::uint64_t peer = 1; peer <= 5; ++peer) {
        election.OnDigest(now, std::to_string(peer), peer,
                          {Duration::zero(), Duration::zero(), false});
      }
      election.Decide(now, 5);
    }
  };
  run(kSecond);
  REQUIRE(election.Role() == WatchRole::kWatcher);
  election.OnStoreLost(now);
  run(kSecond);
  CHECK(election.Role() == WatchRole::kListener);
  CHECK(election.Report(now).store_lost);
  run(2 * kSecond);
  CHECK(election.Role() == WatchRole::kStandIn);
  CHECK(election.Report(now).store_lost);
  election.OnStoreLost(now);
  run(kSecond);
  CHECK(election.Role() == WatchRole::kListener);
  run(2 * kSecond);
  election.OnStoreAnswered(now);
  run(kTick);
  CHECK(election.Role() == WatchRole::kWatcher);
  CHECK_FALSE(election.Report(now).store_lost);
}

TEST_CASE("the watchers' waits end in turn by the store's clock") {
  for (int at_ms = 0; at_ms < 2400; at_ms += 7) {
    const Duration store_time = std::chrono::milliseconds(at_ms);
    for (std::size_t rank = 0; rank < kMaxElected; ++rank) {
      const Duration wait = NextWatchWait(store_time, rank, 0);
      const Duration end = store_time + wait;
      CHECK(end % kWatchPeriod == kWatchEndInterval * static_cast<int>(rank));
      CHECK(wait >= std::chrono::milliseconds(100));
      CHECK(wait <= kWatchPeriod + std::chrono::milliseconds(100));
    }
  }
  for (const double random : {0.0, 0.5, 0.99}) {
    const Duration wait = NextWatchWait(std::nullopt, 0, random);
    CHECK(wait <= kWatchPeriod / 2);
    CHECK(wait >= kWatchPeriod / 4);
  }
}

TEST_CASE("a digest without a view age does not refresh the view") {
  WatcherElection election(0);
  const TimePoint now{kSecond};
  for (std::uint64_t peer = 1; peer <= 5; ++peer) {
    election.OnDigest(now, std::to_string(peer), peer, {});
  }
  CHECK_FALSE(election.ViewAge(now));
  CHECK(election.Decide(now, 5) == WatchRole::kStarting);
  const TimePoint later = now + kSecond;
  CHECK(election.Decide(later, 5) == WatchRole::kStandIn);
}

TEST_CASE("changes reach all live routers despite crashes and partitions") {
  const bool held = rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(2, 30);
    FleetModel fleet(count);
    fleet.digest_loss = 0.03;
    fleet.Run(5 * kSecond);
    for (int change = 0; change < 3; ++change) {
      for (auto& router : fleet.routers) {
        router->alive = *rc::gen::inRange(0, 4) != 0;
        router->partition = *rc::gen::inRange(0, 6) == 0 ? 1 : 0;
      }
      ++fleet.store_version;
      fleet.Run(std::chrono::milliseconds(2500));
      RC_ASSERT(fleet.CountOutdated() == 0);
    }
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale
