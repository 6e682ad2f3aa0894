// Tests how a router handles the store's responses while its role changes. The
// clock is paused and advanced by the tests.
#include "dispatch/store/store_watcher.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dispatch/peers/peer_messages.h"
#include "platform/platform_codec.h"

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;

// Time after which a router without peers watches the store.
constexpr Duration kStartUpTime = milliseconds(900);

// A store whose watches stay open until `FailWatches()`, and its reads of slow
// tables until `EndReads()`.
class HangingStore : public TableStore {
 public:
  explicit HangingStore(const boost::asio::any_io_executor& executor)
      : end(executor), reads_end(executor) {}

  Awaitable<Result<StoreRows>> Read(StoreTable table, Duration) override {
    ++this->reads[table];
    if (this->slow.contains(table)) co_await this->reads_end.Wait();
    if (this->unreadable.contains(table)) co_return this->watch_fault;
    co_return this->tables[table];
  }
  Awaitable<Result<StoreRows>> Watch(StoreTable table, StoreVersion,
                                     Duration) override {
    ++this->watches;
    co_await this->end.Wait();
    while (this->hanging.contains(table)) co_await this->end.Wait();
    if (this->watch_rows.contains(table)) co_return this->watch_rows[table];
    co_return this->watch_fault;
  }
  Awaitable<Result<void>> WriteRow(std::string key, std::string value,
                                   Duration) override {
    ++this->writes[key];
    this->tables[StoreTable::kRouters].rows.push_back(
        {std::move(key), std::move(value), 1, false});
    co_return Result<void>();
  }
  std::uint64_t BytesRead(StoreTable) const override { return 0; }
  void FailWatches() { this->end.NotifyAll(); }
  void EndWatches() { this->end.NotifyAll(); }
  void EndReads() { this->reads_end.NotifyAll(); }

  bool HasRow(std::string_view key) const {
    const auto& rows = this->tables.at(StoreTable::kRouters).rows;
    return std::any_of(rows.begin(), rows.end(),
                       [key](const StoreRow& row) { return row.key == key; });
  }

  std::map<StoreTable, StoreRows> tables;
  std::set<StoreTable> unreadable;  ///< Their reads fail.
  std::set<StoreTable> slow;        ///< Their reads stay open.
  std::set<StoreTable> hanging;     ///< Their watches don't end.
  std::map<StoreTable, int> reads;
  /// Response of watches that end, if they do not fail.
  std::map<StoreTable, StoreRows> watch_rows;
  Fault watch_fault{FaultKind::kConnectionLost, "cut"};
  int watches = 0;
  std::map<std::string, int, std::less<>> writes;  ///< By key of the row.

 private:
  Event end;
  Event reads_end;
};

// An operator lets routers of fleets from this number on start from their
// peers.
DispatchOptions MakeOptions() {
  DispatchOptions options;
  options.min_large_fleet = 128;
  return options;
}

struct WatcherFixture {
  WatcherFixture()
      : store(std::make_shared<HangingStore>(this->loop.get_executor())),
        state(this->loop.get_executor(), MakeOptions(),
              std::make_shared<platform::PlatformCodec>()),
        watcher(this->state, this->store) {
    RuntimeClock::Pause();
    for (const char* id : {"e1", "e2"}) {
      this->store->tables[StoreTable::kEngines].rows.push_back(
          {id,
           R"({"service":"plain","address":"127.0.0.1:1","zone":"z",)"
           R"("max_slots":4,"state":"ready"})",
           1, false});
    }
    this->store->tables[StoreTable::kEngines].version = {1, 2};
    this->watcher.Start();
  }
  ~WatcherFixture() {
    this->loop.stop();
    RuntimeClock::Resume();
  }

  void Advance(Duration duration) {
    constexpr Duration kStep = milliseconds(50);
    for (Duration passed{0}; passed < duration; passed += kStep) {
      RuntimeClock::Advance(kStep);
      this->loop.restart();
      this->loop.run_for(milliseconds(3));
      // On a busy machine that time may end before all handlers have run.
      while (this->loop.poll() > 0) {
      }
    }
  }

  // Delivers digests of five peers that report a live watcher. Their keys are
  // higher than this router's, so that they rank before it and it becomes or
  // stays a listener.
  void ReceiveWatcherDigests() {
    for (std::uint64_t n = 0; n < 5; ++n) {
      this->state.watcher_election.OnDigest(
          RuntimeClock::now(), std::to_string(n), UINT64_MAX - n,
          {Duration::zero(), Duration::zero(), false});
    }
  }

  void BecomeListener() {
    for (int n = 0; n < 20; ++n) {
      this->ReceiveWatcherDigests();
      this->Advance(milliseconds(200));
    }
  }

