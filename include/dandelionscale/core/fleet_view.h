#ifndef DANDELIONSCALE_CORE_FLEET_VIEW_H_
#define DANDELIONSCALE_CORE_FLEET_VIEW_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/configuration.h"

namespace dandelionscale {

using EngineIndex = std::uint16_t;
using ServiceIndex = std::uint16_t;

/// \brief One router as listed in the platform's table.
struct Member {
  std::string name;
  std::string availability_zone;
  std::string peer_address;
  std::uint64_t incarnation = 0;
  bool draining = false;

  bool operator==(const Member&) const = default;
};

/// \brief Routers that take part, from the platform's table.
struct Membership {
  std::uint64_t revision = 0;
  std::vector<Member> members;

  const Member* Find(std::string_view name) const;
  /// \returns names ordered by their hashes, the same on every router.
  std::vector<std::string> NamesByHash() const;
};

/// \brief One engine with what routing needs of it.
struct FleetEngine {
  std::string name;
  std::uint64_t hash = 0;
  ServiceIndex service = 0;
  std::string address;
  std::string availability_zone;
  std::uint32_t max_in_flight = 0;
  bool draining = false;
  std::string owner;  ///< Name of the owning router; empty if there is none.
};

/// \brief One service and its engines.
struct FleetService {
  ServiceConfig config;
  std::uint64_t hash = 0;
  std::vector<EngineIndex> engines;  ///< All engines, draining ones too.
};

/// \brief What one router believes of the fleet; a pure function of
/// configuration, host list and membership.
///
/// The owner of an engine is found by rendezvous hashing over the routers of
/// its availability zone that are not draining, or over all routers if the
/// zone has none, so that equal views give equal owners without messages.
class FleetView {
 public:
  FleetView() = default;
  /// \param leaving_hosts names of engines that the host list says leave.
  FleetView(const Configuration& configuration, const Membership& membership,
            const std::set<std::string>& leaving_hosts);

  std::span<const FleetEngine> Engines() const { return this->engines; }
  std::span<const FleetService> Services() const { return this->services; }
  const FleetEngine& Engine(EngineIndex index) const {
    return this->engines[index];
  }
  std::optional<EngineIndex> FindEngine(std::string_view name) const;
  std::optional<EngineIndex> FindEngineByHash(std::uint64_t hash) const;
  std::optional<ServiceIndex> FindService(std::string_view name) const;

  /// \returns the engine that is not draining with the highest rendezvous
  /// weight for `key`, without those in `excluded`.
  std::optional<EngineIndex> FirstByHash(
      ServiceIndex service, std::uint64_t key,
      std::span<const EngineIndex> excluded = {}) const;

  /// \returns all engines that are not draining, highest weight first.
  std::vector<EngineIndex> RankByHash(ServiceIndex service,
                                      std::uint64_t key) const;

 private:
  std::vector<FleetEngine> engines;
  std::vector<FleetService> services;
  std::unordered_map<std::string, EngineIndex> by_name;
  std::unordered_map<std::uint64_t, EngineIndex> by_hash;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_FLEET_VIEW_H_
