#ifndef DANDELIONSCALE_SRC_TRANSPORT_HTTP2_SESSION_H_
#define DANDELIONSCALE_SRC_TRANSPORT_HTTP2_SESSION_H_

#include <nghttp2/nghttp2.h>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/event.h"
#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/transport/byte_counters.h"
#include "dandelionscale/transport/peer_connection.h"

namespace dandelionscale::internal {

/// \brief Incremental parser of the length-prefixed messages of a stream.
class MessageSplitter {
 public:
  /// \brief Appends received bytes.
  void Append(std::string_view bytes) { this->buffer += bytes; }
  /// \brief Extracts the next complete message into `message`.
  /// \returns false if more bytes are needed.
  bool Next(std::string& message);
  /// \returns true if the length of the next message exceeds
  ///          `kMaxPeerMessageBytes`.
  bool IsTooLarge() const;
  /// \returns true if no received byte is left.
  bool IsEmpty() const { return this->buffer.empty(); }

 private:
  std::string buffer;
};

/// \returns `message` preceded by its length.
std::string FrameMessage(std::string_view message);

/// \brief State of one stream on either side.
struct Http2Stream {
  virtual ~Http2Stream() = default;

  std::int32_t id = 0;
  MessageSplitter incoming;
  std::string path;
  std::string outgoing;         ///< Bytes not yet passed to nghttp2.
  bool outgoing_ended = false;  ///< No more bytes will be added to `outgoing`.
  bool deferred = false;        ///< nghttp2 waits for `Http2Session::Resume()`.
  bool closed = false;

  /// \brief Called after bytes were received or taken from `outgoing`.
  virtual void OnData() {}
  /// \brief Called after the peer has ended its side of the stream.
  virtual void OnPeerEnd() {}
  /// \brief Called once, when the stream closes or its connection breaks.
  /// \param error_code HTTP/2 error code.
  virtual void OnClose(std::uint32_t error_code) = 0;
};

/// \brief One HTTP/2 connection over an Asio socket.
///
/// Background coroutines read, write and, on the client side, send pings. Calls
/// must come from the executor of the socket.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
 public:
  enum class Side { kClient, kServer };

  Http2Session(boost::asio::ip::tcp::socket socket, Side side,
               ByteCounters* counters);
  ~Http2Session();

  /// \brief Creates the stream object for a request from the peer; takes the id
  ///        of the stream.
  std::function<std::shared_ptr<Http2Stream>(Http2Session&, std::int32_t)>
      on_new_stream;

  /// \brief Sends the HTTP/2 settings and starts the background coroutines.
  void Start();
  /// \brief Closes the socket; open streams end with an error.
  void Close();
  bool IsOpen() const { return this->open; }
  /// \brief Counts the bytes of this connection in `counters` from now on, and
  ///        adds those counted before.
  void CountInto(ByteCounters* counters);

  /// \brief Opens a client stream whose body is `stream->outgoing`.
  /// \returns false if the connection accepts no more streams.
  bool SubmitRequest(const std::shared_ptr<Http2Stream>& stream);
  /// \brief Sends the response header; the body is taken from
  ///        `stream.outgoing`.
  void SubmitResponse(Http2Stream& stream);
  /// \brief Resumes sending after a change of `stream.outgoing` or
  ///        `stream.outgoing_ended`.
  void Resume(Http2Stream& stream);
  /// \brief Resets the stream with error code CANCEL.
  void Reset(Http2Stream& stream);
  /// \brief Returns `bytes` of flow-control window to the peer after the reader
  ///        has consumed them.
  void Consume(Http2Stream& stream, std::size_t bytes);
  /// \brief Starts writing the pending frames unless a write is in progress.
  void Flush();

 private:
  friend struct Http2Callbacks;

  Awaitable<void> ReadLoop();
  Awaitable<void> WriteLoop();
  // Client side only: sends pings, and fails the connection if nothing is
  // received for kPeerTimeout while a stream is open.
  Awaitable<void> PingLoop();
  // Closes the socket and all streams.
  void Fail();

  boost::asio::ip::tcp::socket socket;
  Side side;
  ByteCounters* counters;
  // Used if no counters were given, until CountInto() is called.
  ByteCounters default_counters;
  nghttp2_session* session = nullptr;
  bool open = false;
  bool writing = false;
  TimePoint last_received;
  std::map<std::int32_t, std::shared_ptr<Http2Stream>> streams;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TRANSPORT_HTTP2_SESSION_H_
