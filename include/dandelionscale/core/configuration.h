#ifndef DANDELIONSCALE_CORE_CONFIGURATION_H_
#define DANDELIONSCALE_CORE_CONFIGURATION_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionscale {

/// \brief Protocol of a service: chat completions, or arbitrary HTTP calls.
enum class ServiceKind { kChat, kPlain };

/// \brief One service of the inventory.
struct ServiceConfig {
  std::string name;
  ServiceKind kind = ServiceKind::kChat;
  /// Bound on the load of an engine, as a multiple of the service's mean load.
  double load_factor = 1.25;
  /// True if `GET /v1/status/{idempotency key}` reports whether a call has run.
  bool status_lookup = false;
};

/// \brief One engine of the inventory.
struct EngineConfig {
  std::string name;
  std::string service;
  std::string availability_zone;
  std::string address;  ///< IP:PORT.
  /// Most requests that the engine runs concurrently.
  std::uint32_t max_in_flight = 64;
};

/// \brief One workspace of the inventory.
struct WorkspaceConfig {
  std::string name;
  std::uint32_t weight = 1;    ///< Relative share of a contended engine.
  std::uint32_t priority = 1;  ///< 0 is served first.
};

/// \brief Inventory and rules, written by operators.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<std::string> availability_zones;
  std::vector<ServiceConfig> services;
  std::vector<EngineConfig> engines;
  std::vector<WorkspaceConfig> workspaces;
  std::vector<std::string> draining_engines;

  const ServiceConfig* FindService(std::string_view name) const;
  const WorkspaceConfig* FindWorkspace(std::string_view name) const;
};

/// \brief One validation error of a configuration document.
struct ConfigurationFault {
  std::string path;  ///< JSON pointer to the invalid value.
  std::string message;
};

/// \brief Error type with all validation errors, found in one pass.
struct ConfigurationFaults {
  std::vector<ConfigurationFault> faults;
};

/// \brief Parses and validates a JSON document.
/// \param version assigned to the result; a version in the text is ignored.
/// \returns the configuration; error: `ConfigurationFaults`.
boost::leaf::result<Configuration> ParseConfiguration(std::string_view text,
                                                      std::uint64_t version);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_CONFIGURATION_H_
