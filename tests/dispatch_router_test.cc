// A router in the test process, run with a paused clock: behavior while the
// configuration is not yet loaded.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "dandelionscale/dispatch.h"
#include "dandelionscale/runtime/event.h"
#include "platform/platform_codec.h"
#include "scripted_engine.h"
#include "tests/support/platform_fleet.h"

namespace dandelionscale::tests {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::string_view kConfiguration =
    R"({"version":1,"routes":[{"name":"any","host":"h.example","prefix":"/any/",)"
    R"("kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,)"
    R"("service":"plain","max_attempts":2}],"services":[{"name":"plain"}],)"
    R"("tenants":[{"name":"t1","api_keys":["k1"]}]})";

// A store whose reads block until `Open()`.
class FakeTableStore : public TableStore {
 public:
  explicit FakeTableStore(const asio::any_io_executor& executor)
      : opened(executor) {}

  Awaitable<Result<StoreRows>> Read(StoreTable table, Duration) override {
    while (!this->open) co_await this->opened.Wait();
    co_return this->tables[table];
  }
  Awaitable<Result<StoreRows>> Watch(StoreTable table, StoreVersion,
                                     Duration wait) override {
    const Duration pause = wait;
    co_await SleepFor(pause);
    StoreRows nothing;
    nothing.version = this->tables[table].version;
    co_return nothing;
  }
  Awaitable<Result<void>> WriteRow(std::string, std::string,
                                   Duration) override {
    co_return Result<void>();
  }
  std::uint64_t BytesRead(StoreTable) const override { return 0; }

  void Open() {
    this->open = true;
    this->opened.NotifyAll();
  }

  std::map<StoreTable, StoreRows> tables;

 private:
  bool open = false;
  Event opened;
};

Endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

// A router, an engine and one client connection on one event loop.
struct RouterFixture {
  RouterFixture()
      : engine(this->loop.get_executor(),
               [](const HttpRequest& request) {
                 return emulator::Script{emulator::SendBytes{
                     emulator::MakeResponse(request, 200, "ok")}};
               }),
        store(std::make_shared<FakeTableStore>(this->loop.get_executor())),
        socket(this->loop) {
    RuntimeClock::Pause();
    const auto port = this->engine.Listen(Loopback(0)).value().port();
    this->store->tables[StoreTable::kConfiguration] = {
        {{"config", std::string(kConfiguration), 1, false}}, {0, 2}};
    this->store->tables[StoreTable::kEngines] = {
        {{"e1",
          R"({"service":"plain","address":"127.0.0.1:)" + std::to_string(port) +
              R"(","zone":"z","max_slots":4,"state":"ready"})",
          1, false}},
        {0, 2}};
    DispatchOptions options;
    options.name = "router";
    options.client_address = Loopback(18901);
    options.ready_address = Loopback(18902);
    options.metrics_address = Loopback(18903);
    options.peer_address = Loopback(18904);
    this->router = std::make_unique<DispatchRouter>(
        this->loop.get_executor(), options,
        std::make_shared<platform::PlatformCodec>(), this->store);
    REQUIRE(this->router->Start().has_value());
    this->socket.connect(Loopback(18901));
  }
  ~RouterFixture() {
    this->loop.stop();
    RuntimeClock::Resume();
  }

  void Send() {
    asio::write(this->socket,
                asio::buffer(MakeClientRequest("GET", "/any/", "id1")));
    asio::co_spawn(
        this->loop,
        [this]() -> Awaitable<void> {
          char bytes[1024];
          error_code error;
          const auto size = co_await this->socket.async_read_some(
              asio::buffer(bytes),
              asio::redirect_error(asio::use_awaitable, error));
          this->response.append(bytes, size);
        },
        asio::detached);
  }

  // Runs the event loop while `RuntimeClock` is paused; real time only limits
  // how long a failing test runs.
  void RunUntil(const std::function<bool()>& condition) {
    for (int n = 0; n < 10'000 && !condition(); ++n) {
      this->loop.run_for(milliseconds(1));
    }
    REQUIRE(condition());
  }
  void RunFor50Milliseconds() { this->loop.run_for(milliseconds(50)); }

  asio::io_context loop;
  emulator::ScriptedEngine engine;
  std::shared_ptr<FakeTableStore> store;
  std::unique_ptr<DispatchRouter> router;
  asio::ip::tcp::socket socket;
  std::string response;
};

// Regression test: after a power failure, 42 requests were refused in the
// interval between the opening of the listener and the first read of the
// configuration.
TEST_CASE("a request that arrives before the configuration waits for it") {
  RouterFixture fixture;
  fixture.Send();
  fixture.RunFor50Milliseconds();
  CHECK(fixture.response.empty());
  fixture.store->Open();
  RuntimeClock::Advance(milliseconds(50));
  fixture.RunUntil([&] { return !fixture.response.empty(); });
  CHECK(fixture.response.starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "without a configuration the wait is short and the request is refused") {
  RouterFixture fixture;
  fixture.Send();
  fixture.RunFor50Milliseconds();
  RuntimeClock::Advance(milliseconds(250));
  fixture.RunUntil([&] { return !fixture.response.empty(); });
  CHECK(fixture.response.starts_with("HTTP/1.1 503"));
  CHECK(fixture.response.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.engine.Requests().empty());
}

}  // namespace
}  // namespace dandelionscale::tests
