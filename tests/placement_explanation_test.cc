// The dry run of a placement: what it states for each reason why an engine is
// excluded and why a request is refused, and that it changes nothing.
#include "dispatch/request/placement_explanation.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "daemons/placement_command.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/transport/address.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/request/placement_planner.h"
#include "dispatch/request/request_admission.h"
#include "platform/platform_codec.h"

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr const char* kConfiguration =
    R"({"version":7,"routes":[)"
    R"({"name":"ask","host":"h.example","prefix":"/ask/",)"
    R"("kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,)"
    R"("priority":2,"service":"s1","max_attempts":2}],)"
    R"("services":[{"name":"s1","cold_s":6,"cold_per_s":17}],)"
    R"("tenants":[{"name":"t1","api_keys":["secret-key"]}]})";
constexpr std::string_view kKey = "secret-key";
constexpr std::uint32_t kMaxSlots = 4;
// More than 1.25 times the slots.
constexpr std::uint32_t kFullLoad = 5;
constexpr std::uint32_t kLongPrompt = 2 * kMinLongPrefixTokens;

EngineRecord Record(const std::string& id) {
  EngineRecord record;
  record.id = id;
  record.service = "s1";
  record.address = "10.0.0.9:8080";
  record.availability_zone = "north";
  record.max_slots = kMaxSlots;
  record.born_unix_ms = 1000;
  return record;
}

PlacementQuery Query(std::string_view path = "/ask/",
                     std::string_view id = "r1", std::string_view key = kKey) {
  PlacementQuery query;
  query.method = "POST";
  query.target = path;
  query.client.host = "h.example";
  query.client.path = path;
  query.client.id = id;
  query.client.key = key;
  return query;
}

PlacementQuery LongQuery() {
  PlacementQuery query = Query();
  query.client.prefix = {{PartKey("m", "p1"), kLongPrompt}};
  return query;
}

struct Router {
  explicit Router(const std::vector<EngineRecord>& records)
      : state(this->loop.get_executor(), Options(),
              std::make_shared<platform::PlatformCodec>()) {
    this->state.ApplyConfiguration(kConfiguration, "test");
    this->state.OnEngineChanges(
        this->state.engines.OnSnapshot(this->now, {1, 1}, records), "test");
    this->state.engines_known = true;
  }

  static DispatchOptions Options() {
    DispatchOptions options;
    options.name = "router-1";
    options.availability_zone = "north";
    options.peer_address = ParseEndpoint("10.0.0.1:18340").value();
    return options;
  }
  Engine& Find(const std::string& id) {
    return *this->state.engines.Engines().at(id);
  }
  PlacementExplanation Explain(const PlacementQuery& query) const {
    return ExplainPlacement(this->state, query, this->now);
  }
  // Returns the reasons for exclusion by engine.
  std::map<std::string, std::string_view> Exclusions(
      const PlacementQuery& query) const {
    std::map<std::string, std::string_view> reasons;
    for (const ExplainedCandidate& one : this->Explain(query).candidates) {
      reasons[one.engine] = one.excluded;
    }
    return reasons;
  }
  void BlockPart(std::uint64_t key, TimePoint since) {
    QuarantineUpdate update;
    update.blocked.push_back({{key}, since, 0});
    this->state.quarantine.Apply(this->now, update);
  }

  TimePoint now = RuntimeClock::now();
  boost::asio::io_context loop;
  DispatchState state;
};

// Guards against an engine that is left out without its reason, or with that of
// another rule.
TEST_CASE("each engine that a first send can't use has its reason") {
  EngineRecord evacuated = Record("evacuated");
  evacuated.availability_zone = "south";
  EngineRecord draining = Record("draining");
  draining.draining = true;
  Router router({Record("free"), draining, evacuated, Record("ejected"),
                 Record("probed"), Record("paused"), Record("denied"),
                 Record("warming"), Record("full")});
  router.state.evacuated_zones.OnTable({1, 1}, {"south"});
  router.Find("ejected").health.OnUnreachable(router.now);
  router.Find("probed").health.OnUnreachable(router.now - minutes(10));
  router.Find("probed").in_flight = 1;
  router.Find("paused").pause.Request(router.now, seconds(1));
  router.Find("denied").rate_limit.OnStated(router.now, 10);
  router.Find("denied").rate_limit.OnDenied(router.now + seconds(1));
  router.Find("warming").warm_up.Extend(router.now, seconds(3), seconds(6));
  router.Find("full").in_flight = kFullLoad;

  CHECK(router.Exclusions(LongQuery()) ==
        std::map<std::string, std::string_view>{{"free", ""},
                                                {"draining", "draining"},
                                                {"evacuated", "evacuated"},
                                                {"ejected", "ejected"},
                                                {"probed", "probe_in_flight"},
                                                {"paused", "paused"},
                                                {"denied", "permit_denied"},
                                                {"warming", "warming_up"},
                                                {"full", "full"}});
  const PlacementExplanation explanation = router.Explain(LongQuery());
  CHECK(explanation.verdict == PlacementVerdict::kPlaced);
  REQUIRE(explanation.choice);
  CHECK(explanation.candidates[explanation.choice->index].engine == "free");
  CHECK_FALSE(explanation.permit);
}

