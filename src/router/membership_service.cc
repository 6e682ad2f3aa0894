#include "router/membership_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kMemberPrefix = "member/";
constexpr std::string_view kLeasePrefix = "lease/";
constexpr std::string_view kStateLive = "live";
constexpr std::string_view kStateDraining = "draining";
constexpr std::string_view kStateLeft = "left";
constexpr Duration kTableTimeout = std::chrono::milliseconds(1500);
constexpr int kRenewalsPerLease = 3;

std::string Key(std::string_view prefix, std::string_view name) {
  return std::string(prefix) + std::string(name);
}

}  // namespace

MembershipService::MembershipService(boost::asio::any_io_executor executor,
                                     const ServiceRegistry& registry,
                                     const RouterOptions& options)
    : executor(std::move(executor)),
      options(options),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      peers(registry.Find<PeerDirectory>(PeerDirectory::kName)),
      platform(registry.Find<PlatformClient>("platform")),
      configuration(
          registry.Find<ConfigurationService>(ConfigurationService::kName)),
      lease(options.lease_length),
      lease_watch(options.name, options.lease_length) {}

Awaitable<void> MembershipService::Start() {
  co_await this->Poll();
  if (!this->fleet->IsConfigured()) {
    co_await this->configuration->FetchFromSeeds();
  }
  boost::asio::co_spawn(
      this->executor,
      [self = this->shared_from_this()]() -> Awaitable<void> {
        co_await self->Loop();
      },
      boost::asio::detached);
}

Awaitable<void> MembershipService::Loop() {
  while (!this->stopping) {
    co_await SleepFor(this->options.poll_interval);
    if (this->stopping) break;
    co_await this->Poll();
    if (!this->fleet->IsConfigured()) {
      co_await this->configuration->FetchFromSeeds();
    }
  }
}

std::string MembershipService::SerializeOwnRow(std::string_view state) const {
  const Endpoint& peer = this->options.peer_address;
  return json::serialize(json::object{
      {"availability_zone", this->options.availability_zone},
      {"peer_address",
       peer.address().to_string() + ":" + std::to_string(peer.port())},
      {"incarnation", this->incarnation},
      {"state", state}});
}

void MembershipService::SetPlatformReachable(bool reachable) {
  if (reachable == this->platform_reachable) return;
  this->platform_reachable = reachable;
  if (reachable) {
    Logger::Info("platform_reachable");
  } else {
    Logger::Warning("platform_unreachable");
    // Leases could not be renewed during the outage, so observations from
    // before it do not show that one has expired.
    this->lease_watch.Reset();
  }
}

Awaitable<bool> MembershipService::Register() {
  const std::string key = Key(kMemberPrefix, this->options.name);
  TableOperation get = TableGet{key};
  auto read = co_await this->platform->Submit(std::move(get), kTableTimeout);
  if (read.has_error()) co_return false;
  std::uint64_t revision = 0;
  if (!read.value().rows.empty()) {
    this->OnMemberRow(read.value().rows.front());
    const MemberRow& previous = this->rows[this->options.name];
    revision = previous.revision;
    this->incarnation =
        std::max(this->incarnation, previous.member.incarnation);
  }
  ++this->incarnation;
  const std::string_view state =
      this->fleet->draining ? kStateDraining : kStateLive;
  TableOperation swap =
      TableCompareAndSet{key, revision, this->SerializeOwnRow(state)};
  auto write = co_await this->platform->Submit(std::move(swap), kTableTimeout);
  if (write.has_error() || write.value().status != TableStatus::kOk) {
    co_return false;
  }
  this->registered = true;
  this->renewed_at = TimePoint();
  Logger::Info("joined_fleet",
               {{"incarnation", static_cast<std::int64_t>(this->incarnation)}});
  co_return true;
}

