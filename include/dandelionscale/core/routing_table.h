#ifndef DANDELIONSCALE_CORE_ROUTING_TABLE_H_
#define DANDELIONSCALE_CORE_ROUTING_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief What may be repeated, and how the answer arrives.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run at most once for each client attempt.
  kStreaming,      ///< A series of events; repeatable only if resumable.
};

/// \brief One service of a route that is split between several.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/// \brief One entry of the routing table.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout = std::chrono::seconds(30);
  Duration latency_target = std::chrono::seconds(1);
  std::uint32_t priority = 5;  ///< 0 is served first.
  std::vector<WeightedService> services;
  std::uint32_t max_attempts = 1;  ///< Engines that one request may reach.
  bool is_public = false;          ///< Needs no key.
  bool resumable = false;          ///< A stream may go on at another engine.

  /// \returns true if a request may run again after it may have run.
  bool IsRepeatable() const {
    if (this->kind == RouteKind::kStreaming) return this->resumable;
    return this->kind == RouteKind::kIdempotent;
  }
};

/// \brief One service and what its engines accept.
struct ServiceSpec {
  std::string name;
  std::uint32_t max_connections = 100;  ///< To one engine, from all routers.
  bool is_model = false;                ///< Its engines cache prompts.
};

/// \brief Bounds on what a client may send and how long it may take.
struct ClientLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// \brief A workspace as the routing table knows it.
struct WorkspaceEntry {
  std::string name;
  std::optional<std::uint32_t> priority;  ///< Goes before the route's.
};

/// \brief One version of routes, services, keys and limits; immutable in use.
class RoutingTable {
 public:
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, WorkspaceEntry, std::less<>> workspaces_by_key;
  bool keys_required = false;  ///< True if any workspace is configured.
  ClientLimits limits;

  /// \brief Prepares the look-ups; call once after the fields are set.
  void BuildIndex();
  /// \returns the route of `host` with the longest prefix that begins `path`,
  ///          or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// \returns the workspace that holds `key`, or null.
  const WorkspaceEntry* FindWorkspace(std::string_view key) const;

 private:
  // Host to indices of `routes`, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host;
};

/// \returns the service that serves a request: by weight, the same for equal
///          values of `key`.
std::string_view ChooseService(const Route& route, std::uint64_t key);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ROUTING_TABLE_H_
