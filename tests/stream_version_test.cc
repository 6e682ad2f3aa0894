// Router processes and engines of two software versions in one service: a
// stream goes on only at the version that began it, whoever resumes it and
// where.
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::CloseConnection;
using emulator::MakeStreamHead;
using emulator::Script;
using emulator::ScriptMaker;
using emulator::SendBytes;
using emulator::StoreMode;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(100);
// Streams for each way of resuming one. If versions were ignored, some of so
// many would go on at the other one.
constexpr int kStreams = 8;
// Within this time routers have written the versions to the store.
constexpr milliseconds kRowTime(800);

std::string EventChunk(int id, std::string_view version) {
  const std::string event = fmt::format("id: {}\ndata: {}\n\n", id, version);
  return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

// Answers with events 1 and 2 and breaks off; a request that resumes a stream
// gets events 3 and 4 and the end.
ScriptMaker BreakOffOnce(const std::string& version) {
  return [version](const HttpRequest& request) {
    const bool resumes = !request.headers.Find("Last-Event-Id").empty();
    const int first = resumes ? 3 : 1;
    const std::string events =
        EventChunk(first, version) + EventChunk(first + 1, version);
    Script script = {SendBytes{MakeStreamHead(request) + events}};
    if (resumes) {
      script.push_back(SendBytes{std::string(emulator::kStreamEnd)});
    } else {
      script.push_back(CloseConnection{});
    }
    return script;
  };
}

struct Fleet : PlatformFleet {
  explicit Fleet(int routers) : PlatformFleet(routers), routers(routers) {
    this->PutConfiguration(3);
  }

  int AddVersion(const std::string& version) {
    const int engine = this->AddEngine("chat", BreakOffOnce(version), version);
    for (int n = 1; n <= this->routers; ++n) this->WaitUntilReady(n);
    return engine;
  }

  std::string Begin(int router, const std::string& id) {
    return this->Exchange(router,
                          MakeClientRequest("POST", "/stream/", id, "", "x"),
                          kReadIdleTimeout);
  }

  std::string Resume(int router, const std::string& first_id,
                     const std::string& id) {
    const std::string named =
        first_id.empty() ? "" : fmt::format("Resumes: {}\r\n", first_id);
    return this->Exchange(
        router,
        MakeClientRequest("POST", "/stream/", id,
                          "Last-Event-Id: 2\r\n" + named, "x"),
        kReadIdleTimeout);
  }

  // Returns the number of requests at an engine that resume a stream.
  std::size_t Resumptions(int engine) {
    std::size_t count = 0;
    for (const HttpRequest& request : this->Requests(engine)) {
      if (!request.headers.Find("Last-Event-Id").empty()) ++count;
    }
    return count;
  }

  int routers;
};

void CheckGoesOn(const std::string& response, std::string_view version) {
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find(fmt::format("id: 3\ndata: {}\n", version)) !=
        std::string::npos);
  CHECK(response.ends_with(kLastChunk));
}

// The request has not run, and repeating it would not help.
void CheckRefused(const std::string& response) {
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After") == std::string::npos);
  CHECK(response.find("cannot be resumed") != std::string::npos);
}

TEST_CASE("a stream is not continued at another version in one response") {
  Fleet fleet(1);
  const int old_engine = fleet.AddVersion("v1");
  const int new_engine = fleet.AddVersion("v2");
  for (int n = 0; n < kStreams; ++n) {
    const std::string response = fleet.Begin(1, fmt::format("a{}", n));
    const bool is_old = response.find("data: v1") != std::string::npos;
    const bool is_new = response.find("data: v2") != std::string::npos;
    CHECK(is_old != is_new);
    CHECK_FALSE(response.ends_with(kLastChunk));
  }
  CHECK(fleet.Resumptions(old_engine) + fleet.Resumptions(new_engine) == 0);
}

