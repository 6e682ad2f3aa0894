// Distribution of prompt cache updates to peers by digests.
#include "dandelionscale/core/prefix_update_queue.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

PrefixUpdate Update(std::uint64_t part) { return {part, 7, false}; }

// In the expected deployment, 68 routers send digests to 12 peers at a time;
// the test covers 1 to 99 peers.
TEST_CASE("every peer receives each update") {
  rc::check([] {
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
