#include "dispatch/store/version_reader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dandelionscale::internal {
namespace {

// A client that resumes a stream waits no longer for the store.
constexpr Duration kMaxWait = std::chrono::milliseconds(600);
// Limits the calls to the store, however many streams are resumed.
constexpr Duration kMinReadInterval = std::chrono::milliseconds(200);

}  // namespace

Awaitable<bool> VersionReader::Read() {
  if (!this->source) co_return false;
  if (!this->next_round) {
    this->next_round = std::make_shared<Round>(this->executor);
  }
  const std::shared_ptr<Round> round = this->next_round;
  if (!this->is_running) {
    this->is_running = true;
    boost::asio::co_spawn(this->executor, this->RunRounds(),
                          boost::asio::detached);
  }
  const TimePoint until = RuntimeClock::now() + kMaxWait;
  while (!round->has_ended && RuntimeClock::now() < until) {
    const Duration left = until - RuntimeClock::now();
    co_await round->ended.WaitFor(left);
  }
  co_return round->succeeded;
}

Awaitable<void> VersionReader::RunRounds() {
  while (this->next_round) {
    const Duration pause =
        this->last_began_at + kMinReadInterval - RuntimeClock::now();
    if (pause > Duration::zero()) co_await SleepFor(pause);
    const std::shared_ptr<Round> round = std::move(this->next_round);
    this->next_round = nullptr;
    this->last_began_at = RuntimeClock::now();
    round->succeeded = co_await this->source();
    round->has_ended = true;
    round->ended.NotifyAll();
  }
  this->is_running = false;
}

}  // namespace dandelionscale::internal
