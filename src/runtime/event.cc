#include "dandelionscale/runtime/event.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dandelionscale {
namespace {

constexpr Duration kForever = std::chrono::hours(24 * 365);

}  // namespace

Event::Event(const boost::asio::any_io_executor& executor) : timer(executor) {}

Awaitable<bool> Event::WaitFor(Duration timeout) {
  auto executor = this->timer.get_executor();
  const std::uint64_t initial_generation = this->generation;
  Timer deadline(executor);
  // All waiters share one timer, which is set to the earliest deadline. Waiters
  // with a later deadline set it to their own after they are woken.
  const TimePoint deadline_at = RuntimeClock::now() + timeout;
  while (this->generation == initial_generation &&
         RuntimeClock::now() < deadline_at) {
    if (this->timer.expiry() <= RuntimeClock::now() ||
        this->timer.expiry() > deadline_at) {
      this->timer.expires_at(deadline_at);
    }
    boost::system::error_code ignored;
    co_await this->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  co_return this->generation != initial_generation;
}

Awaitable<void> Event::Wait() { co_await this->WaitFor(kForever); }

void Event::NotifyAll() {
  ++this->generation;
  this->timer.cancel();
}

}  // namespace dandelionscale
