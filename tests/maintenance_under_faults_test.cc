// Routers reload, stop and get new configurations while engines or the network
// are faulty: no request that a router has accepted ends without a
// response.
#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <thread>

#include "tests/support/platform_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::CutKind;
using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::Script;
using emulator::ScriptMaker;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr int kEvents = 6;
constexpr milliseconds kEventInterval(50);
constexpr int kClients = 6;
constexpr milliseconds kReadIdleTimeout(10);
constexpr std::string_view kRoutes =
    R"({{"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":{0},"target_latency_ms":600,"priority":0,"service":"chat","max_attempts":2,"stream_resume":true}},)"
    R"({{"name":"once","host":"h.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":{0},"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2}})";

Script MakeStream(const HttpRequest& request) {
  Script script = {SendBytes{MakeStreamHead(request)}};
  for (int id = FirstEvent(request); id <= kEvents; ++id) {
    script.push_back(Pause{kEventInterval});
    script.push_back(SendBytes{MakeEventChunk(id)});
  }
  script.push_back(SendBytes{std::string(emulator::kStreamEnd)});
  return script;
}

Script MakeAnswer(const HttpRequest& request) {
  return {Pause{milliseconds(20)},
          SendBytes{MakeResponse(request, 200, "booked")}};
}

// How often an engine has been faulty in the current round.
std::atomic<int> fault_count = 0;

// An answer with a header line more.
ScriptMaker AnswerWith(const std::string& line) {
  return [line](const HttpRequest& request) {
    ++fault_count;
    return Script{SendBytes{MakeResponse(request, 200, "booked", line)}};
  };
}

// Turns each third request away, with header lines more.
ScriptMaker RefuseSomeWith(const std::string& lines) {
  return [lines, count = 0](const HttpRequest& request) mutable {
    if (++count % 3 != 0) return MakeAnswer(request);
    ++fault_count;
    return Script{SendBytes{
        MakeResponse(request, 503, "", "Not-Executed: 1\r\n" + lines)}};
  };
}

// Marks the end of its answer by nothing but the connection's.
Script MakeUnframedAnswer(const HttpRequest& request) {
  ++fault_count;
  const std::string head = fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n\r\n",
      request.headers.Find("Request-Id"));
  return {SendBytes{head + "booked"}, emulator::CloseConnection{}};
}

// Each fourth stream loses its engine after two events.
ScriptMaker CrashSometimes() {
  return [count = 0](const HttpRequest& request) mutable {
    if (FirstEvent(request) > 1 || ++count % 4 != 0) return MakeStream(request);
    ++fault_count;
    return Script{SendBytes{MakeStreamHead(request) + MakeEventChunk(1) +
                            MakeEventChunk(2)},
                  Pause{kEventInterval}, emulator::ResetConnection{}};
  };
}

// Some answers never end.
ScriptMaker AnswerEndlesslySometimes() {
  return [count = 0](const HttpRequest& request) mutable {
    if (++count % 8 != 0) return MakeAnswer(request);
    ++fault_count;
    return Script{emulator::SendEndlessly{"more", milliseconds(1)}};
  };
}

// Sends nothing for a second, once, some time after its first request.
ScriptMaker FallSilent() {
  return [silent_from = TimePoint::max()](const HttpRequest& request) mutable {
    Script script = MakeStream(request);
    const TimePoint now = RuntimeClock::now();
    if (silent_from == TimePoint::max()) silent_from = now + milliseconds(900);
    const TimePoint silent_until = silent_from + milliseconds(1100);
    const bool runs_into_it = now + kEvents * kEventInterval > silent_from;
    if (runs_into_it && now < silent_until) {
      ++fault_count;
      script.insert(script.begin() + 3, Pause{silent_until - now});
    }
    return script;
  };
}

// A fault during maintenance.
struct FaultCase {
  std::string name;
  ScriptMaker chat = MakeStream;
  ScriptMaker plain = MakeAnswer;
  std::string second_version = "v1";  // Of the second half of the engines.
  // For a fault that no request brings.
  std::function<void(PlatformFleet&)> begin = {};
  bool knows_configurations = true;  // New ones reach the routers.
};

std::vector<FaultCase> MakeFaultCases() {
  std::vector<FaultCase> cases;
  cases.push_back({"engines limit their rate", MakeStream,
                   AnswerWith("Server-Limit: 30\r\n")});
  cases.push_back({"engines ask for a pause", MakeStream,
                   RefuseSomeWith("Retry-After: 1\r\n")});
  cases.push_back(
      {"brittle engines", MakeStream, RefuseSomeWith("Server-Brittle: 5\r\n")});
  cases.push_back({"answers without a length", MakeStream, MakeUnframedAnswer});
  cases.push_back({"engines crash in streams", CrashSometimes()});
  cases.push_back(
      {"answers without an end", MakeStream, AnswerEndlesslySometimes()});
  cases.push_back({"silent engines", FallSilent()});
  cases.push_back(
      {"two software versions", CrashSometimes(), MakeAnswer, "v2"});
  cases.push_back({"routers cut off from engines", MakeStream, MakeAnswer, "v1",
                   [](PlatformFleet& fleet) {
                     fleet.CutOff({1, 2}, CutKind::kReset);
                   }});
  cases.push_back({"the store is away", MakeStream, MakeAnswer, "v1",
                   [](PlatformFleet& fleet) {
                     fleet.SetStoreMode(emulator::StoreMode::kSilent);
                   },
                   false});
  return cases;
}

