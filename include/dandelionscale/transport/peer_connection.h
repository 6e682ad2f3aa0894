/// \file
/// \brief HTTP/2 streams between routers, over nghttp2.
///
/// A stream carries one request message and any number of reply messages; each
/// message is preceded by its length in four bytes, most significant first.
#ifndef DANDELIONSCALE_TRANSPORT_PEER_CONNECTION_H_
#define DANDELIONSCALE_TRANSPORT_PEER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/byte_counters.h"

namespace dandelionscale {

/// \brief Limit on the length of a message, in bytes; a received length prefix
///        above it resets the stream.
inline constexpr std::size_t kMaxPeerMessageBytes = 8 * 1024 * 1024;

/// \brief Client side of one stream.
class PeerStream {
 public:
  virtual ~PeerStream() = default;

  /// \brief Waits for the next reply message.
  /// \returns the message; empty after the server has ended the stream. Fault
  ///          `kNotSent` means that the peer refused the request before any
  ///          processing.
  virtual Awaitable<Result<std::string>> Read(Duration timeout) = 0;
  /// \brief Resets the stream.
  virtual void Cancel() = 0;
};

/// \brief Server side of one stream.
class PeerCall {
 public:
  virtual ~PeerCall() = default;

  std::string_view Path() const { return this->path; }
  std::string_view Message() const { return this->message; }

  /// \brief Queues one reply message; waits first while the send buffer of the
  ///        stream is full.
  /// \returns false if the client reset the stream or the connection broke.
  virtual Awaitable<bool> Send(std::string_view message) = 0;
  /// \brief Calls `on_disconnect` once if the client resets the stream or the
  ///        connection breaks before the handler ends.
  virtual void WatchDisconnect(std::function<void()> on_disconnect) = 0;

 protected:
  std::string path;
  std::string message;
};

/// \brief Handles one request; the stream ends when the handler does.
using PeerHandler = std::function<Awaitable<void>(PeerCall&)>;

/// \brief Opens streams over one shared connection to a peer; reconnects as
///        needed.
class PeerClient {
 public:
  /// \param counters receives the bytes of the connection; may be null.
  PeerClient(boost::asio::any_io_executor executor, Endpoint endpoint,
             ByteCounters* counters);
  ~PeerClient();

  /// \brief Opens a stream and sends `message`; connects first if needed.
  /// \returns the stream; fault `kConnectFailed` means that nothing was sent.
  Awaitable<Result<std::shared_ptr<PeerStream>>> Open(std::string path,
                                                      std::string message,
                                                      Duration connect_timeout);

  /// \brief Opens a stream, reads one reply message and closes the stream.
  /// \param timeout for connecting and, counted anew, for the reply.
  Awaitable<Result<std::string>> Call(std::string path, std::string message,
                                      Duration timeout);

  /// \brief Closes the connection.
  void Close();

  struct State;

 private:
  std::shared_ptr<State> state;
};

/// \brief Accepts connections from peers.
class PeerServer {
 public:
  /// \param counted_path path that selects the connections to be counted: all
  ///        bytes of a connection that carries a request to this path.
  /// \param counters receives the bytes of these connections; may be null.
  PeerServer(boost::asio::any_io_executor executor, PeerHandler handler,
             std::string counted_path = {}, ByteCounters* counters = nullptr);
  ~PeerServer();

  /// \brief Binds and starts accepting connections.
  /// \returns the bound endpoint; fault: `kConnectFailed`.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// \brief Stops accepting; open connections stay until destruction.
  void StopAccepting();

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_PEER_CONNECTION_H_
