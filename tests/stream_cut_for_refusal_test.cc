// A silent engine's request is sent to a second engine, which does not take it
// over: the first engine's answer still reaches the client.
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/silent_streams.h"
#include "tests/support/test_client.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::Script;
using emulator::ScriptMaker;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kBeforeSilence(600);
constexpr std::string_view kRoutes =
    R"({"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"gap_aim_ms":300,"priority":0,"service":"chat","max_attempts":2,"stream_resume":true},)"
    R"({"name":"patient","host":"h.example","prefix":"/patient/","kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"gap_aim_ms":300,"priority":0,"service":"chat","max_attempts":3,"stream_resume":true},)"
    R"({"name":"note","host":"h.example","prefix":"/note/","kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"gap_aim_ms":300,"priority":0,"service":"chat","max_attempts":1,"stream_resume":true},)"
    R"({"name":"any","host":"h.example","prefix":"/any/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":120,"priority":2,"service":"plain","max_attempts":2})";

// What becomes of a stream that is to go on at another engine.
struct TakeoverCase {
  std::string name;
  ScriptMaker answer;
};

Script Refuse(const HttpRequest& request, const std::string& lines = "") {
  return {
      SendBytes{MakeResponse(request, 503, "", "Not-Executed: 1\r\n" + lines)}};
}

// The head of a stream that ends with its connection.
std::string MakeUnframedHead(const HttpRequest& request) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\n\r\n",
      request.headers.Find("Request-Id"));
}

std::vector<TakeoverCase> MakeTakeoverCases() {
  std::vector<TakeoverCase> cases;
  cases.push_back(
      {"full", [](const auto& request) { return Refuse(request); }});
  cases.push_back({"asks for a pause", [](const auto& request) {
                     return Refuse(request, "Retry-After: 1\r\n");
                   }});
  cases.push_back({"brittle", [](const auto& request) {
                     return Refuse(request, "Server-Brittle: 5\r\n");
                   }});
  cases.push_back({"refuses late", [](const auto& request) {
                     Script script = Refuse(request);
                     script.insert(script.begin(), Pause{milliseconds(250)});
                     return script;
                   }});
  cases.push_back({"another engine", [](const auto& request) {
                     return Script{SendBytes{MakeResponse(
                         request, 421, "", "Not-Executed: 1\r\n")}};
                   }});
  cases.push_back({"fails", [](const auto& request) {
                     return Script{SendBytes{MakeResponse(request, 500, "")}};
                   }});
  cases.push_back({"no stream", [](const auto& request) {
                     return Script{SendBytes{MakeResponse(request, 200, "x")}};
                   }});
  cases.push_back(
      {"crashes", [](const auto&) {
         return Script{Pause{milliseconds(20)}, emulator::ResetConnection{}};
       }});
  cases.push_back({"sends a head only", [](const auto& request) {
                     return Script{SendBytes{MakeStreamHead(request)},
                                   Pause{std::chrono::seconds(20)}};
                   }});
  cases.push_back({"ends behind its head", [](const auto& request) {
                     return Script{SendBytes{MakeUnframedHead(request)},
                                   emulator::CloseConnection{}};
                   }});
  cases.push_back(
      {"breaks off in an event", [](const auto& request) {
         const std::string event = MakeEventChunk(FirstEvent(request));
         return Script{SendBytes{MakeStreamHead(request) +
                                 event.substr(0, event.size() / 2)},
                       Pause{milliseconds(50)}, emulator::ResetConnection{}};
       }});
  cases.push_back({"closes", [](const auto&) {
                     return Script{emulator::CloseConnection{}};
                   }});
  cases.push_back({"silent too", [](const auto&) {
                     return Script{Pause{std::chrono::seconds(20)}};
                   }});
  return cases;
}

struct Fleet : PlatformFleet {
  explicit Fleet(int routers = 1) : PlatformFleet(0) {
    this->SetMaxSlots(48);
    this->PutConfiguration(3, std::string(kRoutes));
    for (int router = 1; router <= routers; ++router) {
      this->StartRouter(router, std::string(kFewRetries));
    }
  }

  // Engines that fall silent at the same time, and then go on.
  void AddSilentEngines(int count) {
    for (int n = 0; n < count; ++n) {
      this->AddEngine("chat", [this](const HttpRequest& request) {
        return MakeStream(request, this->silence);
      });
    }
  }
  // Engines that serve what begins at them, but not what goes on.
  void AddOtherEngines(int count, const ScriptMaker& takeover) {
    for (int n = 0; n < count; ++n) {
      this->AddEngine("chat", [takeover](const HttpRequest& request) {
        return FirstEvent(request) > 1 ? takeover(request)
                                       : MakeStream(request, Silence());
      });
    }
  }
  void BeginSilence(Duration duration) {
    this->RunOnLoop([this, duration] {
      this->silence.duration = duration;
      this->silence.begins_at = RuntimeClock::now() + kBeforeSilence;
    });
  }

  Silence silence;
};

