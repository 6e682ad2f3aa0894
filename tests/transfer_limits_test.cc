// Calls whose responses may have any size: over slow links, and from servers
// that stop or trickle. Guards against timeouts that cut what is on its way.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/http_server.h"
#include "platform/platform_store.h"
#include "platform/wire_names.h"
#include "store_service.h"
#include "tests/support/configuration_text.h"
#include "tests/support/slow_link.h"

namespace dandelionscale::tests {
namespace {

using std::chrono::milliseconds;

constexpr double kSlowLinkBytesPerSecond = 10e6 / 8;  // 10 Mbit/s
constexpr Duration kStall = milliseconds(300);
constexpr TransferLimits kLimits{milliseconds(200), kStall};

Endpoint Loopback() { return {boost::asio::ip::address_v4::loopback(), 0}; }

struct Call {
  std::optional<Result<HttpResponse>> result;
  TransferProgress progress;
  Duration took{};
};

// Runs a call until it ends.
void Fetch(
    boost::asio::io_context& loop, const Endpoint& address, Call& call,
    const std::function<void()>& on_step = [] {}) {
  HttpClient client(loop.get_executor(), nullptr);
  const TimePoint began = RuntimeClock::now();
  boost::asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        call.result = co_await client.Fetch(address, std::move(request),
                                            ConnectionUse::kFresh, kLimits,
                                            &call.progress);
        call.took = RuntimeClock::now() - began;
      },
      boost::asio::detached);
  const TimePoint end = began + std::chrono::seconds(10);
  while (!call.result && RuntimeClock::now() < end) {
    loop.run_for(milliseconds(5));
    on_step();
  }
  REQUIRE(call.result);
}

TEST_CASE("a response that is long on its way is received whole") {
  boost::asio::io_context loop;
  const std::string body(1'500'000, 'x');
  HttpServer server(loop.get_executor(), HttpServerLimits(),
                    [&](HttpExchange& exchange) -> Awaitable<void> {
                      HttpResponse response;
                      response.body = body;
                      co_await exchange.Respond(std::move(response));
                    });
  SlowLink link(loop, server.Listen(Loopback()).value(),
                kSlowLinkBytesPerSecond);
  Call call;
  Fetch(loop, link.Address(), call);
  REQUIRE(call.result->has_value());
  CHECK(call.result->value().body == body);
  CHECK(call.took > 3 * kStall);
  CHECK(call.progress.bytes == body.size());
}

TEST_CASE("a response that stands still is given up soon") {
  boost::asio::io_context loop;
  HttpServer server(loop.get_executor(), HttpServerLimits(),
                    [&](HttpExchange& exchange) -> Awaitable<void> {
                      HttpResponse response;
                      response.body = std::string(1'500'000, 'x');
                      co_await exchange.Respond(std::move(response));
                    });
  SlowLink link(loop, server.Listen(Loopback()).value(),
                kSlowLinkBytesPerSecond);
  Call call;
  constexpr std::size_t kPassed = 200'000;
  Fetch(loop, link.Address(), call, [&] {
    if (link.Bytes() > kPassed) link.Stall();
  });
  REQUIRE(call.result->has_error());
  CHECK(call.result->error().kind == FaultKind::kTimeout);
  CHECK(call.progress.bytes > 0);
  CHECK(call.took < std::chrono::seconds(2));
}

TEST_CASE("a response that only trickles is given up") {
  boost::asio::io_context loop;
  bool is_over = false;
  HttpServer server(loop.get_executor(), HttpServerLimits(),
                    [&](HttpExchange& exchange) -> Awaitable<void> {
                      co_await exchange.StartStream(200, {});
                      while (!is_over && co_await exchange.Write("x")) {
                        const Duration pause = milliseconds(50);
                        co_await SleepFor(pause);
                      }
                    });
  Call call;
  Fetch(loop, server.Listen(Loopback()).value(), call);
  is_over = true;
  REQUIRE(call.result->has_error());
  CHECK(call.took < 3 * kStall);
}

// Guards against rows that are cut while the store sends them, after which the
// router takes the store for lost.
TEST_CASE("large rows of the store are received over a slow link") {
  boost::asio::io_context loop;
  emulator::StoreService store(loop.get_executor());
  SlowLink link(loop, store.Listen(Loopback()).value(),
                kSlowLinkBytesPerSecond);
  platform::PlatformStore client(loop.get_executor(), link.Address());
  const std::string text = ConfigurationText(1, 10'000);
  std::optional<Result<StoreRows>> result;
  const auto run = [&](Awaitable<Result<StoreRows>> call) {
    result.reset();
    boost::asio::co_spawn(
        loop,
        [&, call = std::move(call)]() mutable -> Awaitable<void> {
          result = co_await std::move(call);
        },
        boost::asio::detached);
    const TimePoint end = RuntimeClock::now() + std::chrono::seconds(10);
    while (!result && RuntimeClock::now() < end) loop.run_for(milliseconds(5));
    REQUIRE(result);
  };
  const auto put = [&] {
    store.Put(std::string(platform::names::kConfigurationTable), "config",
              text);
  };
  SECTION("that it reads") {
    put();
    run(client.Read(StoreTable::kConfiguration, milliseconds(1200)));
  }
  SECTION("that its watch returns at the end of the wait") {
    boost::asio::steady_timer timer(loop, milliseconds(200));
    timer.async_wait([&](boost::system::error_code) { put(); });
    run(client.Watch(StoreTable::kConfiguration, {1, 1}, milliseconds(220)));
  }
  REQUIRE(result->has_value());
  REQUIRE(result->value().rows.size() == 1);
  CHECK(result->value().rows[0].value == text);
}

}  // namespace
}  // namespace dandelionscale::tests
