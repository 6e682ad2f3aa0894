// Odd bytes from other writers of the store, from clients, engines and peers:
// numbers and addresses out of range, deep nesting, broken encodings. What is
// odd is left out; the rest applies.
#include <fmt/format.h>
#include <rapidcheck.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <limits>

#include "dandelionscale/transport/http_server.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/peers/snapshot_exchange.h"
#include "dispatch/request/http_text.h"
#include "dispatch/request/request_dispatch.h"
#include "platform/platform_codec.h"
#include "platform/platform_store.h"
#include "platform/settings_file.h"

namespace dandelionscale::platform {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

template <typename T>
std::optional<T> ValueOrNone(const std::function<leaf::result<T>()>& decode) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, decode());
        return std::make_optional(std::move(value));
      },
      [] { return std::optional<T>(); });
}

std::optional<EngineRecord> DecodeEngine(std::string_view text,
                                         std::string_view id = "e1") {
  return ValueOrNone<EngineRecord>(
      [&] { return PlatformCodec().DecodeEngine(id, text); });
}

std::optional<RoutingTable> DecodeTable(std::string_view text) {
  return ValueOrNone<RoutingTable>(
      [&] { return PlatformCodec().DecodeRoutingTable(text); });
}

// A sound entry, but for the given JSON values of its fields.
std::string EngineEntry(std::string_view address, std::string_view slots,
                        std::string_view born) {
  return fmt::format(
      R"({{"service":"s1","address":{},"zone":"z","max_slots":{},)"
      R"("state":"ready","born":{}}})",
      address, slots, born);
}

constexpr std::string_view kAddress = R"("10.0.0.9:8080")";
constexpr std::string_view kSlots = "48";
constexpr std::string_view kBorn = "1700000000123";

std::string Nested(int depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

TEST_CASE("an engine entry with slots out of range is left out") {
  CHECK(DecodeEngine(EngineEntry(kAddress, kSlots, kBorn)));
  for (const char* slots :
       {"4294967296", "4294967297", "9223372036854775807", "1000000000"}) {
    CAPTURE(slots);
    CHECK_FALSE(DecodeEngine(EngineEntry(kAddress, slots, kBorn)));
  }
}

TEST_CASE("an engine entry with an address that none can have is left out") {
  for (const char* address :
       {R"("10.0.0.9:0")", R"("0.0.0.0:8080")", R"("224.0.0.1:8080")",
        R"("10.0.0.9\u0000\r\nX: y:8080")", R"("fe80::1%1\r\nX: y:8080")"}) {
    CAPTURE(address);
    CHECK_FALSE(DecodeEngine(EngineEntry(address, kSlots, kBorn)));
  }
}

TEST_CASE("an engine entry with a start that is no time is left out") {
  for (const char* born : {"9223372036854775807", "-1"}) {
    CAPTURE(born);
    CHECK_FALSE(DecodeEngine(EngineEntry(kAddress, kSlots, born)));
  }
}

TEST_CASE("an engine whose id is no value of a header field is left out") {
  const std::string entry = EngineEntry(kAddress, kSlots, kBorn);
  for (std::string_view id :
       {std::string_view("e1\r\nTenant: t2"), std::string_view("e1\0", 3),
        std::string_view()}) {
    CHECK_FALSE(DecodeEngine(entry, id));
  }
}

TEST_CASE("odd engine entries that have always been left out") {
  for (const char* slots : {"-1", "0", "2.5", "1e300", "1e999", "\"8\"", "null",
                            "18446744073709551615", "99999999999999999999"}) {
    CAPTURE(slots);
    CHECK_FALSE(DecodeEngine(EngineEntry(kAddress, slots, kBorn)));
  }
  for (const char* address :
       {R"("10.0.0.9:65536")", R"("10.0.0.9:-1")", R"("10.0.0.9:")",
        R"("10.0.0.9")", "17", "null"}) {
    CAPTURE(address);
    CHECK_FALSE(DecodeEngine(EngineEntry(address, kSlots, kBorn)));
  }
  for (int depth : {40, 10'000, 200'000}) {
    CAPTURE(depth);
    CHECK_FALSE(DecodeEngine(Nested(depth)));
    CHECK_FALSE(DecodeEngine(EngineEntry(kAddress, Nested(depth), kBorn)));
    CHECK_FALSE(DecodeTable(Nested(depth)));
  }
}

TEST_CASE("odd numbers of a configuration don't wrap around") {
  const auto table = DecodeTable(R"({"version":7,"routes":[
    {"name":"r1","host":"h","prefix":"/a/","kind":"idempotent",
     "timeout_ms":1e300,"target_latency_ms":-1e300,"priority":4294967296,
     "max_attempts":4294967296,
     "weighted_services":[{"service":"s1","weight":4294967296}]}],
    "services":[{"name":"s1","max_connections":4294967296}],
    "limits":{"max_header_bytes":4294967296,"header_timeout_ms":-5,
      "idle_timeout_ms":1e300}})");
  REQUIRE(table);
  const Route* route = table->FindRoute("h", "/a/x");
  REQUIRE(route != nullptr);
  CHECK(route->timeout > std::chrono::hours(1));
  CHECK(route->timeout < std::chrono::hours(24 * 365));
  CHECK(route->latency_target >= Duration::zero());
  CHECK(route->priority > 0);
  CHECK(route->max_attempts > 0);
  CHECK(ChooseService(*route, 1) == "s1");
  CHECK(table->services.at("s1").max_connections > 0);
  CHECK(table->limits.header_bytes <=
        std::numeric_limits<std::uint32_t>::max());
  CHECK(table->limits.header_timeout == ClientLimits().header_timeout);
  CHECK(table->limits.idle_timeout < std::chrono::hours(24 * 365));
  CHECK_FALSE(DecodeTable(R"({"version":-1,"routes":[],"services":[]})"));
}

