// A router process and engines that answer before they have read the whole
// upload. An answer that only the end of the connection ends is whole only if
// the engine has ended it in order and could be sent the whole request.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::CloseConnection;
using emulator::CutKind;
using emulator::EndSending;
using emulator::MakeResponse;
using emulator::Pause;
using emulator::ReportKind;
using emulator::ResetConnection;
using emulator::Script;
using emulator::ScriptMaker;
using emulator::ScriptStep;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kReadIdleTimeout(50);
// More than the socket buffers between router and engine hold while the engine
// does not read.
constexpr std::size_t kUploadBytes = 24 * 1024 * 1024;
// Time after which the router has the first part of the answer and waits for
// the rest.
constexpr milliseconds kPartTime(150);
constexpr std::string_view kPart = "part-of-the-answer";
constexpr std::string_view kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr std::string_view kRoutes =
    R"({"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":8000,"target_latency_ms":600,"priority":0,"service":"chat","max_attempts":2,"stream_resume":true},)"
    R"({"name":"once","host":"h.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":8000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2},)"
    R"({"name":"any","host":"h.example","prefix":"/any/","kind":"idempotent","timeout_ms":8000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2})";

std::string UnframedHead(const HttpRequest& request,
                         std::string_view content_type) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
      "Content-Type: {}\r\n\r\n",
      request.headers.Find("Request-Id"), content_type);
}

// Sends a part of an answer without a length, and ends the connection.
ScriptMaker SendPart(const ScriptStep& end, milliseconds pause = kPartTime) {
  return [=](const HttpRequest& request) -> Script {
    const bool is_stream = request.target.starts_with("/stream/");
    const std::string head =
        UnframedHead(request, is_stream ? "text/event-stream" : "text/plain");
    return {SendBytes{head + std::string(is_stream ? kEvents : kPart)},
            Pause{pause}, end};
  };
}

ScriptMaker SendWhole(milliseconds pause) {
  return [=](const HttpRequest& request) -> Script {
    return {Pause{pause}, SendBytes{MakeResponse(request, 200, "whole")}};
  };
}

struct Fleet : PlatformFleet {
  explicit Fleet(int plain_engines, int routers = 1) : PlatformFleet(0) {
    this->SetMaxBodyBytes(2 * kUploadBytes);
    this->PutConfiguration(3, std::string(kRoutes));
    this->AddEarlyEngine("chat");
    for (int n = 0; n < plain_engines; ++n) this->AddEarlyEngine("plain");
    for (int n = 1; n <= routers; ++n) this->StartRouter(n);
    for (int n = 1; n <= routers; ++n) this->WaitUntilReady(n);
  }

  void AddEarlyEngine(const std::string& service) {
    const int engine = this->AddEngine(service, SendWhole(milliseconds(0)));
    this->RunOnLoop([&] {
      this->Engine(engine).AnswerBeforeBody();
      this->Engine(engine).SetReport(ReportKind::kEmpty);
    });
    ++this->engines;
  }

  void SetScripts(const ScriptMaker& maker) {
    for (int n = 0; n < this->engines; ++n) this->SetScript(n, maker);
  }

  // The first send of a request is answered by one script, the second by
  // another.
  void SetScripts(const ScriptMaker& first, const ScriptMaker& second) {
    auto sends = std::make_shared<int>(0);
    this->SetScripts([=](const HttpRequest& request) {
      return ++*sends == 1 ? first(request) : second(request);
    });
  }

  // Lets router 1 reach the engines over router 2 only.
  void LeadOverTunnel() {
    Eventually([&] { return Occurrences(this->Log(1), "peer_heard") > 0; });
    this->CutOff({1}, CutKind::kHang);
    Eventually([&] {
      this->Upload("/once/", 10);
      return Occurrences(this->Log(1), "\"reachability_lost\"") >= 2;
    });
  }

  std::string Upload(const std::string& target,
                     std::size_t bytes = kUploadBytes) {
    const std::string id = fmt::format("id{}", ++this->sent);
    return this->Exchange(
        1,
        MakeClientRequest("POST", target, id, "", std::string(bytes, 'x'),
                          milliseconds(8000)),
        kReadIdleTimeout);
  }

  int engines = 0;
  int sent = 0;
};

// Guards against a partial answer that reaches the client as a complete one.
// The reset is reported to the write of the upload; to the read that comes
// after it the connection looks as if it had ended in order.
TEST_CASE("a partial answer is not complete if the upload is cut off") {
  Fleet fleet(1);
  for (const ScriptStep& end :
       {ScriptStep(ResetConnection{}), ScriptStep(CloseConnection{})}) {
    CAPTURE(end.index());
    fleet.SetScripts(SendPart(end));
    for (const char* target : {"/once/", "/any/"}) {
      const std::string response = fleet.Upload(target);
      CAPTURE(target, response.substr(0, 300));
      CHECK(response.starts_with("HTTP/1.1 502"));
      CHECK(response.find(kPart) == std::string::npos);
    }
    const std::string stream = fleet.Upload("/stream/");
    CAPTURE(stream.substr(0, 300));
    CHECK_FALSE(stream.ends_with(kLastChunk));
  }
}

