// A router process and engines that answer twice: no client gets a byte of an
// answer that is not its own, and no answer that is ready is lost to a second
// one.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::CloseConnection;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::Script;
using emulator::ScriptMaker;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(100);
// How long after the first answer a late second one is sent.
constexpr milliseconds kLate(60);
// The last chunk of a response to a client, which marks it as complete.
constexpr std::string_view kAnonymousRefusal =
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kAnonymousMisdirection =
    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: x\r\n"
    "Content-Length: 0\r\n\r\n";

std::string IdOf(const HttpRequest& request) {
  return std::string(request.headers.Find("Request-Id"));
}

// Head of a response whose body ends with the connection.
std::string UnframedHead(std::string_view id, std::string_view type) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
      "Content-Type: {}\r\n\r\n",
      id, type);
}

std::string StreamHead(std::string_view id) {
  return UnframedHead(id, "text/event-stream");
}

std::string Event(int id, std::string_view text) {
  return fmt::format("id: {}\ndata: {} {}\n\n", id, text, id);
}

std::string Events(int first, int last, std::string_view text) {
  std::string events;
  for (int id = first; id <= last; ++id) events += Event(id, text);
  return events;
}

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(1) { this->PutConfiguration(3); }

  void AddEngines(const std::string& service, int count,
                  const ScriptMaker& maker) {
    for (int n = 0; n < count; ++n) this->AddEngine(service, maker);
    this->WaitUntilReady(1);
  }

  // Returns all bytes that the client of one request receives.
  std::string Send(const std::string& target, const std::string& id) {
    return this->Exchange(1, MakeClientRequest("POST", target, id, "", "x"),
                          kReadIdleTimeout);
  }

  // Checks that one other engine was asked for what follows an event.
  void CheckAskedForRest(std::string_view last_id) {
    CHECK(this->TotalRequests() == 2);
    int asked = 0;
    for (const int engine : {0, 1}) {
      REQUIRE(this->Requests(engine).size() == 1);
      const HttpRequest request = this->Requests(engine).front();
      if (request.headers.Find("Last-Event-Id") == last_id) ++asked;
    }
    CHECK(asked == 1);
  }
};

// The whole stream and then `second`; nothing more for a client or router that
// has all of its events.
ScriptMaker FollowWhole(const Script& second) {
  return [second](const HttpRequest& request) {
    if (request.headers.Find("Last-Event-Id") == "3") {
      return Script{SendBytes{MakeStreamHead(request) +
                              std::string(emulator::kStreamEnd)}};
    }
    Script script = {SendBytes{StreamHead("a") + Events(1, 3, "own")}};
    script.insert(script.end(), second.begin(), second.end());
    script.push_back(CloseConnection{});
    return script;
  };
}

// A connection is kept after its first request, and `later` answers all others.
ScriptMaker AnswerThen(const ScriptMaker& later) {
  return [later](const HttpRequest& request) {
    if (!IdOf(request).starts_with("first")) return later(request);
    return Script{SendBytes{MakeResponse(request, 200, "hello")}};
  };
}

void CheckWholeStream(const std::string& response, int last) {
  CHECK(response.starts_with("HTTP/1.1 200"));
  for (int id = 1; id <= last; ++id) {
    CHECK(Occurrences(response, fmt::format("own {}\n", id)) == 1);
  }
  CHECK(Occurrences(response, "id: ") == last);
  CHECK(Occurrences(response, "HTTP/1.1") == 1);
  CHECK(response.ends_with(kLastChunk));
}

TEST_CASE("a second answer behind an unframed stream is not relayed") {
  Fleet fleet;
  Script second;
  SECTION("the same answer") {
    second = {SendBytes{StreamHead("a") + Events(1, 3, "again")}};
  }
  SECTION("of another request, with events that would continue the first") {
    second = {SendBytes{StreamHead("b") + Events(4, 6, "other")}};
  }
  SECTION("late") {
    second = {Pause{kLate}, SendBytes{StreamHead("b") + Events(4, 6, "other")}};
  }
  SECTION("in two parts, divided inside the status line") {
    const std::string bytes = StreamHead("b") + Events(4, 6, "other");
    second = {SendBytes{bytes.substr(0, 10)}, Pause{kLate},
              SendBytes{bytes.substr(10)}};
  }
  SECTION("that is broken off inside its status line") {
    second = {SendBytes{"HTTP/1.1 2"}};
  }
  SECTION("that is broken off inside its head") {
    second = {SendBytes{"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-"}};
  }
  SECTION("with a lowercase head") {
    second = {SendBytes{"HTTP/1.1 200 OK\r\nrequest-id: b\r\n\r\n" +
                        Events(4, 6, "other")}};
  }
  fleet.AddEngines("chat", 2, FollowWhole(second));
  CheckWholeStream(fleet.Send("/stream/", "a"), 3);
  fleet.CheckAskedForRest("3");
}