  void ListRouters(int count) {
    for (int n = 1; n <= count; ++n) {
      this->store->tables[StoreTable::kRouters].rows.push_back(
          {"router-" + std::to_string(n),
           "10.0.0.1:" + std::to_string(1000 + n), 1, false});
    }
  }

  boost::asio::io_context loop;
  std::shared_ptr<HangingStore> store;
  DispatchState state;
  StoreWatcher watcher;
};

// Guards against engines that are never removed: a watch call that failed after
// its router had become a listener marked the list of engines as stale until
// the router watched the store again. Engines that peers reported as removed
// were kept until then.
TEST_CASE("a watch that fails after its router became a listener is ignored") {
  WatcherFixture fixture;
  fixture.Advance(kStartUpTime);
  REQUIRE(fixture.store->watches == 2);
  REQUIRE(fixture.state.engines.Engines().size() == 2);
  fixture.BecomeListener();
  REQUIRE(fixture.state.watcher_election.Role() == WatchRole::kListener);
  fixture.store->FailWatches();
  fixture.BecomeListener();
  CHECK(fixture.state.unreachable_tables.empty());
  const EngineRecord remaining =
      fixture.state.engines.Listed(RuntimeClock::now()).front();
  fixture.state.engines.OnSnapshot(RuntimeClock::now(), {1, 3},
                                   std::array{remaining});
  CHECK(fixture.state.engines.Engines().size() == 1);
}

// Guards against a view that passes for current while calls hang: one table's
// answers tell nothing of the other.
TEST_CASE("the view is as old as that of the table that is not answered") {
  WatcherFixture fixture;
  fixture.Advance(kStartUpTime);
  const auto age = [&] {
    return *fixture.state.watcher_election.ViewAge(RuntimeClock::now());
  };
  const Duration before = age();
  fixture.Advance(milliseconds(600));
  CHECK(age() >= before + milliseconds(600));
  fixture.store->watch_rows[StoreTable::kConfiguration].version = {1, 2};
  fixture.store->watch_rows[StoreTable::kEngines].version = {1, 2};
  fixture.store->hanging.insert(StoreTable::kConfiguration);
  fixture.store->EndWatches();
  fixture.Advance(milliseconds(50));
  CHECK(age() >= before + milliseconds(600));
  fixture.store->hanging.clear();
  fixture.store->EndWatches();
  fixture.Advance(milliseconds(50));
  CHECK(age() <= milliseconds(200));
}

// Guards against a start without a list of engines: the read of a slow store
// was in progress when the router became a listener, and its result was
// discarded.
TEST_CASE("a read that ends after its router became a listener is used") {
  WatcherFixture fixture;
  fixture.store->slow.insert(StoreTable::kEngines);
  SECTION("it is newer than what peers have supplied") {
    fixture.BecomeListener();
    fixture.store->EndReads();
    fixture.BecomeListener();
    CHECK(fixture.state.engines.Version() == StoreVersion{1, 2});
    CHECK(fixture.state.engines.Engines().size() == 2);
  }
  SECTION("peers have supplied a newer list meanwhile") {
    fixture.BecomeListener();
    fixture.state.engines.OnSnapshot(RuntimeClock::now(), {1, 3}, {});
    fixture.store->EndReads();
    fixture.BecomeListener();
    CHECK(fixture.state.engines.Version() == StoreVersion{1, 3});
    CHECK(fixture.state.engines.Engines().empty());
  }
  REQUIRE(fixture.state.watcher_election.Role() == WatchRole::kListener);
  CHECK(fixture.store->reads[StoreTable::kEngines] == 1);
  // The router does not watch, so that its view grows old.
  CHECK(fixture.state.watcher_election.ViewAge(
            RuntimeClock::now() + milliseconds(500)) != Duration::zero());
}

// Load pattern of the next cases: a router starts in a large fleet. Hundreds of
// starts have read 1.8 GB from the store in a day.
TEST_CASE("a router that a peer supplies at its start reads no whole table") {
  WatcherFixture fixture;
  fixture.ListRouters(294);
  fixture.Advance(milliseconds(100));
  REQUIRE(fixture.state.start_up_source.AsksPeers());
  const TimePoint now = RuntimeClock::now();
  fixture.state.engines.OnSnapshot(now, {1, 2}, {});
  fixture.state.engines_known = true;
  fixture.state.watcher_election.OnPeerSupplied(now);
  fixture.state.start_up_source.OnPeerSupplied();
  fixture.BecomeListener();
  REQUIRE(fixture.state.watcher_election.Role() == WatchRole::kListener);
  CHECK(fixture.store->reads[StoreTable::kEngines] == 0);
  CHECK(fixture.store->reads[StoreTable::kConfiguration] == 0);
}

