#include "dandelionscale/dispatch/dispatch_router.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>
#include <set>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_server.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/cache_observer.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/peers/peer_exchange.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/request/client_connection.h"
#include "dispatch/request/placement_explanation.h"
#include "dispatch/request/placement_query.h"
#include "dispatch/request/request_dispatch.h"
#include "dispatch/store/store_watcher.h"
#include "dispatch/traffic.h"
#include "transport/socket_helpers.h"
#include "tunnel/engine_connector.h"

namespace dandelionscale {

namespace asio = boost::asio;
using boost::system::error_code;
using internal::ClientConnection;

namespace {

// Interval at which `Watchdog` deadlines are checked, which is their precision.
constexpr Duration kSweepInterval = internal::kLoopCheckInterval;
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(250);
constexpr Duration kTrafficLogInterval = std::chrono::seconds(10);
// The load balancer needs this long to stop sending requests after the
// readiness endpoint reports "not ready". The listener is closed then, so that
// the accepted requests can finish within the shutdown grace.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2800);
// Part of the shutdown grace that is reserved for closing connections.
constexpr Duration kGraceMargin = std::chrono::milliseconds(500);
// Delay between the last response and the end of the process, for requests
// that arrive while their connection is being closed.
constexpr Duration kFinalDelay = std::chrono::milliseconds(250);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
// File descriptors reserved for engines, store, peers and files.
constexpr std::size_t kReservedDescriptors = 700;

}  // namespace

// Each coroutine holds a shared_ptr to the Impl, so that the Impl, which owns
// the `Watchdog`, outlives the `Watchdog::Guard`s in the coroutine's frame.
// Both are destroyed with the event loop.
struct DispatchRouter::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::any_io_executor executor, DispatchOptions options,
       std::shared_ptr<const ProtocolCodec> codec,
       std::shared_ptr<TableStore> store)
      : state(executor, std::move(options), std::move(codec)),
        store(std::move(store)),
        connector(this->state),
        watcher(this->state, this->store),
        peers(this->state),
        observer(this->state),
        acceptor(executor),
        ready_server(executor, HttpServerLimits(),
                     [this](HttpExchange& exchange) {
                       return this->ServeReadiness(exchange);
                     }),
        metrics_server(executor, HttpServerLimits(),
                       [this](HttpExchange& exchange) {
                         return this->ServeMetrics(exchange);
                       }) {}

  Result<void> Start();
  Awaitable<void> Shutdown();
  Awaitable<void> Accept();
  void AcceptPending();
  void OnAccepted(asio::ip::tcp::socket socket);
  Awaitable<void> ServeClient(std::shared_ptr<ClientConnection> client);
  Awaitable<void> Sweep();
  Awaitable<void> ServeReadiness(HttpExchange& exchange);
  // Serves the metrics, and where a request would go now.
  Awaitable<void> ServeMetrics(HttpExchange& exchange);
  HttpResponse MakeMetricsResponse() const;
  HttpResponse ServePlacementQuery(const HttpRequest& request);
  void RunHousekeeping(TimePoint now);
  void LogTraffic();
  // A copy: a client may be removed while it is used.
  std::vector<std::shared_ptr<ClientConnection>> OpenClients() const {
    return {this->clients.begin(), this->clients.end()};
  }

  internal::DispatchState state;
  std::shared_ptr<TableStore> store;
  internal::EngineConnector connector;
  internal::StoreWatcher watcher;
  internal::PeerExchange peers;
  internal::CacheObserver observer;
  asio::ip::tcp::acceptor acceptor;
  HttpServer ready_server;
  HttpServer metrics_server;
  std::set<std::shared_ptr<ClientConnection>> clients;
  TimePoint last_housekeeping_at{};
  TimePoint traffic_logged_at = RuntimeClock::now();
  bool was_ready = false;
};

Result<void> DispatchRouter::Impl::Start() {
  this->state.owner = this->weak_from_this();
  const DispatchOptions& options = this->state.options;
  auto client_listener =
      internal::OpenAcceptor(this->acceptor, options.client_address);
  if (client_listener.has_error()) return client_listener.error();
  auto ready = this->ready_server.Listen(options.ready_address);
  if (ready.has_error()) return ready.error();
  auto metrics = this->metrics_server.Listen(options.metrics_address);
  if (metrics.has_error()) return metrics.error();
  auto peer_exchange = this->peers.Start();
  if (peer_exchange.has_error()) return peer_exchange.error();
  auto tunnels = this->connector.Start(this->shared_from_this());
  if (tunnels.has_error()) return tunnels.error();
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
    this->OnAccepted(std::move(socket));
  }
}

