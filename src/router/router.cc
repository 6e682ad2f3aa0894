#include "dandelionscale/router/router.h"

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_server.h"
#include "dandelionscale/transport/peer_connection.h"
#include "router/admin_service.h"
#include "router/control_messages.h"
#include "router/digest_service.h"

namespace dandelionscale {

using internal::AdminService;
using internal::CancelToken;
using internal::ClaimService;
using internal::ConfigurationService;
using internal::DigestService;
using internal::EngineProber;
using internal::EntryService;
using internal::FleetState;
using internal::FrameSink;
using internal::kControlPath;
using internal::kServePath;
using internal::MembershipService;
using internal::OwnerService;
using internal::PeerDirectory;
using internal::Problem;
using internal::ProblemResponse;
using internal::RequestRunner;

namespace {

constexpr std::size_t kMaxTracedRequests = 4096;
constexpr std::size_t kMaxConfigurationBytes = 8 * 1024 * 1024;
// Interval at which a draining router checks whether its last response has
// ended. Draining itself has no time limit.
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);

HttpResponse BadRequestResponse(const Fault& fault) {
  Problem problem;
  problem.reason = RefusalReason::kMalformedRequest;
  problem.detail = ToString(fault.kind);
  HttpResponse response = ProblemResponse(problem);
  response.status = StatusOfBadRequest(fault.kind);
  return response;
}

}  // namespace

struct Router::Impl {
  Impl(boost::asio::any_io_executor executor, RouterOptions options)
      : executor(executor), options(std::move(options)) {}

  boost::asio::any_io_executor executor;
  RouterOptions options;
  ByteCounters platform_bytes;
  ServiceRegistry registry;
  std::unique_ptr<HttpServer> client_server;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<PeerServer> peer_server;

  void RegisterServices();
  Result<void> Listen();
  Awaitable<void> HandlePeerCall(PeerCall& call);
  Awaitable<void> ServePeerRequest(PeerCall& call);
};

void Router::Impl::RegisterServices() {
  auto& registry = this->registry;
  auto& options = this->options;
  auto executor = this->executor;
  registry.Register("metrics", std::make_shared<Metrics>());
  registry.Register("traces", std::make_shared<TraceStore>(kMaxTracedRequests));
  registry.Register("platform", std::make_shared<PlatformClient>(
                                    executor, options.platform_address,
                                    &this->platform_bytes));
  registry.Register(std::string(FleetState::kName),
                    std::make_shared<FleetState>(executor, options));
  registry.Register(std::string(PeerDirectory::kName),
                    std::make_shared<PeerDirectory>(executor));
  registry.Register(
      std::string(ConfigurationService::kName),
      std::make_shared<ConfigurationService>(executor, registry, options));
  auto membership =
      std::make_shared<MembershipService>(executor, registry, options);
  registry.Register(std::string(MembershipService::kName), membership,
                    {.start = [membership] { return membership->Start(); },
                     .drain = [membership] { return membership->Leave(); },
                     .stop = [membership] { membership->Stop(); }});
  auto digests = std::make_shared<DigestService>(executor, registry, options);
  registry.Register(std::string(DigestService::kName), digests,
                    {.start = [digests]() -> Awaitable<void> {
                       digests->Start();
                       co_return;
                     },
                     .drain = {},
                     .stop = [digests] { digests->Stop(); }});
  auto prober = std::make_shared<EngineProber>(executor, registry, options);
  registry.Register(std::string(EngineProber::kName), prober,
                    {.start = [prober]() -> Awaitable<void> {
                       prober->Start();
                       co_return;
                     },
                     .drain = {},
                     .stop = [prober] { prober->Stop(); }});
  registry.Register(
      std::string(OwnerService::kName),
      std::make_shared<OwnerService>(executor, registry, options));
  registry.Register(
      std::string(RequestRunner::kName),
      std::make_shared<RequestRunner>(executor, registry, options));
  registry.Register(std::string(ClaimService::kName),
                    std::make_shared<ClaimService>(executor, registry));
  registry.Register(
      std::string(EntryService::kName),
      std::make_shared<EntryService>(executor, registry, options));
  registry.Register(
      std::string(AdminService::kName),
      std::make_shared<AdminService>(registry, options, &this->platform_bytes));
}

