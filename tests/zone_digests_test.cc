// What the routers of a large fleet tell those of other availability zones: the
// bytes between zones, and how fast changes spread, by a model of 300 routers
// in 3 zones.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/core/prefix_update_queue.h"

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRouters = 300;
constexpr int kZones = 3;
constexpr std::size_t kZoneSize = kRouters / kZones;
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr Duration kMinDigestInterval = milliseconds(30);
// Digests name a leaving engine, which each receiver passes on, for this time.
constexpr Duration kDrainAnnouncement = milliseconds(2000);
// Encoded sizes of one entry of a digest and of the other fields.
constexpr std::size_t kPlacementBytes = 12;
constexpr std::size_t kRestBytes = 50;
constexpr std::size_t kLoadBytes = 5;
constexpr std::size_t kEnginesInUse = 13;
// New entries of each router in a second, one of `kLongEvery` for a long
// prefix.
constexpr Duration kEntryInterval = milliseconds(200);
constexpr std::uint64_t kLongEvery = 5;
constexpr std::uint32_t kLongTokens = 5000;
constexpr std::uint32_t kShortTokens = 700;
// The entries whose spread is measured.
constexpr std::uint64_t kShortPart = 1;
constexpr std::uint64_t kLongPart = 2;

struct Options {
  bool keeps_short_in_zone = true;
  // The addresses of a zone follow one another, so that many digests go to one
  // zone only.
  bool zones_follow = false;
  // Recipients of a digest in other zones if these have a rotation of their
  // own; otherwise all peers have one.
  std::optional<std::size_t> other_zone_slots{};
  // Share of datagrams that are lost.
  double loss = 0;
  unsigned seed = 1;
};

// Runs in steps of a millisecond.
class ZoneModel {
 public:
  explicit ZoneModel(Options options)
      : options(options), random(options.seed), routers(kRouters) {
    for (std::size_t n = 0; n < kRouters; ++n) {
      Router& router = this->routers[n];
      router.zone = this->ZoneOf(n);
      router.heard.assign(kRouters, kStart);
      router.rotation_at =
          kStart + milliseconds(this->Draw(ToMilliseconds(kDigestInterval)));
      router.entry_at =
          kStart + milliseconds(this->Draw(ToMilliseconds(kEntryInterval)));
      this->FillRotations(n);
    }
  }

  void Run(Duration time) {
    const TimePoint until = this->now + time;
    while (this->now < until) this->Step();
  }
  // Returns the time until the condition holds for all routers, at most 30 s.
  template <typename Predicate>
  Duration RunUntilAll(Predicate holds) {
    const TimePoint began = this->now;
    while (!std::all_of(this->routers.begin(), this->routers.end(), holds) &&
           this->now - began < seconds(30)) {
      this->Step();
    }
    return this->now - began;
  }

  struct Router {
    int zone = 0;
    // Indices of peers, and the position of the next one. Without rotations of
    // their own, all peers are in the first.
    std::array<std::vector<std::size_t>, 2> rotations;
    std::array<std::size_t, 2> next{};
    TimePoint rotation_at{};
    std::optional<TimePoint> digest_at;
    TimePoint entry_at{};
    std::optional<TimePoint> drain_known_at;
    bool knows_evacuation = false;
    std::array<bool, 3> knows_part{};
    PrefixUpdateQueue queue;
    std::vector<TimePoint> heard;  // Arrival of each peer's last digest.
  };

  Router& At(std::size_t n) { return this->routers[n]; }
  void OnDrain(Router& router) {
    if (router.drain_known_at) return;
    router.drain_known_at = this->now;
    this->Announce(router);
  }
  void OnEvacuation(Router& router) {
    if (!router.knows_evacuation) this->Announce(router);
    router.knows_evacuation = true;
  }
  void Place(Router& router, std::uint64_t part, std::uint32_t tokens) {
    router.queue.Add(
        {part, 7, false,
         ScopeOfPrefix(tokens, this->options.keeps_short_in_zone)});
    if (part < router.knows_part.size()) router.knows_part[part] = true;
  }
  std::size_t Knowing(std::uint64_t part) const {
    return static_cast<std::size_t>(std::count_if(
        this->routers.begin(), this->routers.end(),
        [part](const Router& router) { return router.knows_part[part]; }));
  }
  // Longest time since a router heard a peer, of the own or of other zones.
  Duration OldestReport(bool of_own_zone) const {
    Duration oldest{0};
    for (std::size_t n = 0; n < kRouters; ++n) {
      for (std::size_t peer = 0; peer < kRouters; ++peer) {
        const bool is_own = this->ZoneOf(n) == this->ZoneOf(peer);
        if (n == peer || is_own != of_own_zone) continue;
        oldest = std::max(oldest, this->now - this->routers[n].heard[peer]);
      }
    }
    return oldest;
  }
  std::size_t PlacementBytesBetweenZones() const { return this->placements; }
  std::size_t BytesBetweenZones() const {
    return this->placements + this->rest;
  }

