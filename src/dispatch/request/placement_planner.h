/// \file
/// \brief The decision which engine gets a request, without side effects.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_PLANNER_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/core/load/zone_spill.h"
#include "dandelionscale/core/prefix_index.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

/// \brief The properties of a request that its placement depends on. Refers to
///        data of the request.
struct PlacementRequest {
  std::string_view service;
  std::span<const PrefixPart> prefix;
  std::uint64_t affinity_key = 0;  ///< Of the last prompt part; 0 for none.
  std::uint64_t request_key = 0;   ///< Hash of the request id.
  Duration latency_target{};       ///< Of its route.
  /// Engines to which it was sent before.
  std::span<const std::uint64_t> tried_engine_keys;
  /// Key of the software version at which its stream began, if it has.
  std::optional<std::uint64_t> required_version;
};

/// \brief Engines that are not to be chosen.
struct PlacementLimits {
  bool avoid_limited = false;  ///< Those that limit their rate.
  bool avoid_warm_up = false;  ///< Those that warm up without the prefix.
  bool only_healthy = false;   ///< Unhealthy ones if no other can be chosen.
};

/// \brief An engine that was chosen, and what decided it.
struct PlacementPlan {
  std::shared_ptr<Engine> engine;
  PlacementDecision decision;
  PlacementInputs inputs;
  std::vector<PlacementCandidate> candidates;  ///< `inputs` refers to them.
  std::string cache_source_address;
  double zone_share = 0;  ///< Share of the requests that leave the zone.
  /// When the engine's permit was asked for, if it needs one.
  std::optional<TimePoint> permitted_at;
};

/// \brief One attempt of a decision. Later attempts admit more engines.
struct PlacementPass {
  PlacementLimits limits;
  bool ignore_health = false;
};

/// \brief Result of a decision.
struct PlacementOutcome {
  std::optional<PlacementPlan> plan;  ///< None if no engine can be chosen.
  PlacementPass pass;                 ///< The last one made.
  /// The service's `ZoneSpill`, adapted to the loads that the decision has
  /// seen, if it is to be adapted. Real requests store it.
  std::optional<ZoneSpill> zone_spill;
};

/// \brief Why an engine can't be chosen.
enum class EngineExclusion {
  kVersion,        ///< Another software version than that of the stream.
  kDraining,       ///< It is shutting down.
  kEvacuated,      ///< Its zone is evacuated.
  kTried,          ///< The request was sent to it before.
  kEjected,        ///< It has failed, or could not be reached.
  kProbeInFlight,  ///< It is on trial, and has the one request it may get.
  kPaused,         ///< It has asked for a pause.
  kRateLimited,    ///< It limits its rate, and the request gave up on permits.
  kPermitDenied,   ///< A permit was denied shortly before.
  kWarmingUp,      ///< It is slow to compute the long prompt.
  kFull,           ///< It has no room; see `HasRoom()`.
};

/// \returns the name used in responses.
std::string_view ToString(EngineExclusion exclusion);

/// \brief An engine as one pass of a decision sees it.
struct ExaminedEngine {
  PlacementCandidate candidate;
  std::optional<EngineExclusion> exclusion;  ///< None if it may be chosen.
};

/// \brief Decides on the current state which engine gets a request.
///
/// Reads `DispatchState` only. What a decision changes is returned, and the
/// caller applies it.
class PlacementPlanner {
 public:
  PlacementPlanner(const DispatchState& state, const PlacementRequest& request,
                   TimePoint now)
      : state(state), request(request), now(now) {}

  /// \brief Chooses an engine that has room.
  PlacementOutcome Plan(const PlacementLimits& limits) const;
  /// \returns the engines of the service in their order, with the reason why
  ///          each that is excluded is.
  std::vector<ExaminedEngine> Examine(const PlacementPass& pass) const;
  /// \returns true if the engine may be sent the request as soon as it has room
  ///          and wants requests.
  bool MayTry(const Engine& engine) const;
  /// \returns true if there is an engine that may be tried.
  bool HasUntriedEngine() const;
  /// \returns true if no engine is left for the request and a zone with engines
  ///          of the service is evacuated. Requests do not wait for the end of
  ///          that.
  bool IsLeftToEvacuatedZones() const;
  /// \returns the time until one of the engines that may be tried wants
  ///          requests; zero if one does or if there is none.
  Duration TimeUntilUsableEngine() const;

 private:
  std::vector<PlacementCandidate> BuildCandidates(
      const PlacementPass& pass) const;
  // Corrects the loads of the service's engines by the age of peers' reports
  // and by what engines have stated.
  void CorrectLoads(std::span<PlacementCandidate> candidates) const;
  // Returns `PlacementInputs::engine_queue_share`.
  double QueueShare() const;
  // Returns why the engine may not be tried at all, if so.
  std::optional<EngineExclusion> FindBar(const Engine& engine) const;
  // Returns why the engine can't be chosen in this pass, if so.
  std::optional<EngineExclusion> FindExclusion(const Engine& engine,
                                               const PlacementPass& pass,
                                               std::uint32_t cached_tokens,
                                               double failure_rate) const;
  // Returns the mean failure rate of the service's engines.
  double MeanFailureRate() const;
  bool WasTried(const Engine& engine) const;
  // Returns true if the engine may go on with the stream.
  bool FitsVersion(const Engine& engine) const;
  // Returns true if peers' load reports are to be weighed by their age: for a
  // request without a prefix, if requests of the service end soon.
  bool MayHaveStaleLoads() const;
  // Returns the mean time for which requests of the service are in flight.
  Duration WorkTimeMean() const;
  // Returns the service's share of requests that leave the zone, adapted to the
  // loads of all its engines; nothing if it is to stay as it is.
  std::optional<ZoneSpill> AdaptZoneSpill(
      std::span<const PlacementCandidate> candidates) const;
  ZoneSpill CurrentZoneSpill() const;
  // Sets the zone rule of the plan.
  void ApplyZoneRule(const ZoneSpill& zone_spill, PlacementPlan& plan) const;

  const DispatchState& state;
  PlacementRequest request;
  TimePoint now;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_PLANNER_H_
