// Index of the engines that have cached each prompt part.
#include "dandelionscale/core/prefix_index.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

std::vector<PrefixPart> Prefix(std::vector<std::string_view> ids) {
  std::vector<PromptPart> parts;
  for (std::string_view id : ids) parts.push_back({id, 100});
  parts.push_back({"own", 50});
  return MakePrefixParts("m", parts);
}

TEST_CASE("the last part of a prompt is not shared") {
  CHECK(Prefix({"a", "b"}).size() == 2);
  CHECK(MakePrefixParts("m", {}).empty());
  CHECK(TotalTokens(Prefix({"a", "b"})) == 200);
}

TEST_CASE("the same part id has different keys for different models") {
  CHECK(PartKey("m", "a") != PartKey("n", "a"));
}

TEST_CASE("a cached part implies the parts before it") {
  PrefixIndex index(100);
  const auto prefix = Prefix({"a", "b"});
  index.Apply(kNow, {prefix[1].key, 7, false});
  CHECK(index.CachedTokens(kNow, prefix, 7) == 200);
  CHECK(index.CachedTokens(kNow, prefix, 8) == 0);
  const auto other_prefix = Prefix({"a", "c"});
  index.Apply(kNow, {other_prefix[0].key, 7, false});
  CHECK(index.CachedTokens(kNow, other_prefix, 7) == 100);
}

// Guards against cached prompts being counted as not cached, found in a
// benchmark run: the first part is cached by every engine, so it has more
// holders than the index keeps, and the engine was missing from its list.
TEST_CASE("a first part with many holders does not hide longer prefixes") {
  PrefixIndex index(100);
  const auto prefix = Prefix({"everywhere", "mine"});
  index.Apply(kNow, {prefix[1].key, 1, false});
  for (std::uint64_t engine = 1; engine <= 40; ++engine) {
    index.Apply(kNow + std::chrono::milliseconds(engine),
                {prefix[0].key, engine, false});
  }
  CHECK(index.CachedTokens(kNow, prefix, 1) == 200);
}

TEST_CASE("evicted parts and removed engines do not count as cached") {
  PrefixIndex index(100);
  const auto prefix = Prefix({"a", "b"});
  index.Apply(kNow, {prefix[0].key, 7, false});
  index.Apply(kNow, {prefix[1].key, 7, false});
  index.Apply(kNow, {prefix[1].key, 7, true});
  CHECK(index.CachedTokens(kNow, prefix, 7) == 100);
  CHECK_FALSE(index.IsHolder(prefix[1].key, 7));
  index.RemoveEngine(7);
  CHECK(index.CachedTokens(kNow, prefix, 7) == 0);
}

// Guards against entries that expire at peers while they are in use: one router
// places requests for a prefix on the same engine for an hour, longer than an
// entry's lifetime, and the peer receives only the announcements.
TEST_CASE("a holder in use does not expire at peers") {
  constexpr Duration kUseInterval = std::chrono::seconds(10);
  constexpr int kUses = 360;
  PrefixIndex placing(100);
  PrefixIndex peer(100);
  const auto prefix = Prefix({"manual"});
  const PrefixUpdate update{prefix[0].key, 7, false};
  int announcements = 0;
  for (int use = 0; use < kUses; ++use) {
    const TimePoint now = kNow + use * kUseInterval;
    if (placing.Observe(now, update)) {
      peer.Apply(now, update);
      ++announcements;
    }
    REQUIRE(peer.CachedTokens(now, prefix, 7) == 100);
  }
  CHECK(announcements < kUses / 5);
}

TEST_CASE("a snapshot leaves out holders that have expired") {
  PrefixIndex index(10);
  const TimePoint start{std::chrono::hours(1)};
  index.Apply(start, {1, 7, false});
  index.Apply(start + std::chrono::minutes(10), {2, 7, false});
  const auto updates = index.Snapshot(start + std::chrono::minutes(11), 10);
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().part_key == 2);
}

TEST_CASE("an update that peers already have is not announced again") {
  PrefixIndex index(100);
  CHECK(index.Observe(kNow, {1, 7, false}));
  CHECK_FALSE(index.Observe(kNow, {1, 7, false}));
  index.Apply(kNow, {2, 7, false});
  CHECK_FALSE(index.Observe(kNow, {2, 7, false}));
  CHECK(index.Observe(kNow, {1, 7, true}));
  CHECK_FALSE(index.Observe(kNow, {1, 7, true}));
}

TEST_CASE("entries for short prefixes stay in the zone if traffic is costly") {
  CHECK(ScopeOfPrefix(3999, true) == UpdateScope::kOwnZone);
  CHECK(ScopeOfPrefix(4000, true) == UpdateScope::kAllZones);
  CHECK(ScopeOfPrefix(10, false) == UpdateScope::kAllZones);
}

// Guards against other zones that never learn of a part: it was announced as
// the last part of a short prefix and is that of a long one now.
TEST_CASE("a part that other zones do not know is announced again for them") {
  PrefixIndex index(100);
  const PrefixUpdate in_zone{1, 7, false, UpdateScope::kOwnZone};
  const PrefixUpdate for_all{1, 7, false, UpdateScope::kAllZones};
  CHECK(index.Observe(kNow, in_zone));
  CHECK_FALSE(index.Observe(kNow, in_zone));
  CHECK(index.Observe(kNow, for_all));
  CHECK_FALSE(index.Observe(kNow, for_all));
  CHECK_FALSE(index.Observe(kNow, in_zone));
}

// Guards against evictions that don't reach all routers with an entry: the
// router that sees the eviction knows only the part's key.
TEST_CASE("the index knows which zones have entries for a part") {
  PrefixIndex index(100);
  CHECK(index.ScopeOf(1) == UpdateScope::kOwnZone);
  index.Apply(kNow, {1, 7, false, UpdateScope::kOwnZone});
  CHECK(index.ScopeOf(1) == UpdateScope::kOwnZone);
  index.Apply(kNow, {1, 8, false, UpdateScope::kAllZones});
  CHECK(index.ScopeOf(1) == UpdateScope::kAllZones);
  index.Apply(kNow, {1, 9, false, UpdateScope::kOwnZone});
  CHECK(index.ScopeOf(1) == UpdateScope::kAllZones);
  // The whole content of an engine's cache is read anew.
  index.RemoveEngine(7);
  index.RemoveEngine(8);
  CHECK(index.ScopeOf(1) == UpdateScope::kAllZones);
}

TEST_CASE("a snapshot tells which entries other zones have") {
  PrefixIndex index(100);
  index.Apply(kNow, {1, 7, false, UpdateScope::kOwnZone});
  index.Apply(kNow, {2, 7, false, UpdateScope::kAllZones});
  const auto updates = index.Snapshot(kNow, 10);
  REQUIRE(updates.size() == 2);
  for (const PrefixUpdate& update : updates) {
    CHECK(IsForAllZones(update) == (update.part_key == 2));
  }
}

TEST_CASE("the index is bounded and keeps parts in use") {
  PrefixIndex index(50);
  for (std::uint64_t n = 0; n < 1000; ++n) {
    index.Apply(kNow + std::chrono::milliseconds(n), {n, 1, false});
    index.Apply(kNow + std::chrono::milliseconds(n), {5'000'000, 2, false});
  }
  CHECK(index.Size() <= 50);
  CHECK(index.IsHolder(5'000'000, 2));
}

}  // namespace
}  // namespace dandelionscale
