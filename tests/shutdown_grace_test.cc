// A router process that shuts down while clients still send requests: each
// request that it has read gets a whole response before the process ends, or
// is refused without having been sent to an engine.
#include <fmt/format.h>
#include <signal.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <set>
#include <thread>
#include <vector>

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
using emulator::ScriptMaker;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr std::string_view kBody = "0123456789";

// A client whose request arrives in two parts.
class SlowClient {
 public:
  SlowClient(const PlatformFleet& fleet, const std::string& target,
             const std::string& id, int deadline_ms = 5000)
      : socket(this->loop) {
    this->socket.connect(fleet.ClientEndpoint(1));
    this->Write(
        fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                    "Request-Id: {}\r\nRequest-Deadline: {}\r\n"
                    "Authorization: Token k1\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    target, id, deadline_ms, kBody.size(), kBody.substr(0, 1)));
  }

  void SendRest() { this->Write(std::string(kBody.substr(1))); }

  // Returns all that the router sends until it closes the connection.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code ended;
    asio::read(this->socket, asio::dynamic_buffer(text), ended);
    return text;
  }

 private:
  void Write(const std::string& text) {
    asio::write(this->socket, asio::buffer(text));
  }

  asio::io_context loop;
  asio::ip::tcp::socket socket;
};

// Five events within a second.
Script AnswerStream(const HttpRequest& request) {
  Script script = {SendBytes{MakeStreamHead(request)}};
  for (int id = 1; id <= 5; ++id) {
    script.push_back(Pause{milliseconds(200)});
    script.push_back(SendBytes{MakeEventChunk(id)});
  }
  script.push_back(SendBytes{std::string(emulator::kStreamEnd)});
  return script;
}

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(1) { this->PutConfiguration(3); }

  // Waits until so long after the router began to shut down.
  void WaitUntil(milliseconds after_signal) {
    std::this_thread::sleep_until(this->signalled_at + after_signal);
  }

  void ShutDown() {
    this->Signal(1, SIGTERM);
    this->signalled_at = std::chrono::steady_clock::now();
  }

  std::chrono::steady_clock::time_point signalled_at;
};

void CheckRefused(const std::string& response) {
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After: ") != std::string::npos);
  CHECK(response.find("Connection: close") != std::string::npos);
}

// Guards against requests that are passed on late in the grace and cut off at
// its end. The grace is 8 s; the load balancer has left the router after 3 s.
TEST_CASE("a request that comes late in the grace is answered or refused") {
  Fleet fleet;
  const int chat = fleet.AddEngine("chat", AnswerStream);
  const int plain = fleet.AddEngine("plain", [](const HttpRequest& request) {
    return Script{Pause{milliseconds(300)},
                  SendBytes{MakeResponse(request, 200, "booked")}};
  });
  fleet.WaitUntilReady(1);
  SlowClient early_stream(fleet, "/stream/", "early-stream");
  SlowClient late_stream(fleet, "/stream/", "late-stream");
  SlowClient short_stream(fleet, "/stream/", "short-stream", 1500);
  SlowClient booking(fleet, "/once/", "booking");
  SlowClient late_booking(fleet, "/once/", "late-booking");
  fleet.ShutDown();
  fleet.WaitUntil(milliseconds(1000));
  early_stream.SendRest();
  fleet.WaitUntil(milliseconds(3500));
  late_stream.SendRest();
  short_stream.SendRest();
  booking.SendRest();
  const auto is_whole_stream = [](const std::string& response) {
    return response.starts_with("HTTP/1.1 200") &&
           response.ends_with(emulator::kStreamEnd);
  };
  CHECK(is_whole_stream(early_stream.ReadAll()));
  CheckRefused(late_stream.ReadAll());
  CHECK(is_whole_stream(short_stream.ReadAll()));
  CHECK(booking.ReadAll().ends_with("booked"));
  fleet.WaitUntil(milliseconds(6300));
  late_booking.SendRest();
  CheckRefused(late_booking.ReadAll());
  CHECK(fleet.WaitForExit(1) == 0);
  for (const int engine : {chat, plain}) {
    for (const HttpRequest& request : fleet.Requests(engine)) {
      const std::string_view id = request.headers.Find("Request-Id");
      CHECK(id != "late-stream");
      CHECK(id != "late-booking");
    }
  }
}

