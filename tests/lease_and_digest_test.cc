// Expiry of leases under a simulated clock, and load totals over the digest
// tree.
#include <catch2/catch.hpp>
#include <map>

#include "dandelionscale/core/digest_tree.h"
#include "dandelionscale/core/lease.h"

namespace dandelionscale {
namespace {

using std::chrono::seconds;

Membership MakeMembership(int routers) {
  Membership membership;
  for (int i = 0; i < routers; ++i) {
    membership.members.push_back(
        {"router-" + std::to_string(i), "north", "127.0.0.1:2", 1, false});
  }
  return membership;
}

// A holder that was paused must not act on its expired lease.
TEST_CASE("a lease that is not renewed expires for its holder") {
  OwnLease lease(seconds(6));
  const TimePoint start{seconds(100)};
  CHECK_FALSE(lease.IsHeld(start));
  lease.OnRenewed(start);
  CHECK(lease.IsHeld(start + seconds(5)));
  CHECK_FALSE(lease.IsHeld(start + seconds(6)));
}

TEST_CASE("a lease has expired when its row has not changed for its length") {
  LeaseWatch watch("router-0", seconds(6));
  const TimePoint start{seconds(100)};
  CHECK_FALSE(watch.Observe("router-1", 7, start));
  CHECK_FALSE(watch.Observe("router-1", 7, start + seconds(5)));
  CHECK_FALSE(watch.Observe("router-1", 8, start + seconds(7)));
  CHECK(watch.Observe("router-1", 8, start + seconds(13)));
  watch.Reset();
  CHECK_FALSE(watch.Observe("router-1", 8, start + seconds(14)));
}

TEST_CASE("every router is watched by two others") {
  const Membership membership = MakeMembership(12);
  std::map<std::string, int> watchers;
  for (const Member& member : membership.members) {
    LeaseWatch watch(member.name, seconds(6));
    watch.SetMembership(membership);
    for (const std::string& name : watch.Watched()) ++watchers[name];
  }
  CHECK(watchers.size() == 12);
  for (const auto& [name, count] : watchers) CHECK(count == 2);
}

TEST_CASE("the tree adds up every router's load, at 8 and at 410 routers") {
  for (int routers : {1, 8, 410}) {
    const Membership membership = MakeMembership(routers);
    std::map<std::string, DigestTree> trees;
    for (const Member& member : membership.members) {
      auto tree = trees.emplace(member.name, DigestTree(member.name)).first;
      tree->second.SetMembership(membership);
      tree->second.SetOwn({{1, {3, 2}}});
      CHECK(tree->second.Children().size() <= DigestTree::kFanOut);
    }
    const TimePoint now{seconds(100)};
    // Enough rounds for the sums to reach the root and the total to reach
    // all leaves.
    for (int round = 0; round < 12; ++round) {
      for (auto& [name, tree] : trees) {
        if (tree.Parent().empty()) continue;
        DigestTree& parent = trees.at(tree.Parent());
        parent.OnChild(name, tree.Subtree(now), now);
        auto total = parent.Total(now);
        if (total) tree.OnTotal(*total, now);
      }
    }
    const auto expected = static_cast<std::uint32_t>(routers);
    for (const auto& [name, tree] : trees) {
      const auto total = tree.Total(now);
      REQUIRE(total.has_value());
      REQUIRE(total->size() == 1);
      CHECK(total->front().load.in_flight == 3 * expected);
      CHECK(total->front().load.engines == 2 * expected);
    }
  }
}

TEST_CASE("a stale subtree is left out of both the load and the engine count") {
  const Membership membership = MakeMembership(2);
  DigestTree root("router-0");
  root.SetMembership(membership);
  if (!root.Parent().empty()) {
    root = DigestTree("router-1");
    root.SetMembership(membership);
  }
  const std::string child = root.Children().front();
  root.SetOwn({{1, {4, 2}}});
  const TimePoint start{seconds(100)};
  root.OnChild(child, {{1, {6, 3}}}, start);
  CHECK(root.Subtree(start).front().load == ServiceLoadTotal{10, 5});
  CHECK(root.Subtree(start + DigestTree::kStaleAfter).front().load ==
        ServiceLoadTotal{4, 2});
}

}  // namespace
}  // namespace dandelionscale
