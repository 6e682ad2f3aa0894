/// \file
/// \brief Versions that digests, requests for snapshots and snapshots state.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_VERSIONS_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_VERSIONS_H_

#include <cstdint>

#include "dandelionscale/core/snapshot_sources.h"
#include "dispatch/dispatch_state.h"
#include "dispatch_peer.pb.h"

namespace dandelionscale::internal {

/// \returns the era of a message. Messages of older builds have none; they
///          count as of the era in which this router started, so that they are
///          older than any version since a restoration.
template <typename Message>
std::uint64_t EraOf(const DispatchState& state, const Message& message) {
  return message.has_store_era() ? message.store_era()
                                 : state.engines.InitialEra();
}

/// \returns the version of the engines that a digest announces.
inline StoreVersion EnginesVersionOf(const DispatchState& state,
                                     const wire::RouterDigest& digest) {
  return {EraOf(state, digest), digest.engines_changed()};
}

/// \returns the version of the engines that a message holds or that its sender
///          has.
template <typename Message>
StoreVersion EnginesVersionOf(const DispatchState& state,
                              const Message& message) {
  return {EraOf(state, message), message.engines_version()};
}

/// \returns the versions of what this router has.
inline RowVersions OwnVersions(const DispatchState& state) {
  return {state.ConfigurationVersion(), state.engines.Version()};
}

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_SNAPSHOT_VERSIONS_H_
