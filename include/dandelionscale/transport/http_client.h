#ifndef DANDELIONSCALE_TRANSPORT_HTTP_CLIENT_H_
#define DANDELIONSCALE_TRANSPORT_HTTP_CLIENT_H_

#include <limits>
#include <memory>
#include <string>

#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/byte_counters.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale {

/// \brief A response whose body is read incrementally.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  unsigned Status() const { return this->status; }
  const HttpHeaders& Headers() const { return this->headers; }

  /// \brief Waits for the next bytes of the body.
  /// \returns the bytes; empty at the end of a complete body. Faults: see
  ///          `HttpClient`.
  virtual Awaitable<Result<std::string>> Read(Duration timeout) = 0;
  /// \brief Closes the connection, which cancels the request.
  virtual void Cancel() = 0;

 protected:
  unsigned status = 0;
  HttpHeaders headers;
};

/// \brief Whether a request may use an idle connection.
enum class ConnectionUse {
  kReuse,  ///< May use an idle connection, and so be sent more than once; for
           ///< idempotent requests.
  kFresh,  ///< Always opens a new connection; a failure to connect means
           ///< "not sent".
};

/// \brief Limits on the bodies of responses. A response that exceeds one is a
///        failure.
struct HttpClientLimits {
  std::size_t body_bytes = 16 * 1024 * 1024;  ///< Of one response.
  /// Of all responses that `HttpClient::Fetch()` is reading, together.
  std::size_t total_bytes = std::numeric_limits<std::size_t>::max() / 2;
};

/// Least mean rate of a body in bytes a second: an eighth of what the links of
/// the slowest hosts carry.
inline constexpr std::size_t kMinTransferRate = 150'000;

/// \brief Time limits of a call whose response may have any size.
///
/// A response is alive while its bytes come: not one that stands still, and not
/// one whose mean rate stays below `kMinTransferRate`.
struct TransferLimits {
  /// Until the head of the response has arrived.
  Duration head{};
  /// Until the next bytes of its body; longer than a lost packet takes.
  Duration stall = std::chrono::milliseconds(600);
};

/// \brief What has arrived of a response, also if the call fails later.
struct TransferProgress {
  std::size_t bytes = 0;  ///< Of the body.
  TimePoint last_at{};    ///< When the last of them arrived.
};

/// \brief HTTP/1.1 client with a pool of idle connections.
///
/// A connection returns to the pool only after its response was read
/// completely. If an idle connection breaks before the response header arrives,
/// the request is sent again on another connection.
///
/// Faults: `kConnectFailed` if connecting fails or times out, `kTimeout` if
/// sending or reading times out, `kConnectionLost` for every other failure,
/// including a malformed or too large response.
class HttpClient {
 public:
  /// \param counters receives the bytes of this client; may be null.
  HttpClient(boost::asio::any_io_executor executor, ByteCounters* counters,
             HttpClientLimits limits = {});
  ~HttpClient();

  /// \brief Sends a request and reads the whole response.
  /// \param timeout for connecting, sending and reading together.
  /// \param progress is kept up to date while the call lasts; may be null.
  Awaitable<Result<HttpResponse>> Fetch(Endpoint endpoint, HttpRequest request,
                                        ConnectionUse use, Duration timeout,
                                        TransferProgress* progress = nullptr);
  /// \brief The same without a limit for the whole call.
  Awaitable<Result<HttpResponse>> Fetch(Endpoint endpoint, HttpRequest request,
                                        ConnectionUse use,
                                        TransferLimits limits,
                                        TransferProgress* progress = nullptr);

  /// \brief Sends a request and returns after the response header arrives.
  /// \param timeout until the header arrives; `Read()` has its own.
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