TEST_CASE("a workspace whose name is no value of a header field is left out") {
  const auto table = DecodeTable(R"({"version":7,"routes":[],"tenants":[
    {"name":"t1\r\nX: y","api_keys":["k1"]},{"name":"t2","api_keys":["k2"]}]})");
  REQUIRE(table);
  CHECK(table->FindWorkspace("k1") == nullptr);
  CHECK(table->FindWorkspace("k2") != nullptr);
}

TEST_CASE("odd numbers in a client's header fields don't wrap around") {
  const auto decode = [](std::string_view deadline) {
    HttpRequest request;
    request.headers.Add("Request-Deadline", deadline);
    return PlatformCodec().DecodeRequest(request).time_left;
  };
  CHECK_FALSE(decode("nan"));
  CHECK_FALSE(decode("soon"));
  CHECK(decode("-1e300") <= Duration::zero());
  for (std::string_view deadline : {"inf", "1e300", "1e19"}) {
    CAPTURE(deadline);
    REQUIRE(decode(deadline));
    CHECK(*decode(deadline) > std::chrono::hours(1));
    CHECK(*decode(deadline) < std::chrono::hours(24 * 365));
  }
  const std::vector<PrefixPart> prefix = {{1, 4294967295}, {2, 2}};
  CHECK(TotalTokens(prefix) > 1'000'000);
  // Further tokens may be added without an overflow.
  CHECK(TotalTokens(prefix) < 2'000'000'000);
}

TEST_CASE(
    "settings that are no sensible numbers are faults, huge ones are cut") {
  constexpr std::string_view kSound =
      "node_name=n1\nzone=z\nip=10.0.0.1\nlisten.front=10.0.0.1:1\n"
      "listen.ready=10.0.0.1:2\nport_range=7340\nplatform.address=10.0.0.2:3\n";
  const auto parse = [&](std::string_view line) {
    return ValueOrNone<DispatchOptions>(
        [&] { return ParseSettingsFile(std::string(kSound) + line.data()); });
  };
  CHECK(parse("bounds.grace_s=6\n"));
  for (std::string_view line :
       {"bounds.grace_s=nan\n", "bounds.grace_s=1e999\n",
        "limits.memory_mb=-1\n", "limits.max_fds=-5\n",
        "bounds.budget_window_s=-1\n", "port_range=7340x\n"}) {
    CAPTURE(line);
    CHECK_FALSE(parse(line));
  }
  // Some systems write a number that stands for no limit.
  const auto unlimited = parse(
      "bounds.grace_s=inf\nlimits.memory_mb=1e300\n"
      "limits.max_fds=18446744073709551615\n");
  REQUIRE(unlimited);
  CHECK(unlimited->shutdown_grace > std::chrono::hours(1));
  CHECK(unlimited->shutdown_grace <= std::chrono::seconds(1'000'000'000));
  CHECK(unlimited->memory_bytes > 1'000'000'000'000);
  CHECK(unlimited->max_descriptors == 1'000'000'000);
}

// Reads and watches through a store that gives the prepared responses in turn.
struct PageFixture {
  PageFixture()
      : server(this->loop.get_executor(), HttpServerLimits(),
               [this](HttpExchange& exchange) -> Awaitable<void> {
                 this->targets.push_back(exchange.Request().target);
                 HttpResponse response;
                 response.body = this->bodies.at(
                     std::min(this->targets.size(), this->bodies.size()) - 1);
                 const Duration pause = this->response_time;
                 if (pause > Duration::zero()) co_await SleepFor(pause);
                 co_await exchange.Respond(std::move(response));
               }),
        store(this->loop.get_executor(),
              this->server.Listen({asio::ip::address_v4::loopback(), 0})
                  .value()) {}
  ~PageFixture() { this->loop.stop(); }

  Result<StoreRows> Read(std::vector<std::string> responses) {
    this->bodies = std::move(responses);
    this->targets.clear();
    std::optional<Result<StoreRows>> rows;
    asio::co_spawn(
        this->loop,
        [&]() -> Awaitable<void> {
          rows = co_await this->store.Read(StoreTable::kEngines, this->timeout);
        },
        asio::detached);
    this->loop.restart();
    while (!rows && this->loop.run_one() > 0) {
    }
    return std::move(*rows);
  }

  asio::io_context loop;
  std::vector<std::string> bodies;
  std::vector<std::string> targets;
  Duration response_time{};  // Of each response.
  Duration timeout = std::chrono::seconds(5);
  HttpServer server;
  PlatformStore store;
};

TEST_CASE("a value whose base64 is cut short is decoded within its bounds") {
  PageFixture fixture;
  for (std::size_t length : {1, 2, 3, 5, 7, 22, 23, 43, 87, 4095}) {
    CAPTURE(length);
    const auto rows = fixture.Read(
        {R"({"ver":3,"rows":[{"key":"odd","ver":1,"value":")" +
         std::string(length, 'A') +
         R"("},{"key":"e1","ver":2,"value":"e30="}],"has_more":false})"});
    REQUIRE(rows.has_value());
    REQUIRE(rows->rows.size() == 2);
    CHECK(rows->rows[0].value.empty());
    CHECK(rows->rows[1].value == "{}");
  }
}

TEST_CASE("a row whose version is above that of the table doesn't count so") {
  PageFixture fixture;
  for (const char* version : {"18446744073709551615", "1e300", "-1", "\"x\""}) {
    CAPTURE(version);
    const auto rows =
        fixture.Read({std::string(R"({"ver":3,"rows":[{"key":"e1","ver":)") +
                      version + R"(,"value":"e30="}]})"});
    REQUIRE(rows.has_value());
    REQUIRE(rows->rows.size() == 1);
    CHECK(rows->rows[0].version <= 3);
  }
}

TEST_CASE("a response without a version of the table is malformed") {
  PageFixture fixture;
  for (const char* version : {"-1", "1.5", "null", "\"3\"", "1e300"}) {
    CAPTURE(version);
    CHECK(fixture.Read({std::string(R"({"ver":)") + version + R"(,"rows":[]})"})
              .has_error());
  }
}

// Guards against a large table that can never be read: its pages shared one
// timeout, which six of them exceeded on a slow link.
TEST_CASE("each page of a table has the whole timeout") {
  PageFixture fixture;
  fixture.timeout = std::chrono::milliseconds(400);
  fixture.response_time = std::chrono::milliseconds(150);
  std::vector<std::string> pages;
  for (int n = 1; n <= 5; ++n) {
    pages.push_back(R"({"ver":3,"rows":[{"key":"e)" + std::to_string(n) +
                    R"(","ver":2,"value":"e30="}],"has_more":)" +
                    (n < 5 ? "true" : "false") + "}");
  }
  const auto rows = fixture.Read(pages);
  REQUIRE(rows.has_value());
  CHECK(rows->rows.size() == 5);
  CHECK(fixture.store.BytesRead(StoreTable::kEngines) > 5 * 50);
}