TEST_CASE("a stream is continued in one response at the same version") {
  Fleet fleet(1);
  fleet.AddVersion("v1");
  fleet.AddVersion("v1");
  // An engine of the other version that breaks nothing off.
  const int new_engine = fleet.AddEngine(
      "chat",
      [](const HttpRequest& request) {
        return Script{SendBytes{MakeStreamHead(request) + EventChunk(1, "v2") +
                                std::string(emulator::kStreamEnd)}};
      },
      "v2");
  fleet.WaitUntilReady(1);
  int begun_at_old = 0;
  for (int n = 0; n < kStreams; ++n) {
    const std::string response = fleet.Begin(1, fmt::format("a{}", n));
    if (response.find("data: v1") == std::string::npos) continue;
    ++begun_at_old;
    CheckGoesOn(response, "v1");
  }
  CHECK(begun_at_old > 0);
  CHECK(fleet.Resumptions(new_engine) == 0);
}

// Where the client resumes the stream, and what happens before.
enum class Resumed { kSameRouter, kOtherRouter, kAfterKill };

TEST_CASE("a client resumes a stream at the version that began it",
          "[mixed_builds]") {
  const Resumed way = GENERATE(Resumed::kSameRouter, Resumed::kOtherRouter,
                               Resumed::kAfterKill);
  CAPTURE(static_cast<int>(way));
  Fleet fleet(2);
  fleet.AddVersion("v1");
  for (int n = 0; n < kStreams; ++n) fleet.Begin(1, fmt::format("a{}", n));
  const int new_engine = fleet.AddVersion("v2");
  if (way == Resumed::kAfterKill) {
    fleet.Signal(1, SIGKILL);
    fleet.WaitForExit(1);
  }
  const int router = way == Resumed::kSameRouter ? 1 : 2;
  for (int n = 0; n < kStreams; ++n) {
    CheckGoesOn(
        fleet.Resume(router, fmt::format("a{}", n), fmt::format("b{}", n)),
        "v1");
  }
  CHECK(fleet.Resumptions(new_engine) == 0);
}

// A router that stands still for less than a second, while a new version joins
// and streams begin at it, must not take the old one for the only one.
TEST_CASE("a router that stood still does not guess the version of a stream",
          "[mixed_builds]") {
  constexpr milliseconds kShortReadIdleTimeout(20);
  Fleet fleet(2);
  const int old_engine = fleet.AddVersion("v1");
  fleet.Signal(1, SIGSTOP);
  fleet.AddEngine("chat", BreakOffOnce("v2"), "v2");
  fleet.WaitUntilReady(2);
  std::vector<std::string> begun_at_new;
  for (int n = 0; n < kStreams; ++n) {
    const std::string id = fmt::format("a{}", n);
    const std::string response =
        fleet.Exchange(2, MakeClientRequest("POST", "/stream/", id, "", "x"),
                       kShortReadIdleTimeout);
    if (response.find("data: v2") != std::string::npos) {
      begun_at_new.push_back(id);
    }
  }
  REQUIRE_FALSE(begun_at_new.empty());
  const std::size_t resumed_at_old = fleet.Resumptions(old_engine);
  // The requests are in the router's sockets when it goes on.
  std::vector<std::future<std::string>> responses;
  for (const std::string& id : begun_at_new) {
    responses.push_back(std::async(std::launch::async, [&fleet, id] {
      return fleet.Resume(1, id, "b" + id);
    }));
  }
  std::this_thread::sleep_for(kShortReadIdleTimeout);
  fleet.Signal(1, SIGCONT);
  for (auto& response : responses) {
    const std::string text = response.get();
    CAPTURE(text);
    CHECK(text.find("data: v1") == std::string::npos);
  }
  CHECK(fleet.Resumptions(old_engine) == resumed_at_old);
}

