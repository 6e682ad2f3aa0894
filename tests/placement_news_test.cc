// What digests tell of engines' prompt caches, and to whom.
#include "dandelionscale/core/placement_news.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

PrefixPlacement Placement(std::uint64_t part) { return {part, 7, false}; }

// Load pattern: 68 routers; a digest reaches 12 of them.
TEST_CASE("every peer of a rotation hears each placement") {
  rc::check([] {
    const auto peers = *rc::gen::inRange<std::size_t>(1, 100);
    const std::size_t rotation = DigestsPerRotation(peers);
    const auto most = *rc::gen::inRange<std::size_t>(50, 300);
    PlacementNews news;
    std::map<std::uint64_t, std::set<std::size_t>> heard;
    std::size_t next_peer = 0;
    std::uint64_t added = 0;
    const auto digest = [&] {
      const auto placements = news.Next(rotation, most);
      RC_ASSERT(placements.size() <= most);
      const std::size_t count = std::min(kDigestFanout, peers);
      for (std::size_t n = 0; n < count; ++n, ++next_peer) {
        for (const PrefixPlacement& placement : placements) {
          heard[placement.part_key].insert(next_peer % peers);
        }
      }
    };
    for (int round = 0; round < 20; ++round) {
      const auto fresh = *rc::gen::inRange(0, 4);
      for (int n = 0; n < fresh; ++n) news.Add(Placement(added++));
      digest();
    }
    for (std::size_t round = 0; round < rotation; ++round) digest();
    RC_ASSERT(heard.size() == added);
    for (const auto& [part, who] : heard) RC_ASSERT(who.size() == peers);
    RC_ASSERT(news.Next(rotation, most).empty());
  });
}

TEST_CASE("news that nobody takes stays bounded") {
  PlacementNews news;
  for (std::uint64_t n = 0; n < 100'000; ++n) news.Add(Placement(n));
  const auto placements = news.Next(1, 1'000'000);
  CHECK(placements.size() <= 20'000);
  CHECK(placements.back().part_key == 99'999);
}

}  // namespace
}  // namespace dandelionscale
