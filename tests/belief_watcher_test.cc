// What a router makes of the store's answers while its role changes, under a
// paused clock.
#include "dispatch/belief_watcher.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "platform/platform_dialect.h"

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;

// Watches stay open until they are told to fail.
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

struct Scene {
  Scene()
      : store(std::make_shared<HangingStore>(this->loop.get_executor())),
        state(this->loop.get_executor(), {},
              std::make_shared<platform::PlatformDialect>()),
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
  ~Scene() {
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

  // Digests of five peers that outrank this router and know a watcher.
  void HearWatchers() {
    for (std::uint64_t n = 0; n < 5; ++n) {
      this->state.watcher_election.OnDigest(
          RuntimeClock::now(), std::to_string(n), UINT64_MAX - n,
          {Duration::zero(), Duration::zero(), false});
    }
  }

  void BecomeListener() {
    for (int n = 0; n < 20; ++n) {
      this->HearWatchers();
      this->Advance(milliseconds(200));
    }
  }

  boost::asio::io_context loop;
  std::shared_ptr<HangingStore> store;
  DispatchState state;
  BeliefWatcher watcher;
};

// Found by a hunt on the grown cooperative (scale-2, seed 721430046213): a
// watch failed after its router had begun to listen to its peers. The router
// took the list of engines for lost from then on and kept engines that left.
TEST_CASE("a watch that fails after the watch was left to peers is no loss") {
  Scene scene;
  scene.Advance(milliseconds(300));
  REQUIRE(scene.store->watches == 2);
  REQUIRE(scene.state.engines.Engines().size() == 2);
  scene.BecomeListener();
  REQUIRE(scene.state.watcher_election.Role() == WatchRole::kListener);
  scene.store->FailWatches();
  scene.BecomeListener();
  CHECK(scene.state.unreachable_tables.empty());
  const EngineRecord left = scene.state.engines.Listed().front();
  scene.state.engines.OnSnapshot(RuntimeClock::now(), 3, std::array{left});
  CHECK(scene.state.engines.Engines().size() == 1);
}

TEST_CASE("a router that has left the watch reads anew when it returns") {
  Scene scene;
  scene.Advance(milliseconds(300));
  scene.BecomeListener();
  REQUIRE(scene.state.watcher_election.Role() == WatchRole::kListener);
  scene.store->FailWatches();
  scene.store->tables[StoreTable::kEngines].rows.pop_back();
  scene.store->tables[StoreTable::kEngines].version = 5;
  scene.Advance(std::chrono::seconds(3));
  CHECK(scene.state.watcher_election.Role() != WatchRole::kListener);
  CHECK(scene.state.engines.Version() == 5);
  CHECK(scene.state.engines.Engines().size() == 1);
}

}  // namespace
}  // namespace dandelionscale::internal
