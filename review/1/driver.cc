// Engines send a few answers without a length, which end with their connection.
// The answers quote HTTP messages, as a record of a job does. Each client must
// get the whole body of its answer, or a failure.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <map>
#include <memory>

#include "../common/site.h"

namespace {

using namespace dandelionscale;          // NOLINT: a program's main file
using namespace dandelionscale::review;  // NOLINT

constexpr int kEngines = 4;
constexpr int kRouters = 8;
// Some 43 requests a second, as at the site, in clumps of three.
constexpr int kClumps = 500;
constexpr int kClumpSize = 3;
constexpr Duration kClumpPause = std::chrono::milliseconds(70);
// Half of the engines send each twentieth answer without a length.
constexpr int kUnframedEngines = 2;
constexpr int kUnframedEach = 20;
// All engines close the connection after some of their other answers.
constexpr int kCloseEach = 9;
constexpr Duration kWork = std::chrono::milliseconds(60);

// What the booking service has on record of a parts order.
std::string MakeRecord(std::string_view id) {
  return fmt::format(
      "Record of callout {0}\n"
      "09:14 order to the supplier:\n"
      "POST /orders HTTP/1.1\n"
      "Host: parts.example\n"
      "\n"
      "09:14 the supplier's answer:\n"
      "HTTP/1.1 201 Created\n"
      "Request-Id: req-77f1{0}\n"
      "Location: /orders/{0}\n"
      "\n"
      "09:15 two nozzle sets ordered, delivery tomorrow before noon\n"
      "09:16 technician booked for tomorrow 14:00\n",
      id);
}

emulator::Script MakeUnframedAnswer(const HttpRequest& request,
                                    const std::string& body) {
  emulator::Script script;
  script.push_back(emulator::Pause{kWork});
  script.push_back(emulator::SendBytes{
      fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
                  "Content-Type: text/plain\r\nConnection: close\r\n\r\n{}",
                  request.headers.Find("Request-Id"), body)});
  script.push_back(emulator::CloseConnection{});
  return script;
}

// The engine keeps idle connections for two seconds.
emulator::Script MakeFramedAnswer(const HttpRequest& request,
                                  const std::string& body, bool closes) {
  emulator::Script script;
  script.push_back(emulator::Pause{kWork});
  script.push_back(emulator::SendBytes{fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
      "Content-Type: text/plain\r\n{}\r\nContent-Length: {}\r\n\r\n{}",
      request.headers.Find("Request-Id"),
      closes ? "Connection: close" : "Keep-Alive: timeout=2", body.size(),
      body)});
  if (closes) script.push_back(emulator::CloseConnection{});
  return script;
}

struct Counts {
  int whole = 0;
  int failed = 0;
  int cut = 0;
  int open = 0;
  std::map<std::string, std::string> unframed;  ///< Engines by request id.
};

Awaitable<void> SendOne(Site& site, Counts& counts, int n) {
  ++counts.open;
  ClientCall call;
  call.id = fmt::format("b-{}", n);
  call.target = "/book/record";
  call.body = "callout";
  const std::string id = call.id;
  const ClientAnswer answer =
      co_await site.Send(n % kRouters + 1, std::move(call));
  const std::string sent = MakeRecord(id);
  if (!answer.is_whole || answer.status != 200) {
    ++counts.failed;
  } else if (answer.body == sent) {
    ++counts.whole;
  } else {
    ++counts.cut;
    const auto found = counts.unframed.find(id);
    site.Record(fmt::format(
        "{}: status 200 and a complete body of {} bytes; the engine's has {} "
        "bytes; without a length: {}",
        id, answer.body.size(), sent.size(),
        found == counts.unframed.end() ? "no" : found->second));
  }
  --counts.open;
}

Awaitable<int> Play(Site& site, bool trouble) {
  const auto executor = co_await boost::asio::this_coro::executor;
  auto counts = std::make_shared<Counts>();
  for (int n = 1; n <= kEngines; ++n) {
    const std::string engine = fmt::format("i-booking-{}", n);
    const bool may_unframe = trouble && n <= kUnframedEngines;
    auto answers = std::make_shared<int>(0);
    site.AddEngine(engine, "booking-app", [=](const HttpRequest& request) {
      const std::string id(request.headers.Find("Request-Id"));
      const std::string body = MakeRecord(id);
      ++*answers;
      if (may_unframe && *answers % kUnframedEach == 0) {
        counts->unframed[id] = engine;
        return MakeUnframedAnswer(request, body);
      }
      return MakeFramedAnswer(request, body, *answers % kCloseEach == 0);
    });
  }
  const Duration settle = std::chrono::seconds(3);
  co_await SleepFor(settle);
  int sent = 0;
  for (int clump = 0; clump < kClumps; ++clump) {
    for (int n = 0; n < kClumpSize; ++n) {
      boost::asio::co_spawn(executor, SendOne(site, *counts, ++sent),
                            boost::asio::detached);
    }
    const Duration pause = kClumpPause;
    co_await SleepFor(pause);
  }
  while (counts->open > 0) {
    const Duration poll = std::chrono::milliseconds(50);
    co_await SleepFor(poll);
  }
  site.Record(fmt::format(
      "{} answers without a length; {} clients got the whole body, {} another "
      "one with status 200, {} a failure",
      counts->unframed.size(), counts->whole, counts->cut, counts->failed));
  co_return counts->cut > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  Site::Options options;
  options.routers = kRouters;
  return RunCase(options, Play);
}