TEST_CASE("after all routers were killed, no version is guessed") {
  Fleet fleet(2);
  const int old_engine = fleet.AddVersion("v1");
  const int new_engine = fleet.AddVersion("v2");
  SECTION("both versions are in service") {}
  SECTION("the old version has left") { fleet.DeregisterEngine(old_engine); }
  std::this_thread::sleep_for(kRowTime);
  // The store does not learn where this one began.
  fleet.SetStoreMode(emulator::StoreMode::kBusy);
  fleet.Begin(1, "a");
  for (const int n : {1, 2}) {
    fleet.Signal(n, SIGKILL);
    fleet.WaitForExit(n);
  }
  fleet.SetStoreMode(emulator::StoreMode::kServing);
  for (const int n : {1, 2}) fleet.StartRouter(n);
  for (const int n : {1, 2}) fleet.WaitUntilReady(n);
  CheckRefused(fleet.Resume(2, "a", "b"));
  CheckRefused(fleet.Resume(2, "", "c"));
  CHECK(fleet.Resumptions(new_engine) == 0);
  // It may begin anew.
  CHECK(fleet.Begin(2, "d").starts_with("HTTP/1.1 200"));
}

TEST_CASE("after all routers were killed, the store tells the version",
          "[mixed_builds]") {
  Fleet fleet(2);
  fleet.AddVersion("v1");
  const int new_engine = fleet.AddVersion("v2");
  std::vector<std::string> versions;
  for (int n = 0; n < kStreams; ++n) {
    const std::string response = fleet.Begin(1 + n % 2, fmt::format("a{}", n));
    const bool is_old = response.find("data: v1") != std::string::npos;
    versions.push_back(is_old ? "v1" : "v2");
  }
  std::this_thread::sleep_for(kRowTime);
  fleet.RestartRouters({1, 2});
  // Routers that were killed twice have not lost it either.
  fleet.RestartRouters({1, 2});
  for (std::size_t n = 0; n < versions.size(); ++n) {
    CheckGoesOn(fleet.Resume(1, fmt::format("a{}", n), fmt::format("b{}", n)),
                versions[n]);
  }
  CHECK(fleet.Resumptions(new_engine) < versions.size());
}

TEST_CASE("after all routers were killed, the only version goes on") {
  Fleet fleet(2);
  fleet.AddVersion("v1");
  fleet.Begin(1, "a");
  std::this_thread::sleep_for(kRowTime);
  fleet.RestartRouters({1, 2});
  CheckGoesOn(fleet.Resume(2, "a", "b"), "v1");
  CheckGoesOn(fleet.Resume(1, "", "c"), "v1");
}

TEST_CASE("a stream whose beginning nobody knows is refused at once") {
  Fleet fleet(2);
  fleet.AddVersion("v1");
  fleet.AddVersion("v2");
  const std::string endless(8000, 'x');
  for (const std::string& first_id :
       {std::string("never"), std::string(), endless}) {
    const auto began = std::chrono::steady_clock::now();
    CheckRefused(fleet.Resume(1, first_id, "b"));
    CHECK(std::chrono::steady_clock::now() - began < milliseconds(1500));
  }
  CHECK(fleet.TotalRequests() == 0);
}

TEST_CASE("a stream whose version has left is refused") {
  Fleet fleet(1);
  const int old_engine = fleet.AddVersion("v1");
  fleet.Begin(1, "a");
  const int new_engine = fleet.AddVersion("v2");
  fleet.RegisterEngine(old_engine, "draining");
  Eventually([&] {
    return fleet.Log(1).find(R"("change":"draining")") != std::string::npos;
  });
  CheckRefused(fleet.Resume(1, "a", "b"));
  CHECK(fleet.Resumptions(new_engine) == 0);
}

// Guards against a router that refuses all streams of the routers that are
// lost, since no peer is left that could tell their version.
TEST_CASE("the last router goes on with the streams of the others") {
  const int routers = GENERATE(2, 3);
  CAPTURE(routers);
  Fleet fleet(routers);
  fleet.AddVersion("v1");
  fleet.AddVersion("v1");
  for (int n = 0; n < kStreams; ++n) {
    fleet.Begin(1 + n % (routers - 1), fmt::format("a{}", n));
  }
  for (int n = 1; n < routers; ++n) fleet.Signal(n, SIGKILL);
  for (int n = 0; n < kStreams; ++n) {
    CheckGoesOn(
        fleet.Resume(routers, fmt::format("a{}", n), fmt::format("b{}", n)),
        "v1");
  }
}

