// Where starting routers read configuration and engines: from the store, or
// from peers that have them.
#include "dandelionscale/core/start_up_source.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

TimePoint At(int ms) { return kStart + milliseconds(ms); }

// Keys of the peers of a router with key 1000 that has this rank among `count`
// routers.
std::vector<std::uint64_t> PeerKeys(std::size_t rank, std::size_t count) {
  std::vector<std::uint64_t> keys;
  for (std::size_t n = 0; n + 1 < count; ++n) {
    keys.push_back(n < rank ? 2000 + n : n);
  }
  return keys;
}

constexpr std::uint64_t kOwnKey = 1000;
constexpr std::size_t kLargeFleet = 16;

TEST_CASE("a router of a small fleet reads the store once it knows that") {
  StartUpSource source(kStart, kOwnKey, kLargeFleet);
  CHECK_FALSE(source.ReadsStore(At(10)));
  source.OnRoutersListed(At(20), PeerKeys(14, 15));
  CHECK(source.ReadsStore(At(20)));
  CHECK_FALSE(source.AsksPeers());
  // Also if a peer was faster.
  source.OnPeerSupplied();
  CHECK(source.ReadsStore(At(20)));
}

// Guards against a fleet that waits for a few readers to supply all others, and
// against one that reads the whole tables for each router.
TEST_CASE("the first tenth of a large fleet reads the store at once") {
  const auto [routers, readers] = GENERATE(
      table<std::size_t, std::size_t>({{16, 3}, {40, 3}, {100, 9}, {300, 29}}));
  for (std::size_t rank = 0; rank < routers; ++rank) {
    CAPTURE(routers, rank);
    StartUpSource source(kStart, kOwnKey, kLargeFleet);
    source.OnRoutersListed(At(20), PeerKeys(rank, routers));
    CHECK(source.ReadsStore(At(20)) == (rank < readers));
    CHECK(source.AsksPeers());
  }
}

// Load pattern: a router starts while its peers are dead, but still listed.
TEST_CASE("a router that no peer supplies reads the store within 2 s") {
  const auto rank = GENERATE(as<std::size_t>(), 3, 10, 100, 299);
  StartUpSource source(kStart, kOwnKey, kLargeFleet);
  source.OnRoutersListed(At(20), PeerKeys(rank, 300));
  CHECK(source.ReadsStore(At(2020)));
  source.OnPeerSupplied();
  CHECK_FALSE(source.ReadsStore(At(2020)));
  CHECK_FALSE(source.AsksPeers());
}

TEST_CASE("a router that does not learn the listed routers reads the store") {
  StartUpSource source(kStart, kOwnKey, kLargeFleet);
  SECTION("the call fails") {
    source.OnListFailed();
    CHECK(source.ReadsStore(At(10)));
  }
  SECTION("the call takes long") { CHECK(source.ReadsStore(At(1600))); }
}

// A fleet whose routers were all killed and start together, in steps of a
// millisecond. Each link carries one response at a time per `send_time`.
class FleetStart {
 public:
  FleetStart(std::size_t count, std::size_t dead, Duration send_time,
             unsigned seed)
      : send_time(send_time), random(seed) {
    std::vector<std::uint64_t> keys;
    for (std::size_t n = 0; n < count; ++n) {
      keys.push_back(HashText(std::to_string(n)));
    }
    // The dead ones rank first.
    std::sort(keys.rbegin(), keys.rend());
    for (std::size_t n = 0; n < count; ++n) {
      this->routers.push_back(
          {StartUpSource(kStart, keys[n], kLargeFleet), n < dead});
      std::vector<std::uint64_t> peers = keys;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(n));
      const TimePoint listed_at = kStart + milliseconds(this->Draw(100));
      this->routers.back().source.OnRoutersListed(listed_at, peers);
    }
  }

  // Returns when all that are alive have the rows.
  Duration Run() {
    while (this->now - kStart < std::chrono::seconds(20)) {
      this->now += milliseconds(1);
      bool all = true;
      for (Router& router : this->routers) {
        this->Step(router);
        all = all && (router.is_dead || router.has_rows);
      }
      if (all) break;
    }
    return this->now - kStart;
  }

  int StoreReads() const { return this->store_reads; }

 private:
  static constexpr int kMaxServed = 4;
  static constexpr Duration kStoreReadTime = milliseconds(400);

  struct Router {
    StartUpSource source;
    bool is_dead = false;
    bool has_rows = false;
    bool reads_store = false;
    TimePoint next_ask_at = kStart;
    std::optional<TimePoint> rows_at{};  // When a transfer ends.
    std::vector<TimePoint> sends_end_at{};
  };

  std::size_t Draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      bound - 1)(this->random);
  }

  void Step(Router& router) {
    if (router.is_dead || router.has_rows) return;
    if (router.rows_at && *router.rows_at <= this->now) {
      router.has_rows = true;
      router.source.OnPeerSupplied();
      return;
    }
    if (!router.reads_store && router.source.ReadsStore(this->now)) {
      router.reads_store = true;
      ++this->store_reads;
      this->Receive(router, this->now + kStoreReadTime);
    }
    if (router.rows_at || this->now < router.next_ask_at) return;
    router.next_ask_at = this->now + milliseconds(50);
    Router& peer = this->routers[this->Draw(this->routers.size())];
    if (!peer.is_dead) router.source.OnPeerAnswered();
    if (!peer.is_dead && peer.has_rows) this->Serve(peer, router);
  }

  void Receive(Router& router, TimePoint at) {
    router.rows_at = std::min(router.rows_at.value_or(TimePoint::max()), at);
  }

  void Serve(Router& peer, Router& router) {
    std::erase_if(peer.sends_end_at,
                  [this](TimePoint end) { return end <= this->now; });
    if (peer.sends_end_at.size() >= kMaxServed) return;
    const TimePoint begin =
        peer.sends_end_at.empty() ? this->now : peer.sends_end_at.back();
    peer.sends_end_at.push_back(begin + this->send_time);
    this->Receive(router, begin + this->send_time);
  }

  Duration send_time;
  std::mt19937 random;
  TimePoint now = kStart;
  std::vector<Router> routers;
  int store_reads = 0;
};

// A list of 3,000 engines takes 180 KB: 150 ms on a link of 10 Mbit/s.
TEST_CASE("300 routers that start together supply each other") {
  const auto seed = GENERATE(range(1U, 6U));
  const auto dead = GENERATE(as<std::size_t>(), 0, 3, 30);
  FleetStart fleet(300, dead, milliseconds(150), seed);
  const Duration took = fleet.Run();
  CAPTURE(seed, dead, ToMilliseconds(took), fleet.StoreReads());
  CHECK(took < milliseconds(5000));
  // If as many as a tenth are dead and these rank first, the first read begins
  // late and the others follow fast: half of the routers read then.
  CHECK(fleet.StoreReads() <= (dead <= 3 ? 60 : 150));
}

}  // namespace
}  // namespace dandelionscale
