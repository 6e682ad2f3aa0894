/// \file
/// \brief How often routers send digests of their state to each other.
#ifndef DANDELIONSCALE_CORE_DIGEST_SCHEDULE_H_
#define DANDELIONSCALE_CORE_DIGEST_SCHEDULE_H_

#include <cstddef>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Time between two periodic digests of a router; changes are sent sooner.
inline constexpr Duration kDigestInterval = std::chrono::milliseconds(250);
/// Peers that each digest is sent to; more peers are served in rotation.
inline constexpr std::size_t kDigestFanout = 12;

/// Digests in which a router reports something new. Each goes to other peers,
/// which do the same.
inline constexpr int kDigestsPerReport = 2;

/// \returns the number of digests that a router sends until each of its peers
///          has been sent one.
std::size_t DigestsPerRotation(std::size_t peers);

/// \returns the time within which a router sends a digest to each of its peers.
Duration DigestRotationPeriod(std::size_t peers);

/// \returns the time without a digest after which a peer counts as lost:
/// several
///          rotations, in each of which the peer sends one digest to this
///          router.
Duration PeerTimeout(std::size_t peers);

/// \returns the time within which a change that every router forwards in its
///          digests reaches nearly all of them.
Duration DigestPropagationTime(std::size_t peers);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_DIGEST_SCHEDULE_H_