TEST_CASE("an unframed stream without an event is not complete") {
  Fleet fleet;
  const std::string second =
      GENERATE(std::string(), StreamHead("b") + Events(1, 2, "other"));
  fleet.AddEngines("chat", 1, [second](const HttpRequest& request) {
    return Script{SendBytes{StreamHead(IdOf(request)) + second},
                  CloseConnection{}};
  });
  CHECK(fleet.Send("/stream/", "a").starts_with("HTTP/1.1 502"));
}

TEST_CASE("an unframed stream ends where a second answer begins") {
  Fleet fleet;
  // The engine keeps its connection open after the second answer.
  fleet.AddEngines(
      "chat", 2,
      FollowWhole({SendBytes{StreamHead("a") + Events(1, 3, "again")},
                   Pause{std::chrono::seconds(30)}}));
  CheckWholeStream(fleet.Send("/stream/", "a"), 3);
  fleet.CheckAskedForRest("3");
}

TEST_CASE(
    "a second answer behind a stream leaves it open without a resumption") {
  Fleet fleet;
  fleet.AddEngines(
      "chat", 1,
      FollowWhole({SendBytes{StreamHead("a") + Events(1, 3, "again")}}));
  const std::string response = fleet.Send("/stream/", "a");
  CHECK(Occurrences(response, "id: ") == 3);
  CHECK(response.find("again") == std::string::npos);
  CHECK_FALSE(response.ends_with(kLastChunk));
}

TEST_CASE("an answer that is cut inside an event by a second one is broken") {
  Fleet fleet;
  const std::string_view cut =
      GENERATE("id: 3\n", "id: 3\nda", "id: 3\ndata: x", "id: 3\ndata: x\n");
  CAPTURE(cut);
  fleet.AddEngines("chat", 2, [cut](const HttpRequest& request) {
    const std::string head = StreamHead(IdOf(request));
    if (request.headers.Find("Last-Event-Id") == "2") {
      return Script{SendBytes{head + Events(3, 4, "own")}, CloseConnection{}};
    }
    return Script{SendBytes{head + Events(1, 2, "own") + std::string(cut) +
                            StreamHead("b") + Events(4, 6, "other")},
                  CloseConnection{}};
  });
  CheckWholeStream(fleet.Send("/stream/", "a"), 4);
  CHECK(fleet.TotalRequests() == 2);
}