Awaitable<void> MembershipService::Poll() {
  if (!this->registered && !co_await this->Register()) {
    this->SetPlatformReachable(false);
    co_return;
  }
  std::vector<TableOperation> operations;
  operations.push_back(
      TableScan{std::string(kMemberPrefix), this->scanned_revision});
  operations.push_back(TableScan{"config/", this->scanned_revision});
  const std::vector<std::string> watched = this->lease_watch.Watched();
  for (const std::string& name : watched) {
    operations.push_back(TableGet{Key(kLeasePrefix, name)});
  }
  const TimePoint now = RuntimeClock::now();
  const bool renew =
      now - this->renewed_at >= this->options.lease_length / kRenewalsPerLease;
  if (renew) {
    operations.push_back(TablePut{Key(kLeasePrefix, this->options.name),
                                  std::to_string(this->incarnation)});
  }
  auto response =
      co_await this->platform->Batch(std::move(operations), kTableTimeout);
  this->SetPlatformReachable(response.has_value());
  if (response.has_error()) co_return;
  const std::vector<TableResult>& results = response.value();
  if (renew) {
    this->renewed_at = now;
    this->lease.OnRenewed(now);
  }
  for (const TableRow& row : results[0].rows) this->OnMemberRow(row);
  if (!results[0].rows.empty()) this->ApplyMembers();
  for (const TableRow& row : results[1].rows) {
    this->configuration->OnTableRow(row);
  }
  this->scanned_revision =
      std::max(this->scanned_revision, results[0].revision);
  for (std::size_t i = 0; i < watched.size(); ++i) {
    const auto& rows = results[2 + i].rows;
    const std::uint64_t revision = rows.empty() ? 0 : rows.front().revision;
    if (this->lease_watch.Observe(watched[i], revision, RuntimeClock::now())) {
      co_await this->Evict(watched[i]);
    }
  }
  co_await this->PollHosts();
}

void MembershipService::OnMemberRow(const TableRow& row) {
  const std::string name = row.key.substr(kMemberPrefix.size());
  try {
    json::value value = json::parse(row.value);
    MemberRow parsed;
    parsed.member.name = name;
    parsed.member.availability_zone =
        json::value_to<std::string>(value.at("availability_zone"));
    parsed.member.peer_address =
        json::value_to<std::string>(value.at("peer_address"));
    parsed.member.incarnation =
        value.at("incarnation").to_number<std::uint64_t>();
    const auto& state = value.at("state").as_string();
    parsed.member.draining = state == kStateDraining;
    parsed.left = state == kStateLeft;
    parsed.revision = row.revision;
    this->rows[name] = std::move(parsed);
  } catch (const std::exception&) {
    Logger::Error("member_row_malformed", {{"key", row.key}});
  }
}

void MembershipService::ApplyMembers() {
  Membership membership;
  for (const auto& [name, row] : this->rows) {
    membership.revision = std::max(membership.revision, row.revision);
    if (!row.left) membership.members.push_back(row.member);
  }
  auto own = this->rows.find(this->options.name);
  if (own != this->rows.end() && own->second.left && !this->stopping) {
    Logger::Warning("evicted_from_fleet");
    this->registered = false;
    this->lease.OnLost();
  }
  Logger::Info(
      "membership_changed",
      {{"members", static_cast<std::int64_t>(membership.members.size())}});
  this->lease_watch.SetMembership(membership);
  this->peers->SetMembership(membership);
  this->fleet->SetMembership(std::move(membership));
}

Awaitable<void> MembershipService::Evict(std::string name) {
  auto found = this->rows.find(name);
  if (found == this->rows.end() || found->second.left) co_return;
  const Member& member = found->second.member;
  std::string value = json::serialize(
      json::object{{"availability_zone", member.availability_zone},
                   {"peer_address", member.peer_address},
                   {"incarnation", member.incarnation},
                   {"state", kStateLeft}});
  const std::uint64_t revision = found->second.revision;
  Logger::Warning("lease_expired", {{"router", name}});
  TableOperation swap =
      TableCompareAndSet{Key(kMemberPrefix, name), revision, std::move(value)};
  co_await this->platform->Submit(std::move(swap), kTableTimeout);
}

Awaitable<bool> MembershipService::WriteOwnRow(std::string_view state) {
  auto found = this->rows.find(this->options.name);
  if (found == this->rows.end()) co_return false;
  TableOperation swap =
      TableCompareAndSet{Key(kMemberPrefix, this->options.name),
                         found->second.revision, this->SerializeOwnRow(state)};
  auto write = co_await this->platform->Submit(std::move(swap), kTableTimeout);
  co_return write.has_value() && write.value().status == TableStatus::kOk;
}

Awaitable<void> MembershipService::AnnounceDraining() {
  co_await this->WriteOwnRow(kStateDraining);
  co_await this->Poll();
}

Awaitable<void> MembershipService::Leave() {
  this->stopping = true;
  co_await this->WriteOwnRow(kStateLeft);
}

Awaitable<void> MembershipService::PollHosts() {
  auto list =
      co_await this->platform->Hosts(this->hosts_revision, kTableTimeout);
  if (list.has_error()) co_return;
  this->hosts_revision = list.value().revision;
  if (this->drain_tracker.OnHosts(list.value().hosts)) {
    Logger::Info("leaving_hosts_changed",
                 {{"leaving", static_cast<std::int64_t>(
                                  this->drain_tracker.Leaving().size())}});
    this->fleet->SetLeavingHosts(this->drain_tracker.Leaving());
  }
}

}  // namespace dandelionscale::internal
