/// \file
/// \brief Text form of a placement's inputs, so that the decision can be
///        replayed from one log line.
#ifndef DANDELIONSCALE_CORE_LOAD_PLACEMENT_RECORD_H_
#define DANDELIONSCALE_CORE_LOAD_PLACEMENT_RECORD_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/load/placement.h"

namespace dandelionscale {

/// \brief Reduces the candidates to those that determine the decision.
///
/// Given the mean load over all candidates, `ChooseEngine()` decides on the
/// result as it does on the full list.
/// \returns the chosen candidate first; then, without repeats and among the
///          usable ones: the holder of the shared parts with the highest
///          rendezvous weight, the candidate with the highest weight of all,
///          and the one that shows that the own zone has room, or else the
///          one with the fewest requests in flight.
std::vector<PlacementCandidate> DecisiveCandidates(
    const PlacementInputs& inputs, const PlacementDecision& decision);

/// \returns the candidates as `KEY:IN_FLIGHT/SLOTS/TOKENS/FLAGS`, separated by
///          spaces. `KEY` is hexadecimal, `TOKENS` is `cached_tokens`, `FLAGS`
///          any of `u` (usable), `r` (reachable), `z` (in the router's
///          availability zone), `l` (limits its rate) and `a` (avoided). A
///          margin above 0 follows as `+MARGIN`.
std::string FormatCandidates(std::span<const PlacementCandidate> candidates);

/// \brief Parses the form that `FormatCandidates()` writes.
/// \returns the candidates, or nothing if a number or separator is missing or
///          malformed; unknown flags are ignored.
std::optional<std::vector<PlacementCandidate>> ParseCandidates(
    std::string_view text);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_PLACEMENT_RECORD_H_
