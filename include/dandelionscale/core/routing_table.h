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

/// \brief Whether requests may be repeated, and how they are answered.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run at most once per client request.
  kStreaming,      ///< Answered by an event stream; see `resumable`.
};

/// \brief A service and its share of a route's requests.
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
  /// Limits the wait for an engine, and the time without data from an engine
  /// after which a repeatable request is sent to another one.
  Duration latency_target = std::chrono::seconds(1);
  std::uint32_t priority = 5;  ///< 0 is served first.
  std::vector<WeightedService> services;
  std::uint32_t max_attempts = 1;  ///< Limit on sends that reach an engine.
  bool is_public = false;          ///< Needs no API key.
  bool resumable = false;          ///< Another engine may continue a stream.

  /// \returns true if a request may run again after it may have run.
  bool IsRepeatable() const {
    if (this->kind == RouteKind::kStreaming) return this->resumable;
    return this->kind == RouteKind::kIdempotent;
  }
};

/// \brief A service and the properties of its engines.
struct ServiceSpec {
  std::string name;
  std::uint32_t max_connections = 100;  ///< To one engine, from all routers.
  bool is_model = false;                ///< Its engines cache prompts.
  Duration warm_up_time{};  ///< After the start of an engine; 0: it has none.
  /// Requests per second that an engine takes from all routers together while
  /// it warms up; 0: no limit.
  double warm_up_rate = 0;

  /// \returns true if engines that warm up get a limited rate of requests.
  bool HasWarmUp() const {
    return this->warm_up_time > Duration::zero() && this->warm_up_rate > 0;
  }
};

/// \brief Limits on the size and duration of client requests.
struct ClientLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// \brief A workspace's settings.
struct WorkspaceEntry {
  std::string name;
  std::optional<std::uint32_t> priority;  ///< Overrides the route's priority.
};

/// \brief One version of routes, services, API keys and limits; not modified
///        once in use.
class RoutingTable {
 public:
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  /// Workspaces by API key.
  std::map<std::string, WorkspaceEntry, std::less<>> workspaces_by_key;
  /// True if workspaces are configured: non-public routes need an API key.
  bool keys_required = false;
  ClientLimits limits;

  /// \brief Builds the look-up index; call once after the fields are set.
  void BuildIndex();
  /// \returns the route of `host` with the longest prefix that `path` starts
  ///          with, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// \returns the workspace that the API key `key` belongs to, or null.
  const WorkspaceEntry* FindWorkspace(std::string_view key) const;

 private:
  // Host to indices of `routes`, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host;
};

/// \brief Chooses one of the route's services by weight.
/// \param key requests with the same key get the same service.
/// \returns the name of the service; empty if the weights add up to 0.
std::string_view ChooseService(const Route& route, std::uint64_t key);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ROUTING_TABLE_H_
