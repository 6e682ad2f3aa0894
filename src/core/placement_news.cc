#include "dandelionscale/core/placement_news.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// About as many as the fleet's engines take up in a minute.
constexpr std::size_t kMostItems = 20'000;

}  // namespace

void PlacementNews::Add(const PrefixPlacement& placement) {
  if (this->items.size() >= kMostItems) this->items.pop_front();
  this->items.push_back({placement});
}

std::vector<PrefixPlacement> PlacementNews::Next(std::size_t rotation,
                                                 std::size_t most) {
  const std::size_t count = std::min(most, this->items.size());
  std::vector<PrefixPlacement> placements;
  placements.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    placements.push_back(this->items[n].placement);
    ++this->items[n].told;
  }
  // An item joins behind all that are told already, so that those told often
  // enough are in front.
  while (!this->items.empty() && this->items.front().told >= rotation) {
    this->items.pop_front();
  }
  return placements;
}

}  // namespace dandelionscale
