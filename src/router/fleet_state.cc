#include "router/fleet_state.h"

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::internal {
namespace {

// Retries of attempts that may have run are limited to a fifth of the
// successful requests, plus a burst.
constexpr double kRetryRatio = 0.2;
constexpr double kRetryBurst = 50;

}  // namespace

FleetState::FleetState(const boost::asio::any_io_executor& executor,
                       const RouterOptions& options)
    : view(std::make_shared<FleetView>()),
      owner({options.name, options.session_capacity}),
      tree(options.name),
      retries(kRetryRatio, kRetryBurst),
      slots_changed(executor),
      load_pressure(executor) {}

bool FleetState::AdoptConfiguration(std::uint64_t version,
                                    std::string_view document) {
  if (version <= this->configuration.version) return true;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(parsed, ParseConfiguration(document, version));
        this->configuration = std::move(parsed);
        this->document = document;
        this->Rebuild();
        Logger::Info("configuration_in_force",
                     {{"version", static_cast<std::int64_t>(version)}});
        return true;
      },
      [&](const ConfigurationFaults& found) {
        Logger::Error("configuration_malformed",
                      {{"version", static_cast<std::int64_t>(version)},
                       {"path", found.faults.front().path},
                       {"message", found.faults.front().message}});
        return false;
      },
      [] { return false; });
}

void FleetState::SetMembership(Membership membership) {
  this->membership = std::move(membership);
  this->tree.SetMembership(this->membership);
  this->Rebuild();
}

void FleetState::SetLeavingHosts(std::set<std::string> leaving_hosts) {
  this->leaving_hosts = std::move(leaving_hosts);
  this->Rebuild();
}

void FleetState::Rebuild() {
  this->view = std::make_shared<FleetView>(
      this->configuration, this->membership, this->leaving_hosts);
  this->owner.SetView(this->view);
  this->slots_changed.NotifyAll();
}

}  // namespace dandelionscale::internal
