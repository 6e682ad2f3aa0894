// Which engines hold which prompt parts.
#include "dandelionscale/core/prefix_index.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

std::vector<PrefixLink> Links(std::vector<std::string_view> ids) {
  std::vector<PromptPart> parts;
  for (std::string_view id : ids) parts.push_back({id, 100});
  parts.push_back({"own", 50});
  return MakePrefixLinks("m", parts);
}

TEST_CASE("the last part of a prompt is not shared") {
  CHECK(Links({"a", "b"}).size() == 2);
  CHECK(MakePrefixLinks("m", {}).empty());
  CHECK(TotalTokens(Links({"a", "b"})) == 200);
}

TEST_CASE("a part belongs to its model") {
  CHECK(PartKey("m", "a") != PartKey("n", "a"));
}

TEST_CASE("a held part implies the parts before it") {
  PrefixIndex index(100);
  const auto links = Links({"a", "b"});
  index.Apply(kNow, {links[1].key, 7, false});
  CHECK(index.HeldTokens(kNow, links, 7) == 200);
  CHECK(index.HeldTokens(kNow, links, 8) == 0);
  const auto other = Links({"a", "c"});
  index.Apply(kNow, {other[0].key, 7, false});
  CHECK(index.HeldTokens(kNow, other, 7) == 100);
}

// A bench trial: a first part that every engine holds has more holders than are
// kept, and prompts counted as unknown where they were cached.
TEST_CASE("a part with many holders hides no prefix behind it") {
  PrefixIndex index(100);
  const auto links = Links({"everywhere", "mine"});
  index.Apply(kNow, {links[1].key, 1, false});
  for (std::uint64_t engine = 1; engine <= 40; ++engine) {
    index.Apply(kNow + std::chrono::milliseconds(engine),
                {links[0].key, engine, false});
  }
  CHECK(index.HeldTokens(kNow, links, 1) == 200);
}

TEST_CASE("dropped parts and forgotten engines are not counted on") {
  PrefixIndex index(100);
  const auto links = Links({"a", "b"});
  index.Apply(kNow, {links[0].key, 7, false});
  index.Apply(kNow, {links[1].key, 7, false});
  index.Apply(kNow, {links[1].key, 7, true});
  CHECK(index.HeldTokens(kNow, links, 7) == 100);
  CHECK_FALSE(index.Holds(links[1].key, 7));
  index.Forget(7);
  CHECK(index.HeldTokens(kNow, links, 7) == 0);
}

// A chat day longer than a holder's lifetime: one router goes on placing a
// prefix where it is held, its peer only hears what is told.
TEST_CASE("a peer counts on a holder for as long as it stays in use") {
  constexpr Duration kBetweenUses = std::chrono::seconds(10);
  constexpr int kUses = 360;
  PrefixIndex placing(100);
  PrefixIndex peer(100);
  const auto links = Links({"manual"});
  const PrefixPlacement placement{links[0].key, 7, false};
  int told = 0;
  for (int use = 0; use < kUses; ++use) {
    const TimePoint now = kNow + use * kBetweenUses;
    if (placing.Observe(now, placement)) {
      peer.Apply(now, placement);
      ++told;
    }
    REQUIRE(peer.HeldTokens(now, links, 7) == 100);
  }
  CHECK(told < kUses / 5);
}

TEST_CASE("peers are told once of what they know already") {
  PrefixIndex index(100);
  CHECK(index.Observe(kNow, {1, 7, false}));
  CHECK_FALSE(index.Observe(kNow, {1, 7, false}));
  index.Apply(kNow, {2, 7, false});
  CHECK_FALSE(index.Observe(kNow, {2, 7, false}));
  CHECK(index.Observe(kNow, {1, 7, true}));
  CHECK_FALSE(index.Observe(kNow, {1, 7, true}));
}

TEST_CASE("the index is bounded and keeps what is used") {
  PrefixIndex index(50);
  for (std::uint64_t n = 0; n < 1000; ++n) {
    index.Apply(kNow + std::chrono::milliseconds(n), {n, 1, false});
    index.Apply(kNow + std::chrono::milliseconds(n), {5'000'000, 2, false});
  }
  CHECK(index.Size() <= 50);
  CHECK(index.Holds(5'000'000, 2));
}

}  // namespace
}  // namespace dandelionscale
