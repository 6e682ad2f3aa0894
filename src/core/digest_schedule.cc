#include "dandelionscale/core/digest_schedule.h"

#include <algorithm>

namespace dandelionscale {
namespace {

constexpr Duration kMinPeerTimeout = std::chrono::milliseconds(1500);
constexpr int kPeerTimeoutRotations = 3;

}  // namespace

std::size_t DigestsPerRotation(std::size_t peers) {
  const std::size_t rounds = (peers + kDigestFanout - 1) / kDigestFanout;
  return std::max<std::size_t>(rounds, 1);
}

Duration DigestRotationPeriod(std::size_t peers) {
  return kDigestInterval * DigestsPerRotation(peers);
}

Duration PeerTimeout(std::size_t peers) {
  return std::max(kMinPeerTimeout,
                  DigestRotationPeriod(peers) * kPeerTimeoutRotations);
}

Duration DigestPropagationTime(std::size_t peers) {
  int rounds = 1;
  for (std::size_t reached = kDigestFanout; reached < peers;
       reached *= kDigestFanout) {
    ++rounds;
  }
  return kDigestInterval * rounds;
}

}  // namespace dandelionscale
