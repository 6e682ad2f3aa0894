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
  const std::uint64_t seen = this->generation;
  Timer deadline(executor);
  // One shared timer wakes all waiters; it runs until the earliest timeout.
  const TimePoint until = RuntimeClock::now() + timeout;
  while (this->generation == seen && RuntimeClock::now() < until) {
    if (this->timer.expiry() <= RuntimeClock::now() ||
        this->timer.expiry() > until) {
      this->timer.expires_at(until);
    }
    boost::system::error_code ignored;
    co_await this->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  co_return this->generation != seen;
}

Awaitable<void> Event::Wait() { co_await this->WaitFor(kForever); }

void Event::NotifyAll() {
  ++this->generation;
  this->timer.cancel();
}

}  // namespace dandelionscale
