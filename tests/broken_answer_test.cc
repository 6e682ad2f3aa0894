// A router process and engines that break off: in the middle of a stream, whose
// next engine answers with something else, and in the middle of a head. The
// client finds neither an error in its stream nor a part as a whole answer.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/support/platform_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::CloseConnection;
using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::ResetConnection;
using emulator::Script;
using emulator::ScriptMaker;
using emulator::ScriptStep;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(30);
// In no stream.
constexpr std::string_view kErrorText = "error-of-the-engine";

enum class Framing { kLength, kChunked, kUntilClose };

struct Answer {
  std::string status_line;  ///< Without the version.
  std::string fields;       ///< Each with its line end.
};

std::vector<Answer> OtherAnswers() {
  return {
      {"500 Error", "Content-Type: text/plain\r\n"},
      {"500 Error", "Content-Type: text/event-stream\r\n"},
      {"429 Busy", "Content-Type: text/plain\r\n"},
      {"503 Full", "Not-Executed: 1\r\n"},
      {"404 Nothing", "Content-Type: text/plain\r\n"},
      {"206 Part", "Content-Type: text/plain\r\n"},
      {"302 Elsewhere", "Location: /x\r\n"},
      {"200 OK", "Content-Type: application/json\r\n"},
      {"200 OK", ""},
  };
}

std::string MakeAnswer(const HttpRequest& request, const Answer& answer,
                       Framing framing) {
  const std::string head = fmt::format(
      "HTTP/1.1 {}\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n{}",
      answer.status_line, request.headers.Find("Request-Id"), answer.fields);
  switch (framing) {
    case Framing::kLength:
      return fmt::format("{}Content-Length: {}\r\n\r\n{}", head,
                         kErrorText.size(), kErrorText);
    case Framing::kChunked:
      return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{}",
                         head, kErrorText.size(), kErrorText,
                         emulator::kStreamEnd);
    case Framing::kUntilClose:
      return head + "\r\n" + std::string(kErrorText);
  }
  return head;
}

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(1) {
    this->PutConfiguration(3);
    for (int n = 0; n < 2; ++n) {
      this->AddEngine("chat", [](const HttpRequest&) { return Script{}; });
    }
    this->AddEngine("plain", [](const HttpRequest&) { return Script{}; });
    this->WaitUntilReady(1);
  }

  void SetScripts(const emulator::ScriptMaker& maker) {
    for (int n = 0; n < 3; ++n) this->SetScript(n, maker);
  }

  std::string Send(const std::string& target, const std::string& more = "") {
    const std::string id = fmt::format("id{}", ++this->sent);
    return this->Exchange(
        1, MakeClientRequest("POST", target, id, more, "body of " + id),
        kReadIdleTimeout);
  }

  int sent = 0;
};

// Begins a stream and breaks off; answers what resumes it with `answer`.
emulator::ScriptMaker BreakOffThen(const std::string& begun,
                                   const Answer& answer, Framing framing) {
  return [=](const HttpRequest& request) -> Script {
    if (request.headers.Find("Last-Event-Id").empty()) {
      return {SendBytes{MakeStreamHead(request) + begun}, CloseConnection{}};
    }
    return {SendBytes{MakeAnswer(request, answer, framing)}, CloseConnection{}};
  };
}

void CheckBrokenStream(const std::string& response) {
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("data: piece 2") != std::string::npos);
  CHECK(response.find(kErrorText) == std::string::npos);
  CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
  CHECK_FALSE(response.ends_with(kLastChunk));
}

TEST_CASE("another answer does not go on with a stream that has begun") {
  Fleet fleet;
  const std::string events = MakeEventChunk(1) + MakeEventChunk(2);
  const std::string inside_event = events + "8\r\nid: 3\nda\r\n";
  for (const std::string& begun : {events, inside_event}) {
    for (const Answer& answer : OtherAnswers()) {
      for (Framing framing :
           {Framing::kLength, Framing::kChunked, Framing::kUntilClose}) {
        CAPTURE(answer.status_line, answer.fields, static_cast<int>(framing));
        fleet.SetScripts(BreakOffThen(begun, answer, framing));
        CheckBrokenStream(fleet.Send("/stream/"));
      }
    }
  }
}

