// One of two routers is lost while streams run. Their clients take them up
// again at the other router, which is sound, as the store and the engines are.
#include <fmt/format.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <csignal>
#include <vector>

#include "../common/site.h"

namespace {

using namespace dandelionscale;          // NOLINT: a program's main file
using namespace dandelionscale::review;  // NOLINT

constexpr int kRouters = 2;
constexpr int kLost = 1;
constexpr int kSound = 2;
constexpr int kEngines = 6;
constexpr int kEvents = 55;
constexpr Duration kEventInterval = std::chrono::milliseconds(90);
constexpr int kStreams = 24;
// From the first stream's start to the loss of the router.
constexpr Duration kTimeBefore = std::chrono::milliseconds(2000);
constexpr Duration kStreamPause = std::chrono::milliseconds(50);
constexpr int kDeadlineMs = 12000;
// A client takes its stream up so long after the break or the refusal.
constexpr std::array<Duration, 3> kRetryPauses = {
    std::chrono::milliseconds(200), std::chrono::milliseconds(1500),
    std::chrono::milliseconds(4000)};
// The rule counts from so many streams on.
constexpr int kMinStreams = 12;

// A stream, or what is left of it behind the event that the request names. All
// engines run one software version.
emulator::Script MakeEvents(const HttpRequest& request) {
  int id = 1;
  const std::string resume(request.headers.Find("Last-Event-Id"));
  if (!resume.empty()) id = std::stoi(resume) + 1;
  emulator::Script script;
  script.push_back(emulator::SendBytes{emulator::MakeStreamHead(request)});
  for (; id <= kEvents; ++id) {
    script.push_back(emulator::Pause{kEventInterval});
    script.push_back(emulator::SendBytes{emulator::MakeEventChunk(id)});
  }
  script.push_back(emulator::SendBytes{std::string(emulator::kStreamEnd)});
  return script;
}

// The id of the last event that a client has got; 0 for none.
int LastEvent(const std::string& body) {
  const auto end = body.rfind("\n\n");
  if (end == std::string::npos) return 0;
  const auto at = body.rfind("id: ", end);
  return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

ClientCall MakeCall(const std::string& id, int n) {
  ClientCall call;
  call.id = id;
  call.target = "/digest/day";
  call.headers = fmt::format(
      "Model: m\r\nToken-Count: 829,385\r\nPrompt-Prefix: "
      "{:x}:699,{:x}:130\r\n",
      0xa000 + n % 8, 0x100000 + n);
  call.body = std::string(830, 'x');
  call.deadline_ms = kDeadlineMs;
  return call;
}

struct Counts {
  int open = 0;
  int taken_up = 0;
  int went_on = 0;
  int new_streams = 0;
  int begun = 0;
};

// A stream at the router that is lost. Without the loss, its client leaves then
// and takes it up at the other router all the same.
Awaitable<void> SendAndTakeUp(Site& site, Counts& counts, int n,
                              Duration leave_after) {
  ++counts.open;
  const std::string first = fmt::format("d-{}", n);
  ClientCall call = MakeCall(first, n);
  call.leave_after = leave_after;
  const ClientAnswer answer = co_await site.Send(kLost, std::move(call));
  const int last = LastEvent(answer.body);
  if (!answer.is_whole && last > 0) {
    ++counts.taken_up;
    bool goes_on = false;
    for (std::size_t t = 0; t < kRetryPauses.size() && !goes_on; ++t) {
      const Duration pause = kRetryPauses[t];
      co_await SleepFor(pause);
      ClientCall again = MakeCall(fmt::format("d-{}-{}", n, t + 2), n);
      again.headers +=
          fmt::format("Last-Event-Id: {}\r\nResumes: {}\r\n", last, first);
      const ClientAnswer rest = co_await site.Send(kSound, std::move(again));
      goes_on = rest.status == 200 && rest.is_whole &&
                LastEvent(rest.body) == kEvents;
    }
    if (goes_on) ++counts.went_on;
    site.Record(fmt::format("{} ended after event {}; it went on: {}", first,
                            last, goes_on));
  }
  --counts.open;
}

Awaitable<void> SendNew(Site& site, Counts& counts, int n) {
  ++counts.open;
  ++counts.new_streams;
  const ClientAnswer answer =
      co_await site.Send(kSound, MakeCall(fmt::format("n-{}", n), n));
  if (answer.status == 200 && answer.is_whole) ++counts.begun;
  --counts.open;
}

Awaitable<int> Play(Site& site, bool trouble) {
  const auto executor = co_await boost::asio::this_coro::executor;
  for (int n = 1; n <= kEngines; ++n) {
    site.AddEngine(fmt::format("i-advice-{}", n), "advice-llm", MakeEvents);
  }
  const Duration settle = std::chrono::seconds(4);
  co_await SleepFor(settle);
  Counts counts;
  for (int n = 1; n <= kStreams; ++n) {
    const Duration left = kTimeBefore - kStreamPause * (n - 1);
    boost::asio::co_spawn(
        executor,
        SendAndTakeUp(site, counts, n, trouble ? Duration::zero() : left),
        boost::asio::detached);
    const Duration pause = kStreamPause;
    co_await SleepFor(pause);
  }
  const Duration left = kTimeBefore - kStreamPause * kStreams;
  co_await SleepFor(left);
  if (trouble) site.Signal(kLost, SIGKILL);
  for (int n = 1; n <= kStreams; ++n) {
    boost::asio::co_spawn(executor, SendNew(site, counts, n),
                          boost::asio::detached);
    const Duration pause = kStreamPause * 4;
    co_await SleepFor(pause);
  }
  while (counts.open > 0) {
    const Duration poll = std::chrono::milliseconds(50);
    co_await SleepFor(poll);
  }
  site.Record(fmt::format(
      "{} of {} streams that were taken up went on; {} of {} new ones came "
      "whole",
      counts.went_on, counts.taken_up, counts.begun, counts.new_streams));
  if (counts.taken_up < kMinStreams || counts.begun == 0) co_return kNotRun;
  // Under half of the share of the new ones.
  const bool is_broken =
      2 * counts.went_on * counts.new_streams < counts.begun * counts.taken_up;
  co_return is_broken ? kBroken : kHeld;
}

}  // namespace

int main() {
  Site::Options options;
  options.routers = kRouters;
  return RunCase(options, Play);
}
