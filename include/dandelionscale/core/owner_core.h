#ifndef DANDELIONSCALE_CORE_OWNER_CORE_H_
#define DANDELIONSCALE_CORE_OWNER_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dandelionscale/core/fleet_view.h"
#include "dandelionscale/core/load_bound.h"
#include "dandelionscale/core/reasons.h"
#include "dandelionscale/core/session_memory.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Asks an owner where a request goes.
struct PlaceRequest {
  ServiceIndex service = 0;
  std::uint64_t session_key = 0;
  std::uint64_t workspace_hash = 0;
  std::uint32_t workspace_weight = 1;
  /// Engine that must serve; none: the owner chooses.
  std::optional<EngineIndex> engine;
  std::span<const EngineIndex> excluded;
  /// The engine already runs the request, so that the bound is not asked.
  bool resume = false;
};

/// \brief The request may be sent to `engine`; counted until `Finish`.
struct PlaceAdmit {
  EngineIndex engine = 0;
  PlacementReason reason = PlacementReason::kHashed;
};
/// \brief Another owner must be asked for `engine`.
struct PlaceRedirect {
  EngineIndex engine = 0;
  PlacementReason reason = PlacementReason::kHashed;
};
/// \brief No slot now; worth asking again when load or mean has changed.
struct PlaceWait {
  RefusalReason reason = RefusalReason::kAtLoadBound;
};
struct PlaceRefuse {
  RefusalReason reason = RefusalReason::kNone;
};
using PlaceDecision =
    std::variant<PlaceAdmit, PlaceRedirect, PlaceWait, PlaceRefuse>;

/// \brief Decisions of one router on the engines that it owns.
///
/// Without I/O: callers pass the time and carry the decisions out. The owner
/// counts every request that it admits; what others run on its engines (an
/// earlier owner, or local shares) it learns from the engines' load reports.
class OwnerCore {
 public:
  struct Options {
    std::string router;
    std::size_t session_capacity = 400'000;
  };

  explicit OwnerCore(Options options);

  /// \brief Takes a new view; loads and sessions carry over by engine name.
  void SetView(std::shared_ptr<const FleetView> view);
  const FleetView& View() const { return *this->view; }

  /// \brief Takes the fleet-wide load of a service, as of a moment ago.
  /// \param own_then what this router had contributed to that total.
  void SetFleetLoad(ServiceIndex service, const ServiceLoadTotal& total,
                    const ServiceLoadTotal& own_then);

  /// \returns the load of the live engines that this router owns.
  ServiceLoadTotal OwnLoad(ServiceIndex service) const;

  PlaceDecision Place(const PlaceRequest& request);

  /// \brief Serves a request for a named engine, or one sent to this owner
  /// because others are full: any owned engine with room will do.
  PlaceDecision PlaceDirected(const PlaceRequest& request);

  /// \brief Admits without an owner, within this router's local share.
  PlaceDecision PlaceLocalShare(const PlaceRequest& request);

  /// \brief Counts a request chosen by a baseline policy.
  void AdmitBaseline(EngineIndex engine, std::uint64_t workspace_hash);

  /// \brief Ends a request that was admitted.
  void Finish(EngineIndex engine, std::uint64_t workspace_hash);

  /// \brief Takes a load report of an owned engine.
  /// \param running requests that the engine says it runs.
  void OnLoadReport(EngineIndex engine, std::uint32_t running);
  /// \brief The engine can't be reached; it gets nothing until it reports.
  void OnEngineDown(EngineIndex engine);
  bool IsDown(EngineIndex engine) const;

  bool Owns(EngineIndex engine) const;
  /// \returns load as counted here plus what others run there.
  std::uint32_t Load(EngineIndex engine) const;
  std::uint32_t Admitted(EngineIndex engine) const;
  std::uint32_t Reported(EngineIndex engine) const;
  /// \returns the most that one engine of the service may carry now.
  std::uint32_t Cap(ServiceIndex service) const;

  SessionMemory& Sessions() { return this->sessions; }

 private:
  struct EngineState {
    std::uint32_t admitted = 0;
    std::uint32_t reported = 0;
    std::uint32_t foreign = 0;
    // Highest admitted count since the report before last: load reports lag.
    std::uint32_t peak_now = 0;
    std::uint32_t peak_before = 0;
    bool down = false;
    /// Requests in flight by workspace; `holders` of them are not zero.
    std::unordered_map<std::uint64_t, std::uint32_t> by_workspace;
    std::uint32_t holders = 0;
  };
  struct FleetLoad {
    ServiceLoadTotal total;
    ServiceLoadTotal own_then;
    bool known = false;
  };

  bool IsCandidate(EngineIndex engine,
                   std::span<const EngineIndex> excluded) const;
  bool HasRoom(EngineIndex engine) const;
  bool IsWithinShare(EngineIndex engine, const PlaceRequest& request) const;
  std::optional<EngineIndex> LeastLoadedOwned(
      const PlaceRequest& request) const;
  std::optional<PlaceDecision> TryEngine(EngineIndex engine,
                                         const PlaceRequest& request,
                                         PlacementReason reason);
  PlaceAdmit Admit(EngineIndex engine, const PlaceRequest& request,
                   PlacementReason reason);

  Options options;
  std::shared_ptr<const FleetView> view;
  std::vector<EngineState> engines;
  std::vector<FleetLoad> fleet;
  SessionMemory sessions;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_OWNER_CORE_H_
