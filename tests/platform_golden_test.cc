// Whole sessions on the platform's wire, against golden files: what clients
// send and get, and what engines get.
#include <catch2/catch.hpp>
#include <regex>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Script;
using emulator::SendBytes;

constexpr std::chrono::milliseconds kQuiet(100);

std::string Printed(std::string text) {
  text = std::regex_replace(text, std::regex("\r\n"), "\n");
  text = std::regex_replace(text, std::regex("Request-Deadline: [0-9]+"),
                            "Request-Deadline: (what is left)");
  text = std::regex_replace(text, std::regex("Retry-After: [0-9.]+"),
                            "Retry-After: (seconds)");
  // How events share chunks depends on when they arrive.
  text = std::regex_replace(text, std::regex("\n[0-9a-f]+\n"), "\n");
  return std::regex_replace(text, std::regex("\n\n+"), "\n\n");
}

std::string Printed(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + "\n";
  for (const HttpHeader& field : request.headers.Fields()) {
    text += field.name + ": " + field.value + "\n";
  }
  return Printed(text + "\n" + request.body + "\n");
}

TEST_CASE("the sessions of a stream, a booking and refusals are as recorded") {
  PlatformFleet fleet(1);
  fleet.PutConfiguration(3);
  fleet.AddEngine("chat", [](const HttpRequest& request) {
    Script script = {SendBytes{MakeStreamHead(request)}};
    for (int id = 1; id <= 3; ++id) {
      script.push_back(SendBytes{MakeEventChunk(id)});
    }
    script.push_back(SendBytes{std::string(emulator::kStreamEnd)});
    return script;
  });
  fleet.AddEngine("plain", [](const HttpRequest& request) {
    if (request.body == "full") {
      return Script{SendBytes{
          "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"}};
    }
    return Script{SendBytes{
        MakeResponse(request, 201, "booked", "Instance-Load: 1,0,8\r\n")}};
  });
  fleet.WaitUntilReady(1);
  std::string record;
  const auto play = [&](const std::string& bytes) {
    const std::size_t before = fleet.TotalRequests();
    const std::string answer = fleet.Exchange(1, bytes, kQuiet);
    record += "=== client sends\n" + Printed(bytes);
    for (int engine : {0, 1}) {
      const auto requests = fleet.Requests(engine);
      if (fleet.TotalRequests() == before || requests.empty()) continue;
      const bool is_this =
          bytes.find(std::string(requests.back().headers.Find("Request-Id"))) !=
          std::string::npos;
      if (is_this) record += "=== engine gets\n" + Printed(requests.back());
    }
    record += "=== client gets\n" + Printed(answer) + "\n";
  };
  play(MakeClientRequest("POST", "/stream/flame?x=1", "session-1",
                         "Model: m\r\nToken-Count: 60,20\r\n"
                         "Prompt-Prefix: manual:40,own:20\r\nTenant: other\r\n",
                         "why is it yellow"));
  play(MakeClientRequest("POST", "/once/visit", "session-2", "", "tuesday"));
  play(MakeClientRequest("POST", "/single/visit", "session-3", "", "full"));
  play(MakeClientRequest("GET", "/nowhere/", "session-4"));
  CheckGolden("platform_session.txt", record);
}

}  // namespace
}  // namespace dandelionscale::tests
