#ifndef DANDELIONSCALE_TRANSPORT_HTTP_CLIENT_H_
#define DANDELIONSCALE_TRANSPORT_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/byte_counters.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale {

/// \brief One response that arrives in pieces.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  unsigned Status() const { return this->status; }
  const HttpHeaders& Headers() const { return this->headers; }

  /// \brief Waits for the next piece of the body.
  /// \returns the piece; empty at the end of a whole body.
  virtual Awaitable<Result<std::string>> Read(Duration timeout) = 0;
  /// \brief Closes the connection, which cancels the request.
  virtual void Cancel() = 0;

 protected:
  unsigned status = 0;
  HttpHeaders headers;
};

/// \brief How a request may use connections.
enum class ConnectionUse {
  kReuse,  ///< May use a kept connection; for idempotent requests.
  kFresh,  ///< Opens one, so that a failure to connect means "not sent".
};

/// \brief HTTP/1.1 client that keeps idle connections.
///
/// A connection is kept only after its answer was read to the end.
class HttpClient {
 public:
  /// \param counters where bytes of this client are counted; may be null.
  HttpClient(boost::asio::any_io_executor executor, ByteCounters* counters);
  ~HttpClient();

  /// \brief Sends a request and reads the whole response.
  /// \param timeout for everything together.
  Awaitable<Result<HttpResponse>> Fetch(Endpoint endpoint, HttpRequest request,
                                        ConnectionUse use, Duration timeout);

  /// \brief Sends a request and returns once the header has arrived.
  /// \param timeout until the header has arrived.
  Awaitable<Result<std::shared_ptr<HttpStream>>> Open(Endpoint endpoint,
                                                      HttpRequest request,
                                                      ConnectionUse use,
                                                      Duration timeout);

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_HTTP_CLIENT_H_