TEST_CASE(
    "a request without an answer at the end of the grace gets a failure") {
  Fleet fleet;
  constexpr int kDeadlineMs = 20'000;
  fleet.PutConfiguration(
      4,
      R"({"name":"n","host":"h.example","prefix":"/slow/","kind":"non_idempotent","timeout_ms":20000,"service":"plain","max_attempts":2})");
  fleet.AddEngine("plain", [](const HttpRequest&) {
    return Script{Pause{std::chrono::seconds(30)}};
  });
  fleet.WaitUntilReady(1);
  SlowClient before(fleet, "/slow/", "before", kDeadlineMs);
  SlowClient after(fleet, "/slow/", "after", kDeadlineMs);
  before.SendRest();
  Eventually([&] { return fleet.TotalRequests() == 1; });
  fleet.ShutDown();
  fleet.WaitUntil(milliseconds(1000));
  after.SendRest();
  CHECK(before.ReadAll().starts_with("HTTP/1.1 504"));
  CHECK(after.ReadAll().starts_with("HTTP/1.1 504"));
  CHECK(fleet.WaitForExit(1) == 0);
}

constexpr milliseconds kTokenTime(25);
constexpr int kPatientDeadlineMs = 15'000;
constexpr std::string_view kLongRoutes =
    R"({"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":0,"service":"chat","max_attempts":2,"stream_resume":true},)"
    R"({"name":"once","host":"h.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":15000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2})";

// A stream of as many events as the request states in `Output`.
Script AnswerOutput(const HttpRequest& request) {
  const int output = std::stoi(std::string(request.headers.Find("Output")));
  Script script = {Pause{milliseconds(60)}, SendBytes{MakeStreamHead(request)}};
  for (int id = 1; id <= output; ++id) {
    script.push_back(SendBytes{MakeEventChunk(id)});
    script.push_back(Pause{kTokenTime});
  }
  script.push_back(SendBytes{std::string(emulator::kStreamEnd)});
  return script;
}

Script AnswerBooking(const HttpRequest& request) {
  return {Pause{milliseconds(50)},
          SendBytes{MakeResponse(request, 200, "booked")}};
}

struct StreamLength {
  int hint = 0;
  int output = 0;
};

// Routers and clients with streams of different lengths.
struct MixedFleet : PlatformFleet {
  explicit MixedFleet(int routers) : PlatformFleet(0) {
    this->SetMaxSlots(100);
    this->PutConfiguration(3, std::string(kLongRoutes));
    this->chat = this->AddEngine("chat", AnswerOutput);
    this->AddEngine("plain", AnswerBooking);
    for (int n = 1; n <= routers; ++n) this->StartRouter(n);
    for (int n = 1; n <= routers; ++n) this->WaitUntilReady(n);
  }

  std::string Stream(int router, const std::string& id, StreamLength length) {
    const std::string lines =
        fmt::format("Token-Count: 50,400\r\nLength-Hint: {}\r\nOutput: {}\r\n",
                    length.hint, length.output);
    return this->Exchange(
        router,
        MakeClientRequest("POST", "/stream/", id, lines, "body of " + id,
                          milliseconds(kPatientDeadlineMs)),
        milliseconds(100));
  }

  std::future<std::string> BeginStream(int router, const std::string& id,
                                       StreamLength length) {
    return std::async(std::launch::async, [this, router, id, length] {
      return this->Stream(router, id, length);
    });
  }

