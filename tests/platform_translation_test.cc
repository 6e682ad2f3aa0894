// Translation between the platform's formats and the router's types, including
// malformed and mutated input.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "platform/platform_codec.h"
#include "platform/settings_file.h"

namespace dandelionscale::platform {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","prefix":"/a/","kind":"streaming",
   "timeout_ms":12000,"target_latency_ms":600,"priority":0,
   "weighted_services":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true},
  {"name":"r2","host":"h.example","prefix":"/b/","kind":"non_idempotent",
   "timeout_ms":1500,"service":"s2","public":true}],
 "services":[{"name":"s1","max_connections":300,"engine":{"max_slots":48},
    "cold_s":6,"cold_per_s":17},
   {"name":"s2","max_connections":110}],
 "limits":{"max_header_bytes":8000,"max_body_bytes":100000,
   "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})";

constexpr std::string_view kEngine =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"north","version":"v1",
    "max_slots":48,"state":"ready","cold_remaining_ms":0,"call_seq":4,
    "born":1700000000123})";

HttpRequest ClientHttp() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/a/chat?x=1";
  request.headers = {{"Host", "h.example"},
                     {"Request-Id", "abc"},
                     {"Model", "m"},
                     {"Prompt-Prefix", "p1:100,p2:200,own:50"},
                     {"Request-Deadline", "12000"},
                     {"Authorization", "Token k1"},
                     {"Tenant", "somebody-else"},
                     {"Kv-Fetch", "1.2.3.4:5"},
                     {"Hold", "h"},
                     {"Connection", "keep-alive, X-Drop, Request-Id"},
                     {"X-Drop", "1"},
                     {"X-Keep", "2"},
                     {"Transfer-Encoding", "chunked"}};
  return request;
}

template <typename T>
std::optional<T> ValueOrNone(const std::function<leaf::result<T>()>& decode) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, decode());
        return std::make_optional(std::move(value));
      },
      [](const DecodeFault&) { return std::optional<T>(); },
      [](const SettingsFileFaults&) { return std::optional<T>(); },
      [] { return std::optional<T>(); });
}

std::optional<RoutingTable> DecodeTable(std::string_view text) {
  return ValueOrNone<RoutingTable>(
      [&] { return PlatformCodec().DecodeRoutingTable(text); });
}

std::optional<EngineRecord> DecodeEngine(std::string_view text) {
  return ValueOrNone<EngineRecord>(
      [&] { return PlatformCodec().DecodeEngine("e1", text); });
}

TEST_CASE("an engine's report tells how many requests wait") {
  constexpr std::uint64_t kUnreadable = 99;
  const PlatformCodec codec;
  const auto waiting = [&](std::string_view text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::uint64_t> {
          BOOST_LEAF_AUTO(report, codec.DecodeReport(text));
          return report.waiting;
        },
        [] { return kUnreadable; });
  };
  CHECK(waiting(R"({"queued":3,"runs":[]})") == 3);
  CHECK(waiting(R"({"runs":[]})") == 0);
  CHECK(waiting(R"({"queued":"many","runs":[]})") == kUnreadable);
}

TEST_CASE("an engine's report names the requests that it runs") {
  const PlatformCodec codec;
  const auto ids = [&](const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<std::string>> {
          BOOST_LEAF_AUTO(report, codec.DecodeReport(text));
          return report.request_ids;
        },
        [] { return std::vector<std::string>{"fault"}; });
  };
  CHECK(codec.EncodeReportRequest().target == "/dandelionscale/report");
  CHECK(ids(R"({"runs":[["a",10,2,5],["b",0,0,5]]})") ==
        std::vector<std::string>{"a", "b"});
  CHECK(ids(R"({"runs":[]})").empty());
  // Entries that name no request are left out.
  CHECK(ids(R"({"runs":[["a"],[],7,[3],{}]})") ==
        std::vector<std::string>{"a"});
  for (const char* text : {"", "[]", "{}", R"({"runs":7})", R"({"runs":[)"}) {
    CAPTURE(text);
    CHECK(ids(text) == std::vector<std::string>{"fault"});
  }
}

TEST_CASE("a request is decoded into the router's types") {
  const ClientRequest request = PlatformCodec().DecodeRequest(ClientHttp());
  CHECK(request.id == "abc");
  CHECK(request.host == "h.example");
  CHECK(request.path == "/a/chat");
  CHECK(request.time_left == std::chrono::seconds(12));
  CHECK(request.key == "k1");
  REQUIRE(request.prefix.size() == 2);
  CHECK(TotalTokens(request.prefix) == 300);
}

