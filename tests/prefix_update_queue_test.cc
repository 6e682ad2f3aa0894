// Distribution of prompt cache updates to peers by digests.
#include "dandelionscale/core/prefix_update_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dispatch/peers/peer_messages.h"

namespace dandelionscale {
namespace {

PrefixUpdate Update(std::uint64_t part) { return {part, 7, false}; }

// In the expected deployment, 68 routers send digests to 12 peers at a time;
// the test covers 1 to 99 peers.
TEST_CASE("every peer receives each update") {
  const bool held = rc::check([] {
    const auto peers = *rc::gen::inRange<std::size_t>(1, 100);
    const std::size_t digests_per_rotation = DigestsPerRotation(peers);
    const auto max_updates = *rc::gen::inRange<std::size_t>(50, 300);
    PrefixUpdateQueue queue;
    std::map<std::uint64_t, std::set<std::size_t>> received;
    std::size_t next_peer = 0;
    std::uint64_t added = 0;
    const auto send_digest = [&] {
      const auto updates =
          queue.TakeForDigest(digests_per_rotation, max_updates);
      RC_ASSERT(updates.size() <= max_updates);
      const std::size_t count = std::min(kDigestFanout, peers);
      for (std::size_t n = 0; n < count; ++n, ++next_peer) {
        for (const PrefixUpdate& update : updates) {
          received[update.part_key].insert(next_peer % peers);
        }
      }
    };
    for (int round = 0; round < 20; ++round) {
      const auto new_updates = *rc::gen::inRange(0, 4);
      for (int n = 0; n < new_updates; ++n) queue.Add(Update(added++));
      send_digest();
    }
    for (std::size_t round = 0; round < digests_per_rotation; ++round)
      send_digest();
    RC_ASSERT(received.size() == added);
    for (const auto& [part, recipients] : received)
      RC_ASSERT(recipients.size() == peers);
    RC_ASSERT(queue.TakeForDigest(digests_per_rotation, max_updates).empty());
  });
  CHECK(held);
}

// Guards against entries that miss a peer of their scope, leave it, or are
// repeated in more digests than one rotation takes, however the zones lie in
// the rotation.
TEST_CASE("each update reaches the peers in its scope and no others") {
  const bool held = rc::check([] {
    const auto peers = *rc::gen::inRange<std::size_t>(1, 320);
    const auto in_own_zone = *rc::gen::container<std::vector<bool>>(
        peers, rc::gen::arbitrary<bool>());
    const std::size_t digests_per_rotation = DigestsPerRotation(peers);
    PrefixUpdateQueue queue;
    std::map<std::uint64_t, std::set<std::size_t>> received;
    std::map<std::uint64_t, std::size_t> digests;
    std::size_t next_peer = *rc::gen::inRange<std::size_t>(0, peers);
    const auto send_digest = [&] {
      const auto updates = queue.TakeForDigest(digests_per_rotation, 250);
      for (const PrefixUpdate& update : updates) ++digests[update.part_key];
      const std::size_t count = std::min(kDigestFanout, peers);
      for (std::size_t n = 0; n < count; ++n, ++next_peer) {
        const std::size_t peer = next_peer % peers;
        for (const PrefixUpdate& update : updates) {
          if (!in_own_zone[peer] && !IsForAllZones(update)) continue;
          received[update.part_key].insert(peer);
        }
      }
    };
    // Even parts are for all zones.
    constexpr std::uint64_t kParts = 30;
    for (std::uint64_t part = 0; part < kParts; ++part) {
      const UpdateScope scope =
          part % 2 == 0 ? UpdateScope::kAllZones : UpdateScope::kOwnZone;
      queue.Add({part, 7, false, scope});
      if (part % 3 == 0) send_digest();
    }
    for (std::size_t n = 0; n < digests_per_rotation; ++n) send_digest();
    const auto own_count = static_cast<std::size_t>(
        std::count(in_own_zone.begin(), in_own_zone.end(), true));
    for (std::uint64_t part = 0; part < kParts; ++part) {
      RC_ASSERT(received[part].size() == (part % 2 == 0 ? peers : own_count));
      RC_ASSERT(digests[part] == digests_per_rotation);
    }
  });
  CHECK(held);
}

// The fields as they were before updates had a scope.
wire::RouterDigest WithoutScopes(const std::vector<PrefixUpdate>& updates) {
  wire::RouterDigest digest;
  for (const PrefixUpdate& update : updates) {
    if (update.dropped) {
      digest.add_dropped_parts(update.part_key);
      digest.add_dropped_engines(ShortKey(update.engine_key));
    } else {
      digest.add_placed_parts(update.part_key);
      digest.add_placed_engines(ShortKey(update.engine_key));
    }
  }
  return digest;
}

TEST_CASE("in smaller fleets the fields of a digest are those of before") {
  const bool held = rc::check([] {
    const auto keys = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    std::vector<PrefixUpdate> updates;
    for (std::uint64_t key : keys) {
      const auto tokens = static_cast<std::uint32_t>(key % 9000);
      updates.push_back(
          {key, ~key, key % 3 == 0, ScopeOfPrefix(tokens, false)});
    }
    wire::RouterDigest digest;
    internal::FillPlacements(updates, digest);
    RC_ASSERT(digest.SerializeAsString() ==
              WithoutScopes(updates).SerializeAsString());
  });
  CHECK(held);
}

TEST_CASE("a digest tells which entries are for all zones") {
  const std::vector<PrefixUpdate> updates = {
      {1, 7, false, UpdateScope::kOwnZone},
      {2, 7, true, UpdateScope::kOwnZone},
      {3, 7, false, UpdateScope::kAllZones}};
  wire::RouterDigest digest;
  internal::FillPlacements(updates, digest);
  REQUIRE(digest.placed_parts_size() == 2);
  CHECK(digest.placed_parts(0) == 3);
  CHECK(digest.placed_parts(1) == 1);
  CHECK(digest.dropped_parts_size() == 1);
  CHECK(internal::PartsForAllZones(digest) == 1U);
}

TEST_CASE("the queue stays bounded if no digest is sent") {
  PrefixUpdateQueue queue;
  for (std::uint64_t n = 0; n < 100'000; ++n) queue.Add(Update(n));
  const auto updates = queue.TakeForDigest(1, 1'000'000);
  CHECK(updates.size() <= 20'000);
  CHECK(updates.back().part_key == 99'999);
}

}  // namespace
}  // namespace dandelionscale
