// Tests with real router processes: how changes and failures of the store reach
// routers, and how routers drain and reload their settings.
#include <signal.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <numeric>
#include <sstream>
#include <thread>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/transport/address.h"
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

// After a complete response, an exchange ends when nothing more arrives for
// this time.
constexpr milliseconds kQuiet(100);

Script AnswerOk(const HttpRequest& request) {
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

TEST_CASE("a newer configuration is applied, an older one is ignored") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(5, OnlyRoute("/five/"));
  fleet.AddEngine("plain", AnswerOk);
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

TEST_CASE("malformed rows are skipped and the others are applied") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.RunOnLoop([&] {
    fleet.Store().Put("servers", "bad-json", "\x01{");
    fleet.Store().Put(
        "servers", "bad-state",
        R"({"service":"plain","address":"127.0.0.1:1","zone":"z",)"
        R"("max_slots":1,"state":"asleep"})");
  });
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  for (int n = 0; n < 5; ++n) CHECK(IsServed(fleet, 1, "/any/"));
  fleet.RunOnLoop(
      [&] { fleet.Store().Put("op", "config", "{\"version\":99}x"); });
  CHECK(IsServed(fleet, 1, "/any/"));
}

TEST_CASE(
    "a router serves while the store is busy, silent or without history") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  std::uint64_t version = 10;
  for (StoreMode mode : {StoreMode::kBusy, StoreMode::kSilent}) {
    fleet.SetStoreMode(mode);
    Eventually([&] {
      return fleet.Metrics(1).find("\nstore_lost 1") != std::string::npos;
    });
    CHECK(fleet.IsReady(1));
    // The router serves by the configuration that it has read before.
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

// Guards against a crash of a router that refuses a request before it knows any
// route.
TEST_CASE("a router without a configuration refuses requests and goes on") {
  PlatformFleet fleet(1);
  const auto refused = [&] {
    return fleet
        .Exchange(1, MakeClientRequest("GET", "/any/", "early"),
                  milliseconds(1500))
        .starts_with("HTTP/1.1 503");
  };
  Eventually(refused);
  CHECK(refused());
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  CHECK(IsServed(fleet, 1, "/any/"));
}

// Guards against a configuration change that is lost because the routers that
// watch the store are all killed just before it.
// The victims are all routers that the election has chosen, once it has
// settled: nobody else watches then, so that a survivor has to take over.
TEST_CASE("few routers watch the store; others take over when they die",
          "[mixed_builds]") {
  constexpr int kRouters = 6;
  constexpr std::size_t kElected = 3;
  PlatformFleet fleet(kRouters);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", AnswerOk);
  for (int n = 1; n <= kRouters; ++n) fleet.WaitUntilReady(n);
  const WatchRoles roles = fleet.WaitForElection(kElected);
  for (int n : roles.watchers) {
    Eventually([&] {
      return fleet.Metrics(n).find("\nwatches_store 1") != std::string::npos;
    });
  }
  fleet.PutConfiguration(4, OnlyRoute("/four/"));
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] { return IsServed(fleet, n, "/four/"); });
  }
  REQUIRE(fleet.Roles().watchers == roles.watchers);
  REQUIRE(fleet.Roles().listeners == roles.listeners);
  std::map<int, std::size_t> log_sizes;
  for (int n : roles.listeners) log_sizes[n] = fleet.Log(n).size();
  for (int watcher : roles.watchers) fleet.Signal(watcher, SIGKILL);
  fleet.PutConfiguration(5, OnlyRoute("/five/"));
  for (int n : roles.listeners) {
    Eventually([&] { return IsServed(fleet, n, "/five/"); });
  }
  // A survivor stands in, or is elected if it notices first that its peers are
  // lost. Lines are written to the log a moment later.
  const auto took_over = [&](int n) {
    const std::string log = fleet.Log(n).substr(log_sizes[n]);
    return log.find(R"("role":"stand_in","before":"listener")") !=
               std::string::npos ||
           log.find(R"("role":"watcher","before":"listener")") !=
               std::string::npos;
  };
  Eventually([&] {
    return std::any_of(roles.listeners.begin(), roles.listeners.end(),
                       took_over);
  });
}

