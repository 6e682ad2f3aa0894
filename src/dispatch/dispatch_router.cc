#include "dandelionscale/dispatch/dispatch_router.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_server.h"
#include "dispatch/belief_watcher.h"
#include "dispatch/cache_observer.h"
#include "dispatch/client_connection.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/engine_pool.h"
#include "dispatch/peer_exchange.h"
#include "transport/socket_helpers.h"

namespace dandelionscale {

namespace asio = boost::asio;
using boost::system::error_code;
using internal::ClientConnection;

namespace {

// Precision of timeouts.
constexpr Duration kSweepInterval = std::chrono::milliseconds(40);
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(250);
// The balancer takes this long to stop sending after readiness ends. Later
// connections are refused, so that what was taken can end within the grace.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2800);
// Kept back from the grace to close what is left.
constexpr Duration kGraceMargin = std::chrono::milliseconds(500);
// Between the last answer and the end, for requests that cross the close.
constexpr Duration kLinger = std::chrono::milliseconds(250);
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
// Descriptors that are not for clients: engines, store, peers, files.
constexpr std::size_t kReservedDescriptors = 700;

}  // namespace

// Coroutines that own guards keep it alive until the event loop drops them.
struct DispatchRouter::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::any_io_executor executor, DispatchOptions options,
       std::shared_ptr<const Dialect> dialect,
       std::shared_ptr<TableStore> store)
      : state(executor, std::move(options), std::move(dialect)),
        pool(this->state),
        watcher(this->state, std::move(store)),
        peers(this->state),
        observer(this->state),
        acceptor(executor),
        ready_server(executor, HttpServerLimits(),
                     [this](HttpExchange& exchange) {
                       return this->AnswerReady(exchange);
                     }),
        metrics_server(executor, HttpServerLimits(),
                       [this](HttpExchange& exchange) {
                         return this->AnswerMetrics(exchange);
                       }) {}

  Result<void> Start();
  Awaitable<void> Shutdown();
  Awaitable<void> Accept();
  Awaitable<void> ServeClient(std::shared_ptr<ClientConnection> client);
  Awaitable<void> Sweep();
  Awaitable<void> AnswerReady(HttpExchange& exchange);
  Awaitable<void> AnswerMetrics(HttpExchange& exchange);
  void Housekeep(TimePoint now);

  internal::DispatchState state;
  internal::EnginePool pool;
  internal::BeliefWatcher watcher;
  internal::PeerExchange peers;
  internal::CacheObserver observer;
  asio::ip::tcp::acceptor acceptor;
  HttpServer ready_server;
  HttpServer metrics_server;
  std::set<std::shared_ptr<ClientConnection>> clients;
  TimePoint started_at = RuntimeClock::now();
  TimePoint housekept_at{};
  bool was_ready = false;
};

Result<void> DispatchRouter::Impl::Start() {
  const DispatchOptions& options = this->state.options;
  auto front = internal::OpenAcceptor(this->acceptor, options.client_address);
  if (front.has_error()) return front.error();
  auto ready = this->ready_server.Listen(options.ready_address);
  if (ready.has_error()) return ready.error();
  auto metrics = this->metrics_server.Listen(options.metrics_address);
  if (metrics.has_error()) return metrics.error();
  auto peering = this->peers.Start();
  if (peering.has_error()) return peering.error();
  this->watcher.Start();
  this->observer.Start();
  asio::co_spawn(this->state.executor, this->Accept(), asio::detached);
  asio::co_spawn(this->state.executor, this->Sweep(), asio::detached);
  return {};
}

Awaitable<void> DispatchRouter::Impl::Accept() {
  auto self = this->shared_from_this();
  while (this->acceptor.is_open()) {
    error_code error;
    auto socket =
        co_await this->acceptor.async_accept(internal::RedirectError(error));
    if (error) {
      if (!this->acceptor.is_open()) break;
      const Duration pause = kSweepInterval;
      co_await SleepFor(pause);
      continue;
    }
    const std::size_t descriptors = this->state.options.max_descriptors;
    const std::size_t most = descriptors > 2 * kReservedDescriptors
                                 ? descriptors - kReservedDescriptors
                                 : descriptors / 2;
    if (this->clients.size() >= most) {
      Logger::Warning(
          "connection_refused",
          {{"connections", static_cast<std::int64_t>(this->clients.size())}});
      continue;
    }
    auto client = std::make_shared<ClientConnection>(this->state, this->pool,
                                                     std::move(socket));
    asio::co_spawn(this->state.executor, this->ServeClient(client),
                   asio::detached);
  }
}