Awaitable<void> Router::Impl::HandlePeerCall(PeerCall& call) {
  if (call.Path() == kControlPath) {
    co_await this->registry.Find<DigestService>(DigestService::kName)
        ->Handle(call);
  } else if (call.Path() == kServePath) {
    co_await this->ServePeerRequest(call);
  } else {
    Logger::Warning("peer_path_unknown", {{"path", call.Path()}});
  }
}

Awaitable<void> Router::Impl::ServePeerRequest(PeerCall& call) {
  wire::ServeRequest request;
  if (!request.ParseFromArray(call.Message().data(),
                              static_cast<int>(call.Message().size()))) {
    Logger::Warning("serve_message_malformed");
    co_return;
  }
  auto cancel = std::make_shared<CancelToken>();
  call.WatchDisconnect([cancel] { cancel->Cancel(); });
  FrameSink sink = [&call](const wire::ServeFrame& frame) -> Awaitable<bool> {
    const std::string bytes = frame.SerializeAsString();
    co_return co_await call.Send(bytes);
  };
  auto owner = this->registry.Find<OwnerService>(OwnerService::kName);
  co_await owner->Serve(request, std::move(sink), cancel, false);
}

Result<void> Router::Impl::Listen() {
  auto entry = this->registry.Find<EntryService>(EntryService::kName);
  auto admin = this->registry.Find<AdminService>(AdminService::kName);
  HttpServerLimits client_limits;
  client_limits.body_bytes = this->options.max_body_bytes;
  client_limits.connections = this->options.max_client_connections;
  client_limits.request_timeout = this->options.client_read_timeout;
  this->client_server = std::make_unique<HttpServer>(
      this->executor, client_limits,
      [entry](HttpExchange& exchange) { return entry->Handle(exchange); },
      BadRequestResponse);
  HttpServerLimits admin_limits;
  admin_limits.body_bytes = kMaxConfigurationBytes;
  this->admin_server = std::make_unique<HttpServer>(
      this->executor, admin_limits,
      [admin](HttpExchange& exchange) { return admin->Handle(exchange); },
      BadRequestResponse);
  this->peer_server = std::make_unique<PeerServer>(
      this->executor,
      [this](PeerCall& call) { return this->HandlePeerCall(call); },
      std::string(kControlPath),
      this->registry.Find<PeerDirectory>(PeerDirectory::kName)
          ->MutableControlBytes());
  auto bound = this->peer_server->Listen(this->options.peer_address);
  if (bound.has_error()) return bound.error();
  bound = this->admin_server->Listen(this->options.admin_address);
  if (bound.has_error()) return bound.error();
  bound = this->client_server->Listen(this->options.client_address);
  if (bound.has_error()) return bound.error();
  return {};
}

Router::Router(boost::asio::any_io_executor executor, RouterOptions options)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(options))) {
  this->impl->RegisterServices();
}

Router::~Router() = default;

Awaitable<Result<void>> Router::Start() {
  auto impl = this->impl;
  Result<void> listening = impl->Listen();
  if (listening.has_error()) co_return listening.error();
  co_await impl->registry.Start();
  Logger::Info("router_started", {{"router", impl->options.name}});
  co_return Result<void>();
}

Awaitable<void> Router::Shutdown() {
  auto impl = this->impl;
  auto fleet = impl->registry.Find<FleetState>(FleetState::kName);
  auto entry = impl->registry.Find<EntryService>(EntryService::kName);
  auto owner = impl->registry.Find<OwnerService>(OwnerService::kName);
  auto membership =
      impl->registry.Find<MembershipService>(MembershipService::kName);
  auto digests = impl->registry.Find<DigestService>(DigestService::kName);
  Logger::Info("draining_started");
  fleet->draining = true;
  const TimePoint started = RuntimeClock::now();
  co_await membership->AnnounceDraining();
  co_await digests->HandOverSessions();
  const Duration spent = RuntimeClock::now() - started;
  if (spent < impl->options.shutdown_grace) {
    co_await SleepFor(impl->options.shutdown_grace - spent);
  }
  impl->client_server->StopAccepting();
  co_await entry->WaitUntilIdle();
  while (owner->InFlight() > 0) co_await SleepFor(kDrainCheckInterval);
  co_await impl->registry.Drain();
  impl->registry.Stop();
  Logger::Info("draining_finished");
}

}  // namespace dandelionscale
