#ifndef DANDELIONSCALE_CORE_BASELINE_POLICY_H_
#define DANDELIONSCALE_CORE_BASELINE_POLICY_H_

#include <cstdint>
#include <optional>
#include <random>
#include <variant>

#include "dandelionscale/core/owner_core.h"

namespace dandelionscale {

/// \brief Baselines that each router applies alone, for comparison.
struct RandomPolicy {};
struct LeastReportedPolicy {};  ///< By lagging load reports.
struct PlainRendezvousPolicy {};
struct BoundedRendezvousPolicy {};  ///< Bound on the router's own share.
/// \brief The product's policy: owners admit.
struct OwnerAdmissionPolicy {};

using PlacementPolicy =
    std::variant<OwnerAdmissionPolicy, RandomPolicy, LeastReportedPolicy,
                 PlainRendezvousPolicy, BoundedRendezvousPolicy>;

/// \returns the policy named `name`, nothing if there is none.
std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view name);

/// \brief Chooses an engine with a baseline policy; nothing if none is live.
std::optional<EngineIndex> ChooseByBaseline(const PlacementPolicy& policy,
                                            const OwnerCore& core,
                                            const PlaceRequest& request,
                                            std::mt19937_64& random);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_BASELINE_POLICY_H_
