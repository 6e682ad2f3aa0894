// Three of eight routers are lost for good; an engine that never reports
// `draining` leaves right after. No request may reach it later than drain_ms
// after the store accepted that.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <csignal>
#include <map>
#include <set>

#include "../common/site.h"

namespace {

using namespace dandelionscale;          // NOLINT: a program's main file
using namespace dandelionscale::review;  // NOLINT

constexpr int kRouters = 8;
constexpr int kEngines = 6;
constexpr std::size_t kLost = 3;
constexpr int kEvents = 55;
constexpr Duration kEventInterval = std::chrono::milliseconds(40);
constexpr Duration kDrainTime = std::chrono::milliseconds(2000);
// "At times many seconds" after drain_ms.
constexpr Duration kServesOn = std::chrono::milliseconds(6000);
constexpr std::string_view kLeaver = "i-advice-1";

struct Load {
  bool stopped = false;
  int open = 0;
  std::map<std::string, int> routers;  ///< By request.
  std::map<std::string, ClientAnswer> answers;
};

Awaitable<void> SendOne(Site& site, Load& load, int router, int n) {
  ++load.open;
  ClientCall call;
  call.id = fmt::format("s-{}-{}", router, n);
  call.target = "/advice/flame";
  call.headers = fmt::format(
      "Model: m\r\nToken-Count: 829,385\r\nPrompt-Prefix: "
      "{:x}:699,{:x}:130\r\n",
      0xa000 + (n + router) % 40, 0x100000 + router * 10000 + n);
  call.body = std::string(830, 'x');
  call.deadline_ms = 10000;
  load.routers[call.id] = router;
  const std::string id = call.id;
  load.answers[id] = co_await site.Send(router, std::move(call));
  --load.open;
}

Awaitable<void> SendStreams(Site& site, Load& load, int router) {
  const auto executor = co_await boost::asio::this_coro::executor;
  for (int n = 1; !load.stopped; ++n) {
    boost::asio::co_spawn(executor, SendOne(site, load, router, n),
                          boost::asio::detached);
    const Duration pause = std::chrono::milliseconds(100);
    co_await SleepFor(pause);
  }
}

Awaitable<int> Play(Site& site, bool trouble) {
  const auto executor = co_await boost::asio::this_coro::executor;
  for (int n = 1; n <= kEngines; ++n) {
    site.AddEngine(fmt::format("i-advice-{}", n), "advice-llm",
                   [](const HttpRequest& request) {
                     return MakeStream(request, kEvents, kEventInterval);
                   });
  }
  const Duration settle = std::chrono::seconds(4);
  co_await SleepFor(settle);
  std::set<int> lost;
  for (int router = 1; router <= kRouters && lost.size() < kLost; ++router) {
    const double watches = co_await site.Metric(router, "watches_store");
    if (watches == 1) lost.insert(router);
  }
  if (lost.size() != kLost) co_return kNotRun;
  Load load;
  for (int router = 1; router <= kRouters; ++router) {
    if (lost.contains(router)) continue;
    boost::asio::co_spawn(executor, SendStreams(site, load, router),
                          boost::asio::detached);
  }
  const Duration before = std::chrono::seconds(4);
  co_await SleepFor(before);
  for (int router : lost) {
    if (trouble) site.Signal(router, SIGKILL);
  }
  const Duration gap = std::chrono::milliseconds(100);
  co_await SleepFor(gap);
  site.RemoveEntry(std::string(kLeaver));
  const TimePoint removed_at = RuntimeClock::now();
  const Duration serves_on = kDrainTime + kServesOn;
  co_await SleepFor(serves_on);
  site.EndEngine(std::string(kLeaver));
  const Duration after = std::chrono::seconds(4);
  co_await SleepFor(after);
  load.stopped = true;
  while (load.open > 0) {
    const Duration poll = std::chrono::milliseconds(50);
    co_await SleepFor(poll);
  }
  int late = 0;
  int broken_off = 0;
  for (const Arrival& arrival : site.Arrivals()) {
    if (arrival.engine != kLeaver) continue;
    const Duration age = arrival.at - removed_at;
    if (age <= kDrainTime) continue;
    ++late;
    const bool is_whole = load.answers[arrival.id].is_whole;
    if (!is_whole) ++broken_off;
    site.Record(fmt::format(
        "late: {} by router {} reached {} {} ms after its entry was removed; "
        "the client got a whole answer: {}",
        arrival.id, load.routers[arrival.id], kLeaver, ToMilliseconds(age),
        is_whole));
  }
  site.Record(fmt::format(
      "{} requests came later than {} ms, {} of them were broken off", late,
      ToMilliseconds(kDrainTime), broken_off));
  co_return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  Site::Options options;
  options.routers = kRouters;
  return RunCase(options, Play);
}
