#include "tunnel/reachability_monitor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
namespace {

// Engines of each service that one check tries.
constexpr std::size_t kEnginesPerCheck = 2;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// A connection that is accepted and then reset lasts less long.
constexpr Duration kMinOpenTime = std::chrono::milliseconds(30);
constexpr Duration kMaxCheckTime = std::chrono::milliseconds(400);

// Returns false if the connection ends, or carries bytes that nobody asked for,
// within `kMinOpenTime`.
Awaitable<bool> StaysOpen(std::shared_ptr<EngineConnection> connection) {
  const Duration time = kMinOpenTime;
  co_await SleepFor(time);
  co_return IsIdle(connection->socket);
}

}  // namespace

ReachabilityMonitor::ReachabilityMonitor(DispatchState& state,
                                         EngineConnectionPool& pool)
    : state(state), pool(pool), checked(state.executor) {}

void ReachabilityMonitor::Poll(TimePoint now) {
  if (this->checking || !this->state.reachability.IsCheckDue(now)) return;
  this->StartCheck();
}

Awaitable<void> ReachabilityMonitor::Confirm() {
  this->state.reachability.OnSuspicion();
  if (!this->checking) {
    if (this->state.reachability.WasJustChecked(RuntimeClock::now())) co_return;
    this->StartCheck();
  }
  const Duration timeout = kMaxCheckTime;
  co_await this->checked.WaitFor(timeout);
}

void ReachabilityMonitor::StartCheck() {
  auto locked_owner = this->owner.lock();
  if (!locked_owner) return;
  this->checking = true;
  asio::co_spawn(this->state.executor, this->Check(std::move(locked_owner)),
                 asio::detached);
}

Awaitable<void> ReachabilityMonitor::Check(std::shared_ptr<void> locked_owner) {
  const TimePoint started_at = RuntimeClock::now();
  auto progress = std::make_shared<Progress>(this->state.executor);
  const std::vector<std::string> services =
      this->state.reachability.OnCheckStarted(started_at, this->Services());
  for (const std::string& service : services) {
    for (const auto& engine : this->SelectEngines(service)) {
      ++progress->pending;
      asio::co_spawn(this->state.executor,
                     this->TryEngine(locked_owner, engine, progress),
                     asio::detached);
    }
  }
  while (progress->pending > 0) co_await progress->finished.Wait();
  this->state.metrics.Add("reachability_checks_total");
  // Connections time out while the process does not run.
  const bool has_stalled =
      this->state.LoopStall(RuntimeClock::now()) > Duration::zero() ||
      this->state.HasPausedSince(started_at);
  if (!has_stalled) {
    for (const auto& [service, check] : progress->checks) {
      this->Apply(service, check);
    }
  }
  this->checking = false;
  this->checked.NotifyAll();
}

Awaitable<void> ReachabilityMonitor::TryEngine(
    std::shared_ptr<void>, std::shared_ptr<Engine> engine,
    std::shared_ptr<Progress> progress) {
  auto connection = co_await this->pool.Connect(engine, kConnectTimeout);
  bool reached = connection.has_value();
  if (reached) reached = co_await StaysOpen(connection.value());
  if (reached) {
    this->pool.Return(*engine, connection.value(), Duration::zero());
  }
  ReachabilityCheck& check = progress->checks[engine->record.service];
  ++check.tried;
  if (reached) ++check.reached;
  if (connection.has_error() &&
      connection.error().kind == FaultKind::kTimeout) {
    check.timed_out = true;
  }
  --progress->pending;
  progress->finished.NotifyAll();
}

std::vector<std::string> ReachabilityMonitor::Services() const {
  std::set<std::string> names;
  for (const auto& [id, engine] : this->state.engines.Engines()) {
    names.insert(engine->record.service);
  }
  return {names.begin(), names.end()};
}

std::vector<std::shared_ptr<Engine>> ReachabilityMonitor::SelectEngines(
    const std::string& service) const {
  const TimePoint now = RuntimeClock::now();
  std::vector<std::shared_ptr<Engine>> healthy;
  std::vector<std::shared_ptr<Engine>> doubtful;
  for (const auto& engine : this->state.engines.Find(service)) {
    // Engines of an evacuated zone may be shut down, which says nothing about
    // this router's links.
    const bool is_left_out =
        engine->draining || engine->gone || this->state.IsEvacuated(*engine);
    if (is_left_out) continue;
    const bool was_unreachable =
        engine->health.IsHalfOpen(now) || engine->health.IsEjected(now, 1);
    (was_unreachable ? doubtful : healthy).push_back(engine);
  }
  // Engines that could not be reached tell nothing new while there are others.
  std::vector<std::shared_ptr<Engine>>& from =
      healthy.empty() ? doubtful : healthy;
  std::vector<std::shared_ptr<Engine>> selected;
  while (selected.size() < kEnginesPerCheck && !from.empty()) {
    const auto drawn =
        from.begin() +
        static_cast<std::ptrdiff_t>(this->state.RandomBits() % from.size());
    selected.push_back(*drawn);
    from.erase(drawn);
  }
  return selected;
}

void ReachabilityMonitor::Apply(const std::string& service,
                                const ReachabilityCheck& check) {
  const TimePoint now = RuntimeClock::now();
  const bool has_alternative =
      this->state.tunnel_peers->CanReach(now, ShortKey(HashText(service)));
  const auto change =
      this->state.reachability.OnChecked(now, service, check, has_alternative);
  if (change == EngineReachability::Change::kNone) return;
  const bool lost = change == EngineReachability::Change::kLost;
  if (lost) this->OnLost(service, check);
  this->state.metrics.Add(lost ? "reachability_lost_total"
                               : "reachability_regained_total");
  Logger::Warning(lost ? "reachability_lost" : "reachability_regained",
                  {{"service", service},
                   {"tried", static_cast<std::int64_t>(check.tried)},
                   {"reached", static_cast<std::int64_t>(check.reached)},
                   {"timed_out", check.timed_out},
                   {"has_peer", has_alternative},
                   {"store_lost", !this->state.unreachable_tables.empty()},
                   {"live_peers",
                    static_cast<std::int64_t>(this->state.live_peers.size())}});
  this->state.state_changed.NotifyAll();
}

void ReachabilityMonitor::OnLost(const std::string& service,
                                 const ReachabilityCheck& check) {
  for (const auto& engine : this->state.engines.Find(service)) {
    engine->health.ForgetUnreachable();
    this->pool.AbortConnects(*engine);
    if (check.timed_out) this->pool.CloseIdle(*engine);
  }
}

}  // namespace dandelionscale::internal
