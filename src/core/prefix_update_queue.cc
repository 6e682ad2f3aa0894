#include "dandelionscale/core/prefix_update_queue.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Roughly the updates that all engines of the fleet cause in one minute.
constexpr std::size_t kMaxItems = 20'000;

}  // namespace

void PrefixUpdateQueue::Add(const PrefixUpdate& update) {
  if (this->items.size() >= kMaxItems) this->items.pop_front();
  this->items.push_back({update});
}

std::vector<PrefixUpdate> PrefixUpdateQueue::TakeForDigest(
    std::size_t digests_per_rotation, std::size_t max_updates) {
  const std::size_t count = std::min(max_updates, this->items.size());
  std::vector<PrefixUpdate> updates;
  updates.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    updates.push_back(this->items[n].update);
    ++this->items[n].times_sent;
  }
  // Items are added at the back, so `times_sent` never rises from front to back
  // and completed items are at the front.
  while (!this->items.empty() &&
         this->items.front().times_sent >= digests_per_rotation) {
    this->items.pop_front();
  }
  return updates;
}

}  // namespace dandelionscale