Awaitable<void> DispatchRouter::Impl::ServeClient(
    std::shared_ptr<ClientConnection> client) {
  auto self = this->shared_from_this();
  this->clients.insert(client);
  co_await client->Serve();
  this->clients.erase(client);
}

Awaitable<void> DispatchRouter::Impl::Sweep() {
  auto self = this->shared_from_this();
  while (true) {
    const Duration interval = kSweepInterval;
    co_await SleepFor(interval);
    const TimePoint now = RuntimeClock::now();
    this->state.watchdog.Sweep(now);
    this->state.OnEngineChanges(this->state.engines.Expire(now), "expiry");
    if (now - this->housekept_at < kHousekeepingInterval) continue;
    this->housekept_at = now;
    this->Housekeep(now);
  }
}

void DispatchRouter::Impl::Housekeep(TimePoint now) {
  this->pool.Purge(now);
  const bool ready = this->state.IsReady();
  if (ready != this->was_ready) {
    this->was_ready = ready;
    Logger::Info("readiness", {{"ready", ready}});
  }
  this->state.metrics.Set("client_connections",
                          static_cast<double>(this->clients.size()));
  this->state.metrics.Set("requests_in_flight",
                          static_cast<double>(this->state.requests.size()));
  this->state.metrics.Set(
      "engines_known",
      static_cast<double>(this->state.engines.Engines().size()));
  this->state.metrics.Set(
      "peers_heard", static_cast<double>(this->state.fleet_load.Routers()));
  this->state.metrics.Set(
      "watches_store",
      this->state.watch_duty.Role() == WatchRole::kListener ? 0 : 1);
  this->state.metrics.Set("store_lost",
                          this->state.tables_lost.empty() ? 0 : 1);
}

Awaitable<void> DispatchRouter::Impl::AnswerReady(HttpExchange& exchange) {
  constexpr unsigned kOk = 200;
  constexpr unsigned kUnavailable = 503;
  HttpResponse response;
  response.status = this->state.IsReady() ? kOk : kUnavailable;
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> DispatchRouter::Impl::AnswerMetrics(HttpExchange& exchange) {
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = this->state.metrics.ToPrometheus();
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> DispatchRouter::Impl::Shutdown() {
  const TimePoint began = RuntimeClock::now();
  const TimePoint end =
      began + this->state.options.shutdown_grace - kGraceMargin;
  this->state.draining = true;
  Logger::Info(
      "draining",
      {{"requests", static_cast<std::int64_t>(this->state.requests.size())}});
  while (RuntimeClock::now() < end) {
    const Duration poll = kDrainPoll;
    co_await SleepFor(poll);
    if (RuntimeClock::now() < began + kBalancerDelay) continue;
    if (this->acceptor.is_open()) {
      error_code ignored;
      this->acceptor.close(ignored);
    }
    const std::vector<std::shared_ptr<ClientConnection>> open(
        this->clients.begin(), this->clients.end());
    for (const auto& client : open) client->CloseIfIdle();
    if (this->clients.empty()) break;
  }
  const Duration linger = kLinger;
  co_await SleepFor(linger);
  const auto digest_bytes = static_cast<std::int64_t>(
      this->state.metrics.Counter("peer_digest_bytes_sent_total"));
  const Duration uptime = RuntimeClock::now() - this->started_at;
  Logger::Info(
      "stopped",
      {{"unfinished", static_cast<std::int64_t>(this->state.requests.size())},
       {"uptime_ms", ToMilliseconds(uptime)},
       {"digest_bytes_sent", digest_bytes}});
}

DispatchRouter::DispatchRouter(asio::any_io_executor executor,
                               DispatchOptions options,
                               std::shared_ptr<const Dialect> dialect,
                               std::shared_ptr<TableStore> store)
    : impl(std::make_shared<Impl>(executor, std::move(options),
                                  std::move(dialect), std::move(store))) {}

DispatchRouter::~DispatchRouter() = default;

Result<void> DispatchRouter::Start() { return this->impl->Start(); }

void DispatchRouter::Reload(const DispatchOptions& options) {
  this->impl->state.Reload(options);
}

Awaitable<void> DispatchRouter::Shutdown() {
  auto kept = this->impl;
  co_await kept->Shutdown();
}

}  // namespace dandelionscale