TEST_CASE(
    "the last router refuses while the store is away, and goes on later") {
  Fleet fleet(2);
  fleet.AddVersion("v1");
  fleet.Begin(1, "a");
  fleet.Signal(1, SIGKILL);
  fleet.WaitForExit(1);
  const StoreMode mode = GENERATE(StoreMode::kBusy, StoreMode::kSilent);
  fleet.SetStoreMode(mode);
  CheckRefused(fleet.Resume(2, "a", "b"));
  fleet.SetStoreMode(StoreMode::kServing);
  CheckGoesOn(fleet.Resume(2, "a", "c"), "v1");
}

TEST_CASE("a router that restarts alone goes on with streams of lost ones") {
  Fleet fleet(3);
  fleet.AddVersion("v1");
  fleet.Begin(1, "a");
  std::this_thread::sleep_for(kRowTime);
  for (int n : {1, 2, 3}) fleet.Signal(n, SIGKILL);
  for (int n : {1, 2, 3}) fleet.WaitForExit(n);
  fleet.StartRouter(3);
  fleet.WaitUntilReady(3);
  CheckGoesOn(fleet.Resume(3, "a", "b"), "v1");
}

// The router hears of no peer, and streams have begun meanwhile at a version
// that it has not heard of.
TEST_CASE("a router that has missed a version doesn't join it to another one") {
  Fleet fleet(2);
  const int old_engine = fleet.AddVersion("v1");
  fleet.Signal(1, SIGSTOP);
  const int new_engine = fleet.AddEngine("chat", BreakOffOnce("v2"), "v2");
  fleet.WaitUntilReady(2);
  std::vector<std::string> begun_at_new;
  for (int n = 0; n < kStreams; ++n) {
    const std::string id = fmt::format("a{}", n);
    if (fleet.Begin(2, id).find("data: v2") != std::string::npos) {
      begun_at_new.push_back(id);
    }
  }
  REQUIRE_FALSE(begun_at_new.empty());
  std::this_thread::sleep_for(kRowTime);
  SECTION("it still runs") {}
  SECTION("it has left") { fleet.DeregisterEngine(new_engine); }
  fleet.Signal(2, SIGKILL);
  fleet.WaitForExit(2);
  const std::size_t resumed_at_old = fleet.Resumptions(old_engine);
  fleet.Signal(1, SIGCONT);
  for (const std::string& id : begun_at_new) {
    const std::string response = fleet.Resume(1, id, "b" + id);
    CAPTURE(response);
    CHECK(response.find("data: v1") == std::string::npos);
  }
  CHECK(fleet.Resumptions(old_engine) == resumed_at_old);
}

// Many clients resume at once; the store is read a few times for all of them.
TEST_CASE("resumed streams share their reads of the store") {
  Fleet fleet(2);
  fleet.AddVersion("v1");
  for (int n = 0; n < kStreams; ++n) fleet.Begin(1, fmt::format("a{}", n));
  fleet.Signal(1, SIGKILL);
  fleet.WaitForExit(1);
  const auto count_reads = [&fleet] {
    std::ptrdiff_t reads = 0;
    fleet.RunOnLoop([&] {
      const auto& calls = fleet.Store().Calls();
      reads = std::count_if(calls.begin(), calls.end(), [](const auto& call) {
        return call.find("rows-get?table=servers") != std::string::npos;
      });
    });
    return reads;
  };
  const std::ptrdiff_t before = count_reads();
  std::vector<std::future<std::string>> responses;
  for (int n = 0; n < kStreams; ++n) {
    responses.push_back(std::async(std::launch::async, [&fleet, n] {
      return fleet.Resume(2, fmt::format("a{}", n), fmt::format("b{}", n));
    }));
  }
  for (auto& response : responses) CheckGoesOn(response.get(), "v1");
  CHECK(count_reads() - before < kStreams);
}

}  // namespace
}  // namespace dandelionscale::tests