// The same without a pause: the answer and the reset may arrive together.
TEST_CASE("a partial answer followed by a reset is not complete") {
  Fleet fleet(1);
  fleet.SetScripts(SendPart(ResetConnection{}, milliseconds(1)));
  for (int n = 0; n < 20; ++n) {
    const std::string response = fleet.Upload("/once/");
    CAPTURE(response.substr(0, 300));
    CHECK(response.starts_with("HTTP/1.1 502"));
  }
}

TEST_CASE("a partial answer over a tunnel is not complete") {
  Fleet fleet(1, 2);
  fleet.LeadOverTunnel();
  fleet.SetScripts(SendWhole(milliseconds(0)));
  CHECK(fleet.Upload("/once/", 10).ends_with("whole"));
  for (const ScriptStep& end :
       {ScriptStep(ResetConnection{}), ScriptStep(CloseConnection{})}) {
    fleet.SetScripts(SendPart(end));
    for (int n = 0; n < 4; ++n) {
      const std::string response = fleet.Upload("/once/");
      CAPTURE(end.index(), response.substr(0, 300));
      CHECK(response.starts_with("HTTP/1.1 502"));
      CHECK(response.find(kPart) == std::string::npos);
    }
    CHECK_FALSE(fleet.Upload("/stream/").ends_with(kLastChunk));
  }
  // The sockets before the carrier may buffer all of these uploads; those
  // between it and the engine do not.
  constexpr std::size_t kMegabyte = 1024 * 1024;
  fleet.SetScripts(SendPart(ResetConnection{}));
  for (std::size_t size = 1; size <= 12; ++size) {
    const std::string response = fleet.Upload("/once/", size * kMegabyte);
    CAPTURE(size, response.substr(0, 300));
    CHECK(response.starts_with("HTTP/1.1 502"));
  }
}

// Guards against a carrier that confirms the end of an answer although the
// upload, all of which the router has handed over, does not reach the engine.
TEST_CASE("a carrier confirms no answer whose upload it can't pass on") {
  Fleet fleet(1, 2);
  fleet.LeadOverTunnel();
  fleet.SetScripts([&](const HttpRequest& request) {
    Script script = SendPart(EndSending{})(request);
    script.push_back(Pause{milliseconds(1500)});
    script.push_back(ResetConnection{});
    return script;
  });
  constexpr std::size_t kMegabyte = 1024 * 1024;
  for (std::size_t size = 5; size <= 12; ++size) {
    const std::string response = fleet.Upload("/once/", size * kMegabyte);
    CAPTURE(size, response.substr(0, 300));
    CHECK(response.starts_with("HTTP/1.1 502"));
  }
}

// Guards against answers that a carrier drops when the upload that it passes on
// is cut off.
TEST_CASE("an early answer with a length is complete over a tunnel") {
  Fleet fleet(1, 2);
  fleet.LeadOverTunnel();
  fleet.SetScripts([&](const HttpRequest& request) -> Script {
    return {SendBytes{MakeResponse(request, 200, "whole")}, Pause{kPartTime},
            ResetConnection{}};
  });
  for (int n = 0; n < 4; ++n) {
    CHECK(fleet.Upload("/once/").ends_with("whole"));
  }
}

TEST_CASE("a backup's partial answer is not complete") {
  Fleet fleet(2);
  fleet.SetScripts(SendWhole(milliseconds(1600)), SendPart(ResetConnection{}));
  const std::string response = fleet.Upload("/any/");
  CAPTURE(response.substr(0, 300));
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with("whole"));
  CHECK(response.find(kPart) == std::string::npos);
  CHECK(fleet.TotalRequests() == 2);
}

TEST_CASE("a partial answer is not complete while a backup is under way") {
  Fleet fleet(2);
  fleet.SetScripts(SendPart(ResetConnection{}, milliseconds(1400)),
                   SendWhole(milliseconds(1200)));
  const std::string response = fleet.Upload("/any/");
  CAPTURE(response.substr(0, 300));
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with("whole"));
  CHECK(response.find(kPart) == std::string::npos);
  CHECK(fleet.TotalRequests() == 2);
}

// Guards against the rejection of early answers of engines that read the whole
// upload nevertheless.
TEST_CASE("an early answer is complete if the engine reads the whole upload") {
  Fleet fleet(1);
  fleet.SetScripts(SendPart(EndSending{}));
  const std::string response = fleet.Upload("/once/");
  CAPTURE(response.substr(0, 300));
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with(kPart));
  CHECK(fleet.Upload("/stream/").ends_with(kLastChunk));
}

TEST_CASE("an early answer with a length is complete however the upload ends") {
  Fleet fleet(1);
  for (const ScriptStep& end :
       {ScriptStep(ResetConnection{}), ScriptStep(CloseConnection{}),
        ScriptStep(Pause{kPartTime})}) {
    CAPTURE(end.index());
    fleet.SetScripts([&](const HttpRequest& request) -> Script {
      return {SendBytes{MakeResponse(request, 200, "whole")}, Pause{kPartTime},
              end};
    });
    const std::string response = fleet.Upload("/once/");
    CAPTURE(response.substr(0, 300));
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("whole"));
  }
  // The next request does not get anything of this one from a kept connection.
  fleet.SetScripts(SendWhole(milliseconds(0)));
  CHECK(fleet.Upload("/once/", 10).ends_with("whole"));
}

}  // namespace
}  // namespace dandelionscale::tests
