/// \file
/// \brief Connections to engines, directly or over another router.
#ifndef DANDELIONSCALE_SRC_TUNNEL_ENGINE_CONNECTOR_H_
#define DANDELIONSCALE_SRC_TUNNEL_ENGINE_CONNECTOR_H_

#include <memory>
#include <string>

#include "dispatch/dispatch_state.h"
#include "dispatch/request/engine_connection_pool.h"
#include "tunnel/reachability_monitor.h"
#include "tunnel/tunnel_client.h"
#include "tunnel/tunnel_server.h"

namespace dandelionscale::internal {

/// \brief Chooses the way to an engine: a pooled connection, a new one, or a
///        tunnel over a peer if this router does not reach the engine's
///        service.
///
/// See docs/design/tunnels.md.
class EngineConnector {
 public:
  explicit EngineConnector(DispatchState& state);

  /// \brief Starts to accept tunnels of peers.
  /// \param owner kept alive by tunnels and checks.
  /// \returns the fault if the address for tunnels cannot be opened.
  Result<void> Start(std::shared_ptr<void> owner);
  /// \brief Starts a check of the engines if one is due; to be called often.
  void Poll(TimePoint now) { this->monitor.Poll(now); }
  /// \brief Closes what has expired.
  void Purge(TimePoint now);

  /// \param request_id of the client's request, for logs.
  /// \returns a connection on which nothing was sent for this request; faults:
  ///          `kConnectFailed`; `kNoPath` if that says nothing of the engine.
  Awaitable<Result<std::shared_ptr<EngineConnection>>> Acquire(
      std::shared_ptr<Engine> engine, ReusePolicy policy,
      std::string request_id);
  /// \brief Returns a connection after a complete response.
  void Return(const Engine& engine,
              std::shared_ptr<EngineConnection> connection,
              Duration keep_alive_timeout);

  /// \returns true if a response that has ended with its connection is complete
  ///          as far as the way to the engine is concerned.
  Awaitable<bool> EndedInOrder(std::shared_ptr<EngineConnection> connection);
  /// \returns true if a connection was lost on the way to the engine, so that
  ///          the engine is not to blame.
  Awaitable<bool> WasLostOnTheWay(std::shared_ptr<EngineConnection> connection,
                                  std::string service);

  /// \returns the number of tunnels of peers that this router carries.
  std::size_t CarriedTunnels() const { return this->server.OpenTunnels(); }

 private:
  DispatchState& state;
  EngineConnectionPool pool;
  ReachabilityMonitor monitor;
  TunnelClient client;
  TunnelServer server;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TUNNEL_ENGINE_CONNECTOR_H_
