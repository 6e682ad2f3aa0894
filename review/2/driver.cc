// A router gets SIGTERM while clients on slow lines send their requests. What
// it passes on to an engine must be answered whole.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <csignal>

#include "../common/site.h"

namespace {

using namespace dandelionscale;          // NOLINT: a program's main file
using namespace dandelionscale::review;  // NOLINT

constexpr int kEngines = 3;
constexpr int kClients = 6;
constexpr int kEvents = 55;
constexpr Duration kEventInterval = std::chrono::milliseconds(90);
constexpr int kDeadlineMs = 12000;
constexpr std::size_t kBodyBytes = 12000;
constexpr Duration kUploadTime = std::chrono::milliseconds(4500);
// A request that was sent no later than this after the SIGTERM is excused.
constexpr Duration kExcusedTime = std::chrono::seconds(3);
constexpr Duration kPlannedTime = std::chrono::seconds(9);  // grace_s + 1 s

Awaitable<void> SendRequest(Site& site, int number, ClientAnswer& answer,
                            int& ended) {
  ClientCall call;
  call.id = fmt::format("a-{}", number);
  call.target = "/advice/flame";
  call.headers = fmt::format(
      "Model: m\r\nToken-Count: 11812,385\r\n"
      "Prompt-Prefix: 5c1e07a2:10512,{:x}:1300\r\n",
      0xb000 + number);
  call.body = std::string(kBodyBytes, 'x');
  call.deadline_ms = kDeadlineMs;
  call.upload_time = kUploadTime;
  answer = co_await site.Send(1, std::move(call));
  ++ended;
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
  std::vector<ClientAnswer> answers(kClients);
  int ended = 0;
  for (int n = 0; n < kClients; ++n) {
    boost::asio::co_spawn(
        executor,
        SendRequest(site, n, answers[static_cast<std::size_t>(n)], ended),
        boost::asio::detached);
  }
  const Duration before = std::chrono::milliseconds(500);
  co_await SleepFor(before);
  const TimePoint signalled_at = RuntimeClock::now();
  if (trouble) site.Signal(1, SIGTERM);
  while (ended < kClients) {
    const Duration poll = std::chrono::milliseconds(50);
    co_await SleepFor(poll);
  }
  int cut = 0;
  for (int n = 0; n < kClients; ++n) {
    const ClientAnswer& answer = answers[static_cast<std::size_t>(n)];
    const std::string id = fmt::format("a-{}", n);
    bool is_passed_on = false;
    for (const Arrival& arrival : site.Arrivals()) {
      is_passed_on = is_passed_on || arrival.id == id;
    }
    const Duration sent = answer.all_sent_at - signalled_at;
    const Duration end = answer.ended_at - signalled_at;
    site.Record(fmt::format(
        "{}: last byte sent {} ms after SIGTERM, passed on: {}, status {}, "
        "whole: {}, ended {} ms after SIGTERM",
        id, ToMilliseconds(sent), is_passed_on, answer.status, answer.is_whole,
        ToMilliseconds(end)));
    const bool is_counted =
        is_passed_on && sent > kExcusedTime && end <= kPlannedTime;
    if (is_counted && !answer.is_whole) ++cut;
  }
  site.Record(fmt::format(
      "{} requests were passed on and ended without a whole answer", cut));
  co_return cut > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return RunCase({}, Play); }
