/// \file
/// \brief Finds out by connections which engines this router reaches.
#ifndef DANDELIONSCALE_SRC_TUNNEL_REACHABILITY_MONITOR_H_
#define DANDELIONSCALE_SRC_TUNNEL_REACHABILITY_MONITOR_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dandelionscale/core/engine_reachability.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/request/engine_connection_pool.h"

namespace dandelionscale::internal {

/// \brief Makes the checks for `EngineReachability`.
///
/// A check connects to a few engines of each service at the same time. The
/// connections go to the pool, so that they are not made in vain.
class ReachabilityMonitor {
 public:
  ReachabilityMonitor(DispatchState& state, EngineConnectionPool& pool);

  /// \param owner kept alive by the checks.
  void Start(std::weak_ptr<void> new_owner) { this->owner = new_owner; }
  /// \brief Starts a check if one is due; to be called often.
  void Poll(TimePoint now);
  /// \brief Has engines checked after a connection failed, and waits for the
  ///        result.
  Awaitable<void> Confirm();

 private:
  /// A check that is under way.
  struct Progress {
    explicit Progress(const boost::asio::any_io_executor& executor)
        : finished(executor) {}
    std::map<std::string, ReachabilityCheck> checks;  ///< By service.
    std::size_t pending = 0;
    Event finished;
  };

  void StartCheck();
  Awaitable<void> Check(std::shared_ptr<void> locked_owner);
  Awaitable<void> TryEngine(std::shared_ptr<void> locked_owner,
                            std::shared_ptr<Engine> engine,
                            std::shared_ptr<Progress> progress);
  std::vector<std::string> Services() const;
  std::vector<std::shared_ptr<Engine>> SelectEngines(
      const std::string& service) const;
  void Apply(const std::string& service, const ReachabilityCheck& check);
  // Engines that could not be reached before are not to blame for it.
  void OnLost(const std::string& service, const ReachabilityCheck& check);

  DispatchState& state;
  EngineConnectionPool& pool;
  std::weak_ptr<void> owner;
  bool checking = false;
  Event checked;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TUNNEL_REACHABILITY_MONITOR_H_
