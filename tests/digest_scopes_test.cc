// What a router takes from its peers' messages about prompt parts in a large
// fleet, and which zone it counts its own messages for.
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "dispatch/dispatch_state.h"
#include "dispatch/peers/peer_reports.h"
#include "platform/platform_codec.h"

namespace dandelionscale::internal {
namespace {

struct StateFixture {
  StateFixture() {
    EngineRecord record;
    record.id = "e1";
    record.service = "s1";
    record.address = "10.0.0.9:1";
    record.max_slots = 8;
    this->state.engines.OnSnapshot(RuntimeClock::now(), {1, 1},
                                   std::vector<EngineRecord>{record});
  }
  std::uint64_t EngineKey() {
    return this->state.engines.Find("s1").front()->key;
  }

  boost::asio::io_context loop;
  DispatchState state{this->loop.get_executor(),
                      {},
                      std::make_shared<platform::PlatformCodec>()};
};

// Guards against evictions that don't reach other zones because a peer's entry
// counts as one for the own zone: earlier builds, and smaller fleets, state
// nothing and send all entries to all zones. The number may exceed the parts.
TEST_CASE("a peer's entries have the scope that it states") {
  const auto [stated, first, second] =
      GENERATE(table<std::optional<std::size_t>, UpdateScope, UpdateScope>(
          {{std::nullopt, UpdateScope::kAllZones, UpdateScope::kAllZones},
           {0, UpdateScope::kOwnZone, UpdateScope::kOwnZone},
           {1, UpdateScope::kAllZones, UpdateScope::kOwnZone},
           {99, UpdateScope::kAllZones, UpdateScope::kAllZones}}));
  StateFixture fixture;
  const std::uint32_t engine = ShortKey(fixture.EngineKey());
  const std::vector<std::uint64_t> parts = {1, 2};
  const std::vector<std::uint32_t> engines = {engine, engine};
  ApplyPlacements(fixture.state, parts, engines, stated);
  const PrefixIndex& prefixes = fixture.state.prefixes;
  CHECK(prefixes.ScopeOf(1) == first);
  CHECK(prefixes.ScopeOf(2) == second);
  CHECK(prefixes.IsHolder(1, fixture.EngineKey()));
  ApplyEvictions(fixture.state, parts, engines);
  CHECK_FALSE(prefixes.IsHolder(1, fixture.EngineKey()));
}

TEST_CASE("a fleet is large by the number of its listed and heard routers") {
  StateFixture fixture;
  fixture.state.options.min_large_fleet = 3;
  fixture.state.peers = {"10.0.0.1:5"};
  CHECK_FALSE(fixture.state.IsLargeFleet());
  fixture.state.peers.insert("10.0.0.2:5");
  CHECK(fixture.state.IsLargeFleet());
}

// Guards against prefixes that every zone computes for itself although nobody
// has rated the traffic that this saves.
TEST_CASE(
    "short prefixes stay in the zone if a large fleet's traffic is costly") {
  StateFixture fixture;
  fixture.state.peers = {"10.0.0.1:5", "10.0.0.2:5"};
  fixture.state.options.min_large_fleet = 3;
  CHECK_FALSE(fixture.state.KeepsShortPrefixesInZone());
  fixture.state.options.zone_cost = 2;
  CHECK(fixture.state.KeepsShortPrefixesInZone());
  fixture.state.options.min_large_fleet = 4;
  CHECK_FALSE(fixture.state.KeepsShortPrefixesInZone());
}

// Guards against a peer whose address is the beginning of another one's.
TEST_CASE("a host has the zone of the peer with its address") {
  StateFixture fixture;
  DispatchState& state = fixture.state;
  state.live_peers["10.0.0.11:5"].zone_key = state.zone_key + 1;
  state.live_peers["10.0.0.2:5"].zone_key = state.zone_key;
  state.live_peers["10.0.0.3:5"];
  CHECK(state.ZoneOfHost("10.0.0.11") == PeerZone::kOther);
  for (const char* own : {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", ""}) {
    CAPTURE(own);
    CHECK(state.ZoneOfHost(own) == PeerZone::kOwn);
  }
}

}  // namespace
}  // namespace dandelionscale::internal