TEST_CASE("router-only and hop-by-hop fields and the key aren't forwarded") {
  const PlatformCodec codec;
  const ClientRequest request = codec.DecodeRequest(ClientHttp());
  const HttpHeaders sent = codec.EncodeEngineRequest(
      request, {"e1", std::chrono::milliseconds(900), "t1", 2, "", ""});
  CHECK(sent.Find("Tenant") == "t1");
  CHECK(sent.Find("Expect-Instance") == "e1");
  CHECK(sent.Find("Request-Deadline") == "900");
  CHECK(sent.Find("Request-Id") == "abc");
  CHECK(sent.Find("X-Keep") == "2");
  for (std::string_view absent : {"Authorization", "Hold", "Kv-Fetch", "X-Drop",
                                  "Connection", "Transfer-Encoding"}) {
    CHECK(sent.Find(absent).empty());
  }
}

TEST_CASE("the router sets the resume position and the cache to copy from") {
  const PlatformCodec codec;
  HttpRequest http = ClientHttp();
  http.headers.Add("Last-Event-Id", "3");
  const ClientRequest request = codec.DecodeRequest(http);
  CHECK(request.resume_after == "3");
  const HttpHeaders plain = codec.EncodeEngineRequest(
      request, {"e1", std::chrono::seconds(1), "", 2, "", ""});
  CHECK(plain.Find("Last-Event-Id") == "3");
  CHECK(plain.Find("Tenant").empty());
  const HttpHeaders resumed = codec.EncodeEngineRequest(
      request, {"e1", std::chrono::seconds(1), "", 2, "17", "10.0.0.1:80"});
  CHECK(resumed.Find("Last-Event-Id") == "17");
  CHECK(resumed.Find("Kv-Fetch") == "10.0.0.1:80");
}

TEST_CASE("a response is decoded: execution, load, signature, encoding") {
  const PlatformCodec codec;
  const auto ok = codec.DecodeResponse(200, {{"Request-Id", "abc"},
                                             {"Response-Seal", "s"},
                                             {"Instance-Load", "3,1,8"},
                                             {"Content-Length", "5"}});
  CHECK(ok.is_signed);
  CHECK_FALSE(ok.not_run);
  REQUIRE(ok.load);
  CHECK(ok.load->running == 3);
  CHECK(ok.load->waiting == 1);
  CHECK(ok.load->slots == 8);
  CHECK_FALSE(ok.load->pace);
  CHECK(ok.end_to_end.Find("Response-Seal") == "s");
  CHECK(ok.end_to_end.Find("Content-Length").empty());
  CHECK(codec.DecodeResponse(503, {{"Not-Executed", "1"}}).not_run);
  CHECK_FALSE(codec.DecodeResponse(503, {}).not_run);
  CHECK(codec.DecodeResponse(421, {}).wrong_engine);
  CHECK(codec.DecodeResponse(200, {{"Content-Encoding", "gzip"}})
            .has_content_encoding);
}

// Guards against the loss of the whole report when engines add a value to it.
TEST_CASE("an engine's load is decoded with and without its pace") {
  const PlatformCodec codec;
  const auto decode = [&](std::string_view text) {
    return codec.DecodeResponse(200, {{"Instance-Load", std::string(text)}});
  };
  const EngineResponse paced = decode("3, 1, 8, 250");
  REQUIRE(paced.load);
  CHECK(paced.load->slots == 8);
  CHECK(paced.load->pace == 250.0);
  CHECK(decode("3,1,8,99.5").load->pace == 99.5);
  // HTTP ignores empty items of a list.
  CHECK(decode("3,1,8,").load);
  CHECK_FALSE(decode("").has_malformed_load);
  CHECK_FALSE(codec.DecodeResponse(200, {}).has_malformed_load);
  for (const char* text :
       {"3", "3,1", "3,1,8,100,1", "3,1,x", "3,1,8,x", "3,1,8,-1", "3,1,8,nan",
        ",,", "-3,1,8", "3.5,1,8", "99999999999,1,8"}) {
    CAPTURE(text);
    CHECK_FALSE(decode(text).load);
    CHECK(decode(text).has_malformed_load);
  }
}

TEST_CASE("token counts and the length hint are decoded and forwarded") {
  const PlatformCodec codec;
  const auto decode = [&](const char* counts, const char* hint) {
    HttpRequest http = ClientHttp();
    http.headers.Add("Token-Count", counts);
    http.headers.Add("Length-Hint", hint);
    return codec.DecodeRequest(http);
  };
  const ClientRequest request = decode("900,40", "17");
  CHECK(request.prompt_tokens == 900U);
  CHECK(request.max_output_tokens == 40U);
  CHECK(request.expected_output_tokens == 17U);
  const HttpHeaders sent = codec.EncodeEngineRequest(
      request, {"e1", std::chrono::milliseconds(900), "t1", 2, "", ""});
  CHECK(sent.Find("Token-Count") == "900,40");
  CHECK(sent.Find("Length-Hint") == "17");
  CHECK(decode("900,40", "16.6").expected_output_tokens == 17U);
  CHECK(decode("900,40", "1e30").expected_output_tokens == 4294967295U);
  for (const char* text : {"", "900", "900,", "x,40", "900,40,1", "-1,40"}) {
    CAPTURE(text);
    CHECK_FALSE(decode(text, "17").prompt_tokens);
    CHECK_FALSE(decode(text, "17").max_output_tokens);
  }
  for (const char* text : {"", "x", "-1", "nan", "inf"}) {
    CAPTURE(text);
    CHECK_FALSE(decode("900,40", text).expected_output_tokens);
  }
  CHECK_FALSE(codec.DecodeRequest(ClientHttp()).prompt_tokens);
}

