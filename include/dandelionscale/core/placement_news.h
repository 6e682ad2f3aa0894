#ifndef DANDELIONSCALE_CORE_PLACEMENT_NEWS_H_
#define DANDELIONSCALE_CORE_PLACEMENT_NEWS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "dandelionscale/core/prefix_index.h"

namespace dandelionscale {

/// \brief Prompt parts that engines have come to hold or have dropped, until
///        every peer has been told.
///
/// A digest goes to a few peers, so that each piece of news is part of as many
/// digests in a row as a rotation through all peers takes. Bounded: the oldest
/// news is dropped first.
class PlacementNews {
 public:
  void Add(const PrefixPlacement& placement);
  /// \brief Takes what the next digest tells, oldest first.
  /// \param rotation digests that it takes to reach all peers.
  /// \param most placements that fit one digest.
  std::vector<PrefixPlacement> Next(std::size_t rotation, std::size_t most);

 private:
  struct Item {
    PrefixPlacement placement;
    std::size_t told = 0;  ///< Digests that it was part of.
  };

  std::deque<Item> items;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PLACEMENT_NEWS_H_