  // Lets a router answer streams whose hints are wrong by a factor of up to 2.
  void Teach(int router) {
    std::vector<std::future<std::string>> streams;
    for (int n = 0; n < 24; ++n) {
      const int hint = 8 + n % 3;
      const int output = n % 2 == 0 ? hint * 2 : hint / 2;
      streams.push_back(this->BeginStream(
          router, fmt::format("teach-{}-{}", router, n), {hint, output}));
    }
    for (auto& stream : streams) CHECK(stream.get().ends_with(kLastChunk));
  }

  // The ids of the streams that the engine has got.
  std::set<std::string> SentStreams() {
    std::set<std::string> ids;
    for (const HttpRequest& request : this->Requests(this->chat)) {
      ids.emplace(request.headers.Find("Request-Id"));
    }
    return ids;
  }

  int chat = 0;
};

// 400 tokens take 10 s, longer than any router has left after SIGTERM.
constexpr StreamLength kLongStream = {300, 400};
// Twice as long as its hint.
constexpr StreamLength kShortStream = {10, 20};

// Guards against streams that a stopping router accepts and then cuts, and
// against refusals of those that it could finish. The routers are stopped one
// after the other; a client that is refused goes to the other router.
TEST_CASE("no stream is cut by a rolling stop, and short ones are accepted") {
  MixedFleet fleet(2);
  for (int router = 1; router <= 2; ++router) fleet.Teach(router);
  struct LongStream {
    std::string id;
    std::future<std::string> refused;
  };
  for (int router = 1; router <= 2; ++router) {
    // 3.4 s, accepted before the signal although only its hint fits.
    auto earlier =
        fleet.BeginStream(router, fmt::format("earlier-{}", router), {50, 130});
    std::this_thread::sleep_for(milliseconds(300));
    fleet.Signal(router, SIGTERM);
    const auto signalled_at = std::chrono::steady_clock::now();
    std::vector<std::future<std::string>> streams;
    std::vector<LongStream> long_streams;
    // Clients arrive until the load balancer has left the router.
    for (int n = 0; n < 12; ++n) {
      std::this_thread::sleep_until(signalled_at + milliseconds(50) +
                                    n * milliseconds(200));
      const std::string id = fmt::format("{}-{}", router, n);
      streams.push_back(fleet.BeginStream(router, "short-" + id, kShortStream));
      if (n % 3 != 0) continue;
      long_streams.push_back({"long-" + id, {}});
      LongStream& added = long_streams.back();
      added.refused = fleet.BeginStream(router, added.id, kLongStream);
    }
    for (LongStream& stream : long_streams) {
      CheckRefused(stream.refused.get());
      CHECK_FALSE(fleet.SentStreams().contains(stream.id));
      streams.push_back(
          fleet.BeginStream(3 - router, stream.id + "-again", kLongStream));
    }
    CHECK(earlier.get().ends_with(kLastChunk));
    for (auto& stream : streams) {
      const std::string response = stream.get();
      CAPTURE(response.substr(0, 200));
      CHECK(response.starts_with("HTTP/1.1 200"));
      CHECK(response.ends_with(kLastChunk));
    }
    CHECK(fleet.WaitForExit(router) == 0);
    const std::string log = fleet.Log(router);
    CHECK(Occurrences(log, R"("reason":"shutting_down")") == 4);
    CHECK(Occurrences(log, R"("outcome":"stream_broken")") == 0);
    CHECK(log.find(R"("unfinished":0)") != std::string::npos);
    fleet.StartRouter(router);
    fleet.WaitUntilReady(router);
  }
}

