/// \file
/// \brief Reports that digests and snapshots have in common.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_REPORTS_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_REPORTS_H_

#include <google/protobuf/repeated_field.h>

#include <cstdint>
#include <span>
#include <string>

#include "dispatch/dispatch_state.h"

namespace dandelionscale::wire {
class RateLimitReport;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

/// \brief Applies what a peer reports of prompt parts that engines have cached.
/// \param short_keys of the engines, one for each of `parts`.
/// \param dropped the engines have dropped the parts.
void ApplyPlacements(DispatchState& state, std::span<const std::uint64_t> parts,
                     std::span<const std::uint32_t> short_keys, bool dropped);
/// \brief Applies what a peer reports of an engine's rate limit and warm-up; a
///        report of a rate that is no number is ignored.
void ApplyRateLimit(DispatchState& state, Engine& engine,
                    const wire::RateLimitReport& report,
                    const std::string& sender);
/// \brief Applies what a peer reports of engines' rate limits.
void ApplyRateLimits(
    DispatchState& state,
    const google::protobuf::RepeatedPtrField<wire::RateLimitReport>& reports,
    const std::string& sender);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_REPORTS_H_
