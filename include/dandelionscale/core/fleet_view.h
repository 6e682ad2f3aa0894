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

/// \brief The routers of the fleet, from the platform's table.
struct Membership {
  std::uint64_t revision = 0;
  std::vector<Member> members;

  const Member* Find(std::string_view name) const;
  /// \returns names ordered by their hashes, the same on every router.
  std::vector<std::string> NamesByHash() const;
};

/// \brief The routing data of one engine.
struct FleetEngine {
  std::string name;
  std::uint64_t hash = 0;  ///< Hash of the name.
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
  std::uint64_t hash = 0;            ///< Hash of the name.
  std::vector<EngineIndex> engines;  ///< All engines, including draining ones.
};

/// \brief Immutable routing state of one router, a pure function of
/// configuration, host list and membership.
///
/// The owner of an engine is chosen by rendezvous hashing over the routers of
/// its availability zone that are not draining, or over all routers that are
/// not draining if the zone has none. Routers with the same inputs therefore
/// agree on the owners without exchanging messages.
class FleetView {
 public:
  FleetView() = default;
  /// \param leaving_hosts hosts that the host list shows as leaving; engines of
  /// these names count as draining.
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

  /// \returns the engine with the highest rendezvous weight for `key` among
  /// those that are neither draining nor in `excluded`; nothing if there is
  /// none.
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
