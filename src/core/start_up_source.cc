#include "dandelionscale/core/start_up_source.h"

#include <algorithm>
#include <cmath>

namespace dandelionscale {
namespace {

// Routers of a large fleet that read the store at once: one in this many, but
// at least `kMinFirstReaders`. They supply the others.
constexpr std::size_t kRoutersPerFirstReader = 10;
constexpr std::size_t kMinFirstReaders = 3;
// Interval within which the number of readers doubles while no peer responds;
// 300 routers have begun to read within 1.2 s.
constexpr Duration kRankInterval = std::chrono::milliseconds(250);
// The same once a peer has responded. It leaves routers that start together the
// time to supply each other.
constexpr Duration kLiveRankInterval = std::chrono::milliseconds(500);
// A router that has not learnt the listed routers within this time, plus the
// spread below, reads the store. With 300 routers that start together, a call
// to the store may take this long.
constexpr Duration kListTimeout = std::chrono::milliseconds(400);
// The spread: the key of a router selects one of these slots, so that not all
// routers read at once.
constexpr std::uint64_t kListTimeoutSlots = 24;
constexpr Duration kListTimeoutSlot = std::chrono::milliseconds(50);

}  // namespace

void StartUpSource::OnRoutersListed(TimePoint now,
                                    std::span<const std::uint64_t> peer_keys) {
  if (this->listed_at) return;
  this->listed_at = now;
  this->peers = peer_keys.size();
  this->rank = static_cast<std::size_t>(
      std::count_if(peer_keys.begin(), peer_keys.end(),
                    [this](std::uint64_t key) { return key > this->own_key; }));
}

bool StartUpSource::ReadsStore(TimePoint now) const {
  if (this->list_failed) return true;
  if (this->listed_at && !this->IsLargeFleet()) return true;
  if (this->supplied) return false;
  if (!this->listed_at) {
    const Duration spread =
        kListTimeoutSlot * (this->own_key % kListTimeoutSlots);
    return now - this->started_at >= kListTimeout + spread;
  }
  const std::size_t first_readers =
      std::max(kMinFirstReaders, this->peers / kRoutersPerFirstReader);
  if (this->rank < first_readers) return true;
  const double doublings = std::log2(static_cast<double>(this->rank) /
                                     static_cast<double>(first_readers));
  const std::chrono::duration<double> interval =
      this->peer_answered ? kLiveRankInterval : kRankInterval;
  const auto wait =
      std::chrono::duration_cast<Duration>(interval * (1 + doublings));
  return now - *this->listed_at >= wait;
}

bool StartUpSource::AsksPeers() const {
  return !this->supplied && this->listed_at && this->IsLargeFleet();
}

bool StartUpSource::IsLargeFleet() const {
  return this->peers + 1 >= this->min_large_fleet;
}

}  // namespace dandelionscale
