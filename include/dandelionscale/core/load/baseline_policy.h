#ifndef DANDELIONSCALE_CORE_LOAD_BASELINE_POLICY_H_
#define DANDELIONSCALE_CORE_LOAD_BASELINE_POLICY_H_

#include <cstdint>
#include <optional>
#include <random>
#include <variant>

#include "dandelionscale/core/owner_core.h"

namespace dandelionscale {

/// \brief Baseline: an engine chosen uniformly at random.
///
/// Each router applies a baseline on its own, without owners. The baselines
/// exist for comparison with `OwnerAdmissionPolicy`.
struct RandomPolicy {};
/// \brief Baseline: the engine with the lowest reported load; reports lag.
struct LeastReportedPolicy {};
/// \brief Baseline: rendezvous hashing of the session without a load bound.
struct PlainRendezvousPolicy {};
/// \brief Baseline: rendezvous hashing with a bound on this router's own load.
struct BoundedRendezvousPolicy {};
/// \brief The default policy: each engine's owner admits its requests.
struct OwnerAdmissionPolicy {};

using PlacementPolicy =
    std::variant<OwnerAdmissionPolicy, RandomPolicy, LeastReportedPolicy,
                 PlainRendezvousPolicy, BoundedRendezvousPolicy>;

/// \returns the policy with this name in the settings, nothing if there is
/// none.
std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view name);

/// \brief Chooses an engine by a baseline policy.
/// \returns nothing if no engine is live.
std::optional<EngineIndex> ChooseByBaseline(const PlacementPolicy& policy,
                                            const OwnerCore& core,
                                            const PlaceRequest& request,
                                            std::mt19937_64& random);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_BASELINE_POLICY_H_
