#include "dispatch/engine_pool.h"

#include <netinet/tcp.h>

#include <algorithm>

#include "dandelionscale/transport/address.h"
#include "dispatch/socket_options.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// Kept connections of one engine.
constexpr std::size_t kMostIdle = 16;
// Engines that don't say how long they keep a connection keep it this long.
constexpr Duration kUnstatedLifetime = std::chrono::milliseconds(1000);
// Margin before the engine closes: the statement is in whole seconds.
constexpr Duration kCloseMargin = std::chrono::milliseconds(700);
// Share of the lifetime within which a request that can't be repeated may use
// a kept connection.
constexpr int kCarefulDivisor = 3;

// False if the engine has closed the connection or sent bytes that nobody
// asked for.
bool IsQuiet(asio::ip::tcp::socket& socket) {
  char byte = 0;
  error_code error;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

}  // namespace

Awaitable<Result<std::shared_ptr<EngineConnection>>> EnginePool::Acquire(
    std::shared_ptr<Engine> engine, ReuseCare care) {
  if (auto kept = this->TakeIdle(*engine, care)) co_return kept;
  auto endpoint = ParseEndpoint(engine->record.address);
  if (endpoint.has_error()) co_return endpoint.error();
  auto connection = std::make_shared<EngineConnection>(this->state.executor);
  Watchdog::Guard guard(this->state.watchdog, [connection] {
    error_code ignored;
    connection->socket.close(ignored);
  });
  const TimePoint began = RuntimeClock::now();
  guard.Set(began + kConnectTimeout);
  error_code error;
  co_await connection->socket.async_connect(endpoint.value(),
                                            RedirectError(error));
  if (!error && !connection->socket.is_open()) {
    error = asio::error::operation_aborted;
  }
  if (error) {
    co_return Fault{FaultKind::kConnectFailed, error.message()};
  }
  SetPeerSocketOptions(connection->socket);
  this->state.metrics.Add("engine_connections_opened_total");
  this->state.metrics.ObserveLatency("engine_connect_seconds",
                                     RuntimeClock::now() - began);
  co_return connection;
}

void EnginePool::Keep(const Engine& engine,
                      std::shared_ptr<EngineConnection> connection,
                      Duration stated) {
  const Duration lifetime = stated > Duration::zero()
                                ? stated - std::min(kCloseMargin, stated / 2)
                                : kUnstatedLifetime;
  connection->idle_since = RuntimeClock::now();
  connection->idle_lifetime = lifetime;
  auto& kept = this->idle[engine.key];
  kept.push_back(std::move(connection));
  if (kept.size() > kMostIdle) kept.erase(kept.begin());
}

void EnginePool::Purge(TimePoint now) {
  std::set<std::uint64_t> known;
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    known.insert(engine->key);
  }
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    std::erase_if(entry->second, [now](const auto& connection) {
      return now - connection->idle_since > connection->idle_lifetime;
    });
    const bool useless = entry->second.empty() || !known.contains(entry->first);
    entry = useless ? this->idle.erase(entry) : std::next(entry);
  }
}

std::shared_ptr<EngineConnection> EnginePool::TakeIdle(const Engine& engine,
                                                       ReuseCare care) {
  auto found = this->idle.find(engine.key);
  if (found == this->idle.end()) return nullptr;
  const TimePoint now = RuntimeClock::now();
  auto& kept = found->second;
  while (!kept.empty()) {
    std::shared_ptr<EngineConnection> connection = std::move(kept.back());
    kept.pop_back();
    const Duration age = now - connection->idle_since;
    const Duration limit = care == ReuseCare::kNotRepeatable
                               ? connection->idle_lifetime / kCarefulDivisor
                               : connection->idle_lifetime;
    if (age <= limit && IsQuiet(connection->socket)) return connection;
    // All others are older still; those may serve a less careful request.
    if (care == ReuseCare::kNotRepeatable && age > limit &&
        age <= connection->idle_lifetime) {
      kept.push_back(std::move(connection));
      return nullptr;
    }
  }
  return nullptr;
}

}  // namespace dandelionscale::internal
