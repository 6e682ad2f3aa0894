// Changes of the list of engines instead of the whole list: a router that gets
// the changes must end with the same list as one that gets all of it.
#include "dandelionscale/core/engine_change_log.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>

#include "dandelionscale/core/engine_directory.h"

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

std::vector<std::string> Since(const EngineChangeLog& log,
                               StoreVersion version) {
  const auto ids = log.Since(version);
  return {ids.begin(), ids.end()};
}

using Ids = std::vector<std::string>;

TEST_CASE("the log holds the latest change of each engine") {
  EngineChangeLog log;
  CHECK_FALSE(log.Covers({1, 0}));
  log.Reset({1, 10});
  log.Record({1, 11}, "a");
  log.Record({1, 12}, "b");
  log.Record({1, 13}, "a");
  CHECK(log.Covers({1, 10}));
  CHECK_FALSE(log.Covers({1, 9}));
  CHECK(Since(log, {1, 10}) == Ids{"b", "a"});
  CHECK(Since(log, {1, 12}) == Ids{"a"});
  CHECK(Since(log, {1, 13}).empty());
  log.Reset({2, 5});
  CHECK_FALSE(log.Covers({1, 13}));
  CHECK_FALSE(log.Covers({2, 4}));
  CHECK(log.Covers({2, 5}));
}

TEST_CASE("a full log no longer covers the versions before its oldest change") {
  EngineChangeLog log(2);
  log.Reset({1, 10});
  log.Record({1, 11}, "a");
  log.Record({1, 12}, "b");
  log.Record({1, 13}, "c");
  CHECK_FALSE(log.Covers({1, 10}));
  CHECK(log.Covers({1, 11}));
  CHECK(Since(log, {1, 11}) == Ids{"b", "c"});
}

EngineRecord Record(int id, std::int64_t born = 1000) {
  EngineRecord record;
  record.id = fmt::format("e{}", id);
  record.service = id % 3 == 0 ? "plain" : "chat";
  record.address = fmt::format("10.0.0.{}:80", id);
  record.availability_zone = "a";
  record.max_slots = 4;
  record.born_unix_ms = born;
  record.software_version = "v1";
  return record;
}

std::vector<EngineRecord> Records(int count) {
  std::vector<EngineRecord> records;
  for (int id = 0; id < count; ++id) records.push_back(Record(id));
  return records;
}

// Applies what a peer sends to a router that accepts changes.
struct Sent {
  bool changes_sent = false;
  bool changes_applied = false;
};

Sent Send(TimePoint now, const EngineDirectory& sender,
          EngineDirectory& receiver) {
  Sent sent;
  if (!(sender.Version() > receiver.Version())) return sent;
  if (receiver.AcceptsChanges()) {
    const auto updates = sender.ChangesSince(kStart, receiver.Version());
    sent.changes_sent = updates.has_value();
    sent.changes_applied =
        updates && receiver.OnPeerChanges(now, sender.Version(), *updates,
                                          sender.ListHash());
  }
  if (!sent.changes_applied) {
    receiver.OnSnapshot(now, sender.Version(), sender.Listed(now));
  }
  return sent;
}

void SendWhole(TimePoint now, const EngineDirectory& sender,
               EngineDirectory& receiver) {
  if (!(sender.Version() > receiver.Version())) return;
  receiver.OnSnapshot(now, sender.Version(), sender.Listed(now));
}

// What a router knows of its engines, as text.
std::string Describe(const EngineDirectory& directory) {
  std::string text = fmt::format("{}/{} ", directory.Version().era,
                                 directory.Version().number);
  const auto listed = directory.Listed(TimePoint{});
  for (const auto& [id, engine] : directory.Engines()) {
    const EngineRecord& record = engine->record;
    const bool is_listed =
        std::any_of(listed.begin(), listed.end(),
                    [&id = id](const auto& entry) { return entry.id == id; });
    text += fmt::format("{}:{}:{}:{}:{}{}{} ", id, record.service,
                        record.born_unix_ms, record.max_slots,
                        engine->draining ? "d" : "", record.draining ? "r" : "",
                        is_listed ? "" : "u");
  }
  return text;
}

TEST_CASE("a peer gets the engines that have changed, and no others") {
  EngineDirectory sender;
  sender.OnSnapshot(kStart, {1, 10}, Records(100));
  EngineDirectory receiver;
  receiver.OnSnapshot(kStart, {1, 10}, Records(100));
  EngineRecord draining = Record(7);
  draining.draining = true;
  sender.OnUpdates(kStart, {1, 11},
                   std::vector<EngineUpdate>{{"e7", false, draining}});
  sender.OnUpdates(kStart, {1, 12},
                   std::vector<EngineUpdate>{{"e8", true, {}}});
  const auto updates = sender.ChangesSince(TimePoint{}, {1, 10});
  REQUIRE(updates);
  REQUIRE(updates->size() == 2);
  const Sent sent = Send(kStart, sender, receiver);
  CHECK(sent.changes_applied);
  CHECK(Describe(receiver) == Describe(sender));
  CHECK(receiver.Engines().at("e7")->draining);
  CHECK_FALSE(receiver.Engines().contains("e8"));
}

