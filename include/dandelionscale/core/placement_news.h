#ifndef DANDELIONSCALE_CORE_PLACEMENT_NEWS_H_
#define DANDELIONSCALE_CORE_PLACEMENT_NEWS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "dandelionscale/core/prefix_index.h"

namespace dandelionscale {

/// \brief Queue of changes in engines' prompt caches that have not yet been
///        sent to every peer router.
///
/// Each digest goes to a few peers only, in rotation. Each update is therefore
/// included in as many consecutive digests as one rotation through all peers
/// takes. The queue is bounded; the oldest updates are dropped first.
class PlacementNews {
 public:
  /// \brief Queues an update for the digests that follow.
  void Add(const PrefixPlacement& update);
  /// \brief Selects the updates for the next digest and counts them as sent.
  /// \param digests_per_rotation digests that it takes to reach all peers;
  ///        updates that were in so many are removed.
  /// \param max_updates updates that fit one digest.
  /// \returns the updates, oldest first.
  std::vector<PrefixPlacement> Next(std::size_t digests_per_rotation,
                                    std::size_t max_updates);

 private:
  struct Item {
    PrefixPlacement update;
    std::size_t times_sent = 0;  ///< Digests that have included it.
  };

  std::deque<Item> items;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PLACEMENT_NEWS_H_
