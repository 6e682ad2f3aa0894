#ifndef DANDELIONSCALE_CORE_STORE_VERSION_H_
#define DANDELIONSCALE_CORE_STORE_VERSION_H_

#include <compare>
#include <cstdint>

namespace dandelionscale {

/// \brief A version of the shared store.
///
/// When the store is restored from an older copy, it assigns version numbers
/// again that it had assigned before. Each restoration raises the era, so that
/// versions are ordered by era first.
struct StoreVersion {
  std::uint64_t era = 0;     ///< Raised by each restoration; 0 if unknown.
  std::uint64_t number = 0;  ///< Raised by each write of the era.
  auto operator<=>(const StoreVersion&) const = default;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_STORE_VERSION_H_