// Guards against an engine that a router never loses: it was added and removed
// again between two versions that the sender has seen, but at a version that
// the receiver has.
TEST_CASE("changes that do not lead to the sender's list are not applied") {
  EngineDirectory sender;
  sender.OnSnapshot(kStart, {1, 10}, Records(20));
  EngineDirectory receiver;
  receiver.OnSnapshot(kStart, {1, 11}, Records(21));
  sender.OnUpdates(kStart, {1, 12},
                   std::vector<EngineUpdate>{{"e8", true, {}}});
  const auto updates = sender.ChangesSince(kStart, receiver.Version());
  REQUIRE(updates);
  const std::string before = Describe(receiver);
  CHECK_FALSE(receiver.OnPeerChanges(kStart, sender.Version(), *updates,
                                     sender.ListHash()));
  CHECK(Describe(receiver) == before);
  Send(kStart, sender, receiver);
  CHECK(Describe(receiver) == Describe(sender));
}

TEST_CASE("a peer of an older version or another era gets the whole list") {
  EngineDirectory sender;
  sender.OnSnapshot(kStart, {1, 10}, Records(5));
  sender.OnUpdates(kStart, {1, 11},
                   std::vector<EngineUpdate>{{"e4", true, {}}});
  CHECK(sender.ChangesSince(TimePoint{}, {1, 10}));
  CHECK_FALSE(sender.ChangesSince(TimePoint{}, {1, 9}));
  CHECK_FALSE(sender.ChangesSince(TimePoint{}, {0, 10}));
  sender.OnSnapshot(kStart, {2, 3}, Records(4));
  CHECK_FALSE(sender.ChangesSince(TimePoint{}, {1, 11}));
  CHECK_FALSE(sender.ChangesSince(TimePoint{}, {2, 2}));
  CHECK(sender.ChangesSince(TimePoint{}, {2, 3}));
}

TEST_CASE("whole lists are sent and asked for while engines are held back") {
  EngineDirectory directory;
  directory.OnSnapshot(kStart, {1, 10}, Records(5));
  directory.OnUpdates(kStart, {1, 11},
                      std::vector<EngineUpdate>{{"e4", true, {}}});
  directory.OnSnapshot(kStart, {2, 9}, Records(5));
  CHECK_FALSE(directory.AcceptsChanges());
  CHECK_FALSE(directory.ChangesSince(TimePoint{}, {2, 9}));
  // A peer that has got the list meanwhile lacks what was held back.
  directory.Expire(kStart + std::chrono::seconds(7));
  CHECK(directory.AcceptsChanges());
  CHECK_FALSE(directory.ChangesSince(TimePoint{}, {2, 9}));
}

// A store, routers that read it, and for each of them a pair that fetches from
// its peers: one gets changes where possible, the other always the whole list.
class Histories {
 public:
  explicit Histories(unsigned seed) : random(seed) {
    for (int id = 0; id < kEngines; ++id) {
      this->rows[id] = {Record(id), this->number};
    }
    for (auto& watcher : this->watchers) this->ReadWhole(watcher);
    for (auto& pair : this->pairs) {
      for (auto* directory : {&pair.with_changes, &pair.with_lists}) {
        SendWhole(this->now, this->watchers[0].directory, *directory);
      }
    }
  }

  void Step() {
    this->now += milliseconds(this->Draw(400));
    switch (this->Draw(12)) {
      case 0:
        this->RestoreSometimes();
        break;
      case 1:
      case 2:
      case 3:
      case 4:
      case 5:
        this->ChangeRow();
        break;
      case 6:
        this->LoseSeveralRows();
        break;
      case 7:
        this->Leave();
        break;
      case 8:
      case 9:
        this->Watch(this->watchers[this->Draw(kWatchers)]);
        break;
      default:
        this->Fetch();
    }
    for (auto& watcher : this->watchers) watcher.directory.Expire(this->now);
    for (auto& pair : this->pairs) {
      pair.with_changes.Expire(this->now);
      pair.with_lists.Expire(this->now);
    }
  }

  struct Pair {
    EngineDirectory with_changes;
    EngineDirectory with_lists;
  };
  std::span<const Pair> Pairs() const { return this->pairs; }
  int Applied() const { return this->applied; }

 private:
  static constexpr int kEngines = 24;
  static constexpr std::size_t kWatchers = 3;
  static constexpr std::size_t kPairs = 4;

