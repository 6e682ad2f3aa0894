// Configuration, engines and life cycle: what routers believe, and how they
// end.
#include <signal.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

namespace asio = boost::asio;
using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::Script;
using emulator::SendBytes;
using emulator::StoreMode;
using std::chrono::milliseconds;

constexpr milliseconds kQuiet(100);

Script Good(const HttpRequest& request) {
  return {SendBytes{MakeResponse(request, 200, "ok")}};
}

bool IsServed(PlatformFleet& fleet, int router, const std::string& target) {
  static int number = 0;
  return fleet
      .Exchange(
          router,
          MakeClientRequest("GET", target, "r" + std::to_string(++number)),
          kQuiet)
      .starts_with("HTTP/1.1 200");
}

std::string OnlyRoute(const std::string& prefix) {
  return R"({"name":"n","host":"h.example","prefix":")" + prefix +
         R"(","kind":"idempotent","timeout_ms":2000,"service":"plain","max_attempts":2})";
}

TEST_CASE("a newer configuration takes hold, an older one never") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(5, OnlyRoute("/five/"));
  fleet.AddEngine("plain", Good);
  fleet.WaitUntilReady(1);
  CHECK(IsServed(fleet, 1, "/five/"));
  fleet.PutConfiguration(9, OnlyRoute("/nine/"));
  Eventually([&] { return IsServed(fleet, 1, "/nine/"); });
  CHECK_FALSE(IsServed(fleet, 1, "/five/"));
  fleet.PutConfiguration(7, OnlyRoute("/seven/"));
  fleet.PutConfiguration(10, OnlyRoute("/ten/"));
  Eventually([&] { return IsServed(fleet, 1, "/ten/"); });
  CHECK(fleet.Log(1).find("\"version\":7") == std::string::npos);
}

TEST_CASE("malformed rows are left out and the others hold") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.RunOnLoop([&] {
    fleet.Store().Put("servers", "bad-json", "\x01{");
    fleet.Store().Put(
        "servers", "bad-state",
        R"({"service":"plain","address":"127.0.0.1:1","zone":"z",)"
        R"("max_slots":1,"state":"asleep"})");
  });
  fleet.AddEngine("plain", Good);
  fleet.WaitUntilReady(1);
  for (int n = 0; n < 5; ++n) CHECK(IsServed(fleet, 1, "/any/"));
  fleet.RunOnLoop(
      [&] { fleet.Store().Put("op", "config", "{\"version\":99}x"); });
  CHECK(IsServed(fleet, 1, "/any/"));
}

TEST_CASE("a store that is busy, silent or has lost its history stops nobody") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", Good);
  fleet.WaitUntilReady(1);
  std::uint64_t version = 10;
  for (StoreMode mode : {StoreMode::kBusy, StoreMode::kSilent}) {
    fleet.SetStoreMode(mode);
    Eventually([&] {
      return fleet.Metrics(1).find("\nstore_lost 1") != std::string::npos;
    });
    CHECK(fleet.IsReady(1));
    // Only what the router knows from before is there to serve by.
    CHECK(IsServed(fleet, 1,
                   version == 10 ? std::string("/three/")
                                 : "/v" + std::to_string(version) + "/"));
    fleet.SetStoreMode(StoreMode::kServing);
    ++version;
    const std::string prefix = "/v" + std::to_string(version) + "/";
    fleet.PutConfiguration(version, OnlyRoute(prefix));
    Eventually([&] { return IsServed(fleet, 1, prefix); });
  }
  fleet.SetStoreMode(StoreMode::kHistoryGone);
  fleet.PutConfiguration(50, OnlyRoute("/fifty/"));
  Eventually([&] { return IsServed(fleet, 1, "/fifty/"); });
}

// Load pattern: an operator's change while the routers that watch the store die
// together.
TEST_CASE("few routers watch the store; others take over when they die") {
  constexpr int kRouters = 6;
  PlatformFleet fleet(kRouters);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", Good);
  for (int n = 1; n <= kRouters; ++n) fleet.WaitUntilReady(n);
  std::vector<int> watchers;
  const auto find_watchers = [&] {
    watchers.clear();
    for (int n = 1; n <= kRouters; ++n) {
      const std::string metrics = fleet.Metrics(n);
      if (metrics.find("\nwatches_store 1") != std::string::npos) {
        watchers.push_back(n);
      }
    }
    return watchers.size() == 3;
  };
  Eventually(find_watchers);
  fleet.PutConfiguration(4, OnlyRoute("/four/"));
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] { return IsServed(fleet, n, "/four/"); });
  }
  for (int watcher : watchers) fleet.Signal(watcher, SIGKILL);
  fleet.PutConfiguration(5, OnlyRoute("/five/"));
  bool someone_took_over = false;
  for (int n = 1; n <= kRouters; ++n) {
    const bool is_dead =
        std::find(watchers.begin(), watchers.end(), n) != watchers.end();
    if (is_dead) continue;
    Eventually([&] { return IsServed(fleet, n, "/five/"); });
    const std::string log = fleet.Log(n);
    someone_took_over = someone_took_over ||
                        log.find(R"("role":"stand_in","before":"listener")") !=
                            std::string::npos;
  }
  CHECK(someone_took_over);
}

