// A request that a router has accepted, whole or in part, gets an answer or a
// refusal when the router stops, reloads or closes its connection.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"
#include "tests/support/test_client.h"

namespace dandelionscale::tests {
namespace {

using emulator::MakeEventChunk;
using emulator::MakeResponse;
using emulator::MakeStreamHead;
using emulator::Pause;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kStreamTime(1500);

Script AnswerStream(const HttpRequest& request) {
  return {SendBytes{MakeStreamHead(request) + MakeEventChunk(1)},
          Pause{kStreamTime},
          SendBytes{MakeEventChunk(2) + std::string(emulator::kStreamEnd)}};
}

Script AnswerOk(const HttpRequest& request) {
  return {SendBytes{MakeResponse(request, 200, "booked")}};
}

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(0) {
    this->PutConfiguration(3);
    this->AddEngine("chat", AnswerStream);
    this->plain = this->AddEngine("plain", AnswerOk);
    this->StartRouter(1);
    this->WaitUntilReady(1);
  }
  // Waits until engines have received so many requests.
  void WaitForRequests(std::size_t count) {
    Eventually([this, count] { return this->TotalRequests() == count; });
  }

  int plain = 0;  ///< Number of the engine.
};

std::string Booking(const std::string& id) {
  return MakeClientRequest("POST", "/once/", id, "", "x");
}

TEST_CASE("a kept connection's next request is judged by the limits in force") {
  constexpr std::size_t kBodyBytes = 20'000;
  Fleet fleet;
  fleet.SetMaxBodyBytes(100);
  fleet.PutConfiguration(4);
  fleet.WaitForConfiguration(1, 4);
  TestClient client(fleet);
  client.Send(Booking("first"));
  REQUIRE(client.ReadUntil("booked").ends_with("booked"));
  fleet.SetMaxBodyBytes(100'000);
  fleet.PutConfiguration(5);
  fleet.WaitForConfiguration(1, 5);
  client.Send(MakeClientRequest("POST", "/once/", "second", "",
                                std::string(kBodyBytes, 'x')));
  const std::string answer = client.ReadUntil("booked");
  CAPTURE(answer);
  CHECK(answer.ends_with("booked"));
}

}  // namespace
}  // namespace dandelionscale::tests
