// Router processes are asked where a request would go, and then get it: both
// must agree, and the question must change nothing.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <future>
#include <sstream>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

namespace json = boost::json;
using emulator::MakeResponse;
using emulator::Pause;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kQuiet(100);
// Far longer than an issuer that has just started, and permits a fifth of 1000
// a second, needs for the next permit.
constexpr milliseconds kPermitInterval(50);
// The route of slow requests may take long, and is not sent anywhere else.
constexpr std::string_view kRoutes =
    R"({"name":"slow","host":"h.example","prefix":"/slow/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":9000,"service":"plain","max_attempts":1},)"
    R"({"name":"any","host":"h.example","prefix":"/any/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2})";
// For this time an engine works on a slow request.
constexpr milliseconds kSlowTime(4000);

Script Answer(const HttpRequest& request) {
  const Script answer = {SendBytes{MakeResponse(request, 200, "ok")}};
  if (!request.target.starts_with("/slow/")) return answer;
  return {Pause{kSlowTime}, SendBytes{MakeResponse(request, 200, "late")}};
}

Script AnswerWithLimit(const HttpRequest& request) {
  return {
      SendBytes{MakeResponse(request, 200, "ok", "Server-Limit: 1000\r\n")}};
}

// Engines 0 and 1 are in the routers' zone, 2 and 3 in another one.
struct Fleet : PlatformFleet {
  explicit Fleet(int routers, const emulator::ScriptMaker& maker = Answer)
      : PlatformFleet(routers) {
    this->PutConfiguration(3, std::string(kRoutes));
    for (const char* zone : {"north", "south"}) {
      this->SetZone(zone);
      for (int n = 0; n < 2; ++n) this->AddEngine("plain", maker);
    }
    for (int n = 1; n <= routers; ++n) this->WaitUntilReady(n);
  }

  json::object Ask(int router, const std::string& id,
                   const std::string& more = "",
                   const std::string& key = "k1") {
    const std::string text = this->Placement(
        router, "host=h.example&path=%2Fany%2F&id=" + id + more, key);
    const auto responses = SplitResponses(text);
    REQUIRE(responses.size() == 1);
    REQUIRE(responses.front().status == 200);
    return json::parse(responses.front().body).as_object();
  }
  Response Send(int router, const std::string& id, const std::string& more = "",
                const std::string& target = "/any/") {
    const std::string text = this->Exchange(
        router,
        MakeClientRequest("POST", target, id, "Connection: close\r\n" + more,
                          "", milliseconds(20000)),
        kQuiet);
    const auto responses = SplitResponses(text);
    REQUIRE(responses.size() == 1);
    return responses.front();
  }
  // Returns the id of the engine that has received the request.
  std::string EngineOf(const std::string& id) {
    for (int n = 0; n < 4; ++n) {
      for (const HttpRequest& request : this->Requests(n)) {
        if (request.headers.Find("Request-Id") == id) {
          return "e" + std::to_string(n);
        }
      }
    }
    return {};
  }
  // Waits for a line of the log with the event and the text. Returns the last
  // one.
  json::object LogLine(int router, const std::string& event,
                       const std::string& text) const {
    std::string found;
    Eventually([&] {
      std::istringstream log(this->Log(router));
      for (std::string line; std::getline(log, line);) {
        const bool matches =
            line.find("\"event\":\"" + event + "\"") != std::string::npos &&
            line.find(text) != std::string::npos && line.ends_with('}');
        if (matches) found = line;
      }
      return !found.empty();
    });
    return json::parse(found).as_object();
  }
};

std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return {};
  return value->is_string() ? std::string(value->get_string().c_str())
                            : json::serialize(*value);
}

// Returns the lines of metrics that count what decisions use or have done.
std::string DecisionCounters(const std::string& metrics) {
  std::istringstream lines(metrics);
  std::string counters;
  for (std::string line; std::getline(lines, line);) {
    for (const char* name :
         {"requests_total", "requests_placed_total", "request_outcomes_total",
          "rate_permits_", "attempt_failures_total", "quarantine",
          "requests_in_flight", "draining_requests_total"}) {
      if (line.starts_with(name)) counters += line + "\n";
    }
  }
  return counters;
}

