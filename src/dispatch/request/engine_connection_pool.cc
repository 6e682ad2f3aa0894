#include "dispatch/request/engine_connection_pool.h"

#include <netinet/tcp.h>

#include <algorithm>

#include "dandelionscale/transport/address.h"
#include "dispatch/request/socket_options.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// A connection attempt that takes longer is a reason to check whether engines
// can be reached at all.
constexpr Duration kSlowConnectTime = std::chrono::milliseconds(200);
// Idle connections per engine.
constexpr std::size_t kMaxIdleConnections = 16;
// Engines that state no keep-alive timeout are assumed to keep idle connections
// open for this long.
constexpr Duration kDefaultIdleLifetime = std::chrono::milliseconds(1000);
// A connection expires this long before the engine closes it. The margin
// covers that the Keep-Alive field has a resolution of one second.
constexpr Duration kCloseMargin = std::chrono::milliseconds(700);
// Non-repeatable requests reuse a connection only during the first 1/3 of its
// idle lifetime.
constexpr int kRecentLifetimeDivisor = 3;

}  // namespace

Awaitable<Result<std::shared_ptr<EngineConnection>>>
EngineConnectionPool::Connect(std::shared_ptr<Engine> engine,
                              Duration timeout) {
  auto endpoint = ParseEndpoint(engine->record.address);
  if (endpoint.has_error()) co_return endpoint.error();
  auto connection = std::make_shared<EngineConnection>(this->state.executor);
  const TimePoint started_at = RuntimeClock::now();
  const TimePoint deadline = started_at + timeout;
  Watchdog::Guard slow_guard(
      this->state.watchdog, [this] { this->state.reachability.OnSuspicion(); });
  Watchdog::Guard guard(this->state.watchdog, [connection] {
    error_code ignored;
    connection->socket.close(ignored);
  });
  slow_guard.Set(started_at + kSlowConnectTime);
  guard.Set(deadline);
  error_code error;
  if (const auto& source = this->state.options.engine_source) {
    connection->socket.open(endpoint->protocol(), error);
    connection->socket.bind(Endpoint(*source, 0), error);
  }
  const auto entry = this->connecting.emplace(engine->key, connection.get());
  co_await connection->socket.async_connect(endpoint.value(),
                                            RedirectError(error));
  this->connecting.erase(entry);
  if (!error && !connection->socket.is_open()) {
    error = asio::error::operation_aborted;
  }
  if (error) {
    const bool timed_out = RuntimeClock::now() >= deadline;
    co_return Fault{timed_out ? FaultKind::kTimeout : FaultKind::kConnectFailed,
                    error.message()};
  }
  SetTcpSocketOptions(connection->socket);
  this->state.metrics.Add("engine_connections_opened_total");
  this->state.metrics.ObserveLatency("engine_connect_seconds",
                                     RuntimeClock::now() - started_at);
  co_return connection;
}

void EngineConnectionPool::AbortConnects(const Engine& engine) {
  const auto [first, last] = this->connecting.equal_range(engine.key);
  for (auto entry = first; entry != last; ++entry) {
    error_code ignored;
    entry->second->socket.close(ignored);
  }
}

void EngineConnectionPool::Return(const Engine& engine,
                                  std::shared_ptr<EngineConnection> connection,
                                  Duration keep_alive_timeout) {
  const Duration lifetime =
      keep_alive_timeout > Duration::zero()
          ? keep_alive_timeout - std::min(kCloseMargin, keep_alive_timeout / 2)
          : kDefaultIdleLifetime;
  connection->idle_since = RuntimeClock::now();
  connection->idle_lifetime = lifetime;
  auto& idle_connections = this->idle[engine.key];
  idle_connections.push_back(std::move(connection));
  if (idle_connections.size() > kMaxIdleConnections)
    idle_connections.erase(idle_connections.begin());
}

void EngineConnectionPool::Purge(TimePoint now) {
  std::set<std::uint64_t> usable_engine_keys;
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    if (!engine->draining) usable_engine_keys.insert(engine->key);
  }
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    std::erase_if(entry->second, [now](const auto& connection) {
      return now - connection->idle_since > connection->idle_lifetime;
    });
    const bool removable =
        entry->second.empty() || !usable_engine_keys.contains(entry->first);
    entry = removable ? this->idle.erase(entry) : std::next(entry);
  }
}

std::shared_ptr<EngineConnection> EngineConnectionPool::TakeIdle(
    const Engine& engine, ReusePolicy policy) {
  auto found = this->idle.find(engine.key);
  if (found == this->idle.end()) return nullptr;
  const TimePoint now = RuntimeClock::now();
  auto& idle_connections = found->second;
  while (!idle_connections.empty()) {
    std::shared_ptr<EngineConnection> connection =
        std::move(idle_connections.back());
    idle_connections.pop_back();
    const Duration age = now - connection->idle_since;
    const Duration limit =
        policy == ReusePolicy::kRecentlyIdle
            ? connection->idle_lifetime / kRecentLifetimeDivisor
            : connection->idle_lifetime;
    if (age <= limit && IsIdle(connection->socket)) return connection;
    // All others have been idle for longer. They stay for requests that may be
    // repeated.
    if (policy == ReusePolicy::kRecentlyIdle && age > limit &&
        age <= connection->idle_lifetime) {
      idle_connections.push_back(std::move(connection));
      return nullptr;
    }
  }
  return nullptr;
}

}  // namespace dandelionscale::internal