TEST_CASE("a router that the store refuses gets its state from peers") {
  PlatformFleet fleet(2);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  fleet.WaitUntilReady(2);
  Eventually([&] {
    return fleet.Log(1).find("peer_heard") != std::string::npos &&
           fleet.Log(2).find("peer_heard") != std::string::npos;
  });
  fleet.Signal(2, SIGKILL);
  fleet.WaitForExit(2);
  // The store refuses all calls; router 2 restarts without any state.
  fleet.SetStoreMode(StoreMode::kBusy);
  fleet.StartRouter(2);
  fleet.WaitUntilReady(2);
  CHECK(IsServed(fleet, 2, "/three/"));
}

// Sum of a counter over the routers, with all its labels.
std::uint64_t SumOf(PlatformFleet& fleet, const std::vector<int>& routers,
                    const std::string& counter) {
  std::uint64_t sum = 0;
  for (int n : routers) {
    std::istringstream lines(fleet.Metrics(n));
    for (std::string line; std::getline(lines, line);) {
      if (!line.starts_with(counter)) continue;
      sum += std::stoull(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

// Returns four listeners to restart. Of all, they wait the longest for their
// peers before they read the store, so that the test does not depend on how
// fast the machine is.
std::vector<int> ReleasedRouters(PlatformFleet& fleet,
                                 const WatchRoles& roles) {
  std::vector<int> listeners(roles.listeners.begin(), roles.listeners.end());
  const auto key_of = [&fleet](int router) {
    return HashText(ToText(fleet.PeerEndpoint(router)));
  };
  std::sort(listeners.begin(), listeners.end(),
            [&](int a, int b) { return key_of(a) < key_of(b); });
  listeners.resize(4);
  return listeners;
}

// Restarts a router and waits until it has its state from a peer.
void StartsFromPeer(PlatformFleet& fleet, int router) {
  fleet.RestartRouters({router});
  CHECK(IsServed(fleet, router, "/three/"));
  // Lines are written to the log a moment later.
  Eventually([&] {
    const std::string log = fleet.Log(router);
    return log.find("started_from_peer", log.rfind(R"("event":"start")")) !=
           std::string::npos;
  });
}

// Load pattern: a release of a large fleet, and a crash of all of it. Guards
// against starts that all read the whole tables from the store, and against a
// fleet that waits for itself.
TEST_CASE("routers of a large fleet start from their peers") {
  constexpr int kRouters = 18;
  constexpr std::size_t kElected = 3;
  constexpr const char* kReads = "store_bytes_read_total{table=\"engines\"}";
  PlatformFleet fleet(kRouters);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", AnswerOk);
  for (int n = 1; n <= kRouters; ++n) fleet.WaitUntilReady(n);
  const WatchRoles roles = fleet.WaitForElection(kElected);
  SECTION("one after the other") {
    for (int n : ReleasedRouters(fleet, roles)) {
      StartsFromPeer(fleet, n);
      CHECK(SumOf(fleet, {n}, kReads) == 0);
    }
  }
  // Guards against a start that ignores what a peer has supplied because a
  // digest came before the table of routers.
  SECTION("while the table of routers is read slowly") {
    fleet.RunOnLoop([&] {
      fleet.Store().DelayReads("dandelion_routers", milliseconds(300));
    });
    for (int n : ReleasedRouters(fleet, roles)) {
      StartsFromPeer(fleet, n);
      // The router would read the store by now.
      std::this_thread::sleep_for(std::chrono::seconds(2));
      CHECK(SumOf(fleet, {n}, kReads) == 0);
    }
  }
  SECTION("all at the same time") {
    std::vector<int> all = roles.watchers;
    all.insert(all.end(), roles.listeners.begin(), roles.listeners.end());
    fleet.RestartRouters(all);
    std::size_t readers = 0;
    for (int n : all) {
      CHECK(IsServed(fleet, n, "/three/"));
      if (SumOf(fleet, {n}, kReads) > 0) ++readers;
    }
    CAPTURE(readers);
    CHECK(readers >= 1);
    CHECK(readers <= kRouters / 2);
  }
  // Later changes reach all, as changes and not as whole lists.
  fleet.WaitForElection(kElected);
  fleet.AddEngine("plain", AnswerOk);
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] {
      const std::string log = fleet.Log(n);
      return log.find(R"("engine":"e1")", log.rfind(R"("event":"start")")) !=
             std::string::npos;
    });
  }
  std::vector<int> all(kRouters);
  std::iota(all.begin(), all.end(), 1);
  CHECK(SumOf(fleet, all, "peer_engine_changes_applied_total") > 0);
}

// Guards against a race at the start: if two routers both read the table before
// either has written its row, neither finds the other until the next read, 20 s
// later.
TEST_CASE("a router writes its own row before it reads the table of routers") {
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

TEST_CASE("a draining engine gets no new request", "[mixed_builds]") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  const int draining_engine = fleet.AddEngine("plain", AnswerOk);
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  fleet.RegisterEngine(draining_engine, "draining");
  Eventually([&] {
    return fleet.Log(1).find("\"change\":\"draining\"") != std::string::npos;
  });
  const std::size_t before = fleet.Requests(draining_engine).size();
  for (int n = 0; n < 8; ++n) CHECK(IsServed(fleet, 1, "/any/"));
  CHECK(fleet.Requests(draining_engine).size() == before);
}

// Reads from `socket` until the text contains `part` or the other side closes.
// Returns all text read.
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

// Guards against requests that are cut off: a draining router still accepted
// requests on connections whose response had begun before the drain, and then
// closed those connections before the responses were complete.
TEST_CASE("a draining router completes streams and closes after the next one") {
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
  // The response head was sent before the drain and did not announce the close,
  // so a request behind it is served; its response announces the close.
  boost::system::error_code error;
  asio::write(
      socket,
      asio::buffer(MakeClientRequest("POST", "/stream/", "id2", "", "x")),
      error);
  const std::string second = ReadUntil(socket, "0\r\n\r\n");
  CHECK(second.starts_with("HTTP/1.1 200"));
  CHECK(second.find("Connection: close\r\n") != std::string::npos);
  CHECK(second.find("piece 40\n") != std::string::npos);
  CHECK(second.ends_with("0\r\n\r\n"));
  // No third one is taken.
  asio::write(
      socket,
      asio::buffer(MakeClientRequest("POST", "/stream/", "id3", "", "x")),
      error);
  CHECK(ReadUntil(socket, "HTTP/1.1").empty());
  CHECK(fleet.WaitForExit(1) == 0);
  CHECK(fleet.Requests(0).size() == 2);
}

// Load pattern: a host is paused for longer than a client waits; the request
// lies in the socket meanwhile.
TEST_CASE("a paused router does not send a request that has expired") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  REQUIRE(IsServed(fleet, 1, "/any/"));
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect(fleet.ClientEndpoint(1));
  fleet.Signal(1, SIGSTOP);
  std::string request = MakeClientRequest("POST", "/once/", "late", "", "x");
  const std::string deadline = "Request-Deadline: 5000";
  request.replace(request.find(deadline), deadline.size(),
                  "Request-Deadline: 800");
  asio::write(socket, asio::buffer(request));
  std::this_thread::sleep_for(milliseconds(1500));
  fleet.Signal(1, SIGCONT);
  CHECK(ReadUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 503"));
  CHECK(fleet.Requests(0).size() == 1);
  CHECK(IsServed(fleet, 1, "/any/"));
}

// Load pattern: clients connect until the listener closes, and their first
// request follows a moment later.
TEST_CASE("connections made just before the listener closes are served") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", AnswerOk);
  fleet.WaitUntilReady(1);
  fleet.Signal(1, SIGTERM);
  asio::io_context loop;
  int cut_off = 0;
  int connected = 0;
  while (true) {
    asio::ip::tcp::socket socket(loop);
    boost::system::error_code error;
    socket.connect(fleet.ClientEndpoint(1), error);
    if (error) break;
    ++connected;
    std::this_thread::sleep_for(milliseconds(5));
    const std::string id = "c" + std::to_string(connected);
    asio::write(socket, asio::buffer(MakeClientRequest("GET", "/any/", id)),
                error);
    if (!ReadUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 200")) ++cut_off;
  }
  CHECK(connected > 20);
  CHECK(cut_off == 0);
  CHECK(fleet.WaitForExit(1) == 0);
}

TEST_CASE("SIGHUP applies a changed settings file and ignores an invalid one") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("plain", AnswerOk);
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

// Load pattern: the store is restored from a backup, a copy that is some
// seconds old, while a key is revoked, an engine drains and leaves, and a
// router restarts.
TEST_CASE("a restored store does not undo what routers know",
          "[mixed_builds]") {
  constexpr int kRouters = 3;
  PlatformFleet fleet(kRouters);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  const int staying = fleet.AddEngine("plain", AnswerOk);
  const int leaving = fleet.AddEngine("plain", AnswerOk);
  for (int n = 1; n <= kRouters; ++n) fleet.WaitUntilReady(n);
  fleet.RunOnLoop([&] { fleet.Store().TakeCopy(); });
  // Everything from here to the restoration is lost in the store.
  fleet.PutConfiguration(4, OnlyRoute("/four/"));
  fleet.RegisterEngine(leaving, "draining");
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] { return IsServed(fleet, n, "/four/"); });
    Eventually([&] {
      return fleet.Log(n).find(R"("change":"draining")") != std::string::npos;
    });
  }
  fleet.DeregisterEngine(leaving);
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] {
      return fleet.Log(n).find(R"("change":"gone")") != std::string::npos;
    });
  }
  const std::size_t before = fleet.Requests(leaving).size();
  fleet.RunOnLoop([&] { fleet.Store().Restore(); });
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] {
      return fleet.Log(n).find(R"("event":"store_restored")") !=
             std::string::npos;
    });
    CHECK(IsServed(fleet, n, "/four/"));
    CHECK_FALSE(IsServed(fleet, n, "/three/"));
  }
  // The restored store lists the engine as ready. The restarted router learns
  // from its peers that it has left.
  fleet.RestartRouters({2});
  Eventually([&] {
    const std::string log = fleet.Log(2);
    return log.find(R"("change":"draining")",
                    log.rfind(R"("event":"start")")) != std::string::npos;
  });
  Eventually([&] { return IsServed(fleet, 2, "/four/"); });
  // New writes are applied although their versions are lower than before.
  fleet.PutConfiguration(5, OnlyRoute("/five/"));
  const int added = fleet.AddEngine("plain", AnswerOk);
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] { return IsServed(fleet, n, "/five/"); });
    const std::string field = R"("engine":"e)" + std::to_string(added) + "\"";
    Eventually([&] { return fleet.Log(n).find(field) != std::string::npos; });
  }
  for (int n = 0; n < 12; ++n) {
    for (int router : {1, 3}) CHECK(IsServed(fleet, router, "/five/"));
  }
  CHECK(fleet.Requests(leaving).size() == before);
  CHECK(fleet.Requests(staying).size() + fleet.Requests(added).size() >= 24);
}

