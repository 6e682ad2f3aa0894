#include "router/engine_prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::internal {
namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(800);
constexpr int kFailuresUntilDown = 2;

}  // namespace

EngineProber::EngineProber(boost::asio::any_io_executor executor,
                           const ServiceRegistry& registry,
                           const RouterOptions& options)
    : executor(executor),
      options(options),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      http(executor, &this->bytes) {}

void EngineProber::Start() {
  boost::asio::co_spawn(
      this->executor,
      [self = this->shared_from_this()]() -> Awaitable<void> {
        co_await self->Loop();
      },
      boost::asio::detached);
}

Awaitable<void> EngineProber::Loop() {
  const bool probe_all =
      !std::holds_alternative<OwnerAdmissionPolicy>(this->options.placement);
  while (!this->stopping) {
    for (const FleetEngine& engine : this->fleet->View()->Engines()) {
      if (!probe_all && engine.owner != this->options.name) continue;
      auto endpoint = ParseEndpoint(engine.address);
      if (endpoint.has_error()) continue;
      boost::asio::co_spawn(
          this->executor,
          [self = this->shared_from_this(), name = engine.name,
           endpoint = endpoint.value()]() -> Awaitable<void> {
            co_await self->Probe(name, endpoint);
          },
          boost::asio::detached);
    }
    co_await SleepFor(this->options.probe_interval);
  }
}

Awaitable<void> EngineProber::Probe(std::string engine, Endpoint endpoint) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/load";
  auto response = co_await this->http.Fetch(
      endpoint, std::move(request), ConnectionUse::kReuse, kProbeTimeout);
  if (response.has_error()) {
    this->OnFailure(engine);
    co_return;
  }
  boost::json::error_code error;
  auto document = boost::json::parse(response.value().body, error);
  const boost::json::value* running =
      !error && document.is_object()
          ? document.get_object().if_contains("running")
          : nullptr;
  if (running == nullptr || !running->is_number()) {
    this->OnFailure(engine);
    co_return;
  }
  this->failures[engine] = 0;
  // The view may have changed during the probe.
  auto index = this->fleet->View()->FindEngine(engine);
  if (!index) co_return;
  const bool was_down = this->fleet->Owner().IsDown(*index);
  this->fleet->Owner().OnLoadReport(*index,
                                    running->to_number<std::uint32_t>());
  if (was_down) Logger::Info("engine_up", {{"engine", engine}});
  this->fleet->SlotsChanged().NotifyAll();
}

void EngineProber::OnFailure(const std::string& engine) {
  if (++this->failures[engine] != kFailuresUntilDown) return;
  auto index = this->fleet->View()->FindEngine(engine);
  if (!index) return;
  Logger::Warning("engine_down", {{"engine", engine}});
  this->fleet->Owner().OnEngineDown(*index);
}

}  // namespace dandelionscale::internal
