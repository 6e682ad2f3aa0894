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

/// \brief Maintains this router's rows in the platform's table and tracks the
/// other routers by theirs.
///
/// `member/NAME` changes only when a router joins, drains or leaves, so that a
/// poll reads only the few rows that changed. `lease/NAME` is renewed
/// periodically and is read only by the two routers that watch this router. A
/// watcher that detects an expired lease marks the member as left; a router
/// that reads that it is marked as left registers again with a new incarnation.
class MembershipService
    : public std::enable_shared_from_this<MembershipService> {
 public:
  static constexpr std::string_view kName = "membership";

  MembershipService(boost::asio::any_io_executor executor,
                    const ServiceRegistry& registry,
                    const RouterOptions& options);

  /// \brief Polls the platform once, then periodically in the background.
  Awaitable<void> Start();
  /// \brief Publishes that this router is draining, so that its engines pass to
  /// other owners.
  Awaitable<void> AnnounceDraining();
  /// \brief Stops polling and publishes that this router has left the fleet.
  Awaitable<void> Leave();
  void Stop() { this->stopping = true; }

  /// \returns true if the last poll succeeded.
  bool IsPlatformReachable() const { return this->platform_reachable; }
  bool HoldsLease() const { return this->lease.IsHeld(RuntimeClock::now()); }

 private:
  /// \brief Content of a `member/NAME` row.
  struct MemberRow {
    Member member;
    std::uint64_t revision = 0;
    bool left = false;
  };

  Awaitable<void> Loop();
  Awaitable<void> Poll();
  /// \brief Writes this router's row with a new incarnation.
  Awaitable<bool> Register();
  Awaitable<bool> WriteOwnRow(std::string_view state);
  /// \brief Marks a member whose lease has expired as left.
  Awaitable<void> Evict(std::string name);
  Awaitable<void> PollHosts();
  void OnMemberRow(const TableRow& row);
  void ApplyMembers();
  /// \returns the value of this router's row.
  std::string SerializeOwnRow(std::string_view state) const;
  void SetPlatformReachable(bool reachable);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<PlatformClient> platform;
  std::shared_ptr<ConfigurationService> configuration;
  OwnLease lease;
  LeaseWatch lease_watch;
  DrainTracker drain_tracker;
  std::map<std::string, MemberRow> rows;
  std::uint64_t incarnation = 0;
  /// Revision of the table up to which rows have been read.
  std::uint64_t scanned_revision = 0;
  std::uint64_t hosts_revision = 0;
  TimePoint renewed_at;
  bool registered = false;
  bool platform_reachable = false;
  bool stopping = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_MEMBERSHIP_SERVICE_H_
