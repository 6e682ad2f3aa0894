/// \file
/// \brief Carries connections of other routers to engines.
#ifndef DANDELIONSCALE_SRC_TUNNEL_TUNNEL_SERVER_H_
#define DANDELIONSCALE_SRC_TUNNEL_TUNNEL_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "dispatch/dispatch_state.h"
#include "dispatch/request/engine_connection_pool.h"
#include "tunnel/tunnel_message.h"

namespace dandelionscale::internal {

/// Of a router for each tunnel that it carries.
inline constexpr std::size_t kDescriptorsPerTunnel = 2;

/// \brief Accepts tunnels of the fleet's routers to listed engines and passes
///        their bytes on unchanged.
///
/// It reads nothing of what it carries and decides nothing about requests. If
/// one side ends its connection in order, so is the other one ended; if one is
/// lost, the other one is reset, so that a response that ends with its
/// connection never looks complete by mistake.
class TunnelServer {
 public:
  TunnelServer(DispatchState& state, EngineConnectionPool& pool);

  /// \brief Starts to accept tunnels, if the settings name an address.
  /// \param owner kept alive by the tunnels.
  /// \returns the fault if the address cannot be opened.
  Result<void> Start(std::shared_ptr<void> owner);
  /// \returns the number of open tunnels and of those that are being opened.
  std::size_t OpenTunnels() const { return this->sessions; }
  /// \brief Forgets how tunnels ended some time ago.
  void Expire(TimePoint now);

 private:
  struct Session;
  struct EndRecord {
    TunnelEnd end = TunnelEnd::kUnknown;
    TimePoint at{};
  };

  Awaitable<void> Accept(std::shared_ptr<void> owner);
  Awaitable<void> Serve(std::shared_ptr<void> owner,
                        std::shared_ptr<Session> session);
  Awaitable<void> OpenTunnel(std::shared_ptr<void> owner,
                             std::shared_ptr<Session> session);
  std::optional<TunnelRefusal> FindRefusal(const Session& session,
                                           const Engine* engine) const;
  bool IsListedRouter(const boost::asio::ip::address& address) const;
  Awaitable<void> RefuseTunnel(std::shared_ptr<Session> session,
                               TunnelRefusal refusal);
  Awaitable<void> AnswerEnd(std::shared_ptr<Session> session,
                            std::string tunnel_id);
  // Passes on what the caller sends; its end cancels the request.
  Awaitable<void> PassToEngine(std::shared_ptr<Session> session);
  Awaitable<void> PassToCaller(std::shared_ptr<Session> session);
  // Whether the engine has been sent all that the caller has sent so far. Waits
  // for that, up to a limit.
  Awaitable<bool> HasPassedUpload(std::shared_ptr<Session> session);
  // Ends the caller's connection as the engine has ended its own.
  Awaitable<void> EndForCaller(std::shared_ptr<Session> session, bool in_order);

  DispatchState& state;
  EngineConnectionPool& pool;
  boost::asio::ip::tcp::acceptor acceptor;
  std::size_t sessions = 0;
  std::unordered_map<std::string, EndRecord> ends;  ///< By tunnel id.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TUNNEL_TUNNEL_SERVER_H_
