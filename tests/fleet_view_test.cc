// Engine ownership and ranking, computed from configuration, membership and
// leaving hosts.
#include "dandelionscale/core/fleet_view.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.services.push_back({"advice", ServiceKind::kChat, 1.25, false});
  for (int i = 0; i < 40; ++i) {
    configuration.engines.push_back({"engine-" + std::to_string(i), "advice",
                                     i % 2 == 0 ? "north" : "south",
                                     "127.0.0.1:1", 64});
  }
  return configuration;
}

Membership MakeMembership(int routers) {
  Membership membership;
  for (int i = 0; i < routers; ++i) {
    membership.members.push_back({"router-" + std::to_string(i),
                                  i % 2 == 0 ? "north" : "south", "127.0.0.1:2",
                                  1, false});
  }
  return membership;
}

TEST_CASE(
    "an engine's owner is in its availability zone if that has a router") {
  const Membership membership = MakeMembership(6);
  const FleetView view(MakeConfiguration(), membership, {});
  for (const FleetEngine& engine : view.Engines()) {
    const Member* owner = membership.Find(engine.owner);
    REQUIRE(owner != nullptr);
    CHECK(owner->availability_zone == engine.availability_zone);
  }
  const FleetView lone(MakeConfiguration(), MakeMembership(1), {});
  for (const FleetEngine& engine : lone.Engines()) {
    CHECK(engine.owner == "router-0");
  }
}

TEST_CASE("when a router drains, only its own engines change owner") {
  Membership membership = MakeMembership(6);
  const FleetView before(MakeConfiguration(), membership, {});
  membership.members[2].draining = true;
  const FleetView after(MakeConfiguration(), membership, {});
  for (std::size_t i = 0; i < before.Engines().size(); ++i) {
    const std::string& owner = before.Engines()[i].owner;
    if (owner == "router-2") {
      CHECK(after.Engines()[i].owner != owner);
    } else {
      CHECK(after.Engines()[i].owner == owner);
    }
  }
}

TEST_CASE("engines that drain by rule or by host list are not ranked") {
  Configuration configuration = MakeConfiguration();
  configuration.draining_engines = {"engine-3"};
  const FleetView view(configuration, MakeMembership(2), {"engine-4"});
  const auto ranked = view.RankByHash(0, 77);
  CHECK(ranked.size() == 38);
  for (EngineIndex index : ranked) {
    CHECK(view.Engine(index).name != "engine-3");
    CHECK(view.Engine(index).name != "engine-4");
  }
  CHECK(ranked.front() == view.FirstByHash(0, 77));
}

}  // namespace
}  // namespace dandelionscale
