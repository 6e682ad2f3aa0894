// What routers know of the versions at which streams have begun, alone and as a
// fleet whose routers are killed.
#include "dandelionscale/core/stream_origins.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

TEST_CASE("an origin is known until it expires") {
  StreamOrigins origins;
  origins.Record(kStart, {1, 7}, false);
  CHECK(origins.Find(kStart, 1) == 7U);
  CHECK_FALSE(origins.Find(kStart, 2));
  const TimePoint end = kStart + StreamOrigins::kMemory;
  CHECK(origins.Find(end - milliseconds(1), 1) == 7U);
  CHECK_FALSE(origins.Find(end, 1));
  // A resumption keeps it for longer.
  origins.Record(end - milliseconds(1), {1, 7}, false);
  CHECK(origins.Find(end, 1) == 7U);
}

TEST_CASE("a stream that was reported with two versions is unknown") {
  StreamOrigins origins;
  origins.Record(kStart, {1, 7}, true);
  origins.Record(kStart, {1, 8}, false);
  CHECK_FALSE(origins.Find(kStart, 1));
  origins.Record(kStart, {1, 7}, true);
  CHECK_FALSE(origins.Find(kStart, 1));
  CHECK(origins.Own(kStart).empty());
}

TEST_CASE("the number of origins is bounded, the oldest are dropped") {
  StreamOrigins origins;
  const std::uint64_t last = StreamOrigins::kMaxStreams + 100;
  for (std::uint64_t n = 1; n <= last; ++n) {
    origins.Record(kStart + milliseconds(n), {n, 7}, false);
  }
  const TimePoint now = kStart + milliseconds(last);
  CHECK(origins.Size() == StreamOrigins::kMaxStreams);
  CHECK_FALSE(origins.Find(now, 1));
  CHECK(origins.Find(now, last) == 7U);
}

TEST_CASE("keys differ by workspace, service and text") {
  CHECK(StreamKey("a", "bc") != StreamKey("ab", "c"));
  CHECK(VersionKey("a", "v1") != VersionKey("b", "v1"));
  CHECK(VersionKey("a", "v1") != VersionKey("a", "v2"));
}

TEST_CASE("only own origins are reported to peers") {
  StreamOrigins origins;
  origins.Record(kStart, {1, 7}, true);
  origins.Record(kStart, {2, 7}, false);
  REQUIRE(origins.Own(kStart).size() == 1);
  CHECK(origins.Own(kStart)[0].stream_key == 1);
}

// Routers of a fleet, with the origins that they have been told.
class FleetModel {
 public:
  explicit FleetModel(std::size_t routers) : memory(routers) {
    for (std::size_t n = 0; n < routers; ++n) {
      this->names.push_back("10.0.0." + std::to_string(n) + ":7340");
    }
  }

  void Begin(std::size_t router, StreamOrigin origin) {
    this->memory[router].Record(kStart, origin, true);
    for (std::size_t keeper :
         this->First(router, origin.stream_key, kOriginKeepers)) {
      this->memory[keeper].Record(kStart, origin, false);
    }
  }

  void Kill(std::size_t router) { this->memory[router] = StreamOrigins(); }

  std::optional<std::uint64_t> Resume(std::size_t router,
                                      std::uint64_t stream_key) const {
    const TimePoint now = kStart + seconds(1);
    if (auto own = this->memory[router].Find(now, stream_key)) return own;
    for (std::size_t peer : this->First(router, stream_key, kAskedPeers)) {
      if (auto told = this->memory[peer].Find(now, stream_key)) return told;
    }
    return std::nullopt;
  }

 private:
  // The first peers of a router, by their numbers.
  std::vector<std::size_t> First(std::size_t router, std::uint64_t stream_key,
                                 std::size_t count) const {
    std::vector<std::string_view> peers;
    for (std::size_t n = 0; n < this->names.size(); ++n) {
      if (n != router) peers.push_back(this->names[n]);
    }
    std::vector<std::size_t> numbers;
    for (const std::string& name : FirstPeers(stream_key, peers, count)) {
      const auto found =
          std::find(this->names.begin(), this->names.end(), name);
      numbers.push_back(static_cast<std::size_t>(found - this->names.begin()));
    }
    return numbers;
  }

  std::vector<std::string> names;
  std::vector<StreamOrigins> memory;
};

TEST_CASE("a fleet knows where streams began although routers are killed") {
  constexpr std::uint64_t kStreams = 300;
  for (const std::size_t routers : {std::size_t{8}, std::size_t{295}}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      CAPTURE(routers, seed);
      std::mt19937_64 random(seed);
      // Share of routers killed, and the least share of streams that go on.
      struct Case {
        double killed;
        double least_known;
      };
      for (const Case& test :
           {Case{0, 1}, Case{0.125, 0.95}, Case{0.5, 0.5}, Case{1, 0}}) {
        FleetModel fleet(routers);
        for (std::uint64_t n = 1; n <= kStreams; ++n) {
          fleet.Begin(random() % routers, {n, 1 + n % 2});
        }
        std::vector<std::size_t> order(routers);
        for (std::size_t n = 0; n < routers; ++n) order[n] = n;
        std::shuffle(order.begin(), order.end(), random);
        const auto killed = static_cast<std::size_t>(
            test.killed * static_cast<double>(routers));
        for (std::size_t n = 0; n < killed; ++n) fleet.Kill(order[n]);
        std::uint64_t known = 0;
        for (std::uint64_t n = 1; n <= kStreams; ++n) {
          const auto version = fleet.Resume(random() % routers, n);
          if (!version) continue;
          ++known;
          REQUIRE(*version == 1 + n % 2);
        }
        const double share =
            static_cast<double>(known) / static_cast<double>(kStreams);
        CHECK(share >= test.least_known);
        if (killed == routers) CHECK(known == 0);
      }
    }
  }
}

}  // namespace
}  // namespace dandelionscale
