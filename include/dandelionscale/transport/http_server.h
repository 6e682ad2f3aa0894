#ifndef DANDELIONSCALE_TRANSPORT_HTTP_SERVER_H_
#define DANDELIONSCALE_TRANSPORT_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale {

/// \brief Limits on what a client may send.
struct HttpServerLimits {
  /// Largest header section of a request, in bytes.
  std::size_t header_bytes = 16 * 1024;
  /// Largest body of a request, in bytes.
  std::size_t body_bytes = 1024 * 1024;
  /// Most connections at a time; further ones are closed at once.
  std::size_t connections = 4096;
  /// Time to receive a complete request, from its first byte.
  Duration request_timeout = std::chrono::seconds(10);
  /// Time to wait for the next request on a keep-alive connection.
  Duration idle_timeout = std::chrono::seconds(60);
  /// What the system keeps of responses that a connection has not taken yet; 0:
  /// as the system chooses. `HttpExchange::Respond()` returns when the rest has
  /// been taken.
  std::size_t send_buffer_bytes = 0;
  /// Time for one write to a slow client.
  Duration write_timeout = std::chrono::seconds(30);
  /// Slowest mean rate at which a client may take a whole response, in bytes a
  /// second: `write_timeout` is that much longer for larger ones; 0: it is the
  /// same for any size.
  std::size_t min_write_rate = 0;
};

/// \brief One request and its response, sent either by `Respond()` or by
///        `StartStream()`, `Write()` and `Finish()`.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  const HttpRequest& Request() const { return this->request; }

  /// \returns the IP address of the client as text; empty if the connection is
  ///          closed.
  virtual std::string ClientIp() const = 0;
  /// \brief Sends a complete response. \returns false if the write failed.
  virtual Awaitable<bool> Respond(HttpResponse response) = 0;
  /// \brief Sends the header of a chunked response. \returns false if the write
  ///        failed.
  virtual Awaitable<bool> StartStream(unsigned status, HttpHeaders headers) = 0;
  /// \brief Sends one chunk. \returns false if the connection is broken.
  virtual Awaitable<bool> Write(std::string_view data) = 0;
  /// \brief Sends the last chunk, which marks the response as complete.
  virtual Awaitable<void> Finish() = 0;
  /// \brief Closes the connection without ending the response.
  virtual void Abort() = 0;
  /// \brief Calls `on_disconnect` once if the client closes the connection, or
  ///        only its sending side, during the exchange. This is not detected
  ///        once the client has sent further bytes (a pipelined request).
  virtual void WatchDisconnect(std::function<void()> on_disconnect) = 0;

 protected:
  HttpRequest request;
};

/// \brief Handles one request. The connection is closed if the handler ends
///        without a complete response.
using HttpHandler = std::function<Awaitable<void>(HttpExchange&)>;

/// \brief HTTP/1.1 server with limits; one coroutine per connection.
class HttpServer {
 public:
  /// \param on_bad_request makes the response to a request that is malformed,
  ///        too large or ambiguous; if empty, a plain text with the name of the
  ///        fault is sent. Also called when a request times out, but then its
  ///        response is discarded.
  HttpServer(boost::asio::any_io_executor executor, HttpServerLimits limits,
             HttpHandler handler,
             std::function<HttpResponse(const Fault&)> on_bad_request = {});
  ~HttpServer();

  /// \brief Binds and starts accepting connections.
  /// \returns the bound endpoint; fault: `kConnectFailed`.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// \brief Stops accepting; open connections close after their current
  ///        exchange.
  void StopAccepting();
  /// \returns the number of open connections.
  std::size_t Connections() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_HTTP_SERVER_H_