TEST_CASE("a page that ends at an odd key is followed by the next") {
  PageFixture fixture;
  const std::string page =
      R"({"ver":3,"rows":[{"key":"a b&c=d#%\u0001","ver":1,"value":"e30="}],"has_more":)";
  const auto rows =
      fixture.Read({page + "true}",
                    R"({"ver":3,"rows":[{"key":"e1","ver":2,"value":""}]})"});
  REQUIRE(rows.has_value());
  CHECK(rows->rows.size() == 2);
  REQUIRE(fixture.targets.size() == 2);
  CHECK(fixture.targets[1].ends_with("&from=a%20b%26c%3Dd%23%25%01"));
}

TEST_CASE("odd rows of a page are left out and the others are read") {
  PageFixture fixture;
  const auto rows = fixture.Read(
      {R"({"ver":3,"rows":[17,null,[],{"key":3,"ver":1,"value":"e30="},)"
       R"({"key":"e1","ver":1,"value":{"a":[[]]}},)"
       R"({"key":"e2","key":"e3","ver":2,"value":"e30="}]})"});
  REQUIRE(rows.has_value());
  CHECK(rows->rows.back().key == "e3");
  CHECK(rows->rows.back().value == "{}");
}

TEST_CASE("broken pages are read or rejected, without a crash") {
  const std::string sound =
      R"({"ver":3,"rows":[{"table":"servers","part":"","key":"e1","ver":2,)"
      R"("value":"eyJzZXJ2aWNlIjoxfQ=="}],"has_more":false})";
  PageFixture fixture;
  const bool held = rc::check([&] {
    std::string text = sound;
    const int changes = *rc::gen::inRange(1, 4);
    for (int n = 0; n < changes; ++n) {
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      text[position] = *rc::gen::arbitrary<char>();
    }
    const auto rows = fixture.Read({text});
    if (rows.has_error()) return;
    for (const StoreRow& row : rows->rows) DecodeEngine(row.value, row.key);
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale::platform

namespace dandelionscale::internal {
namespace {

TEST_CASE("the time of a row of quarantines doesn't overflow") {
  constexpr std::int64_t kNowUnixMs = 1'700'000'000'000;
  const TimePoint now = RuntimeClock::now();
  for (std::int64_t written :
       {std::numeric_limits<std::int64_t>::min(), std::int64_t{0},
        std::numeric_limits<std::int64_t>::max()}) {
    wire::QuarantineRow row;
    row.set_written_unix_ms(written);
    row.add_quarantines()->add_parts(7);
    const QuarantineUpdate update =
        ToQuarantineUpdate(row.SerializeAsString(), now, kNowUnixMs);
    REQUIRE(update.blocked.size() == 1);
    CHECK(update.blocked[0].since <= now);
    CHECK(update.blocked[0].since >= now - std::chrono::hours(2));
  }
}

EngineRecord SoundRecord() {
  return {"e1", "s1", "10.0.0.9:8080", "z", 4, false, 1'700'000'000'123, "v1"};
}

struct StateFixture {
  boost::asio::io_context loop;
  DispatchState state{this->loop.get_executor(),
                      {},
                      std::make_shared<platform::PlatformCodec>()};
};

TEST_CASE("an engine's keep-alive timeout is read only if it is a number") {
  CHECK(ParseKeepAliveTimeout("timeout=5, max=3") == std::chrono::seconds(5));
  CHECK(ParseKeepAliveTimeout("max=3") == Duration::zero());
  for (std::string_view odd :
       {"timeout=99999999999999999999", "timeout=-3", "timeout=", "timeout=5x",
        "timeout=1e300", "timeout=inf"}) {
    CAPTURE(odd);
    CHECK(ParseKeepAliveTimeout(odd) == Duration::zero());
  }
}

TEST_CASE("a peer's report of a rate that is no number is ignored") {
  StateFixture fixture;
  DispatchState& state = fixture.state;
  const TimePoint now = RuntimeClock::now();
  const std::vector<EngineRecord> records = {SoundRecord()};
  state.engines.OnSnapshot(now, {1, 1}, records);
  Engine& engine = *state.engines.Find("s1").front();
  engine.rate_limit.OnStated(now - std::chrono::seconds(1), 5);
  wire::RouterDigest digest;
  for (float rate : {std::numeric_limits<float>::quiet_NaN(),
                     std::numeric_limits<float>::infinity(), -1.0F}) {
    wire::RateLimitReport& report = *digest.add_rate_limits();
    report.set_engine(ShortKey(engine.key));
    report.set_per_second(rate);
  }
  ApplyRateLimits(state, digest.rate_limits(), "10.0.0.1:1");
  CHECK(engine.rate_limit.Statement() == 5);
  // A report without a rate says that the limit has ended.
  digest.mutable_rate_limits(0)->clear_per_second();
  ApplyRateLimits(state, digest.rate_limits(), "10.0.0.1:1");
  CHECK_FALSE(engine.rate_limit.IsActive());
}

std::vector<EngineRecord> OddRecords() {
  std::vector<EngineRecord> records(6, SoundRecord());
  records[0].max_slots = 0;
  records[1].max_slots = std::numeric_limits<std::uint32_t>::max();
  records[2].address = "nowhere";
  records[3].address = "10.0.0.9:0";
  records[4].born_unix_ms = std::numeric_limits<std::int64_t>::max();
  records[5].id = "e6\r\nX: y";
  for (std::size_t n = 0; n < 5; ++n) {
    records[n].id = "odd" + std::to_string(n);
  }
  return records;
}

TEST_CASE("odd entries of a peer's snapshot are left out") {
  StateFixture fixture;
  wire::BeliefSnapshot snapshot;
  snapshot.set_engines_version(7);
  for (const EngineRecord& record : OddRecords()) {
    FillEntry(record, *snapshot.add_engines());
  }
  FillEntry(SoundRecord(), *snapshot.add_engines());
  for (const char* router : {"10.0.0.7:1", "nowhere", "10.0.0.7:0"}) {
    snapshot.add_routers(router);
  }
  HttpServer peer(fixture.loop.get_executor(), HttpServerLimits(),
                  [&](HttpExchange& exchange) -> Awaitable<void> {
                    HttpResponse response;
                    response.body = snapshot.SerializeAsString();
                    co_await exchange.Respond(std::move(response));
                  });
  const Endpoint address =
      peer.Listen({boost::asio::ip::address_v4::loopback(), 0}).value();
  SnapshotExchange exchange(fixture.state);
  wire::RouterDigest digest;
  digest.set_engines_changed(7);
  exchange.OnDigest(digest, ToText(address));
  while (!fixture.state.engines_known && fixture.loop.run_one() > 0) {
  }
  fixture.loop.poll();
  REQUIRE(fixture.state.engines.Engines().size() == 1);
  CHECK(fixture.state.engines.Engines().contains("e1"));
  CHECK(fixture.state.peers.size() == 1);
}

}  // namespace
}  // namespace dandelionscale::internal
