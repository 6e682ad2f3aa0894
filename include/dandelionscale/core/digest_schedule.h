/// \file
/// \brief How often routers hear each other's digests.
#ifndef DANDELIONSCALE_CORE_DIGEST_SCHEDULE_H_
#define DANDELIONSCALE_CORE_DIGEST_SCHEDULE_H_

#include <cstddef>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Time between two digests of a router.
inline constexpr Duration kDigestInterval = std::chrono::milliseconds(250);
/// Peers that get a digest each time; more are served in rotation.
inline constexpr std::size_t kPeersEachDigest = 12;

/// \returns the digests after which a router has told each of its peers.
std::size_t DigestsPerRotation(std::size_t peers);

/// \returns the time within which a router sends a digest to each of its peers.
Duration DigestRotation(std::size_t peers);

/// \returns the time within which news that every router passes on has reached
///          nearly all of them.
Duration DigestSpread(std::size_t peers);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_DIGEST_SCHEDULE_H_