// Responses to a stream and a booking behind it, sent in one write.
struct Counts {
  std::atomic<int> pairs = 0;
  std::atomic<int> served = 0;  // Both.
  std::atomic<int> broken = 0;  // The stream has begun and does not end.
  std::atomic<int> lost = 0;    // At least one of both has no response.
};

// Sends pairs to routers 1 to `routers` in turn, to router 1 for a shorter
// time.
void SendPairs(PlatformFleet& fleet, int client, int routers, TimePoint until,
               TimePoint until_at_first, Counts& counts) {
  for (int n = 0; RuntimeClock::now() < until; ++n) {
    int router = 1 + (client + n) % routers;
    if (router == 1 && RuntimeClock::now() > until_at_first) router = 2;
    const std::string id = fmt::format("{}-{}", client, n);
    const std::string text = fleet.Exchange(
        router,
        MakeClientRequest("POST", "/stream/", "s" + id, "", "x") +
            MakeClientRequest("POST", "/once/", "b" + id, "", "x"),
        kReadIdleTimeout, 2);
    ++counts.pairs;
    // Nothing can be sent behind a stream that does not end.
    const bool is_broken = text.find("data: piece 1\n") != std::string::npos &&
                           text.find("\r\n0\r\n\r\n") == std::string::npos;
    if (is_broken) ++counts.broken;
    if (!is_broken && CountResponses(text) < 2) ++counts.lost;
    if (Occurrences(text, "HTTP/1.1 200") == 2) ++counts.served;
  }
}

void DoMaintenance(PlatformFleet& fleet, TimePoint stops_at) {
  std::this_thread::sleep_for(milliseconds(400));
  fleet.PutConfiguration(4, fmt::format(kRoutes, 3000));
  fleet.Signal(1, SIGHUP);
  fleet.Signal(2, SIGHUP);
  std::this_thread::sleep_until(stops_at);
  fleet.Signal(1, SIGTERM);
  fleet.Signal(2, SIGHUP);
  std::this_thread::sleep_for(milliseconds(300));
  fleet.PutConfiguration(5, fmt::format(kRoutes, 4000));
}

TEST_CASE("no request is lost when maintenance meets faults") {
  constexpr int kRouters = 3;
  constexpr int kEnginesPerService = 4;
  constexpr milliseconds kTimeBeforeStop(1000);
  // A router takes new connections for 2.8 s after SIGTERM.
  constexpr milliseconds kTimeAtStoppingRouter(2000);
  for (const FaultCase& fault : MakeFaultCases()) {
    fault_count = 0;
    PlatformFleet fleet(0);
    fleet.PutConfiguration(3, fmt::format(kRoutes, 5000));
    for (int n = 0; n < kEnginesPerService; ++n) {
      const bool is_second = n >= kEnginesPerService / 2;
      fleet.AddEngine("chat", fault.chat,
                      is_second ? fault.second_version : "v1");
      fleet.AddEngine("plain", fault.plain);
    }
    for (int n = 1; n <= kRouters; ++n) fleet.StartRouter(n);
    for (int n = 1; n <= kRouters; ++n) fleet.WaitUntilReady(n);
    if (fault.begin) fault.begin(fleet);
    const TimePoint stops_at = RuntimeClock::now() + kTimeBeforeStop;
    const TimePoint until_at_first = stops_at + kTimeAtStoppingRouter;
    const TimePoint until = until_at_first + milliseconds(500);
    Counts counts;
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] {
        SendPairs(fleet, client, kRouters, until, until_at_first, counts);
      });
    }
    DoMaintenance(fleet, stops_at);
    for (std::thread& client : clients) client.join();
    if (fault.knows_configurations) fleet.WaitForConfiguration(2, 5);
    CAPTURE(fault.name, counts.pairs.load(), counts.served.load(),
            fleet.Log(1));
    CHECK(counts.pairs > kClients);
    CHECK(counts.served * 2 > counts.pairs);
    CHECK(counts.broken == 0);
    CHECK(counts.lost == 0);
    CHECK((fault.begin || fault_count > 0));
    CHECK(fleet.WaitForExit(1) == 0);
  }
}

}  // namespace
}  // namespace dandelionscale::tests
