#include "router/digest_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>

#include "dandelionscale/runtime/logger.h"
#include "peer.pb.h"
#include "router/control_messages.h"

namespace dandelionscale::internal {
namespace {

constexpr Duration kDigestTimeout = std::chrono::milliseconds(1000);
// Shortest interval of digests, used while requests find no free slot, so that
// a higher mean load raises the load bounds soon.
constexpr Duration kMinInterval = std::chrono::milliseconds(100);
constexpr Duration kHandoverTimeout = std::chrono::seconds(2);
// Limit for one draining router; the messages take about 130 KB in total.
constexpr std::size_t kMaxHandoverSessions = 4096;

std::uint32_t ShortHash(const FleetService& service) {
  return static_cast<std::uint32_t>(service.hash);
}

ServiceLoadTotal FindLoad(const ServiceLoads& loads, std::uint32_t hash) {
  auto found = std::find_if(
      loads.begin(), loads.end(),
      [&](const ServiceLoadEntry& e) { return e.service_hash == hash; });
  return found == loads.end() ? ServiceLoadTotal{} : found->load;
}

}  // namespace

DigestService::DigestService(boost::asio::any_io_executor executor,
                             const ServiceRegistry& registry,
                             const RouterOptions& options)
    : executor(std::move(executor)),
      options(options),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      peers(registry.Find<PeerDirectory>(PeerDirectory::kName)),
      configuration(
          registry.Find<ConfigurationService>(ConfigurationService::kName)) {}

void DigestService::Start() {
  boost::asio::co_spawn(
      this->executor,
      [self = this->shared_from_this()]() -> Awaitable<void> {
        co_await self->Loop();
      },
      boost::asio::detached);
}

Awaitable<void> DigestService::Loop() {
  while (!this->stopping) {
    co_await this->Exchange();
    const Duration min_interval =
        std::min(kMinInterval, this->options.digest_interval);
    co_await SleepFor(min_interval);
    co_await this->fleet->LoadPressure().WaitFor(this->options.digest_interval -
                                                 min_interval);
  }
}

ServiceLoads DigestService::OwnLoads() const {
  ServiceLoads loads;
  const auto services = this->fleet->View()->Services();
  for (std::size_t i = 0; i < services.size(); ++i) {
    ServiceLoadTotal own =
        this->fleet->Owner().OwnLoad(static_cast<ServiceIndex>(i));
    if (own.engines == 0) continue;
    loads.push_back({ShortHash(services[i]), own});
  }
  return loads;
}

void DigestService::ApplyFleetLoads(const ServiceLoads& total) {
  const auto services = this->fleet->View()->Services();
  for (std::size_t i = 0; i < services.size(); ++i) {
    const std::uint32_t hash = ShortHash(services[i]);
    this->fleet->Owner().SetFleetLoad(static_cast<ServiceIndex>(i),
                                      FindLoad(total, hash),
                                      FindLoad(this->last_own_loads, hash));
  }
  this->fleet->SlotsChanged().NotifyAll();
}

Awaitable<void> DigestService::Exchange() {
  DigestTree& tree = this->fleet->Tree();
  const ServiceLoads own = this->OwnLoads();
  tree.SetOwn(own);
  const std::string parent = tree.Parent();
  if (parent.empty()) {
    this->last_own_loads = own;
    this->ApplyFleetLoads(tree.Subtree(RuntimeClock::now()));
    co_return;
  }
  auto client = this->peers->ControlClient(parent);
  if (client == nullptr) co_return;
  wire::ControlRequest request;
  wire::Digest* digest = request.mutable_digest();
  digest->set_sender(this->options.name);
  digest->set_configuration_version(this->fleet->Config().version);
  LoadsToWire(tree.Subtree(RuntimeClock::now()), *digest->mutable_loads());
  auto response = co_await client->Call(
      std::string(kControlPath), request.SerializeAsString(), kDigestTimeout);
  if (response.has_error()) co_return;
  wire::ControlReply reply;
  if (!reply.ParseFromString(response.value())) co_return;
  this->configuration->OnPeerVersion(parent, reply.configuration_version());
  if (reply.total().empty()) co_return;
  tree.OnTotal(LoadsFromWire(reply.total()), RuntimeClock::now());
  this->last_own_loads = own;
  this->ApplyFleetLoads(LoadsFromWire(reply.total()));
}

Awaitable<void> DigestService::Handle(PeerCall& call) {
  wire::ControlRequest request;
  if (!request.ParseFromArray(call.Message().data(),
                              static_cast<int>(call.Message().size()))) {
    Logger::Warning("control_message_malformed");
    co_return;
  }
  wire::ControlReply reply;
  switch (request.kind_case()) {
    case wire::ControlRequest::kDigest: {
      const wire::Digest& digest = request.digest();
      const TimePoint now = RuntimeClock::now();
      this->fleet->Tree().OnChild(digest.sender(),
                                  LoadsFromWire(digest.loads()), now);
      this->configuration->OnPeerVersion(digest.sender(),
                                         digest.configuration_version());
      auto total = this->fleet->Tree().Total(now);
      if (total) LoadsToWire(*total, *reply.mutable_total());
      break;
    }
    case wire::ControlRequest::kConfigurationPush: {
      const wire::ConfigurationPush& push = request.configuration_push();
      const std::size_t acknowledged = co_await this->configuration->OnPush(
          push.version(), push.document(), push.sender());
      reply.set_acknowledged(static_cast<std::uint32_t>(acknowledged));
      break;
    }
    case wire::ControlRequest::kConfigurationFetch:
      reply.set_document(this->fleet->Document());
      MembersToWire(this->fleet->Members(), reply);
      break;
    case wire::ControlRequest::kSessionPlaced: {
      const wire::SessionPlaced& placed = request.session_placed();
      SessionMemory& sessions = this->fleet->Owner().Sessions();
      if (placed.refused_engine_hash() != 0) {
        sessions.RemoveEngine(placed.session_key(),
                              placed.refused_engine_hash());
      }
      sessions.RecordEngine(placed.session_key(), placed.engine_hash());
      break;
    }
    case wire::ControlRequest::kHandover:
      for (const auto& entry : request.handover().entries()) {
        WarmEngines engines;
        for (int i = entry.engine_hashes_size() - 1; i >= 0; --i) {
          engines.Touch(entry.engine_hashes(i));
        }
        this->fleet->Owner().Sessions().InsertIfAbsent(entry.session_key(),
                                                       engines);
      }
      this->LogHandover(
          request.handover().sender(),
          static_cast<std::size_t>(request.handover().entries_size()));
      break;
    case wire::ControlRequest::KIND_NOT_SET:
      Logger::Warning("control_message_malformed");
      co_return;
  }
  reply.set_configuration_version(this->fleet->Config().version);
  reply.set_membership_revision(this->fleet->Members().revision);
  co_await call.Send(reply.SerializeAsString());
}

void DigestService::LogHandover(const std::string& sender,
                                std::size_t entries) {
  Logger::Info(
      "sessions_adopted",
      {{"sender", sender}, {"sessions", static_cast<std::int64_t>(entries)}});
}

Awaitable<void> DigestService::HandOverSessions() {
  std::map<std::string, wire::ControlRequest> by_owner;
  auto view = this->fleet->View();
  std::size_t handed_over = 0;
  this->fleet->Owner().Sessions().ForEach([&](std::uint64_t session_key,
                                              const WarmEngines& engines) {
    if (handed_over >= kMaxHandoverSessions || engines.All().empty()) return;
    auto newest = view->FindEngineByHash(engines.All().front());
    if (!newest) return;
    auto first = view->FirstByHash(view->Engine(*newest).service, session_key);
    if (!first) return;
    const std::string& owner = view->Engine(*first).owner;
    if (owner.empty() || owner == this->options.name) return;
    auto* handover = by_owner[owner].mutable_handover();
    handover->set_sender(this->options.name);
    auto* entry = handover->add_entries();
    entry->set_session_key(session_key);
    for (std::uint64_t hash : engines.All()) {
      entry->add_engine_hashes(hash);
    }
    ++handed_over;
  });
  for (const auto& [owner, request] : by_owner) {
    auto client = this->peers->ControlClient(owner);
    if (client == nullptr) continue;
    auto reply =
        co_await client->Call(std::string(kControlPath),
                              request.SerializeAsString(), kHandoverTimeout);
    Logger::Info("sessions_handed_over",
                 {{"owner", owner},
                  {"sessions", static_cast<std::int64_t>(
                                   request.handover().entries_size())},
                  {"acknowledged", reply.has_value()}});
  }
}

}  // namespace dandelionscale::internal
