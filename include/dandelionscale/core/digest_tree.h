#ifndef DANDELIONSCALE_CORE_DIGEST_TREE_H_
#define DANDELIONSCALE_CORE_DIGEST_TREE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/fleet_view.h"
#include "dandelionscale/core/load/load_bound.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Load of one service, which is identified by the hash of its name.
struct ServiceLoadEntry {
  std::uint32_t service_hash = 0;
  ServiceLoadTotal load;

  bool operator==(const ServiceLoadEntry&) const = default;
};
using ServiceLoads = std::vector<ServiceLoadEntry>;

/// \brief Aggregates the load of all routers over a tree.
///
/// The members, ordered by the hash of their names, form a complete tree in
/// which each has at most `kFanOut` children, so that no router exchanges
/// messages with more than `kFanOut + 1` others at any fleet size. A router
/// sends the sum of its subtree to its parent; the reply carries the last
/// total. A subtree that sends no updates is left out of both the sum of
/// requests and the count of engines, so that the mean load changes little.
class DigestTree {
 public:
  static constexpr std::size_t kFanOut = 4;
  /// Age at which a child's sum, or the total, is ignored.
  static constexpr Duration kStaleAfter = std::chrono::seconds(3);

  explicit DigestTree(std::string router) : router(std::move(router)) {}

  void SetMembership(const Membership& membership);
  /// \returns the parent's name; empty at the root.
  const std::string& Parent() const { return this->parent; }
  const std::vector<std::string>& Children() const { return this->children; }

  /// \brief Sets the load of this router itself.
  void SetOwn(ServiceLoads loads) { this->own = std::move(loads); }
  /// \brief Stores the sum of a child's subtree; ignored if `child` is not
  /// a child of this router.
  void OnChild(std::string_view child, ServiceLoads loads, TimePoint now);
  /// \brief Stores the fleet-wide total received from the parent.
  void OnTotal(ServiceLoads total, TimePoint now);

  /// \returns this router's load plus the sums of all children that are not
  /// stale.
  ServiceLoads Subtree(TimePoint now) const;
  /// \returns the last fleet-wide total, nothing if it is stale. At the root,
  /// the sum of the subtree.
  std::optional<ServiceLoads> Total(TimePoint now) const;

 private:
  struct ReceivedLoads {
    ServiceLoads loads;
    TimePoint at;
  };

  std::string router;
  std::string parent;
  std::vector<std::string> children;
  ServiceLoads own;
  std::unordered_map<std::string, ReceivedLoads> child_loads;
  std::optional<ReceivedLoads> total;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_DIGEST_TREE_H_