// Guards against refusals only because no estimate exists. A router that has
// seen no answers of a service takes all requests while the load balancer still
// sends clients, and later those whose own timeout ends in time.
TEST_CASE("a service never seen before is served while the balancer reacts") {
  MixedFleet fleet(1);
  auto before = fleet.BeginStream(1, "before", kShortStream);
  fleet.Signal(1, SIGTERM);
  CHECK(fleet.Stream(1, "first", kShortStream).ends_with(kLastChunk));
  CHECK(fleet.Stream(1, "long-hint", {300, 20}).ends_with(kLastChunk));
  CHECK(before.get().ends_with(kLastChunk));
  CHECK(fleet.WaitForExit(1) == 0);
  CHECK(Occurrences(fleet.Log(1), R"("reason":"shutting_down")") == 0);
}

// Guards against refusals late in the grace of calls that take a few
// milliseconds, only because their clients would wait longer.
TEST_CASE("a call that fits is answered late in the grace, another refused") {
  Fleet fleet;
  fleet.PutConfiguration(4, std::string(kLongRoutes));
  fleet.AddEngine("chat", AnswerStream);
  fleet.AddEngine("plain", AnswerBooking);
  fleet.WaitUntilReady(1);
  fleet.WaitForConfiguration(1, 4);
  for (int n = 0; n < 12; ++n) {
    const std::string response = fleet.Exchange(
        1, MakeClientRequest("POST", "/once/", fmt::format("teach{}", n)),
        milliseconds(10));
    CHECK(response.ends_with("booked"));
  }
  SlowClient booking(fleet, "/once/", "booking");
  SlowClient late_booking(fleet, "/once/", "late-booking");
  SlowClient stream(fleet, "/stream/", "stream");
  fleet.ShutDown();
  fleet.WaitUntil(milliseconds(6300));
  booking.SendRest();
  stream.SendRest();
  CHECK(booking.ReadAll().ends_with("booked"));
  // Nothing is known of streams.
  CheckRefused(stream.ReadAll());
  fleet.WaitUntil(milliseconds(7480));
  late_booking.SendRest();
  CheckRefused(late_booking.ReadAll());
  CHECK(fleet.WaitForExit(1) == 0);
}

// Guards against calls that are taken in time, turned away by an engine, and
// then sent to another one too late, so that their clients get 504 for what may
// have run.
TEST_CASE("a call that an engine turns away late in the grace is refused") {
  Fleet fleet;
  fleet.PutConfiguration(4, std::string(kLongRoutes));
  fleet.AddEngine("chat", AnswerStream);
  const ScriptMaker answer = [](const HttpRequest& request) -> Script {
    if (request.headers.Find("Request-Id") == "turned-away") {
      return {Pause{milliseconds(900)},
              SendBytes{MakeResponse(request, 503, "", "Not-Executed: 1\r\n")}};
    }
    return {Pause{milliseconds(400)},
            SendBytes{MakeResponse(request, 200, "booked")}};
  };
  const int first = fleet.AddEngine("plain", answer);
  const int second = fleet.AddEngine("plain", answer);
  fleet.WaitUntilReady(1);
  fleet.WaitForConfiguration(1, 4);
  std::vector<std::future<std::string>> calls;
  for (int n = 0; n < 10; ++n) {
    calls.push_back(std::async(std::launch::async, [&fleet, n] {
      return fleet.Exchange(
          1, MakeClientRequest("POST", "/once/", fmt::format("teach{}", n)),
          milliseconds(10));
    }));
  }
  for (auto& call : calls) CHECK(call.get().ends_with("booked"));
  SlowClient late(fleet, "/once/", "turned-away");
  fleet.ShutDown();
  fleet.WaitUntil(milliseconds(6300));
  late.SendRest();
  CheckRefused(late.ReadAll());
  CHECK(fleet.WaitForExit(1) == 0);
  int sends = 0;
  for (const int engine : {first, second}) {
    for (const HttpRequest& request : fleet.Requests(engine)) {
      if (request.headers.Find("Request-Id") == "turned-away") ++sends;
    }
  }
  CHECK(sends == 1);
  CHECK(fleet.Log(1).find(R"("reason":"shutting_down")") != std::string::npos);
}

}  // namespace
}  // namespace dandelionscale::tests