TEST_CASE("a router that the store turns away learns from its peers") {
  PlatformFleet fleet(2);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", Good);
  fleet.WaitUntilReady(1);
  fleet.WaitUntilReady(2);
  Eventually([&] {
    return fleet.Log(1).find("peer_heard") != std::string::npos &&
           fleet.Log(2).find("peer_heard") != std::string::npos;
  });
  fleet.Signal(2, SIGKILL);
  fleet.WaitForExit(2);
  // The store answers nobody; router 2 comes back and knows nothing.
  fleet.SetStoreMode(StoreMode::kBusy);
  fleet.StartRouter(2);
  fleet.WaitUntilReady(2);
  CHECK(IsServed(fleet, 2, "/three/"));
}

// Found on the bench: of two routers that read the list before either had
// written to it, neither knew the other for 20 s.
TEST_CASE("a router lists itself before it reads who else is listed") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  std::vector<std::string> calls;
  const auto position = [&](std::string_view part) {
    return std::find_if(calls.begin(), calls.end(), [&](const auto& call) {
      return call.find(part) != std::string::npos;
    });
  };
  Eventually([&] {
    fleet.RunOnLoop([&] { calls = fleet.Store().Calls(); });
    return position("rows-get?table=dandelion_routers") != calls.end();
  });
  CHECK(position("rows-tx") < position("rows-get?table=dandelion_routers"));
}

TEST_CASE("a draining engine gets no new request") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  const int leaving = fleet.AddEngine("plain", Good);
  fleet.AddEngine("plain", Good);
  fleet.WaitUntilReady(1);
  fleet.RegisterEngine(leaving, "draining");
  Eventually([&] {
    return fleet.Log(1).find("\"change\":\"draining\"") != std::string::npos;
  });
  const std::size_t before = fleet.Requests(leaving).size();
  for (int n = 0; n < 8; ++n) CHECK(IsServed(fleet, 1, "/any/"));
  CHECK(fleet.Requests(leaving).size() == before);
}

// Reads from `socket` until `text` holds `part` or the other side closes.
std::string ReadUntil(asio::ip::tcp::socket& socket, std::string_view part) {
  std::string text;
  boost::system::error_code error;
  while (!error && text.find(part) == std::string::npos) {
    char bytes[4096];
    const auto size = socket.read_some(asio::buffer(bytes), error);
    text.append(bytes, size);
  }
  return text;
}

// Found on the bench (pantuflas-red trouble-2): a router that drained went on
// taking requests on connections whose answer had begun before, and cut them.
TEST_CASE("a drain lets streams end and takes no request after them") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("chat", [](const HttpRequest& request) {
    Script script = {SendBytes{MakeStreamHead(request)}};
    for (int id = 1; id <= 40; ++id) {
      script.push_back(SendBytes{MakeEventChunk(id)});
      script.push_back(Pause{milliseconds(30)});
    }
    script.push_back(SendBytes{std::string(emulator::kStreamEnd)});
    return script;
  });
  fleet.WaitUntilReady(1);
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect(fleet.ClientEndpoint(1));
  asio::write(socket, asio::buffer(MakeClientRequest("POST", "/stream/", "id1",
                                                     "", "x")));
  ReadUntil(socket, "piece 2\n");
  fleet.Signal(1, SIGTERM);
  Eventually([&] { return !fleet.IsReady(1); });
  const std::string rest = ReadUntil(socket, "0\r\n\r\n");
  CHECK(rest.find("piece 40\n") != std::string::npos);
  CHECK(rest.ends_with("0\r\n\r\n"));
  // The answer did not announce it, but the connection ends after it.
  boost::system::error_code error;
  asio::write(
      socket,
      asio::buffer(MakeClientRequest("POST", "/stream/", "id2", "", "x")),
      error);
  CHECK(ReadUntil(socket, "HTTP/1.1").empty());
  CHECK(fleet.WaitForExit(1) == 0);
  CHECK(fleet.Requests(0).size() == 1);
}

TEST_CASE(
    "a changed settings file takes hold on SIGHUP, a broken one doesn't") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", Good);
  fleet.WaitUntilReady(1);
  fleet.AppendSettings(1, "bounds.grace_s=5\n");
  fleet.Signal(1, SIGHUP);
  Eventually([&] {
    return fleet.Log(1).find("\"grace_ms\":5000") != std::string::npos;
  });
  fleet.AppendSettings(1, "bounds.grace_s=soon\n");
  fleet.Signal(1, SIGHUP);
  Eventually(
      [&] { return fleet.Log(1).find("setting_wrong") != std::string::npos; });
  CHECK(IsServed(fleet, 1, "/any/"));
}

}  // namespace
}  // namespace dandelionscale::tests
