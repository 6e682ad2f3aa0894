// Tests how a router handles the store's responses while its role changes. The
// clock is paused and advanced by the tests.
#include "dispatch/store_watcher.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "platform/platform_codec.h"

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;

// A store whose watches stay open until `FailWatches()`.
class HangingStore : public TableStore {
 public:
  explicit HangingStore(const boost::asio::any_io_executor& executor)
      : failure(executor) {}

  Awaitable<Result<StoreRows>> Read(StoreTable table, Duration) override {
    co_return this->tables[table];
  }
  Awaitable<Result<StoreRows>> Watch(StoreTable, std::uint64_t,
                                     Duration) override {
    ++this->watches;
    co_await this->failure.Wait();
    co_return Fault{FaultKind::kConnectionLost, "cut"};
  }
  Awaitable<Result<void>> WriteRouter(std::string, std::string,
                                      Duration) override {
    co_return Result<void>();
  }
  void FailWatches() { this->failure.NotifyAll(); }

  std::map<StoreTable, StoreRows> tables;
  int watches = 0;

 private:
  Event failure;
};

struct WatcherFixture {
  WatcherFixture()
      : store(std::make_shared<HangingStore>(this->loop.get_executor())),
        state(this->loop.get_executor(), {},
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
    this->store->tables[StoreTable::kEngines].version = 2;
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
  fixture.Advance(milliseconds(300));
  REQUIRE(fixture.store->watches == 2);
  REQUIRE(fixture.state.engines.Engines().size() == 2);
  fixture.BecomeListener();
  REQUIRE(fixture.state.watcher_election.Role() == WatchRole::kListener);
  fixture.store->FailWatches();
  fixture.BecomeListener();
  CHECK(fixture.state.unreachable_tables.empty());
  const EngineRecord remaining = fixture.state.engines.Listed().front();
  fixture.state.engines.OnSnapshot(RuntimeClock::now(), 3,
                                   std::array{remaining});
  CHECK(fixture.state.engines.Engines().size() == 1);
}

TEST_CASE("a listener that watches again reads the whole table first") {
  WatcherFixture fixture;
  fixture.Advance(milliseconds(300));
  fixture.BecomeListener();
  REQUIRE(fixture.state.watcher_election.Role() == WatchRole::kListener);
  fixture.store->FailWatches();
  fixture.store->tables[StoreTable::kEngines].rows.pop_back();
  fixture.store->tables[StoreTable::kEngines].version = 5;
  fixture.Advance(std::chrono::seconds(3));
  CHECK(fixture.state.watcher_election.Role() != WatchRole::kListener);
  CHECK(fixture.state.engines.Version() == 5);
  CHECK(fixture.state.engines.Engines().size() == 1);
}

}  // namespace
}  // namespace dandelionscale::internal
