/// \file
/// \brief What the services of one router share.
#ifndef DANDELIONSCALE_SRC_DISPATCH_DISPATCH_STATE_H_
#define DANDELIONSCALE_SRC_DISPATCH_DISPATCH_STATE_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dandelionscale/core/admission_queue.h"
#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/fleet_load.h"
#include "dandelionscale/core/fleet_retry_budget.h"
#include "dandelionscale/core/placement_news.h"
#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/core/routing_table.h"
#include "dandelionscale/core/watch_duty.h"
#include "dandelionscale/dispatch/dispatch_router.h"
#include "dandelionscale/runtime/event.h"
#include "dandelionscale/runtime/metrics.h"
#include "dispatch/watchdog.h"

namespace dandelionscale::internal {

class RequestDispatch;

/// \brief What is kept for one service.
struct ServiceState {
  explicit ServiceState(RetryBudgetTerms terms) : budget(terms) {}
  AdmissionQueue queue;
  FleetRetryBudget budget;
};

/// \brief Beliefs, counters and requests under way of one router.
class DispatchState {
 public:
  DispatchState(boost::asio::any_io_executor executor, DispatchOptions options,
                std::shared_ptr<const Dialect> dialect);

  /// \brief Takes the settings that may change while the router runs.
  void Reload(const DispatchOptions& new_options);
  /// \brief Puts a configuration in force if it is newer than the present one.
  /// \param source where it came from, for the log.
  /// \returns false if the text is malformed or not newer.
  bool ApplyConfiguration(std::string_view text, std::string_view source);
  /// \brief Logs and counts changes of belief about engines; tells peers.
  void OnEngineChanges(const std::vector<EngineChange>& changes,
                       std::string_view source);
  /// \brief The store answered for a table, or failed to; logs the change.
  void OnStoreAnswered(std::string_view table);
  void OnStoreFailed(std::string_view table, const Fault& fault);

  /// \returns what the configuration says of a service, or null.
  const ServiceSpec* FindService(std::string_view name) const;
  ServiceState& Service(std::string_view name);
  /// \returns the version of the configuration in force; 0 if there is none.
  std::uint64_t ConfigurationVersion() const {
    return this->table ? this->table->version : 0;
  }
  /// \returns the number of routers that may exist, this one included.
  std::size_t Routers() const;
  /// \returns true if clients should be sent here.
  bool IsReady() const;
  /// \returns a random number from 0 to 1.
  double Random();

  boost::asio::any_io_executor executor;
  DispatchOptions options;
  std::shared_ptr<const Dialect> dialect;
  Metrics metrics;
  Watchdog watchdog;

  std::shared_ptr<const RoutingTable> table;  ///< Null until one is known.
  std::string table_text;                     ///< As the store holds it.
  EngineDirectory engines;
  std::uint64_t engines_changed = 0;  ///< Version of the newest engine entry.
  bool engines_known = false;
  FleetLoad fleet_load;
  WatchDuty watch_duty;
  Event news;  ///< Beliefs have changed; peers want to know soon.
  PrefixIndex prefixes;
  PlacementNews placement_news;
  std::set<std::string> peers;  ///< Addresses of other routers, IP:PORT.
  /// Peers whose digests come, and when the last one did.
  std::map<std::string, TimePoint> peers_heard_at;

  std::set<RequestDispatch*> requests;  ///< Under way.
  std::set<std::string> tables_lost;    ///< Of the store, by name.
  std::size_t body_bytes = 0;           ///< Held of all request bodies.
  bool draining = false;

 private:
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> services;
  std::mt19937_64 random;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_DISPATCH_STATE_H_
