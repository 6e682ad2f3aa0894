#include "dandelionscale/core/hash.h"

#include <xxhash.h>

namespace dandelionscale {

std::uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t RendezvousWeight(std::uint64_t key, std::uint64_t node) {
  return XXH3_64bits_withSeed(&key, sizeof(key), node);
}

}  // namespace dandelionscale