 private:
  int ZoneOf(std::size_t n) const {
    return static_cast<int>(this->options.zones_follow ? n / kZoneSize
                                                       : n % kZones);
  }
  std::size_t Draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      bound - 1)(this->random);
  }
  void Announce(Router& router) {
    if (!router.digest_at) router.digest_at = this->now + kMinDigestInterval;
  }

  void FillRotations(std::size_t n) {
    Router& router = this->routers[n];
    for (std::size_t peer = 0; peer < kRouters; ++peer) {
      if (peer == n) continue;
      const bool is_other = this->ZoneOf(peer) != router.zone;
      const bool is_second = is_other && this->options.other_zone_slots;
      router.rotations[is_second ? 1 : 0].push_back(peer);
    }
    for (std::size_t m = 0; m < 2; ++m) {
      if (!router.rotations[m].empty()) {
        router.next[m] = this->Draw(router.rotations[m].size());
      }
    }
  }
  std::array<std::size_t, 2> Slots() const {
    const std::size_t other = this->options.other_zone_slots.value_or(0);
    return {kDigestFanout - other, other};
  }
  // Digests within which all peers of both rotations are served.
  std::size_t DigestsPerRotation(const Router& router) const {
    std::size_t digests = 0;
    for (std::size_t m = 0; m < 2; ++m) {
      const std::size_t slots = this->Slots()[m];
      if (slots == 0) continue;
      digests =
          std::max(digests, (router.rotations[m].size() + slots - 1) / slots);
    }
    return digests;
  }

  void Step() {
    this->now += milliseconds(1);
    for (Router& router : this->routers) {
      if (router.entry_at <= this->now) {
        router.entry_at += kEntryInterval;
        const bool is_long = ++this->entries % kLongEvery == 0;
        this->Place(router, 1000 + this->entries,
                    is_long ? kLongTokens : kShortTokens);
      }
      const bool is_due = router.digest_at && *router.digest_at <= this->now;
      if (is_due || router.rotation_at <= this->now) this->SendDigest(router);
    }
  }

  void SendDigest(Router& sender) {
    sender.digest_at.reset();
    sender.rotation_at = this->now + kDigestInterval;
    std::vector<PrefixUpdate> updates =
        sender.queue.TakeForDigest(this->DigestsPerRotation(sender), 250);
    std::vector<PrefixUpdate> for_others = updates;
    std::erase_if(for_others, [](const PrefixUpdate& update) {
      return !IsForAllZones(update);
    });
    for (std::size_t m = 0; m < 2; ++m) {
      for (std::size_t n = 0; n < this->Slots()[m]; ++n) {
        const auto& peers = sender.rotations[m];
        Router& peer = this->routers[peers[sender.next[m]++ % peers.size()]];
        this->Deliver(sender, peer,
                      peer.zone == sender.zone ? updates : for_others);
      }
    }
  }

  void Deliver(const Router& sender, Router& peer,
               const std::vector<PrefixUpdate>& updates) {
    if (peer.zone != sender.zone) {
      this->placements += updates.size() * kPlacementBytes;
      this->rest += kRestBytes + kEnginesInUse * kLoadBytes;
    }
    const double drawn = std::uniform_real_distribution<>(0, 1)(this->random);
    if (drawn < this->options.loss) return;
    const auto index = static_cast<std::size_t>(&sender - this->routers.data());
    peer.heard[index] = this->now;
    const bool names_drain =
        sender.drain_known_at &&
        this->now - *sender.drain_known_at < kDrainAnnouncement;
    if (names_drain) this->OnDrain(peer);
    if (sender.knows_evacuation) this->OnEvacuation(peer);
    for (const PrefixUpdate& update : updates) {
      if (update.part_key >= peer.knows_part.size()) continue;
      peer.knows_part[update.part_key] = true;
    }
  }

  Options options;
  std::mt19937 random;
  TimePoint now = kStart;
  std::vector<Router> routers;
  std::uint64_t entries = 0;
  std::size_t placements = 0;
  std::size_t rest = 0;
};

// Load pattern: each router places five new prefixes a second, one of which is
// long.
TEST_CASE(
    "a large fleet with costly traffic sends few entries to other zones") {
  const bool zones_follow = GENERATE(false, true);
  CAPTURE(zones_follow);
  std::array<std::size_t, 2> bytes{};
  for (const bool keeps_short_in_zone : {false, true}) {
    ZoneModel model({keeps_short_in_zone, zones_follow});
    model.Run(seconds(8));
    const std::size_t before = model.PlacementBytesBetweenZones();
    model.Run(seconds(4));
    bytes[keeps_short_in_zone ? 1 : 0] =
        model.PlacementBytesBetweenZones() - before;
  }
  CAPTURE(bytes[0], bytes[1]);
  // The long ones are a fifth.
  CHECK(bytes[1] * 4 < bytes[0]);
  CHECK(bytes[1] * 6 > bytes[0]);
}

