/// \file
/// \brief Opens tunnels to engines over other routers.
#ifndef DANDELIONSCALE_SRC_TUNNEL_TUNNEL_CLIENT_H_
#define DANDELIONSCALE_SRC_TUNNEL_TUNNEL_CLIENT_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "dandelionscale/transport/http_client.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/request/engine_connection_pool.h"
#include "tunnel/tunnel_message.h"

namespace dandelionscale::internal {

/// \brief Asks peers for tunnels, and how tunnels have ended.
class TunnelClient {
 public:
  explicit TunnelClient(DispatchState& state);

  /// \brief Opens a tunnel over one peer after the other, a few at most.
  /// \param request_id of the client's request, for logs.
  /// \returns the connection; faults: `kConnectFailed` if several peers do not
  ///          reach the engine, `kNoPath` if no peer carries a tunnel to it.
  Awaitable<Result<std::shared_ptr<EngineConnection>>> Open(
      std::shared_ptr<Engine> engine, std::string request_id);
  /// \returns how the engine's side of a tunnel ended, as its peer states it.
  Awaitable<TunnelEnd> FindEnd(TunnelLabel label);

 private:
  using Attempt =
      std::variant<std::shared_ptr<EngineConnection>, TunnelRefusal>;

  Awaitable<Attempt> OpenOver(std::string peer, std::shared_ptr<Engine> engine,
                              std::string request_id);
  // Returns nothing if the tunnel is open.
  Awaitable<std::optional<TunnelRefusal>> ReadResponse(
      EngineConnection& connection);
  std::string MakeTunnelId();

  DispatchState& state;
  HttpClient client;
  std::uint64_t last_tunnel = 0;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TUNNEL_TUNNEL_CLIENT_H_