// Guards against a dry run that decides otherwise than a real request, by other
// rules or on other inputs.
TEST_CASE("a request goes where the router has said before") {
  Fleet fleet(2);
  // Uneven loads, so that more than the request's hash decides.
  std::vector<std::future<Response>> slow;
  for (int n = 0; n < 5; ++n) {
    slow.push_back(std::async(std::launch::async, [&fleet, n] {
      return fleet.Send(1, "slow" + std::to_string(n), "", "/slow/");
    }));
    Eventually([&] {
      return fleet.TotalRequests() == static_cast<std::size_t>(n) + 1;
    });
  }
  for (int n = 0; n < 20; ++n) {
    const std::string id = "r" + std::to_string(n);
    CAPTURE(id);
    // Every second request has one of three shared prefixes.
    const std::string part = fmt::format("p{}", n % 3);
    const bool has_prefix = n % 2 == 1;
    const json::object said = fleet.Ask(
        1, id,
        has_prefix ? "&model=m&prefix=" + part + "%3A5000%2Cown%3A10" : "");
    CHECK(Text(said, "verdict") == "placed");
    CHECK(Text(said, "workspace") == "t1");
    const Response got = fleet.Send(
        1, id,
        has_prefix ? "Model: m\r\nPrompt-Prefix: " + part + ":5000,own:10\r\n"
                   : "");
    CHECK(got.status == 200);
    CHECK(Text(said, "engine") == fleet.EngineOf(id));
    const json::object placed =
        fleet.LogLine(1, "request_placed", "\"request\":\"" + id + "\"");
    for (const char* name : {"basis", "zone_rule", "copy_from", "service",
                             "configuration", "engines", "shared_tokens"}) {
      CAPTURE(name);
      CHECK(Text(said, name) == Text(placed, name));
    }
  }
  for (auto& one : slow) CHECK(one.get().status == 200);
}

TEST_CASE("a refused request gets what the router has said before") {
  Fleet fleet(1);
  const auto agree = [&](const json::object& said, const Response& got) {
    CHECK(Text(said, "status") == std::to_string(got.status));
    const json::value* retry = said.if_contains("retry_after_s");
    const std::string field = "\r\nRetry-After: ";
    const auto at = got.head.find(field);
    REQUIRE((retry != nullptr) == (at != std::string::npos));
    if (retry == nullptr) return;
    // The field has milliseconds; the router's state may change between the
    // two by some of them.
    constexpr double kTolerance = 0.05;
    const double seconds = std::stod(got.head.substr(at + field.size()));
    CHECK(seconds >= retry->at("from").to_number<double>() - kTolerance);
    CHECK(seconds <= retry->at("to").to_number<double>() + kTolerance);
  };
  SECTION("unknown route") {
    const std::string text =
        fleet.Placement(1, "host=h.example&path=%2Fnone%2F&id=n1");
    const json::object said =
        json::parse(SplitResponses(text).front().body).as_object();
    CHECK(Text(said, "reason") == "no_route");
    agree(said, fleet.Send(1, "n1", "", "/none/"));
  }
  SECTION("unknown key") {
    const json::object said = fleet.Ask(1, "u1", "", "other-key");
    CHECK(Text(said, "reason") == "unknown_key");
    std::string request =
        MakeClientRequest("POST", "/any/", "u1", "Connection: close\r\n");
    request.replace(request.find("Token k1"), 8, "Token other-key");
    agree(said, SplitResponses(fleet.Exchange(1, request, kQuiet)).front());
    CHECK(fleet.Log(1).find("other-key") == std::string::npos);
  }
  SECTION("no engine") {
    for (int n = 0; n < 4; ++n) fleet.RegisterEngine(n, "draining");
    Eventually([&] {
      return Occurrences(fleet.Log(1), "\"change\":\"draining\"") == 4;
    });
    const json::object said = fleet.Ask(1, "d1");
    CHECK(Text(said, "verdict") == "refused");
    CHECK(Text(said, "reason") == "no_engine");
    agree(said, fleet.Send(1, "d1"));
  }
}