TEST_CASE("events whose ids don't increase are not relayed") {
  Fleet fleet;
  const std::string_view broken =
      GENERATE("id: 1\ndata: again\n\n", "id: 2\ndata: again\n\n");
  const bool chunked = GENERATE(true, false);
  CAPTURE(broken, chunked);
  fleet.AddEngines("chat", 2, [=](const HttpRequest& request) {
    const int first = request.headers.Find("Last-Event-Id") == "2" ? 3 : 1;
    std::string events =
        first == 3
            ? Events(3, 4, "own")
            : Events(1, 2, "own") + std::string(broken) + Events(3, 4, "other");
    if (!chunked) {
      return Script{SendBytes{StreamHead(IdOf(request)) + events},
                    CloseConnection{}};
    }
    return Script{SendBytes{
        MakeStreamHead(request) +
        fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", events.size(), events)}};
  });
  CheckWholeStream(fleet.Send("/stream/", "a"), 4);
}

TEST_CASE("a client that resumes a stream gets no event twice") {
  Fleet fleet;
  fleet.AddEngines("chat", 1, [](const HttpRequest& request) {
    return Script{SendBytes{StreamHead(IdOf(request)) + Events(1, 4, "own")},
                  CloseConnection{}};
  });
  const std::string response = fleet.Exchange(
      1,
      MakeClientRequest("POST", "/stream/", "a", "Last-Event-Id: 2\r\n", "x"),
      kReadIdleTimeout);
  CHECK(Occurrences(response, "id: ") == 2);
  CHECK(Occurrences(response, "id: 3\n") == 1);
  CHECK(response.ends_with(kLastChunk));
}

TEST_CASE("a second answer behind an unframed body is not relayed") {
  Fleet fleet;
  Script second;
  SECTION("the same answer") {
    second = {SendBytes{UnframedHead("a", "text/plain") + "hello"}};
  }
  SECTION("late, and with a length") {
    second = {Pause{kLate},
              SendBytes{"HTTP/1.1 200 OK\r\nRequest-Id: b\r\n"
                        "Response-Seal: seal\r\nContent-Length: 2\r\n\r\nno"}};
  }
  SECTION("in two parts") {
    const std::string bytes = UnframedHead("b", "text/plain") + "other";
    second = {SendBytes{bytes.substr(0, 30)}, Pause{kLate},
              SendBytes{bytes.substr(30)}};
  }
  SECTION("that is broken off inside its head") {
    second = {SendBytes{"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-"}};
  }
  SECTION("a refusal") {
    second = {
        SendBytes{"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                  "Request-Id: b\r\n\r\n"}};
  }
  fleet.AddEngines("plain", 2, [second](const HttpRequest&) {
    Script script = {SendBytes{UnframedHead("a", "text/plain") + "hello"}};
    script.insert(script.end(), second.begin(), second.end());
    script.push_back(CloseConnection{});
    return script;
  });
  const std::string response = fleet.Send("/once/", "a");
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with("\r\n\r\nhello"));
  CHECK(fleet.TotalRequests() == 1);
}

// The late answer comes while the own one is being sent.
TEST_CASE("a second answer inside an unframed answer does not end it") {
  Fleet fleet;
  const std::string late = GENERATE(
      StreamHead("first") + Events(1, 1, "other"),
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: "
                  "2\r\n\r\nno"),
      std::string(kAnonymousRefusal));
  CAPTURE(late);
  SECTION("a stream") {
    fleet.AddEngines("chat", 2, AnswerThen([late](const HttpRequest& request) {
                       const std::string head = StreamHead(IdOf(request));
                       if (request.headers.Find("Last-Event-Id") == "2") {
                         return Script{SendBytes{head + Events(3, 4, "own")},
                                       CloseConnection{}};
                       }
                       return Script{SendBytes{head + Events(1, 2, "own")},
                                     SendBytes{late + Events(3, 4, "own")},
                                     CloseConnection{}};
                     }));
    for (int n = 0; n < 8; ++n) {
      CHECK(
          fleet.Send("/stream/", fmt::format("first{}", n)).ends_with("hello"));
    }
    REQUIRE_FALSE(fleet.Requests(0).empty());
    REQUIRE_FALSE(fleet.Requests(1).empty());
    CheckWholeStream(fleet.Send("/stream/", "a"), 4);
  }
  SECTION("a body") {
    fleet.AddEngines(
        "plain", 1, AnswerThen([late](const HttpRequest& request) {
          const std::string head = UnframedHead(IdOf(request), "text/plain");
          return Script{SendBytes{head + "own "}, SendBytes{late + "rest"},
                        CloseConnection{}};
        }));
    CHECK(fleet.Send("/once/", "first").ends_with("hello"));
    CHECK(fleet.Send("/once/", "a").starts_with("HTTP/1.1 502"));
  }
}

TEST_CASE("a second answer that is cut anywhere is not relayed") {
  Fleet fleet;
  const std::string second =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
      "Request-Id: b\r\n\r\nother";
  std::size_t cut = 0;
  fleet.AddEngines("plain", 1, [&](const HttpRequest& request) {
    return Script{SendBytes{UnframedHead(IdOf(request), "text/plain") +
                            "hello" + second.substr(0, cut)},
                  CloseConnection{}};
  });
  for (cut = std::string_view("HTTP/1.1 2").size(); cut <= second.size();
       ++cut) {
    CAPTURE(cut);
    const std::string response = fleet.Send("/once/", "a");
    const bool is_own = response.ends_with("\r\n\r\nhello");
    CHECK((is_own || response.starts_with("HTTP/1.1 502")));
  }
}

TEST_CASE("an unframed body may quote a response") {
  Fleet fleet;
  const std::string_view body = GENERATE(
      "To check, send GET / and expect\r\nHTTP/1.1 200 OK\r\n"
      "Content-Type: text/plain\r\n\r\nwith a body.",
      "HTTP/1.1 421 Misdirected Request\r\nX: y\r\n\r\n is no failure.",
      "It speaks HTTP/1.1 and\r\nHTTP/1.1 4217 Request-Id: x\r\n");
  fleet.AddEngines("plain", 1, [body](const HttpRequest&) {
    return Script{
        SendBytes{UnframedHead("a", "text/plain") + std::string(body)},
        CloseConnection{}};
  });
  CHECK(fleet.Send("/once/", "a").ends_with(body));
}

TEST_CASE("an earlier refusal on a kept connection tells nothing") {
  Fleet fleet;
  const std::string_view refusal =
      GENERATE(kAnonymousRefusal, kAnonymousMisdirection);
  const milliseconds pause = GENERATE(milliseconds(0), kLate);
  CAPTURE(refusal, pause.count());
  fleet.AddEngines("plain", 1, AnswerThen([=](const HttpRequest& request) {
                     return Script{
                         SendBytes{std::string(refusal)}, Pause{pause},
                         SendBytes{MakeResponse(request, 200, "own")}};
                   }));
  CHECK(fleet.Send("/once/", "first").ends_with("hello"));
  const std::string response = fleet.Send("/once/", "a");
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with("own"));
  CHECK(fleet.Requests(0).size() == 2);
}

TEST_CASE("a request is not sent again because of an earlier refusal") {
  Fleet fleet;
  fleet.AddEngines("plain", 2, AnswerThen([](const HttpRequest&) {
                     // The engine runs the request; its answer is lost.
                     return Script{SendBytes{std::string(kAnonymousRefusal)},
                                   Pause{kLate}, CloseConnection{}};
                   }));
  // Both engines have a kept connection.
  for (int n = 0; n < 8; ++n) {
    CHECK(fleet.Send("/once/", fmt::format("first{}", n)).ends_with("hello"));
  }
  REQUIRE_FALSE(fleet.Requests(0).empty());
  REQUIRE_FALSE(fleet.Requests(1).empty());
  const std::size_t before = fleet.TotalRequests();
  CHECK(fleet.Send("/once/", "a").starts_with("HTTP/1.1 502"));
  CHECK(fleet.TotalRequests() == before + 1);
}

TEST_CASE("a success without an id is passed over on a kept connection") {
  Fleet fleet;
  fleet.AddEngines("plain", 1, AnswerThen([](const HttpRequest& request) {
                     return Script{
                         SendBytes{"HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\n"
                                   "Content-Length: 5\r\n\r\nother"},
                         SendBytes{MakeResponse(request, 200, "own")}};
                   }));
  CHECK(fleet.Send("/once/", "first").ends_with("hello"));
  CHECK(fleet.Send("/once/", "a").ends_with("own"));
}

TEST_CASE("an answer with two ids is of no request") {
  Fleet fleet;
  fleet.AddEngines("plain", 1, AnswerThen([](const HttpRequest& request) {
                     return Script{
                         SendBytes{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                                   "Request-Id: b\r\nResponse-Seal: seal\r\n"
                                   "Content-Length: 5\r\n\r\nother"},
                         SendBytes{MakeResponse(request, 200, "own")}};
                   }));
  CHECK(fleet.Send("/once/", "first").ends_with("hello"));
  CHECK(fleet.Send("/once/", "a").ends_with("own"));
}

TEST_CASE("an earlier request for a pause does not begin anew") {
  Fleet fleet;
  fleet.AddEngines(
      "plain", 1, AnswerThen([](const HttpRequest& request) {
        return Script{
            SendBytes{
                "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: b\r\n"
                "Retry-After: 5\r\nContent-Length: 0\r\n\r\n"},
            SendBytes{MakeResponse(request, 200, "own")}};
      }));
  CHECK(fleet.Send("/once/", "first").ends_with("hello"));
  CHECK(fleet.Send("/once/", "a").ends_with("own"));
  CHECK(fleet.Send("/once/", "first").ends_with("hello"));
}

TEST_CASE("a connection is kept only after an answer with an id") {
  Fleet fleet;
  fleet.AddEngines("plain", 1, [](const HttpRequest& request) {
    if (IdOf(request) == "a") {
      return Script{SendBytes{std::string(kAnonymousRefusal)}};
    }
    return Script{SendBytes{MakeResponse(request, 200, "own")}};
  });
  CHECK(fleet.Send("/once/", "a").starts_with("HTTP/1.1 503"));
  CHECK(fleet.Send("/once/", "b").ends_with("own"));
  fleet.RunOnLoop([&] { CHECK(fleet.Engine(0).Connections() >= 2); });
}

TEST_CASE("a refusal that does not say that the request has not run gets 502") {
  Fleet fleet;
  const int status = GENERATE(408, 429, 503);
  CAPTURE(status);
  fleet.AddEngines("plain", 2, [status](const HttpRequest& request) {
    return Script{SendBytes{
        MakeResponse(request, static_cast<unsigned>(status), "later")}};
  });
  CHECK(fleet.Send("/once/", "a").starts_with("HTTP/1.1 502"));
  CHECK(fleet.TotalRequests() == 1);
}

TEST_CASE("a refusal that is sent twice concerns its own request only") {
  Fleet fleet;
  fleet.AddEngines("plain", 1, [](const HttpRequest& request) {
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: a\r\n"
        "Content-Length: 0\r\n\r\n";
    if (IdOf(request) == "a") return Script{SendBytes{refusal}};
    return Script{SendBytes{refusal}, Pause{kLate},
                  SendBytes{MakeResponse(request, 200, "own")}};
  });
  CHECK(fleet.Send("/once/", "a").starts_with("HTTP/1.1 503"));
  const std::string response = fleet.Send("/once/", "b");
  CHECK(response.ends_with("own"));
  CHECK(fleet.Requests(0).size() == 2);
}

}  // namespace
}  // namespace dandelionscale::tests
