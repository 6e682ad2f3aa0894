#include "router/configuration_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"
#include "peer.pb.h"
#include "router/control_messages.h"

namespace dandelionscale::internal {
namespace {

namespace json = boost::json;

constexpr Duration kTableTimeout = std::chrono::milliseconds(1500);
constexpr Duration kProposalTimeout = std::chrono::seconds(8);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kPushTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxTokens = 16;
constexpr std::size_t kTokenBytes = 8;

/// \brief Counts acknowledgements of a push.
struct PushProgress {
  explicit PushProgress(const boost::asio::any_io_executor& executor)
      : changed(executor) {}
  Event changed;
  std::size_t pending = 0;
  std::size_t acknowledged = 0;
};

}  // namespace

ConfigurationService::ConfigurationService(
    boost::asio::any_io_executor executor, const ServiceRegistry& registry,
    const RouterOptions& options)
    : executor(std::move(executor)),
      options(options),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      peers(registry.Find<PeerDirectory>(PeerDirectory::kName)),
      platform(registry.Find<PlatformClient>("platform")) {}

bool ConfigurationService::ParseStored(const TableRow& row,
                                       StoredConfiguration& stored) {
  try {
    json::value value = json::parse(row.value);
    stored.version = value.at("version").to_number<std::uint64_t>();
    stored.document = json::value_to<std::string>(value.at("document"));
    stored.tokens =
        json::value_to<std::vector<std::string>>(value.at("tokens"));
    return true;
  } catch (const std::exception&) {
    Logger::Error("configuration_row_malformed", {{"key", row.key}});
    return false;
  }
}

void ConfigurationService::OnTableRow(const TableRow& row) {
  StoredConfiguration stored;
  if (!ParseStored(row, stored)) return;
  this->fleet->AdoptConfiguration(stored.version, stored.document);
}

Awaitable<std::size_t> ConfigurationService::OnPush(std::uint64_t version,
                                                    std::string document,
                                                    std::string sender) {
  // Only a newer version is forwarded, so that pushes terminate even while
  // routers have different views of the tree.
  if (version <= this->fleet->Config().version) co_return 1;
  if (!this->fleet->AdoptConfiguration(version, document)) co_return 0;
  const std::size_t further = co_await this->Push(sender);
  co_return 1 + further;
}

void ConfigurationService::OnPeerVersion(std::string peer,
                                         std::uint64_t version) {
  if (version <= this->fleet->Config().version || this->fetching) return;
  this->fetching = true;
  boost::asio::co_spawn(
      this->executor,
      [self = this->shared_from_this(), peer]() -> Awaitable<void> {
        co_await self->Fetch(peer);
        self->fetching = false;
      },
      boost::asio::detached);
}

bool ConfigurationService::AdoptReply(const std::string& bytes) {
  wire::ControlReply reply;
  if (!reply.ParseFromString(bytes) || reply.configuration_version() == 0) {
    return false;
  }
  if (this->fleet->Members().members.empty()) {
    this->fleet->SetMembership(MembersFromWire(reply));
    this->peers->SetMembership(this->fleet->Members());
  }
  return this->fleet->AdoptConfiguration(reply.configuration_version(),
                                         reply.document());
}

Awaitable<void> ConfigurationService::Fetch(std::string peer) {
  auto client = this->peers->ControlClient(peer);
  if (client == nullptr) co_return;
  wire::ControlRequest request;
  request.mutable_configuration_fetch();
  auto reply = co_await client->Call(std::string(kControlPath),
                                     request.SerializeAsString(), kPushTimeout);
  if (reply.has_value()) this->AdoptReply(reply.value());
}

Awaitable<void> ConfigurationService::FetchFromSeeds() {
  for (const Endpoint& seed : this->options.seed_peers) {
    PeerClient client(this->executor, seed, this->peers->MutableControlBytes());
    wire::ControlRequest request;
    request.mutable_configuration_fetch();
    auto reply = co_await client.Call(
        std::string(kControlPath), request.SerializeAsString(), kPushTimeout);
    if (reply.has_value() && this->AdoptReply(reply.value())) {
      Logger::Info("configuration_from_seed",
                   {{"seed", seed.address().to_string()}});
    }
  }
}

Awaitable<std::size_t> ConfigurationService::Push(std::string skip) {
  wire::ControlRequest request;
  auto* push = request.mutable_configuration_push();
  const std::uint64_t version = this->fleet->Config().version;
  push->set_version(version);
  push->set_document(this->fleet->Document());
  push->set_sender(this->options.name);
  const std::string bytes = request.SerializeAsString();
  std::vector<std::string> targets = this->fleet->Tree().Children();
  if (!this->fleet->Tree().Parent().empty()) {
    targets.push_back(this->fleet->Tree().Parent());
  }
  auto progress = std::make_shared<PushProgress>(this->executor);
  for (const std::string& target : targets) {
    if (target == skip) continue;
    auto client = this->peers->ControlClient(target);
    if (client == nullptr) continue;
    ++progress->pending;
    boost::asio::co_spawn(
        this->executor,
        [client, bytes, progress]() -> Awaitable<void> {
          auto reply = co_await client->Call(std::string(kControlPath), bytes,
                                             kPushTimeout);
          --progress->pending;
          wire::ControlReply parsed;
          if (reply.has_value() && parsed.ParseFromString(reply.value())) {
            progress->acknowledged += parsed.acknowledged();
          }
          progress->changed.NotifyAll();
        },
        boost::asio::detached);
  }
  const TimePoint deadline = RuntimeClock::now() + kPushTimeout;
  while (progress->pending > 0 && RuntimeClock::now() < deadline) {
    co_await progress->changed.WaitFor(deadline - RuntimeClock::now());
  }
  co_return progress->acknowledged;
}

Awaitable<Result<ProposalResult>> ConfigurationService::TryWrite(
    std::string document, std::uint64_t expected, std::string token) {
  TableOperation get = TableGet{std::string(kTableKey)};
  auto read = co_await this->platform->Submit(std::move(get), kTableTimeout);
  if (read.has_error()) co_return read.error();
  StoredConfiguration stored;
  std::uint64_t revision = 0;
  if (!read.value().rows.empty()) {
    if (!ParseStored(read.value().rows.front(), stored)) {
      co_return Fault{FaultKind::kMalformedMessage,
                      "configuration row is malformed"};
    }
    revision = read.value().rows.front().revision;
  }
  const bool written = std::find(stored.tokens.begin(), stored.tokens.end(),
                                 token) != stored.tokens.end();
  if (written) {
    co_return ProposalResult(ConfigurationAccepted{expected + 1, 0, 0});
  }
  if (stored.version != expected) {
    co_return ProposalResult(ConfigurationConflict{stored.version});
  }
  stored.tokens.push_back(token);
  if (stored.tokens.size() > kMaxTokens) {
    stored.tokens.erase(stored.tokens.begin());
  }
  json::object row{{"version", expected + 1},
                   {"document", document},
                   {"tokens", json::value_from(stored.tokens)}};
  TableOperation swap = TableCompareAndSet{std::string(kTableKey), revision,
                                           json::serialize(row)};
  auto write = co_await this->platform->Submit(std::move(swap), kTableTimeout);
  if (write.has_error()) co_return write.error();
  if (write.value().status == TableStatus::kOk) {
    co_return ProposalResult(ConfigurationAccepted{expected + 1, 0, 0});
  }
  // Another writer changed the row, or an earlier attempt of this call took
  // effect without a response: the next attempt reads the row again.
  co_return Fault{FaultKind::kUnexpectedStatus,
                  "configuration row was changed by another write"};
}

Awaitable<ProposalResult> ConfigurationService::Propose(
    std::string document, std::uint64_t expected_version) {
  ConfigurationMalformed malformed;
  const bool well_formed = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(ParseConfiguration(document, expected_version + 1));
        return true;
      },
      [&](const ConfigurationFaults& found) {
        malformed.faults = found.faults;
        return false;
      },
      [] { return false; });
  if (!well_formed) co_return malformed;

  const std::string token = RandomHex(kTokenBytes);
  const TimePoint deadline = RuntimeClock::now() + kProposalTimeout;
  bool maybe_written = false;
  while (RuntimeClock::now() < deadline) {
    auto attempt = co_await this->TryWrite(document, expected_version, token);
    if (attempt.has_error()) {
      const FaultKind kind = attempt.error().kind;
      maybe_written |= kind != FaultKind::kConnectFailed &&
                       kind != FaultKind::kNotSent &&
                       kind != FaultKind::kUnexpectedStatus;
      co_await SleepFor(kRetryDelay);
      continue;
    }
    auto* accepted = std::get_if<ConfigurationAccepted>(&attempt.value());
    if (accepted == nullptr) co_return attempt.value();
    this->fleet->AdoptConfiguration(accepted->version, document);
    accepted->members = this->fleet->Members().members.size();
    accepted->acknowledged = 1 + co_await this->Push("");
    co_return *accepted;
  }
  co_return ConfigurationUnconfirmed{!maybe_written};
}

}  // namespace dandelionscale::internal
