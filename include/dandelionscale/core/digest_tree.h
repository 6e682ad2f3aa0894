#ifndef DANDELIONSCALE_CORE_DIGEST_TREE_H_
#define DANDELIONSCALE_CORE_DIGEST_TREE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/fleet_view.h"
#include "dandelionscale/core/load_bound.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Load of one service by the hash of its name.
struct ServiceLoadEntry {
  std::uint32_t service_hash = 0;
  ServiceLoadTotal load;

  bool operator==(const ServiceLoadEntry&) const = default;
};
using ServiceLoads = std::vector<ServiceLoadEntry>;

/// \brief Sums the load of all routers over a tree.
///
/// The members, ordered by the hash of their names, form a complete tree in
/// which each has at most `kFanOut` children, so that no router speaks to more
/// than `kFanOut + 1` others whatever the size of the fleet. A router sends the
/// sum of its subtree to its parent; the reply carries the last total. A
/// subtree that falls silent drops out of the sum and of the count alike, so
/// that the mean stays close.
class DigestTree {
 public:
  static constexpr std::size_t kFanOut = 4;
  /// Age at which a child's sum or the total is no longer used.
  static constexpr Duration kStaleAfter = std::chrono::seconds(3);

  explicit DigestTree(std::string router) : router(std::move(router)) {}

  void SetMembership(const Membership& membership);
  /// \returns the parent's name; empty at the root.
  const std::string& Parent() const { return this->parent; }
  const std::vector<std::string>& Children() const { return this->children; }

  void SetOwn(ServiceLoads loads) { this->own = std::move(loads); }
  void OnChild(std::string_view child, ServiceLoads loads, TimePoint now);
  void OnTotal(ServiceLoads total, TimePoint now);

  /// \returns own load plus that of all children heard of lately.
  ServiceLoads Subtree(TimePoint now) const;
  /// \returns the last total, nothing if it is stale. At the root: the subtree.
  std::optional<ServiceLoads> Total(TimePoint now) const;

 private:
  struct Heard {
    ServiceLoads loads;
    TimePoint at;
  };

  std::string router;
  std::string parent;
  std::vector<std::string> children;
  ServiceLoads own;
  std::unordered_map<std::string, Heard> heard;
  std::optional<Heard> total;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_DIGEST_TREE_H_