TEST_CASE(
    "a configuration is decoded; one with a malformed route is rejected") {
  const auto table = DecodeTable(kConfiguration);
  REQUIRE(table);
  CHECK(table->version == 7);
  const Route* route = table->FindRoute("h.example", "/a/chat");
  REQUIRE(route != nullptr);
  CHECK(route->kind == RouteKind::kStreaming);
  CHECK(route->resumable);
  CHECK(route->services.size() == 2);
  CHECK(route->max_attempts == 2);
  CHECK(table->FindRoute("h.example", "/b/x")->is_public);
  CHECK(table->FindWorkspace("k2")->name == "t1");
  CHECK(table->FindWorkspace("k3") == nullptr);
  CHECK(table->services.at("s1").is_model);
  CHECK_FALSE(table->services.at("s2").is_model);
  CHECK(table->services.at("s1").warm_up_time == std::chrono::seconds(6));
  CHECK(table->services.at("s1").warm_up_rate == 17);
  CHECK(table->services.at("s2").warm_up_time == Duration::zero());
  CHECK(table->services.at("s2").warm_up_rate == 0);
  CHECK(table->limits.header_bytes == 8000);
  CHECK_FALSE(DecodeTable("{\"version\":1,\"routes\":[{\"name\":3}]}"));
  CHECK_FALSE(DecodeTable("not json"));
}

TEST_CASE("malformed services and limits of a configuration are left out") {
  const auto table = DecodeTable(R"({"version":7,"routes":[
    {"name":"r1","host":"h","prefix":"/a/","kind":"idempotent",
     "timeout_ms":100,"weighted_services":[{"weight":3},
       {"service":"s1","weight":1},{"service":"s2","weight":"many"}]}],
    "services":[{"max_connections":3},{"name":"s1"}],
    "limits":{"max_header_bytes":"many","max_body_bytes":-5}})");
  REQUIRE(table);
  const Route* route = table->FindRoute("h", "/a/x");
  REQUIRE(route != nullptr);
  REQUIRE(route->services.size() == 1);
  CHECK(route->services.front().service == "s1");
  CHECK(table->services.size() == 1);
  CHECK(table->limits.header_bytes == ClientLimits().header_bytes);
  CHECK(table->limits.body_bytes == ClientLimits().body_bytes);
}

TEST_CASE("an engine's statements about itself are decoded") {
  const PlatformCodec codec;
  CHECK(codec.DecodeResponse(200, {{"Server-Leaving", "1"}}).leaving);
  CHECK_FALSE(codec.DecodeResponse(200, {{"Server-Leaving", "0"}}).leaving);
  CHECK(codec.DecodeResponse(200, {{"Server-Limit", "4.25"}}).rate_limit ==
        4.25);
  CHECK_FALSE(codec.DecodeResponse(200, {}).rate_limit);
  for (const char* malformed : {"some", "-1", "nan", "inf", "4 a second"}) {
    const auto limited =
        codec.DecodeResponse(200, {{"Server-Limit", malformed}});
    CHECK_FALSE(limited.rate_limit);
    CHECK(limited.has_malformed_rate_limit);
  }
  const auto busy = codec.DecodeResponse(503, {{"Retry-After", "1.5"}});
  CHECK(busy.requested_pause == Duration(std::chrono::milliseconds(1500)));
  CHECK_FALSE(
      codec.DecodeResponse(429, {{"Retry-After", "1.5"}}).requested_pause);
  for (const char* malformed : {"soon", "-1", "nan", "inf", "1s"}) {
    CAPTURE(malformed);
    const auto response =
        codec.DecodeResponse(503, {{"Retry-After", malformed}});
    CHECK_FALSE(response.requested_pause);
    CHECK(response.has_malformed_pause);
  }
  const auto absurd = codec.DecodeResponse(503, {{"Retry-After", "1e30"}});
  REQUIRE(absurd.requested_pause);
  CHECK(*absurd.requested_pause > std::chrono::hours(1));
}