// Accepts the connections that the kernel has queued. Closing the listener
// would reset them.
void DispatchRouter::Impl::AcceptPending() {
  error_code error;
  if (this->acceptor.is_open()) this->acceptor.non_blocking(true, error);
  while (this->acceptor.is_open() && !error) {
    asio::ip::tcp::socket socket(this->state.executor);
    this->acceptor.accept(socket, error);
    if (!error) this->OnAccepted(std::move(socket));
  }
}

void DispatchRouter::Impl::OnAccepted(asio::ip::tcp::socket socket) {
  const std::size_t descriptors = this->state.options.max_descriptors;
  const std::size_t max_clients = descriptors > 2 * kReservedDescriptors
                                      ? descriptors - kReservedDescriptors
                                      : descriptors / 2;
  const std::size_t tunnel_descriptors =
      internal::kDescriptorsPerTunnel * this->connector.CarriedTunnels();
  if (this->clients.size() + tunnel_descriptors >= max_clients) {
    Logger::Warning(
        "connection_refused",
        {{"connections", static_cast<std::int64_t>(this->clients.size())}});
    return;
  }
  auto client = std::make_shared<ClientConnection>(this->state, this->connector,
                                                   std::move(socket));
  asio::co_spawn(this->state.executor, this->ServeClient(client),
                 asio::detached);
}

Awaitable<void> DispatchRouter::Impl::ServeClient(
    std::shared_ptr<ClientConnection> client) {
  auto self = this->shared_from_this();
  this->clients.insert(client);
  // One request that can't be handled, for want of memory for example, must not
  // leave its client without an end.
  try {
    co_await client->Serve();
  } catch (const std::exception& error) {
    this->state.metrics.Add("client_handlers_failed_total");
    Logger::Error("client_handler_failed", {{"what", error.what()}});
    client->Abort();
  }
  this->clients.erase(client);
}

Awaitable<void> DispatchRouter::Impl::Sweep() {
  auto self = this->shared_from_this();
  while (true) {
    const Duration interval = kSweepInterval;
    co_await SleepFor(interval);
    const TimePoint now = RuntimeClock::now();
    this->state.OnLoopCheck(now);
    this->state.watchdog.Sweep(now);
    this->connector.Poll(now);
    const std::vector<EngineChange> expired = this->state.engines.Expire(now);
    this->state.AnnounceRemovals(expired);
    this->state.OnEngineChanges(expired, "expiry");
    if (now - this->last_housekeeping_at < kHousekeepingInterval) continue;
    this->last_housekeeping_at = now;
    this->RunHousekeeping(now);
  }
}

void DispatchRouter::Impl::RunHousekeeping(TimePoint now) {
  this->connector.Purge(now);
  this->state.permits->Expire(now);
  this->state.OnOwnQuarantineChanges(
      this->state.quarantine.Evaluate(now, this->state.peers.size()),
      "evidence");
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
  const auto& engines = this->state.engines.Engines();
  this->state.metrics.Set(
      "engines_warming_up",
      static_cast<double>(
          std::count_if(engines.begin(), engines.end(), [&](const auto& entry) {
            const auto rate = this->state.RateOf(*entry.second, now);
            return rate && rate->is_warm_up;
          })));
  this->state.metrics.Set(
      "peers_heard", static_cast<double>(this->state.peer_load.RouterCount()));
  this->state.metrics.Set(
      "watches_store",
      WatchesStore(this->state.watcher_election.Role()) ? 1 : 0);
  this->state.metrics.Set(
      "tunnels_carried", static_cast<double>(this->connector.CarriedTunnels()));
  this->state.metrics.Set(
      "services_cut_off",
      static_cast<double>(this->state.reachability.CutOffServices().size()));
  this->state.metrics.Set(
      "zones_evacuated",
      static_cast<double>(this->state.evacuated_zones.Current().size()));
  this->state.metrics.Set("store_lost",
                          this->state.unreachable_tables.empty() ? 0 : 1);
  internal::UpdateBytesRead(this->state.metrics, *this->store);
  if (now - this->traffic_logged_at < kTrafficLogInterval) return;
  this->traffic_logged_at = now;
  this->LogTraffic();
}