// Repeats, resumptions and requests that gave up on permits have reasons of
// their own, which no dry run has.
TEST_CASE("each engine that a later send can't use has its reason") {
  EngineRecord other = Record("other");
  other.software_version = "v2";
  EngineRecord tried = Record("tried");
  tried.software_version = "v1";
  EngineRecord limited = Record("limited");
  limited.software_version = "v1";
  Router router({limited, other, tried});
  router.Find("limited").rate_limit.OnStated(router.now, 10);
  const std::vector<std::uint64_t> tried_keys = {router.Find("tried").key};
  PlacementRequest request;
  request.service = "s1";
  request.tried_engine_keys = tried_keys;
  request.required_version = router.Find("tried").version_key;
  PlacementPass pass;
  pass.limits.avoid_limited = true;

  const PlacementPlanner planner(router.state, request, router.now);
  std::map<std::string, EngineExclusion> reasons;
  const auto engines = router.state.engines.Find("s1");
  const std::vector<ExaminedEngine> examined = planner.Examine(pass);
  REQUIRE(examined.size() == engines.size());
  for (std::size_t n = 0; n < examined.size(); ++n) {
    REQUIRE(examined[n].exclusion);
    reasons[engines[n]->record.id] = *examined[n].exclusion;
  }
  CHECK(reasons == std::map<std::string, EngineExclusion>{
                       {"limited", EngineExclusion::kRateLimited},
                       {"other", EngineExclusion::kVersion},
                       {"tried", EngineExclusion::kTried}});
}

TEST_CASE("what is not admitted is stated with the client's status") {
  Router router({Record("e1")});
  SECTION("unknown route") {
    const auto explanation = router.Explain(Query("/none/"));
    CHECK(explanation.verdict == PlacementVerdict::kFailed);
    CHECK(explanation.status == 404);
    CHECK(explanation.reason == "no_route");
    CHECK_FALSE(explanation.retry_after);
  }
  SECTION("unknown key") {
    const auto explanation = router.Explain(Query("/ask/", "r1", "wrong-key"));
    CHECK(explanation.status == 401);
    CHECK(explanation.reason == "unknown_key");
    CHECK(explanation.route == "ask");
    CHECK(ToJson(explanation).find("wrong-key") == std::string::npos);
  }
  SECTION("no configuration") {
    router.state.routing_table = nullptr;
    const auto explanation = router.Explain(Query());
    CHECK(explanation.verdict == PlacementVerdict::kRefused);
    CHECK(explanation.status == 503);
    CHECK(explanation.reason == "no_configuration");
    REQUIRE(explanation.retry_after);
    CHECK(explanation.retry_after->from == kDefaultRetryAfter);
  }
  SECTION("no engine") {
    router.Find("e1").draining = true;
    const auto explanation = router.Explain(Query());
    CHECK(explanation.status == 503);
    CHECK(explanation.reason == "no_engine");
    CHECK(explanation.retry_after);
  }
  SECTION("a router that shuts down") {
    router.state.draining_since = router.now - seconds(4);
    router.state.refusals_begin_at = router.now - seconds(1);
    router.state.answers_end_at = router.now + seconds(1);
    const auto explanation = router.Explain(Query());
    CHECK(explanation.status == 503);
    CHECK(explanation.reason == "shutting_down");
    CHECK(explanation.retry_after);
  }
}

// Guards against a key in a response, which operators may pass on.
TEST_CASE("no key is in an explanation") {
  Router router({Record("e1")});
  const auto explanation = router.Explain(Query());
  CHECK(explanation.workspace == "t1");
  CHECK(ToJson(explanation).find(kKey) == std::string::npos);
}

