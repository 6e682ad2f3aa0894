#ifndef DANDELIONSCALE_CORE_HASH_H_
#define DANDELIONSCALE_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace dandelionscale {

/// \returns the 64-bit XXH3 hash of `text`; the same on every host.
std::uint64_t HashText(std::string_view text);

/// \returns the rendezvous weight of `node` for `key`.
///
/// Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1996:
/// the node with the highest weight serves the key.
std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t node);

/// \returns a number in [0, 1) that is uniform over keys and nodes, and the
/// same
///          for a given pair on every host.
double RendezvousFraction(std::uint64_t key, std::uint64_t node);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_HASH_H_