TEST_CASE("a request waits if the router has said so before") {
  Fleet fleet(1);
  // Full at 1.25 times their 8 slots.
  constexpr int kRoom = 4 * 10;
  std::vector<std::future<Response>> slow;
  for (int n = 0; n < kRoom; ++n) {
    slow.push_back(std::async(std::launch::async, [&fleet, n] {
      return fleet.Send(1, "slow" + std::to_string(n), "", "/slow/");
    }));
  }
  Eventually([&] { return fleet.TotalRequests() == kRoom; });
  const json::object said = fleet.Ask(1, "w1");
  CHECK(Text(said, "verdict") == "waits");
  for (const json::value& one : said.at("candidates").as_array()) {
    CHECK(Text(one.as_object(), "excluded") == "full");
  }
  CHECK(fleet.Log(1).find("request_waits") == std::string::npos);
  const Response got = fleet.Send(1, "w1");
  CHECK(Text(said, "status") == std::to_string(got.status));
  const json::object waited =
      fleet.LogLine(1, "request_waits", "\"request\":\"w1\"");
  CHECK(Text(said.at("wait").as_object(), "waiting") ==
        Text(waited, "waiting"));
  CHECK(Text(said, "reason") ==
        Text(fleet.LogLine(1, "request_finished", "\"request\":\"w1\""),
             "reason"));
  for (auto& one : slow) CHECK(one.get().status == 200);
}

// Guards against a dry run that uses up what requests need.
TEST_CASE("questions take no permit and leave all counters as they are") {
  Fleet fleet(2, AnswerWithLimit);
  for (int n = 0; n < 30; ++n) fleet.Send(1, "first" + std::to_string(n));
  Eventually([&] {
    return Occurrences(fleet.Log(1), "\"event\":\"rate_permit\"") > 0;
  });
  const std::size_t requests = fleet.TotalRequests();
  const std::string before =
      DecisionCounters(fleet.Metrics(1)) + DecisionCounters(fleet.Metrics(2));
  const int permits = Occurrences(fleet.Log(1), "\"event\":\"rate_permit\"");
  REQUIRE(before.find("rate_permits_granted_total") != std::string::npos);
  for (int n = 0; n < 50; ++n) {
    const json::object said =
        fleet.Ask(1, "q" + std::to_string(n), "&prefix=new%3A5000%2Cown%3A10");
    CHECK(Text(said, "verdict") == "placed");
    CHECK(said.contains("permit"));
    // No earlier question has left its prefix in the index.
    for (const json::value& one : said.at("candidates").as_array()) {
      CHECK(Text(one.as_object(), "cached_tokens") == "0");
    }
  }
  CHECK(DecisionCounters(fleet.Metrics(1)) +
            DecisionCounters(fleet.Metrics(2)) ==
        before);
  CHECK(Occurrences(fleet.Log(1), "\"event\":\"rate_permit\"") == permits);
  CHECK(fleet.TotalRequests() == requests);

  // Its permit comes from the issuer that was named.
  for (int n = 0; n < 10; ++n) {
    const std::string id = "p" + std::to_string(n);
    CAPTURE(id);
    // A denied permit sends a request elsewhere, which no dry run can know.
    std::this_thread::sleep_for(kPermitInterval);
    const json::object said = fleet.Ask(1, id);
    REQUIRE(fleet.Send(1, id).status == 200);
    REQUIRE(Text(said, "engine") == fleet.EngineOf(id));
    const json::object permit = fleet.LogLine(
        1, "rate_permit", "\"engine\":\"" + fleet.EngineOf(id) + "\"");
    CHECK(Text(said.at("permit").as_object(), "issuer") ==
          Text(permit, "issuer"));
  }
}

// Guards against a key in a log or in the output for operators.
TEST_CASE("dandelionctl prints where a request would go, without the key") {
  Fleet fleet(1);
  const Endpoint address = fleet.MetricsEndpoint(1);
  const std::string command = fmt::format(
      "{}/dandelionctl placement {}:{} --host h.example --path /any/ --key k1 "
      "--id c1 --prefix p:10 --tokens 10,20 2>&1",
      DANDELION_BINARIES, address.address().to_string(), address.port());
  FILE* pipe = popen(command.c_str(), "r");
  REQUIRE(pipe != nullptr);
  std::string text;
  char buffer[4096];
  while (const std::size_t size = fread(buffer, 1, sizeof(buffer), pipe)) {
    text.append(buffer, size);
  }
  CHECK(WEXITSTATUS(pclose(pipe)) == 0);
  CAPTURE(text);
  CHECK(text.find("c1 would be sent to e") != std::string::npos);
  CHECK(text.find("workspace t1") != std::string::npos);
  CHECK(text.find("k1") == std::string::npos);
  CHECK(fleet.Log(1).find("k1") == std::string::npos);
}

}  // namespace
}  // namespace dandelionscale::tests