TEST_CASE("a request waits if all engines are full, or is refused at once") {
  Router router({Record("e1")});
  router.Find("e1").in_flight = kFullLoad;
  AdmissionQueue& queue = router.state.Service("s1").queue;
  const auto waits = router.Explain(Query());
  CHECK(waits.verdict == PlacementVerdict::kWaits);
  CHECK(waits.reason == "no_room");
  REQUIRE(waits.wait);
  CHECK(waits.wait->longest);

  // A long queue of a slow service.
  queue.OnCompleted(router.now - seconds(2));
  queue.OnCompleted(router.now);
  const WaitRequest urgent = {1, 0, seconds(1), router.now + minutes(1), {}};
  for (int n = 0; n < 20; ++n) REQUIRE(queue.TryEnqueue(router.now, urgent));
  const auto refused = router.Explain(Query());
  CHECK(refused.verdict == PlacementVerdict::kRefused);
  CHECK(refused.status == 503);
  CHECK(refused.reason == "queue_full");
  REQUIRE(refused.wait);
  CHECK_FALSE(refused.wait->longest);
  REQUIRE(refused.retry_after);
  CHECK(refused.retry_after->from <= refused.retry_after->to);
  CHECK(queue.Size() == 20);
}

TEST_CASE("unhealthy engines are used if there are no others") {
  Router router({Record("e1")});
  router.Find("e1").health.OnUnreachable(router.now);
  const auto explanation = router.Explain(Query());
  CHECK(explanation.verdict == PlacementVerdict::kPlaced);
  CHECK(explanation.ignores_health);
}

TEST_CASE("a permit would be requested from the router that issues it") {
  Router router({Record("e1")});
  Engine& engine = router.Find("e1");
  engine.rate_limit.OnStated(router.now, 10);
  const auto own = router.Explain(Query());
  REQUIRE(own.permit);
  CHECK(own.permit->issuer.empty());
  CHECK(own.permit->rate.per_second == 10);

  // Some of these come before this router in the order of the engine.
  std::optional<std::string> first;
  for (int n = 2; n < 40; ++n) {
    const std::string peer = "10.0.0." + std::to_string(n) + ":18340";
    router.state.peers.insert(peer);
    router.state.live_peers[peer] = {router.now, true};
    const bool comes_first =
        !first || RendezvousWeight(HashText(peer), engine.key) >
                      RendezvousWeight(HashText(*first), engine.key);
    if (comes_first) first = peer;
  }
  const auto remote = router.Explain(Query());
  REQUIRE(remote.permit);
  CHECK(remote.permit->issuer == first);
}

// Guards against a dry run that is taken for the probe of a prompt at which
// engines crash: the real probe would be withheld for 15 s.
TEST_CASE("a quarantined prompt is refused, and its probe is left alone") {
  Router router({Record("e1")});
  const PlacementQuery query = LongQuery();
  const RequestKeySet keys = {PartKey("m", "p1")};
  router.BlockPart(keys.front(), router.now);
  const auto blocked = router.Explain(query);
  CHECK(blocked.status == 503);
  CHECK(blocked.reason == "quarantined");
  REQUIRE(blocked.quarantine);
  CHECK_FALSE(blocked.quarantine->may_probe);
  REQUIRE(blocked.retry_after);
  CHECK(blocked.retry_after->from > seconds(30));

  router.now += minutes(2);
  for (int n = 0; n < 2; ++n) {
    const auto due = router.Explain(query);
    CHECK(due.verdict == PlacementVerdict::kPlaced);
    REQUIRE(due.quarantine);
    CHECK(due.quarantine->may_probe);
  }
  const BlockedKeys* found = router.state.quarantine.Find(keys);
  REQUIRE(found != nullptr);
  CHECK(router.state.quarantine.TryStartProbe(router.now, *found, 0, 1));
  CHECK(router.Explain(query).reason == "quarantined");
}

// Guards against a dry run that changes what later decisions use.
TEST_CASE("an explanation changes neither zone share nor any other state") {
  EngineRecord far = Record("far");
  far.availability_zone = "south";
  Router router({Record("near"), far});
  router.Find("near").in_flight = kMaxSlots;
  router.Find("near").rate_limit.OnStated(router.now, 10);
  const std::string metrics = router.state.metrics.ToPrometheus();
  const std::size_t prefixes = router.state.prefixes.Size();
  double share = 0;
  for (int n = 0; n < 20; ++n) {
    router.now += milliseconds(200);
    const auto explanation = router.Explain(LongQuery());
    REQUIRE(explanation.choice);
    share = explanation.zone_share;
  }
  CHECK(router.state.FindServiceState("s1") == nullptr);
  CHECK(router.state.prefixes.Size() == prefixes);
  CHECK(router.state.metrics.ToPrometheus() == metrics);
  CHECK(router.Find("near").rate_limit.MayAsk(router.now));
  CHECK(router.Find("near").in_flight == kMaxSlots);
  CHECK(router.Find("far").in_flight == 0);
  // Adapted for the answer only, each time from the same share.
  router.now += milliseconds(200);
  CHECK(router.Explain(LongQuery()).zone_share == Approx(share).margin(1e-9));
}

