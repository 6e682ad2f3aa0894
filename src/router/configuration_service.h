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

/// \brief Answers to a proposed configuration.
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
/// \brief The platform can't say whether the write happened.
struct ConfigurationUndecided {
  bool certainly_not_written = false;
};
using ConfigurationAnswer =
    std::variant<ConfigurationAccepted, ConfigurationMalformed,
                 ConfigurationConflict, ConfigurationUndecided>;

/// \brief Accepts configurations and spreads them.
///
/// A configuration is accepted once its compare-and-set in the platform's table
/// is known to have succeeded. Versions only rise; a router adopts whatever
/// newer version it hears of from the table, a push or a digest.
class ConfigurationService
    : public std::enable_shared_from_this<ConfigurationService> {
 public:
  static constexpr std::string_view kName = "configuration";
  static constexpr std::string_view kTableKey = "config/current";

  ConfigurationService(boost::asio::any_io_executor executor,
                       const ServiceRegistry& registry,
                       const RouterOptions& options);

  /// \brief Proposes a document that replaces `expected_version`.
  Awaitable<ConfigurationAnswer> Propose(std::string document,
                                         std::uint64_t expected_version);

  /// \brief Takes the table's row.
  void OnTableRow(const TableRow& row);
  /// \brief Takes a push and hands it on away from `sender`.
  /// \returns routers in that direction, this one included, that are known to
  /// have it in force.
  Awaitable<std::size_t> OnPush(std::uint64_t version, std::string document,
                                std::string sender);
  /// \brief A peer was heard to have `version`; fetches it if newer.
  void OnPeerVersion(std::string peer, std::uint64_t version);
  /// \brief Gets configuration and members from seed peers, for a start while
  /// the platform is down.
  Awaitable<void> FetchFromSeeds();

 private:
  struct Stored {
    std::uint64_t version = 0;
    std::string document;
    std::vector<std::string> tokens;
  };
  static bool ParseStored(const TableRow& row, Stored& stored);
  Awaitable<Result<ConfigurationAnswer>> TryWrite(std::string document,
                                                  std::uint64_t expected,
                                                  std::string token);
  Awaitable<std::size_t> Push(std::string skip);
  Awaitable<void> Fetch(std::string peer);
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
