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
constexpr int kEngines = 4;
constexpr std::size_t kLost = 3;
constexpr Duration kWork = std::chrono::milliseconds(60);
constexpr Duration kDrainTime = std::chrono::milliseconds(2000);
// "At times many seconds" after drain_ms.
constexpr Duration kServesOn = std::chrono::milliseconds(6000);
constexpr std::string_view kLeaver = "i-booking-1";

struct Load {
  bool stopped = false;
  std::map<std::string, int> routers;  ///< By request.
  std::map<std::string, ClientAnswer> answers;
};

Awaitable<void> SendBookings(Site& site, Load& load, int router) {
  for (int n = 1; !load.stopped; ++n) {
    ClientCall call;
    call.id = fmt::format("b-{}-{}", router, n);
    call.target = "/book/visit";
    call.body = "Tuesday";
    load.routers[call.id] = router;
    const std::string id = call.id;
    load.answers[id] = co_await site.Send(router, std::move(call));
    const Duration pause = std::chrono::milliseconds(40);
    co_await SleepFor(pause);
  }
}

Awaitable<int> Play(Site& site, bool trouble) {
  const auto executor = co_await boost::asio::this_coro::executor;
  for (int n = 1; n <= kEngines; ++n) {
    site.AddEngine(fmt::format("i-booking-{}", n), "booking-app",
                   [](const HttpRequest& request) {
                     return MakePlainAnswer(request, kWork);
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
    boost::asio::co_spawn(executor, SendBookings(site, load, router),
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
  co_await SleepFor(after);
  int late = 0;
  int lost_bookings = 0;
  for (const Arrival& arrival : site.Arrivals()) {
    if (arrival.engine != kLeaver) continue;
    const Duration age = arrival.at - removed_at;
    if (age <= kDrainTime) continue;
    ++late;
    const unsigned status = load.answers[arrival.id].status;
    if (status != 200) ++lost_bookings;
    site.Record(fmt::format(
        "late: {} by router {} reached {} {} ms after its entry was removed; "
        "the client got {}",
        arrival.id, load.routers[arrival.id], kLeaver, ToMilliseconds(age),
        status));
  }
  site.Record(fmt::format("{} requests came later than {} ms, {} of them lost",
                          late, ToMilliseconds(kDrainTime), lost_bookings));
  co_return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  Site::Options options;
  options.routers = kRouters;
  return RunCase(options, Play);
}
