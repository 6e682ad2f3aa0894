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

/// \brief Configuration and members of the fleet, and the state machines with
/// which this router decides on requests.
///
/// The view, which the other components of this router read, is rebuilt
/// whenever configuration, membership or host list change.
class FleetState {
 public:
  static constexpr std::string_view kName = "fleet_state";

  FleetState(const boost::asio::any_io_executor& executor,
             const RouterOptions& options);

  /// \brief Adopts a configuration if it is newer than the current one.
  /// \returns true if this or a newer version is in force; false if the
  /// document is malformed.
  bool AdoptConfiguration(std::uint64_t version, std::string_view document);
  /// \brief Sets the members of the fleet and rebuilds the view.
  void SetMembership(Membership membership);
  /// \brief Sets the names of the hosts that the platform's host list marks as
  /// leaving. Engines of these names are draining in the view.
  void SetLeavingHosts(std::set<std::string> leaving_hosts);

  bool IsConfigured() const { return this->configuration.version > 0; }
  const Configuration& Config() const { return this->configuration; }
  /// \returns the configuration in force as the JSON that was proposed.
  const std::string& Document() const { return this->document; }
  const Membership& Members() const { return this->membership; }
  std::shared_ptr<const FleetView> View() const { return this->view; }

  OwnerCore& Owner() { return this->owner; }
  DigestTree& Tree() { return this->tree; }
  /// \returns the queue of requests that wait for a slot at an owned engine.
  FairQueue& WaitQueue() { return this->wait_queue; }
  /// \returns the budget, shared by all requests, for retries of attempts that
  /// may have run.
  RetryBudget& Retries() { return this->retries; }
  /// \brief Notified when a slot at an owned engine may have become free; wakes
  /// the requests that wait for one.
  Event& SlotsChanged() { return this->slots_changed; }
  /// \brief Notified when a request finds the owned engines at their load
  /// bound. Causes an early digest, since the mean load may be out of date.
  Event& LoadPressure() { return this->load_pressure; }

  bool draining = false;  ///< This router is shutting down.

 private:
  void Rebuild();

  Configuration configuration;
  std::string document;
  Membership membership;
  std::set<std::string> leaving_hosts;
  std::shared_ptr<const FleetView> view;
  OwnerCore owner;
  DigestTree tree;
  FairQueue wait_queue;
  RetryBudget retries;
  Event slots_changed;
  Event load_pressure;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_FLEET_STATE_H_