TEST_CASE("a router that no peer supplies reads the store within 2 s") {
  WatcherFixture fixture;
  fixture.ListRouters(294);
  fixture.Advance(milliseconds(150));
  REQUIRE(fixture.state.start_up_source.AsksPeers());
  CHECK(fixture.store->reads[StoreTable::kEngines] == 0);
  // Without digests, it becomes a stand-in 1.3 s after its read, and reads
  // again.
  int& reads = fixture.store->reads[StoreTable::kEngines];
  const TimePoint until = RuntimeClock::now() + milliseconds(2000);
  while (reads == 0 && RuntimeClock::now() < until) {
    fixture.Advance(milliseconds(50));
  }
  CHECK(reads == 1);
  CHECK(fixture.state.engines.Engines().size() == 2);
}

TEST_CASE("a router of a small fleet reads the store at its start") {
  WatcherFixture fixture;
  fixture.ListRouters(5);
  fixture.Advance(milliseconds(50));
  CHECK(fixture.store->reads[StoreTable::kEngines] == 1);
  CHECK(fixture.store->reads[StoreTable::kConfiguration] == 1);
}

TEST_CASE("a listener that watches again reads the whole table first") {
  WatcherFixture fixture;
  fixture.Advance(kStartUpTime);
  fixture.BecomeListener();
  REQUIRE(fixture.state.watcher_election.Role() == WatchRole::kListener);
  fixture.store->FailWatches();
  fixture.store->tables[StoreTable::kEngines].rows.pop_back();
  fixture.store->tables[StoreTable::kEngines].version = {1, 5};
  fixture.Advance(std::chrono::seconds(3));
  CHECK(fixture.state.watcher_election.Role() != WatchRole::kListener);
  CHECK(fixture.state.engines.Version() == StoreVersion{1, 5});
  CHECK(fixture.state.engines.Engines().size() == 1);
}

// Load pattern of the next cases: the store comes back from an older copy while
// watches are open. Its version numbers start again from the copy's.
TEST_CASE("the whole table is read again after a restoration of the store") {
  WatcherFixture fixture;
  fixture.Advance(kStartUpTime);
  REQUIRE(fixture.state.engines.Engines().size() == 2);
  auto& engines = fixture.store->tables[StoreTable::kEngines];
  engines.version = {2, 1};
  engines.rows.push_back(engines.rows.back());
  engines.rows.back().key = "e3";
  SECTION("a watch returns rows of the new era") {
    StoreRows rows;
    rows.version = {2, 1};
    fixture.store->watch_rows[StoreTable::kEngines] = rows;
  }
  SECTION("the store lacks the version of the watch") {
    fixture.store->watch_fault = {FaultKind::kUnexpectedStatus, "410"};
  }
  fixture.store->EndWatches();
  fixture.Advance(milliseconds(500));
  CHECK(fixture.state.engines.Version() == StoreVersion{2, 1});
  CHECK(fixture.state.engines.Engines().size() == 3);
}

TEST_CASE("an engine whose entry becomes malformed isn't used any more") {
  WatcherFixture fixture;
  fixture.Advance(kStartUpTime + milliseconds(200));
  REQUIRE(fixture.state.engines.Engines().size() == 2);
  StoreRows& rows = fixture.store->watch_rows[StoreTable::kEngines];
  rows.rows = {{"e1", "[[[", 3, false}};
  rows.version = {1, 3};
  fixture.store->EndWatches();
  fixture.Advance(milliseconds(200));
  CHECK_FALSE(fixture.state.engines.Engines().contains("e1"));
  CHECK(fixture.state.engines.Engines().contains("e2"));
}

// Guards against an evacuation that gets lost with a configuration that can't
// be read, or with a change that comes as one row.
TEST_CASE("rows of the table decide which zones are evacuated") {
  WatcherFixture fixture;
  auto& table = fixture.store->tables[StoreTable::kConfiguration];
  auto& changes = fixture.store->watch_rows[StoreTable::kConfiguration];
  const std::string prefix(kEvacuationRowPrefix);
  const auto zones = [&] { return fixture.state.evacuated_zones.Current(); };
  table.rows = {{std::string(kConfigurationRowKey), "no configuration", 3},
                {prefix + "a", "{}", 4}};
  table.version = {1, 4};
  fixture.Advance(kStartUpTime + milliseconds(200));
  CHECK(zones() == EvacuatedZones::Zones{"a"});
  // In the order of their keys, as a store may send them.
  changes.rows = {{prefix + "a", "", 7, true}, {prefix + "b", "{}", 6}};
  changes.version = {1, 7};
  fixture.store->EndWatches();
  fixture.Advance(milliseconds(200));
  CHECK(zones() == EvacuatedZones::Zones{"b"});
  CHECK(fixture.state.evacuated_zones.Version() == StoreVersion{1, 7});
  // A restored copy from before the first evacuation.
  table.rows.pop_back();
  table.version = {2, 3};
  changes.version = {2, 3};
  changes.rows.clear();
  fixture.store->EndWatches();
  fixture.Advance(milliseconds(500));
  CHECK(zones().empty());
}

