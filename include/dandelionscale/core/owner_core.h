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
#include "dandelionscale/core/load/load_bound.h"
#include "dandelionscale/core/reasons.h"
#include "dandelionscale/core/session_memory.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief One request for which the owner is to choose an engine.
struct PlaceRequest {
  ServiceIndex service = 0;
  std::uint64_t session_key = 0;
  std::uint64_t workspace_hash = 0;
  /// Weight of the workspace when an engine is contended.
  std::uint32_t workspace_weight = 1;
  /// Engine that must serve the request; if absent, the owner chooses one.
  std::optional<EngineIndex> engine;
  /// Engines that must not be chosen, as earlier attempts failed on them.
  std::span<const EngineIndex> excluded;
  /// The engine is already running the request, which is admitted without any
  /// check.
  bool resume = false;
};

/// \brief The request may be sent to `engine`. It counts towards the engine's
/// load until `OwnerCore::Finish`.
struct PlaceAdmit {
  EngineIndex engine = 0;
  PlacementReason reason = PlacementReason::kHashed;
};
/// \brief The request must be forwarded to the router that owns `engine`.
struct PlaceRedirect {
  EngineIndex engine = 0;
  PlacementReason reason = PlacementReason::kHashed;
};
/// \brief No slot is free. The request can be placed again when an engine's
/// load or the mean load of the service has changed.
struct PlaceWait {
  RefusalReason reason = RefusalReason::kAtLoadBound;
};
/// \brief The request can't be placed by this router.
struct PlaceRefuse {
  RefusalReason reason = RefusalReason::kNone;
};
using PlaceDecision =
    std::variant<PlaceAdmit, PlaceRedirect, PlaceWait, PlaceRefuse>;

/// \brief Admission control of one router for the engines that it owns.
///
/// Performs no I/O: callers carry out the decisions. Counts every request that
/// this router admits. Requests that other routers sent to the same engines (an
/// earlier owner, or routers that admitted within their local share) are
/// derived from the engines' load reports.
class OwnerCore {
 public:
  struct Options {
    std::string router;  ///< Name of this router.
    /// Most sessions that are kept.
    std::size_t session_capacity = 400'000;
  };

  explicit OwnerCore(Options options);

  /// \brief Replaces the view. Loads carry over by engine and service name; the
  /// sessions stay.
  void SetView(std::shared_ptr<const FleetView> view);
  const FleetView& View() const { return *this->view; }

  /// \brief Stores the fleet-wide load of a service, which lags behind.
  /// \param own_contribution the part of `total` that this router contributed.
  void SetFleetLoad(ServiceIndex service, const ServiceLoadTotal& total,
                    const ServiceLoadTotal& own_contribution);

  /// \returns the load of the live engines that this router owns.
  ServiceLoadTotal OwnLoad(ServiceIndex service) const;

  /// \brief Chooses an engine: first those that served the session before, then
  /// the first one by rendezvous hashing, then the least loaded owned one.
  PlaceDecision Place(const PlaceRequest& request);

  /// \brief Places a request that names an engine.
  ///
  /// An entry router also sends such a request when the engines of other owners
  /// are at their bound. If the named engine has no room, any owned engine with
  /// room is used instead.
  /// \param request its `engine` must be set.
  PlaceDecision PlaceDirected(const PlaceRequest& request);

  /// \brief Admits a request without an owner, within the part of the load
  /// bound that a router may use on its own (see `LocalShareCap`).
  PlaceDecision PlaceLocalShare(const PlaceRequest& request);

  /// \brief Counts an admitted request without any check, as for an engine that
  /// a baseline policy chose. To be ended by `Finish`.
  void CountAdmission(EngineIndex engine, std::uint64_t workspace_hash);

  /// \brief Removes an admitted request from the counts.
  void Finish(EngineIndex engine, std::uint64_t workspace_hash);

  /// \brief Processes a load report of an engine and marks the engine as up.
  /// \param running requests that the engine reports as running.
  void OnLoadReport(EngineIndex engine, std::uint32_t running);
  /// \brief Marks an unreachable engine: it is not a candidate until its next
  /// load report.
  void OnEngineDown(EngineIndex engine);
  bool IsDown(EngineIndex engine) const;

  bool Owns(EngineIndex engine) const;
  /// \returns requests admitted here plus those that other routers run there.
  std::uint32_t Load(EngineIndex engine) const;
  /// \returns requests admitted here that have not finished.
  std::uint32_t Admitted(EngineIndex engine) const;
  /// \returns running requests according to the last load report.
  std::uint32_t Reported(EngineIndex engine) const;
  /// \returns the most requests that one engine of the service may run now.
  std::uint32_t Cap(ServiceIndex service) const;

  SessionMemory& Sessions() { return this->sessions; }

 private:
  struct EngineState {
    std::uint32_t admitted = 0;
    std::uint32_t reported = 0;
    // Requests of other routers.
    std::uint32_t foreign = 0;
    // Highest `admitted` since the last load report, and between the last two.
    // Both are kept because load reports lag.
    std::uint32_t peak_current = 0;
    std::uint32_t peak_previous = 0;
    bool down = false;
    /// Requests in flight by workspace; `active_workspaces` counts the non-zero
    /// entries.
    std::unordered_map<std::uint64_t, std::uint32_t> by_workspace;
    std::uint32_t active_workspaces = 0;
  };
  struct FleetLoad {
    ServiceLoadTotal total;
    ServiceLoadTotal own_contribution;
    bool known = false;
  };

  bool IsCandidate(EngineIndex engine,
                   std::span<const EngineIndex> excluded) const;
  bool HasRoom(EngineIndex engine) const;
  /// \returns false if the workspace has used up its share of a contended
  /// engine.
  bool IsWithinWorkspaceShare(EngineIndex engine,
                              const PlaceRequest& request) const;
  std::optional<EngineIndex> LeastLoadedOwned(
      const PlaceRequest& request) const;
  /// \returns admission or redirect to the owner; nothing if the engine has no
  /// room for the request.
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