TEST_CASE("an empty answer or an interim one does not go on with a stream") {
  Fleet fleet;
  const std::string events = MakeEventChunk(1) + MakeEventChunk(2);
  for (const std::string answer :
       {"HTTP/1.1 204 Empty\r\nRequest-Id: {0}\r\n\r\n",
        "HTTP/1.1 304 Same\r\nRequest-Id: {0}\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 500 Error\r\nRequest-Id: "
        "{0}\r\nContent-Length: 2\r\n\r\nno"}) {
    CAPTURE(answer);
    fleet.SetScripts([&](const HttpRequest& request) -> Script {
      if (request.headers.Find("Last-Event-Id").empty()) {
        return {SendBytes{MakeStreamHead(request) + events}, CloseConnection{}};
      }
      const std::string id(request.headers.Find("Request-Id"));
      return {SendBytes{fmt::format(fmt::runtime(answer), id)},
              CloseConnection{}};
    });
    CheckBrokenStream(fleet.Send("/stream/"));
  }
}

TEST_CASE("before the first event another answer is passed on as what it is") {
  Fleet fleet;
  for (const Answer& answer : OtherAnswers()) {
    for (Framing framing : {Framing::kLength, Framing::kChunked}) {
      CAPTURE(answer.status_line, answer.fields, static_cast<int>(framing));
      fleet.SetScripts(
          [&, n = 0](const HttpRequest& request) mutable -> Script {
            if (n++ == 0) {
              return {SendBytes{MakeStreamHead(request)}, CloseConnection{}};
            }
            return {SendBytes{MakeAnswer(request, answer, framing)}};
          });
      const std::string response = fleet.Send("/stream/");
      CAPTURE(response);
      const bool has_text = response.find(kErrorText) != std::string::npos;
      const bool has_status =
          response.starts_with("HTTP/1.1 " + answer.status_line.substr(0, 3));
      CHECK(has_text <= has_status);
      CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
    }
  }
}

TEST_CASE("a client's own resumption gets no stream of another answer") {
  Fleet fleet;
  for (const Answer& answer : OtherAnswers()) {
    CAPTURE(answer.status_line, answer.fields);
    fleet.SetScripts([&](const HttpRequest& request) -> Script {
      return {SendBytes{MakeAnswer(request, answer, Framing::kLength)}};
    });
    const std::string response = fleet.Send("/stream/", "Last-Event-Id: 2\r\n");
    CAPTURE(response);
    // The engine's own failure keeps its type.
    const bool may_be_event_stream =
        answer.fields.find("event-stream") != std::string::npos &&
        response.starts_with("HTTP/1.1 500");
    const bool is_event_stream =
        response.find("text/event-stream") != std::string::npos;
    CHECK((may_be_event_stream || !is_event_stream));
  }
}

// The whole head of an answer of the engine.
std::string PlainHead(const HttpRequest& request) {
  const std::string answer = MakeResponse(request, 200, "whole");
  return answer.substr(0, answer.find("\r\n\r\n") + 4);
}

void CheckNoSuccess(const std::string& response) {
  CAPTURE(response);
  CHECK_FALSE(response.starts_with("HTTP/1.1 2"));
}

void PlayCutHeads(const ScriptStep& end, bool on_kept_connection) {
  Fleet fleet;
  const HttpRequest some;
  const std::size_t size = PlainHead(some).size();
  for (std::size_t cut = 0; cut <= size; ++cut) {
    CAPTURE(cut);
    if (on_kept_connection) {
      fleet.SetScripts([](const HttpRequest& request) -> Script {
        return {SendBytes{MakeResponse(request, 200, "whole")}};
      });
      CHECK(fleet.Send("/any/").starts_with("HTTP/1.1 200"));
    }
    fleet.SetScripts([&](const HttpRequest& request) -> Script {
      return {SendBytes{PlainHead(request).substr(0, cut)}, end};
    });
    CheckNoSuccess(fleet.Send("/once/"));
  }
}

TEST_CASE("a head that is cut off by a close is no answer") {
  PlayCutHeads(CloseConnection{}, false);
}

TEST_CASE("a head that is cut off by a reset is no answer") {
  PlayCutHeads(ResetConnection{}, false);
}

TEST_CASE("a head that is cut off on a kept connection is no answer") {
  PlayCutHeads(CloseConnection{}, true);
}

TEST_CASE("a head that is cut off and followed by an answer is no answer") {
  Fleet fleet;
  const HttpRequest some;
  const std::size_t size = PlainHead(some).size();
  for (const std::string other_id : {"", "other"}) {
    for (std::size_t cut = 1; cut < size; ++cut) {
      CAPTURE(cut, other_id);
      fleet.SetScripts([&](const HttpRequest& request) -> Script {
        HttpRequest following = request;
        if (!other_id.empty()) {
          following.headers = HttpHeaders();
          following.headers.Add("Request-Id", other_id);
        }
        return {SendBytes{PlainHead(request).substr(0, cut) +
                          MakeResponse(following, 200, "following")},
                CloseConnection{}};
      });
      CheckNoSuccess(fleet.Send("/once/"));
    }
  }
}

