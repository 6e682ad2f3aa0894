#ifndef DANDELIONSCALE_SRC_ROUTER_CONFIGURATION_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_CONFIGURATION_SERVICE_H_

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dandelionscale/platform.h"
#include "dandelionscale/runtime/service_registry.h"
#include "router/fleet_state.h"
#include "router/peer_directory.h"

namespace dandelionscale::internal {

/// \brief Results of a proposed configuration.
struct ConfigurationAccepted {
  std::uint64_t version = 0;
  std::size_t acknowledged = 0;  ///< Routers known to have it in force.
  std::size_t members = 0;
};
struct ConfigurationMalformed {
  std::vector<ConfigurationFault> faults;
};
struct ConfigurationConflict {
  std::uint64_t current_version = 0;
};
/// \brief No attempt to write the configuration was confirmed in time.
struct ConfigurationUnconfirmed {
  /// True if no attempt can have taken effect.
  bool certainly_not_written = false;
};
using ProposalResult =
    std::variant<ConfigurationAccepted, ConfigurationMalformed,
                 ConfigurationConflict, ConfigurationUnconfirmed>;

/// \brief Accepts configurations and distributes them in the fleet.
///
/// A configuration is accepted once its compare-and-set in the platform's table
/// is known to have succeeded. Versions only increase. A router adopts every
/// newer version that it reads from the table or receives in a push, and
/// fetches one that a digest reports.
class ConfigurationService
    : public std::enable_shared_from_this<ConfigurationService> {
 public:
  static constexpr std::string_view kName = "configuration";
  static constexpr std::string_view kTableKey = "config/current";

  ConfigurationService(boost::asio::any_io_executor executor,
                       const ServiceRegistry& registry,
                       const RouterOptions& options);

  /// \brief Proposes a document that replaces `expected_version`.
  Awaitable<ProposalResult> Propose(std::string document,
                                    std::uint64_t expected_version);

  /// \brief Adopts the configuration in the table's row if it is newer.
  void OnTableRow(const TableRow& row);
  /// \brief Adopts a pushed configuration and forwards it to the neighbours in
  /// the digest tree except `sender`.
  /// \returns the number of routers reached this way, this one included, that
  /// are known to have it in force.
  Awaitable<std::size_t> OnPush(std::uint64_t version, std::string document,
                                std::string sender);
  /// \brief Fetches the configuration of `peer` if `version`, which the peer
  /// reported, is newer than the one in force.
  void OnPeerVersion(std::string peer, std::uint64_t version);
  /// \brief Fetches configuration and members from the seed peers, so that a
  /// router can start while the platform is down.
  Awaitable<void> FetchFromSeeds();

 private:
  /// \brief Content of the table's row.
  struct StoredConfiguration {
    std::uint64_t version = 0;
    std::string document;
    /// Random tokens of the last writes, by which a writer recognizes its own
    /// write after it lost the response.
    std::vector<std::string> tokens;
  };
  /// \returns false if the row is malformed.
  static bool ParseStored(const TableRow& row, StoredConfiguration& stored);
  /// \brief Makes one attempt at the compare-and-set.
  /// \returns a fault if the attempt must be repeated.
  Awaitable<Result<ProposalResult>> TryWrite(std::string document,
                                             std::uint64_t expected,
                                             std::string token);
  /// \brief Sends the configuration in force to the neighbours in the digest
  /// tree except `skip`.
  /// \returns the number of routers that acknowledged it.
  Awaitable<std::size_t> Push(std::string skip);
  Awaitable<void> Fetch(std::string peer);
  /// \brief Adopts the configuration in a reply, and its members if this
  /// router has none.
  bool AdoptReply(const std::string& bytes);

  boost::asio::any_io_executor executor;
  RouterOptions options;
  std::shared_ptr<FleetState> fleet;
  std::shared_ptr<PeerDirectory> peers;
  std::shared_ptr<PlatformClient> platform;
  bool fetching = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_CONFIGURATION_SERVICE_H_