TEST_CASE("malformed engine records are rejected") {
  const auto engine = DecodeEngine(kEngine);
  REQUIRE(engine);
  CHECK(engine->service == "s1");
  CHECK(engine->max_slots == 48);
  CHECK(engine->born_unix_ms == 1700000000123);
  CHECK_FALSE(engine->draining);
  for (
      std::string_view malformed :
      {R"({"service":1,"address":"10.0.0.9:1","zone":"z","max_slots":1,"state":"ready"})",
       R"({"service":"s","address":"nowhere","zone":"z","max_slots":1,"state":"ready"})",
       R"({"service":"s","address":"10.0.0.9:1","zone":"z","max_slots":1,"state":"asleep"})",
       R"({"service":"s","address":"10.0.0.9:1","zone":"z","max_slots":0,"state":"ready"})",
       R"([])", "\x01\x02", ""}) {
    CHECK_FALSE(DecodeEngine(malformed));
  }
}

TEST_CASE("cache events and listings yield the same part keys as prompts") {
  const PlatformCodec codec;
  const auto decode = [&](std::string_view text) {
    return ValueOrNone<CacheEventBatch>(
        [&] { return codec.DecodeCacheEvents(text); });
  };
  const auto batch = decode(
      R"({"epoch":5,"next":9,"lost":false,"events":[[7,"+","","p1",100,"m"],[8,"-","","p2",0,"m"]]})");
  REQUIRE(batch);
  CHECK(batch->next == 9);
  CHECK_FALSE(batch->has_gap);
  REQUIRE(batch->events.size() == 2);
  CHECK(batch->events[0].part_key == PartKey("m", "p1"));
  CHECK(batch->events[0].tokens == 100);
  CHECK(batch->events[1].dropped);
  const auto list =
      decode(R"({"epoch":5,"next":9,"held":[["","p1",100,"m"]]})");
  REQUIRE(list);
  CHECK(list->events[0].part_key == PartKey("m", "p1"));
  CHECK(list->events[0].tokens == 100);
  // Guards against odd numbers that pass as a long part.
  const auto odd = decode(
      R"({"epoch":5,"next":9,"held":[["","p1",-1,"m"],["","p2","x","m"]]})");
  REQUIRE(odd);
  for (const CacheEvent& event : odd->events) CHECK(event.tokens == 0);
  CHECK(decode(R"({"epoch":5,"next":9,"lost":true,"events":[]})")->has_gap);
  CHECK_FALSE(decode(R"({"epoch":5})"));
}

TEST_CASE("settings are read, unknown fields ignored, all faults reported") {
  constexpr std::string_view kGood =
      "node_name=n1\nzone=z\nip=10.0.0.1\nlisten.front=10.0.0.1:1\n"
      "listen.ready=10.0.0.1:2\nport_range=7340,7355\n"
      "platform.address=10.0.0.2:3\nbounds.grace_s=6\nbounds.cap_x=1.5\n"
      "bounds.budget_extra=56\nlimits.max_fds=4100\n"
      "routing.zone_cost=2.5\nstart.min_large_fleet=40\nsomething.new=1\n";
  const auto options =
      ValueOrNone<DispatchOptions>([&] { return ParseSettingsFile(kGood); });
  REQUIRE(options);
  CHECK(options->peer_address.port() == 7340);
  CHECK(options->shutdown_grace == std::chrono::seconds(6));
  CHECK(options->load_factor == 1.5);
  CHECK(options->zone_cost == 2.5);
  CHECK(options->min_large_fleet == 40);
  CHECK(options->retry_budget.extra == 56);
  std::size_t faults = 0;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(ParseSettingsFile("node_name=n1\nlisten.front=x\n"));
        return {};
      },
      [&](const SettingsFileFaults& malformed) {
        faults = malformed.faults.size();
      },
      [] {});
  // zone, listen.front, listen.ready, platform.address, port_range and ip.
  CHECK(faults == 6);
}

// Removes and changes bytes of valid messages; a decoder may reject the result,
// but must not crash or read out of bounds.
TEST_CASE("mutated messages are rejected or decoded, without a crash") {
  const bool held = rc::check([] {
    std::string text(
        *rc::gen::element(std::string(kConfiguration), std::string(kEngine)));
    const int changes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < changes && !text.empty(); ++n) {
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      if (*rc::gen::arbitrary<bool>()) {
        text[position] = *rc::gen::arbitrary<char>();
      } else {
        text.erase(position, *rc::gen::inRange<std::size_t>(1, 20));
      }
    }
    if (const auto table = DecodeTable(text)) {
      for (const Route& route : table->routes) {
        RC_ASSERT(!route.services.empty());
      }
    }
    if (const auto engine = DecodeEngine(text)) {
      RC_ASSERT(engine->max_slots >= 1);
      RC_ASSERT(!engine->address.empty());
    }
    ValueOrNone<CacheEventBatch>(
        [&] { return PlatformCodec().DecodeCacheEvents(text); });
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale::platform