TEST_CASE("a router that is frozen while the store is restored catches up") {
  constexpr int kRouters = 5;
  PlatformFleet fleet(kRouters);
  fleet.PutConfiguration(3, OnlyRoute("/three/"));
  fleet.AddEngine("plain", AnswerOk);
  for (int n = 1; n <= kRouters; ++n) fleet.WaitUntilReady(n);
  fleet.RunOnLoop([&] { fleet.Store().TakeCopy(); });
  fleet.PutConfiguration(4, OnlyRoute("/four/"));
  for (int n = 1; n <= kRouters; ++n) {
    Eventually([&] { return IsServed(fleet, n, "/four/"); });
  }
  // Frozen over the restoration, the router returns with the versions of the
  // old era.
  fleet.Signal(1, SIGSTOP);
  fleet.RunOnLoop([&] { fleet.Store().Restore(); });
  const int added = fleet.AddEngine("plain", AnswerOk);
  const std::string field = R"("engine":"e)" + std::to_string(added) + "\"";
  for (int n = 2; n <= kRouters; ++n) {
    Eventually([&] { return fleet.Log(n).find(field) != std::string::npos; });
  }
  fleet.Signal(1, SIGCONT);
  Eventually([&] { return fleet.Log(1).find(field) != std::string::npos; });
  for (int n = 1; n <= kRouters; ++n) CHECK(IsServed(fleet, n, "/four/"));
}

}  // namespace
}  // namespace dandelionscale::tests
