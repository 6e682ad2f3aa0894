#include "dandelionscale/core/hash.h"

#include <xxhash.h>

namespace dandelionscale {

std::uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t node) {
  return XXH3_64bits_withSeed(&key, sizeof(key), node);
}

double RendezvousFraction(std::uint64_t key, std::uint64_t node) {
  // A double holds the upper 53 bits exactly, so that the result stays below 1.
  constexpr int kDroppedBits = 11;
  constexpr double kScale = 0x1p-53;
  return static_cast<double>(RendezvousWeight(key, node) >> kDroppedBits) *
         kScale;
}

}  // namespace dandelionscale
