// The engines of a service are brittle and say so, and many users come at once.
// Routers must not have them turn so many requests away that they fall over.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <deque>
#include <map>

#include "../common/site.h"

namespace {

using namespace dandelionscale;          // NOLINT: a program's main file
using namespace dandelionscale::review;  // NOLINT

constexpr int kRouters = 4;
constexpr int kEngines = 6;
constexpr std::size_t kSlots = 48;
constexpr int kEvents = 55;
constexpr Duration kEventInterval = std::chrono::milliseconds(40);
// How many may wait at an engine, usually and in the brittle time.
constexpr int kWaiting = 144;
constexpr int kWaitingWhenBrittle = 6;
constexpr std::size_t kBrittle = 10;  ///< `Server-Brittle`
constexpr Duration kContactTime = std::chrono::seconds(3);
constexpr Duration kDownTime = std::chrono::seconds(3);
constexpr double kMaxFalls = 2 + 0.1 * kEngines;
// Usual time between two requests at a router: 100 a second at all routers, of
// the 130 that the engines can serve.
constexpr Duration kInterval = std::chrono::milliseconds(40);
constexpr double kBurst = 1.7;
constexpr Duration kBurstTime = std::chrono::seconds(3);

struct EngineState {
  std::array<TimePoint, kSlots> free_at{};
  std::deque<TimePoint> rejected;
  bool is_down = false;
};

struct World {
  bool trouble = false;
  bool stopped = false;
  TimePoint brittle_since = TimePoint::max();
  std::map<std::string, EngineState> engines;
  double load = 1;
  int falls = 0;
  int open = 0;
  std::map<std::string, int> outcomes;
};

Awaitable<void> Fall(Site& site, World& world, std::string id);

emulator::ScriptMaker MakeEngine(Site& site, World& world, std::string id,
                                 boost::asio::any_io_executor executor) {
  return [&site, &world, id, executor](const HttpRequest& request) {
    EngineState& engine = world.engines[id];
    const TimePoint now = RuntimeClock::now();
    const std::string request_id(request.headers.Find("Request-Id"));
    std::string fields =
        fmt::format("Request-Id: {}\r\nResponse-Seal: seal\r\n", request_id);
    const bool says_brittle = now >= world.brittle_since;
    if (says_brittle) fields += fmt::format("Server-Brittle: {}\r\n", kBrittle);
    const bool is_brittle =
        says_brittle && now - world.brittle_since >= kContactTime;
    const auto waiting = std::count_if(
        engine.free_at.begin(), engine.free_at.end(), [now](TimePoint free_at) {
          return free_at - now > kEvents * kEventInterval;
        });
    const auto slot =
        std::min_element(engine.free_at.begin(), engine.free_at.end());
    emulator::Script script;
    if (*slot > now &&
        waiting >= (is_brittle ? kWaitingWhenBrittle : kWaiting)) {
      engine.rejected.push_back(now);
      const Duration second = std::chrono::seconds(1);
      while (now - engine.rejected.front() > second) {
        engine.rejected.pop_front();
      }
      if (is_brittle && !engine.is_down && engine.rejected.size() > kBrittle) {
        engine.is_down = true;
        boost::asio::co_spawn(executor, Fall(site, world, id),
                              boost::asio::detached);
      }
      script.push_back(emulator::SendBytes{
          fmt::format("HTTP/1.1 503 Full\r\n{}Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n",
                      fields)});
      return script;
    }
    const TimePoint start = std::max(now, *slot);
    *slot = start + kEvents * kEventInterval;
    script.push_back(emulator::Pause{start - now});
    script.push_back(emulator::SendBytes{
        fmt::format("HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    fields)});
    for (int event = 1; event <= kEvents; ++event) {
      script.push_back(emulator::Pause{kEventInterval});
      script.push_back(emulator::SendBytes{emulator::MakeEventChunk(event)});
    }
    script.push_back(emulator::SendBytes{std::string(emulator::kStreamEnd)});
    return script;
  };
}

Awaitable<void> Fall(Site& site, World& world, std::string id) {
  const auto executor = co_await boost::asio::this_coro::executor;
  ++world.falls;
  site.Record(fmt::format("engine {} falls over: {} turned away in a second",
                          id, world.engines[id].rejected.size()));
  site.EndEngine(id);
  const Duration down = kDownTime;
  co_await SleepFor(down);
  world.engines[id] = EngineState();
  site.RestartEngine(id, MakeEngine(site, world, id, executor));
  site.WriteEntry(id, "v1");
}

Awaitable<void> SendOne(Site& site, World& world, int router, int n) {
  ++world.open;
  ClientCall call;
  call.id = fmt::format("s-{}-{}", router, n);
  call.target = "/advice/flame";
  call.headers = fmt::format(
      "Model: m\r\nToken-Count: 829,385\r\nPrompt-Prefix: "
      "{:x}:699,{:x}:130\r\n",
      0xa000 + (n + router) % 40, 0x100000 + router * 10000 + n);
  call.body = std::string(830, 'x');
  call.deadline_ms = 10000;
  const ClientAnswer answer = co_await site.Send(router, std::move(call));
  ++world.outcomes[answer.is_whole
                       ? fmt::format("status {}", answer.status)
                       : fmt::format("broken off, status {}", answer.status)];
  --world.open;
}

Awaitable<void> SendStreams(Site& site, World& world, int router) {
  const auto executor = co_await boost::asio::this_coro::executor;
  for (int n = 1; !world.stopped; ++n) {
    boost::asio::co_spawn(executor, SendOne(site, world, router, n),
                          boost::asio::detached);
    const Duration pause = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kInterval) / world.load);
    co_await SleepFor(pause);
  }
}

Awaitable<int> Play(Site& site, bool trouble) {
  const auto executor = co_await boost::asio::this_coro::executor;
  World world;
  for (int n = 1; n <= kEngines; ++n) {
    const std::string id = fmt::format("i-advice-{}", n);
    site.AddEngine(id, "advice-llm", MakeEngine(site, world, id, executor));
  }
  const Duration settle = std::chrono::seconds(4);
  co_await SleepFor(settle);
  for (int router = 1; router <= kRouters; ++router) {
    boost::asio::co_spawn(executor, SendStreams(site, world, router),
                          boost::asio::detached);
  }
  co_await SleepFor(settle);
  if (trouble) world.brittle_since = RuntimeClock::now();
  co_await SleepFor(settle);
  world.load = kBurst;
  const Duration burst = kBurstTime;
  co_await SleepFor(burst);
  world.load = 1;
  co_await SleepFor(settle);
  co_await SleepFor(settle);
  world.stopped = true;
  while (world.open > 0) {
    const Duration poll = std::chrono::milliseconds(50);
    co_await SleepFor(poll);
  }
  for (const auto& [outcome, count] : world.outcomes) {
    site.Record(fmt::format("{}: {} times", outcome, count));
  }
  site.Record(fmt::format("{} falls; {} are allowed", world.falls, kMaxFalls));
  co_return world.falls > kMaxFalls ? kBroken : kHeld;
}

}  // namespace

int main() {
  Site::Options options;
  options.routers = kRouters;
  return RunCase(options, Play);
}