// The counts are of routers 1 to `routers`.
int CountLogged(const PlatformFleet& fleet, int routers,
                std::string_view event) {
  int count = 0;
  for (int router = 1; router <= routers; ++router) {
    count += Occurrences(fleet.Log(router), event);
  }
  return count;
}

TEST_CASE(
    "no stream is cut when the engine that should take it over does not") {
  constexpr int kStreams = 120;
  constexpr int kRouters = 2;
  for (const TakeoverCase& takeover : MakeTakeoverCases()) {
    Fleet fleet(kRouters);
    fleet.AddSilentEngines(2);
    fleet.AddOtherEngines(4, takeover.answer);
    for (int n = 1; n <= kRouters; ++n) fleet.WaitUntilReady(n);
    fleet.BeginSilence(std::chrono::seconds(2));
    const auto streams =
        ReadStreams(fleet, kRouters, kStreams, milliseconds(10));
    CAPTURE(takeover.name, fleet.Log(1), fleet.Log(2));
    CHECK(CountLogged(fleet, kRouters, R"("sends_backup":true)") > 0);
    CHECK(CountWhole(streams) == kStreams);
  }
}

TEST_CASE("a stream that has not begun is not cut by an empty second answer") {
  Fleet fleet;
  std::atomic<int> arrivals = 0;
  for (int n = 0; n < 2; ++n) {
    fleet.AddEngine("chat", [&arrivals](const HttpRequest& request) {
      if (++arrivals == 2) {
        return Script{SendBytes{MakeUnframedHead(request)},
                      emulator::CloseConnection{}};
      }
      Script script = MakeStream(request, Silence());
      script.insert(script.begin(), Pause{milliseconds(2300)});
      return script;
    });
  }
  fleet.WaitUntilReady(1);
  const auto streams = ReadStreams(fleet, 1, 1, milliseconds(10));
  CAPTURE(fleet.Log(1));
  CHECK(CountWhole(streams) == 1);
  CHECK(arrivals == 2);
}

// The second engine has not answered yet when the first one goes on.
TEST_CASE("a stream goes on at its engine while another one prepares it") {
  constexpr int kStreams = 8;
  Fleet fleet;
  fleet.AddSilentEngines(1);
  fleet.AddOtherEngines(1, [](const HttpRequest& request) {
    Script script = MakeStream(request, Silence());
    script.insert(script.begin(), Pause{milliseconds(700)});
    return script;
  });
  fleet.WaitUntilReady(1);
  fleet.BeginSilence(std::chrono::seconds(2));
  const auto streams = ReadStreams(fleet, 1, kStreams, milliseconds(10));
  CAPTURE(fleet.Log(1));
  CHECK(CountWhole(streams) == kStreams);
  CHECK(CountLogged(fleet, 1, R"("event":"backup_dropped")") > 0);
  CHECK(CountLogged(fleet, 1, R"("event":"backup_taken")") == 0);
}

TEST_CASE("a stream goes on at a second engine whose first one is lost") {
  constexpr int kStreams = 4;
  Fleet fleet;
  // The connection is lost while the second engine prepares its answer.
  for (int n = 0; n < 2; ++n) {
    fleet.AddEngine("chat", [](const HttpRequest& request) {
      if (FirstEvent(request) > 1) {
        Script script = MakeStream(request, Silence());
        script.insert(script.begin(), Pause{milliseconds(800)});
        return script;
      }
      return Script{SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
                    Pause{milliseconds(2000)}, emulator::ResetConnection{}};
    });
  }
  fleet.WaitUntilReady(1);
  const auto streams = ReadStreams(fleet, 1, kStreams, milliseconds(10));
  CAPTURE(fleet.Log(1));
  CHECK(CountWhole(streams) == kStreams);
}

TEST_CASE("a stream goes on at a third engine if two are silent for good") {
  Fleet fleet;
  std::atomic<int> arrivals = 0;
  for (int n = 0; n < 3; ++n) {
    fleet.AddEngine("chat", [&arrivals](const HttpRequest& request) {
      const int arrival = ++arrivals;
      if (arrival == 3) return MakeStream(request, Silence());
      Script script = {Pause{std::chrono::seconds(20)}};
      if (arrival == 1) {
        script.insert(script.begin(),
                      SendBytes{MakeStreamHead(request) + MakeEventChunk(1)});
      }
      return script;
    });
  }
  fleet.WaitUntilReady(1);
  TestClient client(fleet);
  client.Send(MakeClientRequest("POST", "/patient/", "id", "", "x"));
  ClientStream stream;
  stream.text = client.ReadUntil(kLastChunk);
  CAPTURE(stream.text, fleet.Log(1));
  CHECK(stream.IsWhole());
  CHECK(arrivals == 3);
}

