/// \file
/// \brief One connection of a client: reads requests, writes answers.
#ifndef DANDELIONSCALE_SRC_DISPATCH_CLIENT_CONNECTION_H_
#define DANDELIONSCALE_SRC_DISPATCH_CLIENT_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "dandelionscale/transport/http_types.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/engine_pool.h"

namespace dandelionscale::internal {

/// \brief Serves the requests of one connection, one after the other.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(DispatchState& state, EnginePool& pool,
                   boost::asio::ip::tcp::socket socket);

  /// \brief Runs until the connection ends.
  Awaitable<void> Serve();
  /// \brief The router drains: ends the connection if no request is under way.
  void CloseIfIdle();

  /// \brief Sends a whole answer.
  Awaitable<void> SendWhole(unsigned status, HttpHeaders headers,
                            std::string_view body);
  /// \brief Sends the head of a chunked answer and its first bytes.
  Awaitable<bool> StartStream(unsigned status, const HttpHeaders& headers,
                              std::string_view data);
  /// \brief Sends more bytes of a chunked answer.
  /// \returns false if the client has gone.
  Awaitable<bool> SendPiece(std::string_view data);
  /// \brief Ends a chunked answer as whole.
  Awaitable<void> EndStream();
  /// \brief Closes without the regular end of the answer.
  void Break();

  /// \brief Calls `on_disconnect` once if the client closes during this
  /// request.
  void WatchGone(std::function<void()> on_disconnect);

 private:
  enum class ReadOutcome { kRequest, kClosed, kRejected };

  Awaitable<ReadOutcome> ReadRequest(HttpRequest& request);
  Awaitable<void> Reject(unsigned status);
  Awaitable<bool> Write(std::string_view data);
  bool MayKeepAlive() const;

  DispatchState& state;
  EnginePool& pool;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::unique_ptr<Watchdog::Guard> timeout_guard;
  std::size_t reserved_bytes = 0;  ///< Counted in `DispatchState::body_bytes`.
  bool is_head_request = false;    ///< The request's method is HEAD.
  bool keep_alive = true;
  bool has_active_request = false;  ///< A request is under way.
  bool broken = false;              ///< The connection can't be used any more.
  std::shared_ptr<std::function<void()>> disconnect_callback;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_CLIENT_CONNECTION_H_