TEST_CASE("a stream whose head is cut off is no stream") {
  Fleet fleet;
  const HttpRequest some;
  const std::size_t size = MakeStreamHead(some).size();
  for (std::size_t cut = 0; cut < size; ++cut) {
    CAPTURE(cut);
    fleet.SetScripts([&](const HttpRequest& request) -> Script {
      return {SendBytes{MakeStreamHead(request).substr(0, cut)},
              CloseConnection{}};
    });
    CheckNoSuccess(fleet.Send("/stream/"));
  }
}

// Heads with a status that HTTP doesn't have, and such a head before a valid
// one, which looks like an interim response.
std::vector<std::string> InvalidHeads() {
  std::vector<std::string> heads;
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    heads.push_back(
        fmt::format("HTTP/1.1 {} Odd\r\nRequest-Id: {{0}}\r\n"
                    "Response-Seal: seal\r\n",
                    status));
  }
  const std::vector<std::string> statuses = heads;
  for (const std::string& head : statuses) {
    heads.push_back(head +
                    "\r\nHTTP/1.1 200 OK\r\nRequest-Id: {0}\r\n"
                    "Response-Seal: seal\r\n");
  }
  heads.push_back("HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: {0}\r\n");
  return heads;
}

std::string CompleteHead(const HttpRequest& request, std::string head) {
  const std::string_view id = request.headers.Find("Request-Id");
  for (auto at = head.find("{0}"); at != std::string::npos;
       at = head.find("{0}")) {
    head.replace(at, 3, id);
  }
  return head;
}

std::string MakeInvalidAnswer(const HttpRequest& request,
                              const std::string& head, Framing framing) {
  const std::string complete = CompleteHead(request, head);
  switch (framing) {
    case Framing::kLength:
      return fmt::format("{}Content-Length: {}\r\n\r\n{}", complete,
                         kErrorText.size(), kErrorText);
    case Framing::kChunked:
      return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{}",
                         complete, kErrorText.size(), kErrorText,
                         emulator::kStreamEnd);
    case Framing::kUntilClose:
      return complete + "\r\n" + std::string(kErrorText);
  }
  return complete;
}

// Guards against answers with a status that means nothing to a client.
TEST_CASE("a response with a status outside of 100 to 599 is no answer") {
  Fleet fleet;
  for (const std::string& head : InvalidHeads()) {
    for (Framing framing :
         {Framing::kLength, Framing::kChunked, Framing::kUntilClose}) {
      CAPTURE(head, static_cast<int>(framing));
      fleet.SetScripts([&](const HttpRequest& request) -> Script {
        return {SendBytes{MakeInvalidAnswer(request, head, framing)},
                CloseConnection{}};
      });
      for (const char* target : {"/once/", "/any/", "/stream/"}) {
        const std::string response = fleet.Send(target);
        CAPTURE(target, response);
        CHECK(response.starts_with("HTTP/1.1 502"));
        CHECK(response.find(kErrorText) == std::string::npos);
        CHECK(response.find("Retry-After") == std::string::npos);
      }
    }
  }
}

TEST_CASE("what may have run is not sent again after an invalid status") {
  Fleet fleet;
  fleet.AddEngine("plain", [](const HttpRequest&) { return Script{}; });
  fleet.WaitUntilReady(1);
  const ScriptMaker answer = [](const HttpRequest& request) -> Script {
    return {SendBytes{MakeInvalidAnswer(
        request, "HTTP/1.1 000 Odd\r\nRequest-Id: {0}\r\n", Framing::kLength)}};
  };
  fleet.SetScripts(answer);
  fleet.SetScript(3, answer);
  CHECK(fleet.Send("/once/").starts_with("HTTP/1.1 502"));
  CHECK(fleet.TotalRequests() == 1);
}

TEST_CASE("an invalid status does not go on with a stream that has begun") {
  Fleet fleet;
  const std::string events = MakeEventChunk(1) + MakeEventChunk(2);
  for (const std::string& head : InvalidHeads()) {
    CAPTURE(head);
    fleet.SetScripts([&](const HttpRequest& request) -> Script {
      if (request.headers.Find("Last-Event-Id").empty()) {
        return {SendBytes{MakeStreamHead(request) + events}, CloseConnection{}};
      }
      return {SendBytes{MakeInvalidAnswer(request, head, Framing::kLength)},
              CloseConnection{}};
    });
    CheckBrokenStream(fleet.Send("/stream/"));
  }
}

}  // namespace
}  // namespace dandelionscale::tests