// The first connection is lost, and no third engine is there.
TEST_CASE("the only engine left is not given up while it prepares its answer") {
  Fleet fleet;
  for (int n = 0; n < 2; ++n) {
    fleet.AddEngine("chat", [](const HttpRequest& request) {
      if (FirstEvent(request) > 1) {
        Script script = MakeStream(request, Silence());
        script.insert(script.begin(), Pause{milliseconds(2500)});
        return script;
      }
      return Script{SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
                    Pause{milliseconds(2000)}, emulator::ResetConnection{}};
    });
  }
  fleet.WaitUntilReady(1);
  TestClient client(fleet);
  client.Send(MakeClientRequest("POST", "/patient/", "id", "", "x",
                                std::chrono::seconds(12)));
  ClientStream stream;
  stream.text = client.ReadUntil(kLastChunk);
  CAPTURE(stream.text, fleet.Log(1));
  CHECK(stream.IsWhole());
}

TEST_CASE("both engines stop when the client leaves in between") {
  Fleet fleet;
  for (int n = 0; n < 2; ++n) {
    fleet.AddEngine("chat", [](const HttpRequest& request) {
      Script script = {Pause{milliseconds(3000)}};
      if (FirstEvent(request) == 1) {
        script.insert(script.begin(),
                      SendBytes{MakeStreamHead(request) + MakeEventChunk(1)});
      }
      // The first bytes after the close are still taken.
      for (int id = 2; id <= 4; ++id) {
        script.push_back(SendBytes{MakeEventChunk(id)});
        script.push_back(Pause{milliseconds(50)});
      }
      return script;
    });
  }
  fleet.WaitUntilReady(1);
  {
    TestClient client(fleet);
    client.Send(MakeClientRequest("POST", "/stream/", "id", "", "x"));
    client.ReadUntil("data: piece 1\n");
    std::this_thread::sleep_for(milliseconds(2300));
  }
  std::this_thread::sleep_for(milliseconds(3500));
  CAPTURE(fleet.Log(1));
  CHECK(fleet.TotalRequests() == 2);
  int abandoned = 0;
  fleet.RunOnLoop([&] {
    for (int n = 0; n < 2; ++n)
      abandoned += fleet.Engine(n).AbandonedResponses();
  });
  CHECK(abandoned == 2);
}

// A plain request whose engine answers only after 0.9 s, and what the second
// one does.
void CheckAnswered(const ScriptMaker& second, std::string_view body) {
  Fleet fleet;
  std::atomic<int> arrivals = 0;
  for (int n = 0; n < 2; ++n) {
    fleet.AddEngine("plain", [&arrivals, second](const HttpRequest& request) {
      if (++arrivals == 2) return second(request);
      return Script{Pause{milliseconds(900)},
                    SendBytes{MakeResponse(request, 200, "first")}};
    });
  }
  fleet.WaitUntilReady(1);
  const std::string response =
      fleet.Exchange(1, MakeClientRequest("GET", "/any/", "id"));
  CAPTURE(response, fleet.Log(1));
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with(body));
  CHECK(arrivals == 2);
}

TEST_CASE("a request is answered by the first engine if the second does not") {
  for (const TakeoverCase& takeover : MakeTakeoverCases()) {
    if (takeover.name == "no stream") continue;          // An answer here.
    if (takeover.name == "sends a head only") continue;  // Of a stream.
    if (takeover.name == "ends behind its head") continue;
    if (takeover.name == "breaks off in an event") continue;
    CAPTURE(takeover.name);
    CheckAnswered(takeover.answer, "first");
  }
}

TEST_CASE(
    "a request is answered by the first engine if the second breaks off") {
  CheckAnswered(
      [](const HttpRequest& request) {
        const std::string answer = MakeResponse(request, 200, "second");
        return Script{SendBytes{answer.substr(0, answer.size() - 3)},
                      Pause{milliseconds(50)}, emulator::ResetConnection{}};
      },
      "first");
}

TEST_CASE("a request is answered by the second engine if that is sooner") {
  CheckAnswered(
      [](const HttpRequest& request) {
        return Script{SendBytes{MakeResponse(request, 200, "second")}};
      },
      "second");
  CheckAnswered(
      [](const HttpRequest& request) {
        return Script{SendBytes{MakeResponse(request, 200, "")}};
      },
      "\r\n\r\n");
}

// The first one has not run it, and says so after the second one was asked.
TEST_CASE("a refusal of the first engine does not end the second send") {
  Fleet fleet;
  std::atomic<int> arrivals = 0;
  for (int n = 0; n < 2; ++n) {
    fleet.AddEngine("plain", [&arrivals](const HttpRequest& request) {
      if (++arrivals == 1) {
        return Script{
            Pause{milliseconds(900)},
            SendBytes{MakeResponse(request, 503, "", "Not-Executed: 1\r\n")}};
      }
      return Script{Pause{milliseconds(800)},
                    SendBytes{MakeResponse(request, 200, "second")}};
    });
  }
  fleet.WaitUntilReady(1);
  const std::string response =
      fleet.Exchange(1, MakeClientRequest("GET", "/any/", "id"));
  CAPTURE(response, fleet.Log(1));
  CHECK(response.ends_with("second"));
}

}  // namespace
}  // namespace dandelionscale::tests
