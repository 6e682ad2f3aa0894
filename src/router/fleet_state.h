#ifndef DANDELIONSCALE_SRC_ROUTER_FLEET_STATE_H_
#define DANDELIONSCALE_SRC_ROUTER_FLEET_STATE_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "dandelionscale/core.h"
#include "dandelionscale/router/router.h"
#include "dandelionscale/runtime/event.h"

namespace dandelionscale::internal {

/// \brief What this router knows of the fleet, and its decision cores.
///
/// Rebuilds the view whenever configuration, membership or host list change.
class FleetState {
 public:
  static constexpr std::string_view kName = "fleet_state";

  FleetState(const boost::asio::any_io_executor& executor,
             const RouterOptions& options);

  /// \brief Puts a configuration in force if it is newer than the current.
  /// \returns true if it is now in force (it or a newer one).
  bool AdoptConfiguration(std::uint64_t version, std::string_view document);
  void SetMembership(Membership membership);
  void SetLeavingHosts(std::set<std::string> leaving);

  bool IsConfigured() const { return this->configuration.version > 0; }
  const Configuration& Config() const { return this->configuration; }
  const std::string& Document() const { return this->document; }
  const Membership& Members() const { return this->membership; }
  std::shared_ptr<const FleetView> View() const { return this->view; }

  OwnerCore& Owner() { return this->owner; }
  DigestTree& Tree() { return this->tree; }
  FairQueue& Waiting() { return this->waiting; }
  RetryBudget& Retries() { return this->retries; }
  /// \brief Wakes requests that wait for a slot.
  Event& SlotsChanged() { return this->slots_changed; }
  /// \brief A request found all engines here at their bound: the mean may be
  /// out of date.
  Event& LoadPressure() { return this->load_pressure; }

  bool draining = false;  ///< This router is shutting down.

 private:
  void Rebuild();

  Configuration configuration;
  std::string document;
  Membership membership;
  std::set<std::string> leaving;
  std::shared_ptr<const FleetView> view;
  OwnerCore owner;
  DigestTree tree;
  FairQueue waiting;
  RetryBudget retries;
  Event slots_changed;
  Event load_pressure;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_FLEET_STATE_H_
