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

std::string Stream(const std::string& id) {
  return MakeClientRequest("POST", "/stream/", id, "", "x");
}

std::string Booking(const std::string& id) {
  return MakeClientRequest("POST", "/once/", id, "", "x");
}

// A request whose body lacks its last bytes.
std::string IncompleteBooking() {
  return MakeClientRequest("POST", "/once/", "incomplete",
                           "Content-Length: 10\r\n") +
         "123";
}

bool SaysClose(const std::string& response) {
  return response.find("Connection: close") != std::string::npos;
}

enum class SecondRequest { kWithFirst, kAfterFirst };

// The second request lies behind a stream that has begun when the router gets
// a signal.
std::string ReadBothAnswers(Fleet& fleet, SecondRequest second, int signal) {
  TestClient client(fleet);
  if (second == SecondRequest::kWithFirst) {
    client.Send(Stream("first") + Booking("second"));
    fleet.WaitForRequests(1);
  } else {
    client.Send(Stream("first"));
    fleet.WaitForRequests(1);
    client.Send(Booking("second"));
  }
  std::this_thread::sleep_for(milliseconds(300));
  fleet.Signal(1, signal);
  return client.ReadUntil("booked");
}

TEST_CASE("a request behind a stream is answered when the router stops") {
  const auto second =
      GENERATE(SecondRequest::kWithFirst, SecondRequest::kAfterFirst);
  Fleet fleet;
  const std::string answers = ReadBothAnswers(fleet, second, SIGTERM);
  CAPTURE(answers, fleet.Log(1));
  CHECK(Occurrences(answers, "data: piece") == 2);
  CHECK(answers.ends_with("booked"));
  // Only the second one, which began while the router drained.
  CHECK(Occurrences(answers, "Connection: close") == 1);
  CHECK(fleet.Requests(fleet.plain).size() == 1);
  CHECK(fleet.WaitForExit(1) == 0);
}

TEST_CASE("a request behind a stream is answered when the router reloads") {
  Fleet fleet;
  const std::string answers =
      ReadBothAnswers(fleet, SecondRequest::kAfterFirst, SIGHUP);
  CAPTURE(answers, fleet.Log(1));
  CHECK(answers.ends_with("booked"));
}

TEST_CASE("several requests behind a stream are answered at a stop") {
  Fleet fleet;
  TestClient client(fleet);
  client.Send(Stream("1") + Booking("2") + Booking("3") + Booking("4"));
  fleet.WaitForRequests(1);
  fleet.Signal(1, SIGTERM);
  const std::string answers = client.ReadAll();
  CAPTURE(answers, fleet.Log(1));
  CHECK(Occurrences(answers, "booked") == 3);
  CHECK(Occurrences(answers, "Connection: close") == 1);
  CHECK(fleet.WaitForExit(1) == 0);
}

// A connection that has served a request, and whose next one is read in the
// same step of the event loop in which idle connections are closed.
TEST_CASE("a request that was just read is not closed as idle") {
  constexpr int kClients = 5;
  Fleet fleet;
  std::vector<std::unique_ptr<TestClient>> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.push_back(std::make_unique<TestClient>(fleet));
    clients.back()->Send(Booking(fmt::format("first-{}", n)));
    const std::string answer = clients.back()->ReadUntil("booked");
    CAPTURE(n, answer, fleet.Log(1));
    REQUIRE(answer.ends_with("booked"));
  }
  fleet.Signal(1, SIGTERM);
  // Idle connections are closed from 2.8 s after the signal on.
  std::this_thread::sleep_for(milliseconds(2000));
  fleet.Signal(1, SIGSTOP);
  std::this_thread::sleep_for(milliseconds(100));
  for (int n = 0; n < kClients; ++n) {
    clients[static_cast<std::size_t>(n)]->Send(
        Booking(fmt::format("second-{}", n)));
  }
  std::this_thread::sleep_for(milliseconds(1100));
  fleet.Signal(1, SIGCONT);
  for (const auto& client : clients) {
    CHECK(client->ReadUntil("booked").ends_with("booked"));
  }
  CAPTURE(fleet.Log(1));
  CHECK(fleet.Requests(fleet.plain).size() == 2 * kClients);
  CHECK(fleet.WaitForExit(1) == 0);
}

