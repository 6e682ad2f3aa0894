/// \file
/// \brief One client connection: reads requests and writes responses.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_CLIENT_CONNECTION_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_CLIENT_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/transport/http_types.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

class EngineConnector;

/// \brief Serves the requests of one connection in sequence.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(DispatchState& state, EngineConnector& connector,
                   boost::asio::ip::tcp::socket socket);

  /// \brief Runs until the connection ends.
  Awaitable<void> Serve();
  /// \brief Closes the connection if it has no active request, none has
  ///        arrived unread and none is expected at once; for draining.
  void CloseIfIdle();
  /// \brief Refuses the request that is being read, if there is one.
  void RefuseIncomplete();

  /// \brief Sends a complete response.
  Awaitable<void> SendResponse(unsigned status, HttpHeaders headers,
                               std::string_view body);
  /// \brief Sends the head of a chunked response and its first data.
  /// \returns false if the client has disconnected.
  Awaitable<bool> StartStream(unsigned status, const HttpHeaders& headers,
                              std::string_view data);
  /// \brief Sends more data of a chunked response.
  /// \returns false if the client has disconnected.
  Awaitable<bool> SendData(std::string_view data);
  /// \brief Sends the last chunk, which marks the response as complete.
  Awaitable<void> EndStream();
  /// \brief Lets the connection end after the current request, without the rest
  ///        of its response; what was sent of it still reaches the client.
  void EndIncomplete();
  /// \brief Closes the connection at once; nothing more is sent.
  void Abort();

  /// \brief How a client has ended its side of the connection.
  enum class ClientEnd {
    kClosed,  ///< It sends no more; it may still wait for its response.
    kReset
  };
  /// \brief Calls `on_end` once if the client ends its side of the connection
  ///        during the current request.
  ///
  /// This is not detected any more once bytes of a pipelined request have
  /// arrived.
  void SetDisconnectCallback(std::function<void(ClientEnd)> on_end);

 private:
  enum class Phase {
    kIdle,     ///< No byte of a request was read.
    kReading,  ///< A request is being read.
    kServing,  ///< A request was read whole.
    kClosing   ///< No more requests are read.
  };

  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // These return false if the connection is to be closed; what could be told
  // the client was sent then.
  Awaitable<bool> ReadRequest(HttpRequest& request);
  Awaitable<bool> WaitForRequest();
  Awaitable<bool> ReadHead(Parser& parser);
  Awaitable<bool> ReadBody(const HttpRequest& request, Parser& parser,
                           Duration timeout);
  // Reads and parses some bytes.
  Awaitable<bool> ReadSome(Parser& parser);
  // Ends the wait for a request, unless one has begun to arrive.
  void InterruptWait(std::string_view cause);
  // Ends the reading of a request with a response.
  void InterruptReading(unsigned status);
  // Closes the connection so that the client gets the whole response: unread
  // bytes would reset it.
  Awaitable<void> Close();
  // Sends the response that fits the failure of a read, if there is one.
  Awaitable<void> RejectUnreadable(const boost::system::error_code& error);
  // Sends an error response; the connection is closed after it.
  Awaitable<void> Reject(unsigned status);
  Awaitable<bool> Write(std::string_view data);
  bool MayKeepAlive();
  // The head of a response; states the idle timeout if the connection stays.
  std::string FormatHead(unsigned status, const HttpHeaders& headers,
                         std::string_view framing);
  void SetTimeout(Duration timeout);
  // How long the client may wait before its next request.
  Duration IdleTimeout() const;
  void OnTimeout();
  // Bytes that have arrived and are not parsed yet.
  std::size_t UnreadBytes();
  // Logs that the router closes the connection, and what it has read on it.
  void LogClose(std::string_view cause);

  DispatchState& state;
  EngineConnector& connector;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::unique_ptr<Watchdog::Guard> timeout_guard;
  TimePoint accepted_at = RuntimeClock::now();
  TimePoint last_byte_at = accepted_at;  ///< When bytes were last parsed.
  std::uint32_t requests_read = 0;       ///< Whole ones.
  MemoryBudget::Share body_memory;  ///< For the body of the current request.
  /// Stated in the last response; may be longer than the configured one.
  Duration stated_idle_timeout{};
  TimePoint idle_since{};  ///< When the wait for a request began.
  bool is_head_request = false;
  bool keep_alive = true;
  bool was_rejected = false;  ///< The rest of its last request was not read.
  Phase phase = Phase::kIdle;
  /// Why the wait for a request is to end; empty if it isn't.
  std::string_view wait_interruption;
  /// Status with which the reading of a request is to end.
  std::optional<unsigned> read_interruption;
  bool has_timed_out = false;  ///< The grace period has begun.
  bool is_writing = false;     ///< Waits for the client to take a response.
  bool broken = false;         ///< A write failed, or the socket was closed.
  std::shared_ptr<std::function<void(ClientEnd)>> disconnect_callback;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_CLIENT_CONNECTION_H_