// Guards against entries that reach routers outside their scope, or routers in
// it late.
TEST_CASE("a new entry reaches its scope within a rotation of digests") {
  const bool zones_follow = GENERATE(false, true);
  const auto seed = GENERATE(range(1U, 4U));
  CAPTURE(zones_follow, seed);
  ZoneModel model({true, zones_follow, std::nullopt, 0, seed});
  model.Run(seconds(1));
  const std::size_t placing = 17;
  model.Place(model.At(placing), kShortPart, kShortTokens);
  model.Place(model.At(placing), kLongPart, kLongTokens);
  const Duration rotation = DigestRotationPeriod(kRouters - 1);
  model.Run(rotation);
  CHECK(model.Knowing(kShortPart) == kZoneSize);
  CHECK(model.Knowing(kLongPart) == kRouters);
  model.Run(rotation);
  CHECK(model.Knowing(kShortPart) == kZoneSize);
}

// Failure: one datagram in 20 is lost.
TEST_CASE("drains, evacuations and loads are known in time in a large fleet") {
  const bool zones_follow = GENERATE(false, true);
  const auto seed = GENERATE(range(1U, 4U));
  CAPTURE(zones_follow, seed);
  ZoneModel model({true, zones_follow, std::nullopt, 0.05, seed});
  model.Run(seconds(1));
  for (std::size_t watcher : {0U, 130U, 271U}) {
    model.OnDrain(model.At(watcher));
    model.OnEvacuation(model.At(watcher));
  }
  const Duration drain = model.RunUntilAll(
      [](const ZoneModel::Router& router) { return router.drain_known_at; });
  const Duration evacuation = model.RunUntilAll(
      [](const ZoneModel::Router& router) { return router.knows_evacuation; });
  CAPTURE(ToMilliseconds(drain), ToMilliseconds(evacuation));
  CHECK(drain < milliseconds(1000));
  CHECK(evacuation < milliseconds(1000));
}

// Load reports expire after two rotations of digests.
TEST_CASE("each router hears each peer once in a rotation") {
  const bool zones_follow = GENERATE(false, true);
  CAPTURE(zones_follow);
  ZoneModel model({true, zones_follow});
  const Duration rotation = DigestRotationPeriod(kRouters - 1);
  model.Run(2 * rotation);
  CHECK(model.OldestReport(true) <= rotation + kDigestInterval);
  CHECK(model.OldestReport(false) <= rotation + kDigestInterval);
}

// Prints the table in docs/design/fleet-cost.md; run by its tag.
TEST_CASE("weighs the recipients in other zones", "[.weigh]") {
  fmt::print("slots drain_ms evacuation_ms entry_ms own_s other_s kB_s\n");
  for (const std::size_t slots : {0U, 8U, 6U, 4U, 2U}) {
    Options options;
    options.loss = 0.05;
    if (slots > 0) options.other_zone_slots = slots;
    ZoneModel model(options);
    model.Run(seconds(30));
    const std::size_t before = model.BytesBetweenZones();
    model.Run(seconds(4));
    const std::size_t bytes = model.BytesBetweenZones() - before;
    Options lossless = options;
    lossless.loss = 0;
    ZoneModel ages(lossless);
    ages.Run(seconds(60));
    for (std::size_t watcher : {0U, 130U, 271U}) {
      model.OnDrain(model.At(watcher));
      model.OnEvacuation(model.At(watcher));
    }
    const Duration drain = model.RunUntilAll(
        [](const ZoneModel::Router& router) { return router.drain_known_at; });
    const Duration rest =
        model.RunUntilAll([](const ZoneModel::Router& router) {
          return router.knows_evacuation;
        });
    ages.Place(ages.At(17), kLongPart, kLongTokens);
    const Duration entry =
        ages.RunUntilAll([](const ZoneModel::Router& router) {
          return router.knows_part[kLongPart];
        });
    fmt::print(
        "{} {} {} {} {:.1f} {:.1f} {:.1f}\n", slots, ToMilliseconds(drain),
        ToMilliseconds(drain + rest), ToMilliseconds(entry),
        static_cast<double>(ToMilliseconds(ages.OldestReport(true))) / 1e3,
        static_cast<double>(ToMilliseconds(ages.OldestReport(false))) / 1e3,
        static_cast<double>(bytes) / 4.0 / kRouters / 1e3);
  }
}

}  // namespace
}  // namespace dandelionscale