TEST_CASE("a request that is not complete at the end of a stop is refused") {
  Fleet fleet;
  TestClient client(fleet);
  client.Send(IncompleteBooking());
  fleet.Signal(1, SIGTERM);
  const std::string answer = client.ReadAll();
  CAPTURE(answer, fleet.Log(1));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(SaysClose(answer));
  CHECK(fleet.TotalRequests() == 0);
  CHECK(fleet.WaitForExit(1) == 0);
}

TEST_CASE("a request that takes too long to arrive is told so") {
  Fleet fleet;
  TestClient client(fleet);
  client.Send("POST /once/ HTTP/1.1\r\nHost: h.example\r\n");
  const std::string answer = client.ReadAll();
  CAPTURE(answer, fleet.Log(1));
  CHECK(answer.starts_with("HTTP/1.1 408"));
  CHECK(SaysClose(answer));
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

TEST_CASE("bytes behind the last request don't cut its answer off") {
  constexpr std::size_t kAnswerBytes = 12 * 1024 * 1024;
  Fleet fleet;
  const std::string body = fmt::format("{}end", std::string(kAnswerBytes, 'x'));
  fleet.SetScript(fleet.plain, [&body](const HttpRequest& request) {
    return Script{SendBytes{MakeResponse(request, 200, body)}};
  });
  TestClient client(fleet);
  client.Send(MakeClientRequest("GET", "/any/", "1", "Connection: close\r\n"));
  fleet.WaitForRequests(1);
  client.Send(MakeClientRequest("GET", "/any/", "2"));
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(client.ReadAll().ends_with("end"));
}

TEST_CASE("a booking is answered though its client sends no more") {
  Fleet fleet;
  fleet.SetScript(fleet.plain, [](const HttpRequest& request) {
    return Script{Pause{milliseconds(300)},
                  SendBytes{MakeResponse(request, 200, "booked")}};
  });
  TestClient client(fleet);
  client.Send(Booking("id"));
  fleet.WaitForRequests(1);
  client.CloseSending();
  const std::string answer = client.ReadAll();
  CAPTURE(answer, fleet.Log(1));
  CHECK(answer.ends_with("booked"));
  CHECK(fleet.Requests(fleet.plain).size() == 1);
}

TEST_CASE("a booking whose client sends no more at once gets a response") {
  Fleet fleet;
  TestClient client(fleet);
  client.Send(Booking("id"));
  client.CloseSending();
  const std::string answer = client.ReadAll();
  const std::size_t runs = fleet.Requests(fleet.plain).size();
  CAPTURE(answer, fleet.Log(1));
  if (runs == 0) CHECK(answer.starts_with("HTTP/1.1 503"));
  if (runs > 0) CHECK(answer.ends_with("booked"));
}

TEST_CASE("a waiting booking is refused when its client sends no more") {
  Fleet fleet;
  fleet.SetScript(fleet.plain, [](const HttpRequest&) {
    return Script{Pause{std::chrono::seconds(5)}};
  });
  std::vector<std::unique_ptr<TestClient>> others;
  // The engine has 8 slots, and a queue.
  constexpr int kPlaced = 10;
  for (int n = 0; n < kPlaced; ++n) {
    others.push_back(std::make_unique<TestClient>(fleet));
    others.back()->Send(Booking(fmt::format("other-{}", n)));
  }
  fleet.WaitForRequests(kPlaced);
  TestClient client(fleet);
  client.Send(Booking("id"));
  client.CloseSending();
  const std::string answer = client.ReadAll();
  CAPTURE(answer, fleet.Log(1));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(fleet.Requests(fleet.plain).size() == kPlaced);
}

}  // namespace
}  // namespace dandelionscale::tests