// The same for a service in use, whose budget and queue exist.
TEST_CASE("an explanation takes no retry and no place in the queue") {
  EngineRecord far = Record("far");
  far.availability_zone = "south";
  Router router({Record("near"), far});
  ServiceState& service = router.state.Service("s1");
  for (int n = 0; n < 20; ++n) service.budget.OnRequest(router.now);
  REQUIRE(service.budget.TryTake(router.now, 1));
  const WaitRequest waiting = {1, 0, seconds(1), router.now + minutes(1), {}};
  REQUIRE(service.queue.TryEnqueue(router.now, waiting));
  // The near zone is far busier, so that a real request would raise the share.
  router.Find("near").in_flight = 10 * kFullLoad;
  router.Find("far").in_flight = kFullLoad;
  const double share = service.zone_spill.Share();
  for (int n = 0; n < 10; ++n) {
    router.now += milliseconds(10);
    CHECK(router.Explain(Query()).verdict == PlacementVerdict::kWaits);
  }
  CHECK(service.budget.Requests() == 20);
  CHECK(service.budget.Retries() == 1);
  CHECK(service.queue.Size() == 1);
  CHECK(service.zone_spill.Share() == share);
}

std::optional<PlacementQuery> Parse(const std::string& target,
                                    std::string_view authorization = "") {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  if (!authorization.empty()) {
    request.headers.Add("Authorization", authorization);
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<PlacementQuery>> {
        BOOST_LEAF_AUTO(query, ParsePlacementQuery(request));
        return std::make_optional(std::move(query));
      },
      [] { return std::optional<PlacementQuery>(); });
}

TEST_CASE("a query is the request that it describes") {
  const auto query = Parse(
      "/placement?host=h.example&path=%2Fask%2Fx%3Fy%3D1&model=m"
      "&prefix=p1%3A30%2Cp2%3A5&tokens=35%2C100&id=r9",
      "Bearer k1");
  REQUIRE(query);
  CHECK(query->method == "POST");
  CHECK(query->target == "/ask/x?y=1");
  CHECK(query->client.path == "/ask/x");
  CHECK(query->client.host == "h.example");
  CHECK(query->client.id == "r9");
  CHECK(query->client.key == "k1");
  REQUIRE(query->client.prefix.size() == 1);
  CHECK(query->client.prefix[0].key == PartKey("m", "p1"));
  CHECK(query->client.prefix[0].tokens == 30);
  CHECK(query->client.prompt_tokens == 35U);
  CHECK(query->client.max_output_tokens == 100U);
}

TEST_CASE("a malformed query is refused") {
  for (const char* target :
       {"/placement", "/placement?host=h", "/placement?path=/",
        "/placement?host=%4&path=/", "/placement?host=h&path=/%zz",
        "/placement?host=h&path=/&prefix=p1",
        "/placement?host=h&path=/&prefix=p1:x",
        "/placement?host=h&path=/&tokens=1",
        "/placement?host=h&path=/&tokens=1,-2"}) {
    CAPTURE(target);
    CHECK_FALSE(Parse(target));
  }
  CHECK(Parse("/placement?host=h&path=/"));
}

// Guards against text that misses what the router has stated.
TEST_CASE("the text for operators names engines, reasons and Retry-After") {
  Router router({Record("e1"), Record("e2")});
  router.Find("e2").draining = true;
  const std::string placed =
      FormatPlacement(ToJson(router.Explain(Query()))).value();
  CHECK(placed.find("would be sent to e1 (least_loaded)") != std::string::npos);
  CHECK(placed.find("draining") != std::string::npos);
  router.Find("e1").draining = true;
  const std::string refused =
      FormatPlacement(ToJson(router.Explain(Query()))).value();
  CHECK(refused.find("would get 503 no_engine, Retry-After") !=
        std::string::npos);
  CHECK_FALSE(FormatPlacement("# TYPE requests_total counter"));
}

}  // namespace
}  // namespace dandelionscale::internal
