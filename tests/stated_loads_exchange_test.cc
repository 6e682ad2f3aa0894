// Loads that engines state, from their responses to the digests of routers and
// from there to placements.
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <limits>

#include "dispatch/dispatch_state.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "platform/platform_codec.h"

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;

struct Router {
  explicit Router(std::size_t peers) {
    for (std::size_t n = 0; n < peers; ++n) {
      this->state.peers.insert("10.0.1." + std::to_string(n) + ":7000");
    }
    std::vector<EngineRecord> records;
    for (const char* id : {"e1", "e2"}) {
      records.push_back({id, "s1", "10.0.0.9:8080", "z", 64, false, 7, "v1"});
    }
    this->state.engines.OnSnapshot(RuntimeClock::now(), {1, 1}, records);
    this->state.OnLoopCheck(RuntimeClock::now());
  }

  Engine& At(std::size_t index) {
    return *this->state.engines.Find("s1")[index];
  }
  void OnResponse(std::size_t index, std::string_view load) {
    this->state.OnEngineResponse(
        this->At(index), this->state.codec->DecodeResponse(
                             200, {{"Instance-Load", std::string(load)}}));
  }
  wire::RouterDigest Digest() const {
    wire::RouterDigest digest;
    FillStatedLoads(this->state, digest);
    return digest;
  }
  // The estimate for the first engine, of which peers report 7 requests.
  std::uint32_t Estimate() {
    std::vector<PlacementCandidate> candidates(2);
    candidates[0].engine_key = this->At(0).key;
    candidates[0].own_in_flight = this->At(0).in_flight;
    candidates[0].in_flight = 7;
    candidates[0].max_slots = 64;
    candidates[1].engine_key = this->At(1).key;
    this->state.CorrectByStatedLoads(RuntimeClock::now(), {}, candidates);
    return candidates[0].in_flight;
  }

  boost::asio::io_context loop;
  DispatchState state{this->loop.get_executor(),
                      {},
                      std::make_shared<platform::PlatformCodec>()};
};

TEST_CASE("a stated load reaches the placements of a peer") {
  Router sender(83);
  Router receiver(83);
  sender.OnResponse(0, "20,3,64,250");
  CHECK(sender.Estimate() == 23);
  const wire::RouterDigest digest = sender.Digest();
  REQUIRE(digest.stated_engines_size() == 1);
  CHECK(digest.stated_engines(0) == ShortKey(sender.At(0).key));
  CHECK(digest.stated_in_flight(0) == 23);
  CHECK(digest.stated_paces(0) == 250);
  CHECK(digest.stated_ages_ms(0) < 500);
  wire::RouterDigest received;
  REQUIRE(received.ParseFromString(digest.SerializeAsString()));
  CHECK_FALSE(HasMalformedStatedLoads(received));
  ApplyForwardedLoads(receiver.state, received);
  CHECK(receiver.Estimate() == 23);
  CHECK(receiver.state.stated_loads.Pace(RuntimeClock::now(),
                                         receiver.At(0).key) == 250);
  // It isn't passed on once more.
  CHECK(receiver.Digest().ByteSizeLong() == 0);
  CHECK(sender.state.metrics.Counter(
            "stated_loads_received_total{from=\"engine\"}") == 1);
  CHECK(receiver.state.metrics.Counter(
            "stated_loads_received_total{from=\"peer\"}") == 1);
}

// With 13 routers, each digest goes to every peer.
TEST_CASE("routers of a small fleet neither send nor use stated loads") {
  Router small(kDigestFanout);
  small.OnResponse(0, "20,3,64,250");
  CHECK(small.Digest().ByteSizeLong() == 0);
  CHECK(small.Estimate() == 7);
  Router large(kDigestFanout + 1);
  large.OnResponse(0, "20,3,64,250");
  CHECK(large.Digest().stated_engines_size() == 1);
  CHECK(large.Estimate() == 23);
}

TEST_CASE("engines of older builds and malformed loads change nothing") {
  Router router(83);
  router.state.OnEngineResponse(router.At(0), EngineResponse());
  router.OnResponse(0, "20,3");
  router.OnResponse(0, "20,3,64,inf");
  CHECK(router.Estimate() == 7);
  CHECK(router.Digest().ByteSizeLong() == 0);
  // The sum does not wrap around.
  router.OnResponse(0, "4294967295,4294967295,64");
  CHECK(router.Estimate() == 128);
  CHECK(router.Digest().stated_in_flight(0) ==
        std::numeric_limits<std::uint32_t>::max());
}

TEST_CASE("a digest whose lists differ in length is malformed") {
  Router router(83);
  router.OnResponse(0, "20,3,64");
  for (int list = 0; list < 4; ++list) {
    wire::RouterDigest digest = router.Digest();
    if (list == 0) digest.clear_stated_engines();
    if (list == 1) digest.add_stated_in_flight(1);
    if (list == 2) digest.clear_stated_paces();
    if (list == 3) digest.add_stated_ages_ms(1);
    CHECK(HasMalformedStatedLoads(digest));
  }
  CHECK_FALSE(HasMalformedStatedLoads(wire::RouterDigest()));
}

TEST_CASE("odd numbers and unknown engines of a peer are harmless") {
  Router router(83);
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  wire::RouterDigest digest;
  const std::uint32_t known = ShortKey(router.At(0).key);
  for (const std::uint32_t engine : {known, known + 1}) {
    digest.add_stated_engines(engine);
    digest.add_stated_in_flight(kMost);
    digest.add_stated_paces(kMost);
    digest.add_stated_ages_ms(kMost);
  }
  ApplyForwardedLoads(router.state, digest);
  CHECK(router.Estimate() == 7);
  digest.set_stated_ages_ms(0, 0);
  ApplyForwardedLoads(router.state, digest);
  CHECK(router.Estimate() == 128);
  CHECK(router.state.stated_loads.Pace(RuntimeClock::now(), router.At(0).key) ==
        StatedLoads::kMaxPace);
}

// A digest or response that waited while the process was paused states an age
// that is too low.
TEST_CASE("loads that are read after a pause of the process are ignored") {
  Router router(83);
  Router sender(83);
  sender.OnResponse(0, "20,3,64");
  const wire::RouterDigest digest = sender.Digest();
  router.state.OnLoopCheck(RuntimeClock::now() - std::chrono::seconds(5));
  router.OnResponse(0, "20,3,64");
  ApplyForwardedLoads(router.state, digest);
  CHECK(router.Estimate() == 7);
}

TEST_CASE("the age of the estimate is that of the source in use") {
  Router router(83);
  CHECK(router.state.LoadEstimateAge(RuntimeClock::now(), router.At(0)) ==
        milliseconds(875));
  router.OnResponse(0, "20,3,64");
  CHECK(router.state.LoadEstimateAge(RuntimeClock::now(), router.At(0)) <
        milliseconds(500));
}

}  // namespace
}  // namespace dandelionscale::internal
