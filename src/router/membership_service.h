#ifndef DANDELIONSCALE_SRC_ROUTER_MEMBERSHIP_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_MEMBERSHIP_SERVICE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/platform.h"
#include "dandelionscale/runtime/service_registry.h"
#include "router/configuration_service.h"
#include "router/fleet_state.h"
#include "router/peer_directory.h"

namespace dandelionscale::internal {

/// \brief Keeps this router's rows in the platform's table and follows others'.
///
/// `member/NAME` changes only when a router joins, drains or leaves, so that
/// all follow it by reading what changed; `lease/NAME` is renewed and is read
/// by the router's two watchers alone. A watcher that sees a lease run out
/// marks the member as left; a router that finds itself marked joins anew.
class MembershipService
    : public std::enable_shared_from_this<MembershipService> {
 public:
  static constexpr std::string_view kName = "membership";

  MembershipService(boost::asio::any_io_executor executor,
                    const ServiceRegistry& registry,
                    const RouterOptions& options);

  /// \brief Polls once, then goes on in the background.
  Awaitable<void> Start();
  /// \brief Tells the fleet that this router takes no more ownership.
  Awaitable<void> AnnounceDraining();
  /// \brief Leaves the fleet.
  Awaitable<void> Leave();
  void Stop() { this->stopping = true; }

  bool IsPlatformReachable() const { return this->platform_reachable; }
  bool HoldsLease() const { return this->lease.IsHeld(RuntimeClock::now()); }

 private:
  struct Row {
    Member member;
    std::uint64_t revision = 0;
    bool left = false;
  };

  Awaitable<void> Loop();
  Awaitable<void> Poll();
  Awaitable<bool> Register();
  Awaitable<bool> WriteOwnRow(std::string_view state);
  Awaitable<void> Evict(std::string name);
  Awaitable<void> PollHosts();
  void OnMemberRow(const TableRow& row);
  void ApplyMembers();
  std::string OwnRow(std::string_view state) const;
  void NotePlatform(bool reachable);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<PlatformClient> platform;
  std::shared_ptr<ConfigurationService> configuration;
  OwnLease lease;
  LeaseWatch watch;
  DrainTracker hosts;
  std::map<std::string, Row> rows;
  std::uint64_t incarnation = 0;
  std::uint64_t scanned_revision = 0;
  std::uint64_t hosts_revision = 0;
  TimePoint renewed_at;
  bool registered = false;
  bool platform_reachable = false;
  bool stopping = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_MEMBERSHIP_SERVICE_H_
