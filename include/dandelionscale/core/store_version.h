#ifndef DANDELIONSCALE_CORE_STORE_VERSION_H_
#define DANDELIONSCALE_CORE_STORE_VERSION_H_

#include <cstdint>
#include <tuple>

namespace dandelionscale {

/// \brief A version of the shared store.
///
/// When the store is restored from an older copy, it assigns version numbers
/// again that it had assigned before. Each restoration raises the era, so that
/// versions are ordered by era first.
struct StoreVersion {
  std::uint64_t era = 0;     ///< Raised by each restoration; 0 if unknown.
  std::uint64_t number = 0;  ///< Raised by each write of the era.

  friend bool operator==(const StoreVersion&, const StoreVersion&) = default;
  friend bool operator<(const StoreVersion& a, const StoreVersion& b) {
    return std::tie(a.era, a.number) < std::tie(b.era, b.number);
  }
  friend bool operator>(const StoreVersion& a, const StoreVersion& b) {
    return b < a;
  }
  friend bool operator<=(const StoreVersion& a, const StoreVersion& b) {
    return !(b < a);
  }
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_STORE_VERSION_H_
