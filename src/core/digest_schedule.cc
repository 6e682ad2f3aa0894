#include "dandelionscale/core/digest_schedule.h"

#include <algorithm>

namespace dandelionscale {

std::size_t DigestsPerRotation(std::size_t peers) {
  const std::size_t rounds = (peers + kPeersEachDigest - 1) / kPeersEachDigest;
  return std::max<std::size_t>(rounds, 1);
}

Duration DigestRotation(std::size_t peers) {
  return kDigestInterval * DigestsPerRotation(peers);
}

Duration DigestSpread(std::size_t peers) {
  int rounds = 1;
  for (std::size_t reached = kPeersEachDigest; reached < peers;
       reached *= kPeersEachDigest) {
    ++rounds;
  }
  return kDigestInterval * rounds;
}

}  // namespace dandelionscale
