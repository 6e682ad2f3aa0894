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

/// \brief Limits on what a stranger may send.
struct HttpServerLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  std::size_t connections = 4096;
  /// Time to receive one whole request, from its first byte.
  Duration request_timeout = std::chrono::seconds(10);
  /// Time to wait for the next request on a kept connection.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Time for one write to a slow reader.
  Duration write_timeout = std::chrono::seconds(30);
};

/// \brief One request and the means to answer it, once.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  const HttpRequest& Request() const { return this->request; }

  /// \brief Sends a complete response.
  virtual Awaitable<bool> Respond(HttpResponse response) = 0;
  /// \brief Sends the header of a chunked response.
  virtual Awaitable<bool> StartStream(unsigned status, HttpHeaders headers) = 0;
  /// \brief Sends one chunk. \returns false if the client has gone.
  virtual Awaitable<bool> Write(std::string_view data) = 0;
  /// \brief Ends a chunked response as whole.
  virtual Awaitable<void> Finish() = 0;
  /// \brief Closes the connection without ending the response.
  virtual void Abort() = 0;
  /// \brief Calls `on_gone` once if the client closes its side early.
  virtual void WatchDisconnect(std::function<void()> on_gone) = 0;

 protected:
  HttpRequest request;
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange&)>;

/// \brief HTTP/1.1 server with limits; one coroutine per connection.
class HttpServer {
 public:
  /// \param on_bad_request makes the response to a request that can't be read.
  HttpServer(boost::asio::any_io_executor executor, HttpServerLimits limits,
             HttpHandler handler,
             std::function<HttpResponse(const Fault&)> on_bad_request = {});
  ~HttpServer();

  /// \brief Binds and starts to accept. \returns the bound endpoint.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// \brief Stops accepting; connections end after their current exchange.
  void StopAccepting();
  /// \returns the number of open connections.
  std::size_t Connections() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_HTTP_SERVER_H_
