#include "tunnel/engine_connector.h"

namespace dandelionscale::internal {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

}  // namespace

EngineConnector::EngineConnector(DispatchState& state)
    : state(state),
      pool(state),
      monitor(state, this->pool),
      client(state),
      server(state, this->pool) {}

Result<void> EngineConnector::Start(std::shared_ptr<void> owner) {
  this->monitor.Start(owner);
  return this->server.Start(std::move(owner));
}

void EngineConnector::Purge(TimePoint now) {
  this->pool.Purge(now);
  this->server.Expire(now);
}

Awaitable<Result<std::shared_ptr<EngineConnection>>> EngineConnector::Acquire(
    std::shared_ptr<Engine> engine, ReusePolicy policy,
    std::string request_id) {
  if (auto reused = this->pool.TakeIdle(*engine, policy)) co_return reused;
  const std::string& service = engine->record.service;
  if (!this->state.reachability.IsCutOff(service)) {
    auto direct = co_await this->pool.Connect(engine, kConnectTimeout);
    if (direct.has_value()) co_return direct;
    co_await this->monitor.Confirm();
    if (!this->state.reachability.IsCutOff(service)) co_return direct.error();
  }
  co_return co_await this->client.Open(engine, request_id);
}

void EngineConnector::Return(const Engine& engine,
                             std::shared_ptr<EngineConnection> connection,
                             Duration keep_alive_timeout) {
  this->pool.Return(engine, std::move(connection), keep_alive_timeout);
}

Awaitable<bool> EngineConnector::EndedInOrder(
    std::shared_ptr<EngineConnection> connection) {
  if (!connection->tunnel) co_return true;
  const TunnelLabel label = connection->tunnel->Label();
  const TunnelEnd end = co_await this->client.FindEnd(label);
  co_return end == TunnelEnd::kEngineClosed;
}

Awaitable<bool> EngineConnector::WasLostOnTheWay(
    std::shared_ptr<EngineConnection> connection, std::string service) {
  if (connection->tunnel) {
    const TunnelLabel label = connection->tunnel->Label();
    const TunnelEnd end = co_await this->client.FindEnd(label);
    co_return end == TunnelEnd::kUnknown;
  }
  co_await this->monitor.Confirm();
  co_return this->state.reachability.IsCutOff(service);
}

}  // namespace dandelionscale::internal