  struct Row {
    EngineRecord record;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Watcher {
    EngineDirectory directory;
    StoreVersion version;
  };

  std::size_t Draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      bound - 1)(this->random);
  }

  void Write(int id, const EngineRecord& record, bool removed) {
    this->rows[id] = {record, ++this->number, removed};
  }

  void ChangeRow() {
    const int id = static_cast<int>(this->Draw(kEngines));
    Row& row = this->rows[id];
    EngineRecord record = row.record;
    switch (this->Draw(5)) {
      case 0:
        record.draining = true;
        this->Write(id, record, false);
        break;
      case 1:
        this->Write(id, record, true);
        break;
      case 2:
        record.born_unix_ms += 1000;
        record.draining = false;
        this->Write(id, record, false);
        break;
      case 3:
        record.max_slots = static_cast<std::uint32_t>(1 + this->Draw(8));
        this->Write(id, record, row.removed);
        break;
      default:
        // Written again without a change.
        this->Write(id, record, row.removed);
    }
  }

  void LoseSeveralRows() {
    for (int id = 0; id < kEngines; ++id) {
      if (this->Draw(2) == 0) this->Write(id, this->rows[id].record, true);
    }
  }

  void RestoreSometimes() {
    if (this->Draw(4) != 0) return;
    ++this->era;
    this->number -= std::min<std::uint64_t>(this->number - 1, this->Draw(6));
    for (auto& [id, row] : this->rows) {
      // An older copy: some rows are missing, and some that were removed are
      // back.
      if (this->Draw(6) == 0) row.removed = !row.removed;
      row.version = std::min(row.version, this->number);
    }
  }

  // An engine tells some routers that it is shutting down.
  void Leave() {
    const std::string id = fmt::format("e{}", this->Draw(kEngines));
    const auto tell = [&id](EngineDirectory& directory) {
      const auto engine = directory.Engines().find(id);
      if (engine != directory.Engines().end()) {
        directory.OnLeaving(*engine->second);
      }
    };
    tell(this->watchers[this->Draw(kWatchers)].directory);
    Pair& pair = this->pairs[this->Draw(kPairs)];
    tell(pair.with_changes);
    tell(pair.with_lists);
  }

  void ReadWhole(Watcher& watcher) {
    std::vector<EngineRecord> records;
    for (const auto& [id, row] : this->rows) {
      if (!row.removed) records.push_back(row.record);
    }
    watcher.version = {this->era, this->number};
    watcher.directory.OnSnapshot(this->now, watcher.version, records);
  }

  void Watch(Watcher& watcher) {
    if (watcher.version.era != this->era || this->Draw(10) == 0) {
      this->ReadWhole(watcher);
      return;
    }
    std::vector<EngineUpdate> updates;
    for (const auto& [id, row] : this->rows) {
      if (row.version <= watcher.version.number) continue;
      updates.push_back({row.record.id, row.removed, row.record});
    }
    watcher.version = {this->era, this->number};
    watcher.directory.OnUpdates(this->now, watcher.version, updates);
  }

  void Fetch() {
    Pair& pair = this->pairs[this->Draw(kPairs)];
    // Routers that fetch are sources of others, too.
    const std::size_t source = this->Draw(kWatchers + kPairs);
    const EngineDirectory& sender =
        source < kWatchers ? this->watchers[source].directory
                           : this->pairs[source - kWatchers].with_lists;
    if (&sender == &pair.with_lists) return;
    const StoreVersion before = pair.with_changes.Version();
    const Sent sent = Send(this->now, sender, pair.with_changes);
    SendWhole(this->now, sender, pair.with_lists);
    RC_ASSERT(before <= pair.with_changes.Version());
    if (sent.changes_applied) ++this->applied;
  }

  std::mt19937 random;
  TimePoint now = kStart;
  std::uint64_t era = 1;
  std::uint64_t number = 100;
  std::map<int, Row> rows;
  std::array<Watcher, kWatchers> watchers;
  std::array<Pair, kPairs> pairs;
  int applied = 0;
};

TEST_CASE("changes have the same effect as whole lists in all histories") {
  int applied = 0;
  const bool held = rc::check([&applied] {
    Histories histories(*rc::gen::arbitrary<unsigned>());
    constexpr int kSteps = 400;
    for (int step = 0; step < kSteps; ++step) {
      histories.Step();
      for (const auto& pair : histories.Pairs()) {
        RC_ASSERT(Describe(pair.with_changes) == Describe(pair.with_lists));
        RC_ASSERT(pair.with_changes.LeavingKeys() ==
                  pair.with_lists.LeavingKeys());
      }
    }
    applied += histories.Applied();
  });
  CHECK(held);
  // Some histories have really used changes, and not only whole lists.
  CHECK(applied > 1000);
}

}  // namespace
}  // namespace dandelionscale