void DispatchRouter::Impl::LogTraffic() {
  internal::UpdateBytesRead(this->state.metrics, *this->store);
  internal::LogTraffic(this->state.metrics,
                       RuntimeClock::now() - this->state.started_at);
}

Awaitable<void> DispatchRouter::Impl::ServeReadiness(HttpExchange& exchange) {
  HttpResponse response;
  response.status = this->state.IsReady() ? http_status::kOk
                                          : http_status::kServiceUnavailable;
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> DispatchRouter::Impl::ServeMetrics(HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  HttpResponse response = PathOf(request.target) == internal::kPlacementPath
                              ? this->ServePlacementQuery(request)
                              : this->MakeMetricsResponse();
  co_await exchange.Respond(std::move(response));
}

HttpResponse DispatchRouter::Impl::MakeMetricsResponse() const {
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = this->state.metrics.ToPrometheus();
  return response;
}

HttpResponse DispatchRouter::Impl::ServePlacementQuery(
    const HttpRequest& request) {
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(query, internal::ParsePlacementQuery(request));
        const internal::PlacementExplanation explanation =
            internal::ExplainPlacement(this->state, query, RuntimeClock::now());
        this->state.metrics.Add(
            fmt::format("placement_queries_total{{verdict=\"{}\"}}",
                        internal::ToString(explanation.verdict)));
        response.body = internal::ToJson(explanation);
        return {};
      },
      [&](const internal::PlacementQueryFault& fault) {
        response.status = http_status::kBadRequest;
        response.body = internal::ToJson(fault);
      },
      [&] { response.status = http_status::kBadRequest; });
  return response;
}

Awaitable<void> DispatchRouter::Impl::Shutdown() {
  const TimePoint began = RuntimeClock::now();
  const TimePoint end =
      began + this->state.options.shutdown_grace - kGraceMargin;
  this->state.draining = true;
  this->state.draining_since = began;
  this->state.answers_end_at = end;
  this->state.refusals_begin_at = began + kBalancerDelay;
  for (internal::RequestDispatch* request : this->state.requests) {
    request->OnShutdown();
  }
  Logger::Info(
      "draining",
      {{"requests", static_cast<std::int64_t>(this->state.requests.size())}});
  while (RuntimeClock::now() < end) {
    const Duration poll = kDrainPollInterval;
    co_await SleepFor(poll);
    if (RuntimeClock::now() < began + kBalancerDelay) continue;
    this->AcceptPending();
    if (this->acceptor.is_open()) {
      error_code ignored;
      this->acceptor.close(ignored);
    }
    for (const auto& client : this->OpenClients()) client->CloseIfIdle();
    if (this->clients.empty() && this->connector.CarriedTunnels() == 0) break;
  }
  const TimePoint ends_at = RuntimeClock::now() + kFinalDelay;
  while (RuntimeClock::now() < ends_at) {
    for (const auto& client : this->OpenClients()) client->RefuseIncomplete();
    const Duration poll = kDrainPollInterval;
    co_await SleepFor(poll);
  }
  this->LogTraffic();
  const auto digest_bytes = static_cast<std::int64_t>(
      this->state.metrics.Counter("peer_digest_bytes_sent_total"));
  const Duration uptime = RuntimeClock::now() - this->state.started_at;
  Logger::Info(
      "stopped",
      {{"unfinished", static_cast<std::int64_t>(this->state.requests.size())},
       {"uptime_ms", ToMilliseconds(uptime)},
       {"digest_bytes_sent", digest_bytes}});
}

DispatchRouter::DispatchRouter(asio::any_io_executor executor,
                               DispatchOptions options,
                               std::shared_ptr<const ProtocolCodec> codec,
                               std::shared_ptr<TableStore> store)
    : impl(std::make_shared<Impl>(executor, std::move(options),
                                  std::move(codec), std::move(store))) {}

DispatchRouter::~DispatchRouter() = default;

Result<void> DispatchRouter::Start() { return this->impl->Start(); }

void DispatchRouter::Reload(const DispatchOptions& options) {
  this->impl->state.Reload(options);
}

Awaitable<void> DispatchRouter::Shutdown() {
  auto impl_copy = this->impl;
  co_await impl_copy->Shutdown();
}

}  // namespace dandelionscale
