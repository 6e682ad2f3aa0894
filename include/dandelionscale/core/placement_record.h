/// \file
/// \brief Text form of a placement's inputs, so that a log line is enough to
///        make the decision again.
#ifndef DANDELIONSCALE_CORE_PLACEMENT_RECORD_H_
#define DANDELIONSCALE_CORE_PLACEMENT_RECORD_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/placement.h"

namespace dandelionscale {

/// \returns the chosen candidate, then the few that it had to be preferred to:
///          the first holder and the first of all in hash order, and the least
///          loaded one. With the mean load, the decision on these is the same
///          as on all candidates.
std::vector<PlacementCandidate> PlacementRivals(
    const PlacementQuestion& question, const PlacementDecision& decision);

/// \returns the candidates as `KEY:IN_FLIGHT/SLOTS/HELD/FLAGS`, separated by
///          spaces; flags: `u` usable, `r` reachable, `z` in the same zone.
std::string FormatCandidates(std::span<const PlacementCandidate> candidates);

/// \returns the candidates, or nothing if the text is not in this form.
std::optional<std::vector<PlacementCandidate>> ParseCandidates(
    std::string_view text);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PLACEMENT_RECORD_H_
