/// \file
/// \brief Reports that digests and snapshots have in common.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_REPORTS_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_REPORTS_H_

#include <google/protobuf/repeated_field.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "dispatch/dispatch_state.h"

namespace dandelionscale::wire {
class RateLimitReport;
class RouterDigest;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

/// \brief Applies what a peer reports of prompt parts that engines have cached.
/// \param short_keys of the engines, one for each of `parts`.
/// \param for_all_zones number of leading parts that were sent to all zones;
///        none if all were.
void ApplyPlacements(DispatchState& state, std::span<const std::uint64_t> parts,
                     std::span<const std::uint32_t> short_keys,
                     std::optional<std::size_t> for_all_zones);
/// \brief The same for parts that the engines have dropped.
void ApplyEvictions(DispatchState& state, std::span<const std::uint64_t> parts,
                    std::span<const std::uint32_t> short_keys);
/// \brief Applies what a peer reports of an engine's rate limit and warm-up; a
///        report of a rate that is no number is ignored.
void ApplyRateLimit(DispatchState& state, Engine& engine,
                    const wire::RateLimitReport& report,
                    const std::string& sender);
/// \brief Applies what a peer reports of engines' rate limits and warm-ups.
void ApplyRateLimits(
    DispatchState& state,
    const google::protobuf::RepeatedPtrField<wire::RateLimitReport>& reports,
    const std::string& sender);

/// \brief Writes the loads that engines have stated to this router to a digest;
///        writes nothing in a fleet in which each digest goes to every peer.
void FillStatedLoads(const DispatchState& state, wire::RouterDigest& digest);
/// \returns true if the lists of the digest's stated loads differ in length.
bool HasMalformedStatedLoads(const wire::RouterDigest& digest);
/// \brief Applies the loads that engines have stated to the sender.
void ApplyForwardedLoads(DispatchState& state,
                         const wire::RouterDigest& digest);

/// \brief Writes the evacuated zones to a digest or a snapshot whose
///        `store_era` is set; writes nothing if no evacuation was ever known.
template <typename Message>
void FillEvacuation(const DispatchState& state, Message& message) {
  const EvacuatedZones& evacuated = state.evacuated_zones;
  if (!evacuated.IsReported()) return;
  message.set_evacuation_version(evacuated.Version().number);
  // The tables of configuration and engines are read one after the other, so
  // that only one of them may be of a new era.
  if (evacuated.Version().era != message.store_era()) {
    message.set_evacuation_era(evacuated.Version().era);
  }
  for (const std::string& zone : evacuated.Current()) {
    message.add_evacuated_zones(zone);
  }
}

/// \brief Applies the evacuated zones of a digest or a snapshot, if it states
///        them.
template <typename Message>
void ApplyEvacuation(DispatchState& state, const Message& message,
                     const std::string& sender) {
  if (!message.has_evacuation_version()) return;
  const std::uint64_t era = message.has_evacuation_era()
                                ? message.evacuation_era()
                                : message.store_era();
  const EvacuatedZones::Zones zones(message.evacuated_zones().begin(),
                                    message.evacuated_zones().end());
  state.OnZoneChanges(state.evacuated_zones.OnReport(
                          {era, message.evacuation_version()}, zones),
                      sender);
}

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_REPORTS_H_
