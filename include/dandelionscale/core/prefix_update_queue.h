#ifndef DANDELIONSCALE_CORE_PREFIX_UPDATE_QUEUE_H_
#define DANDELIONSCALE_CORE_PREFIX_UPDATE_QUEUE_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "dandelionscale/core/prefix_index.h"

namespace dandelionscale {

/// \brief Queue of changes in engines' prompt caches that have not yet been
///        sent to every peer router.
///
/// Each digest, the periodic state message between routers (see
/// digest_schedule.h), goes to a few peers only, in rotation. Each update is
/// therefore included in as many consecutive digests as one rotation through
/// all peers takes. Updates for the own zone are left out of the copies for
/// other zones; the rotation through all peers reaches each peer of the zone
/// once as well. The queue is bounded; the oldest updates are dropped first.
class PrefixUpdateQueue {
 public:
  /// \brief Queues an update for the digests that follow.
  void Add(const PrefixUpdate& update);
  /// \brief Selects the updates for the next digest and counts them as sent.
  /// \param digests_per_rotation digests that it takes to reach all peers; an
  ///        update included in that many digests is removed.
  /// \param max_updates updates that fit one digest.
  /// \returns the updates, oldest first.
  std::vector<PrefixUpdate> TakeForDigest(std::size_t digests_per_rotation,
                                          std::size_t max_updates);

 private:
  struct Item {
    PrefixUpdate update;
    std::size_t times_sent = 0;  ///< Digests that have included it.
  };

  std::deque<Item> items;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PREFIX_UPDATE_QUEUE_H_