// Load pattern: hundreds of routers start together, and each has received the
// digests of few. A router that counts only those as its peers takes itself for
// the observer of most engines' caches.
TEST_CASE("listed routers count as peers until they should have been heard") {
  WatcherFixture fixture;
  fixture.ListRouters(294);
  fixture.Advance(milliseconds(200));
  CHECK(fixture.state.live_peers.size() == 294);
}

TEST_CASE("rows of the router that a restoration has lost are written again") {
  WatcherFixture fixture;
  fixture.Advance(kStartUpTime);
  const std::map<std::string, int, std::less<>> once = {
      {fixture.state.options.name, 1}, {std::string(kVersionsRowKey), 1}};
  REQUIRE(fixture.store->writes == once);
  fixture.store->tables[StoreTable::kRouters].rows.clear();
  fixture.state.OnStoreEra(1);
  fixture.state.OnStoreEra(2);
  fixture.Advance(std::chrono::seconds(4));
  const std::map<std::string, int, std::less<>> twice = {
      {fixture.state.options.name, 2}, {std::string(kVersionsRowKey), 2}};
  CHECK(fixture.store->writes == twice);
  CHECK(fixture.store->tables[StoreTable::kRouters].rows.size() == 2);
}

constexpr std::uint64_t kCrashingPart = 0xdead;

bool IsBlocked(const DispatchState& state) {
  return state.quarantine.Find(std::span(&kCrashingPart, 1)) != nullptr;
}

TEST_CASE("what crashes engines is kept in the store and read at the start") {
  StoreRows rows;
  {
    WatcherFixture finder;
    finder.Advance(kStartUpTime);
    const TimePoint now = RuntimeClock::now();
    finder.state.OnOwnQuarantineChanges(
        finder.state.quarantine.Apply(now,
                                      {{}, {}, {{{kCrashingPart}, now}}, {}}),
        "test");
    finder.Advance(std::chrono::seconds(1));
    rows = finder.store->tables[StoreTable::kRouters];
  }
  WatcherFixture starter;
  starter.store->tables[StoreTable::kRouters] = rows;
  starter.Advance(milliseconds(200));
  CHECK(IsBlocked(starter.state));
  // The row names no router.
  CHECK(starter.state.peers.empty());
}

// Load pattern: a router is cut off from all others, but not from the store,
// while these find a part that crashes engines.
TEST_CASE("a router that reaches no peer reads what crashes engines") {
  WatcherFixture fixture;
  auto& rows = fixture.store->tables[StoreTable::kRouters].rows;
  rows.push_back({"router-2", "10.0.0.2:1000", 1, false});
  fixture.Advance(kStartUpTime);
  REQUIRE(fixture.state.peers.size() == 1);
  fixture.state.live_peers.clear();
  const TimePoint now = RuntimeClock::now();
  const BlockedKeys found{{kCrashingPart}, now};
  rows.push_back({std::string(kQuarantineRowKey),
                  FormatQuarantineRow(std::span(&found, 1), now, 0), 2, false});
  fixture.Advance(std::chrono::seconds(3));
  CHECK(IsBlocked(fixture.state));
}

TEST_CASE("a quarantine that a restoration has lost is written again") {
  WatcherFixture fixture;
  fixture.Advance(kStartUpTime);
  const TimePoint now = RuntimeClock::now();
  fixture.state.quarantine.Apply(now, {{}, {}, {{{kCrashingPart}, now}}, {}});
  fixture.state.OnStoreEra(1);
  fixture.state.OnStoreEra(2);
  fixture.Advance(std::chrono::seconds(4));
  const auto& rows = fixture.store->tables[StoreTable::kRouters].rows;
  CHECK(std::any_of(rows.begin(), rows.end(), [](const StoreRow& row) {
    return row.key == kQuarantineRowKey && !row.value.empty();
  }));
}

TEST_CASE("software versions are written only when the former row is read") {
  WatcherFixture fixture;
  fixture.store->unreadable.insert(StoreTable::kRouters);
  fixture.Advance(milliseconds(2000));
  CHECK_FALSE(fixture.store->HasRow(kVersionsRowKey));
  fixture.store->unreadable.clear();
  fixture.Advance(milliseconds(2000));
  CHECK(fixture.store->HasRow(kVersionsRowKey));
}

}  // namespace
}  // namespace dandelionscale::internal
