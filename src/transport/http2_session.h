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

/// \brief Splits the bytes of a stream into length-prefixed messages.
class MessageSplitter {
 public:
  void Append(std::string_view bytes) { this->buffer += bytes; }
  /// \returns true and the next whole message, false if bytes are missing.
  bool Next(std::string& message);
  /// \returns true if the announced length is over the limit.
  bool IsTooLarge() const;
  bool IsEmpty() const { return this->buffer.empty(); }

 private:
  std::string buffer;
};

/// \returns `message` behind its length.
std::string FrameMessage(std::string_view message);

/// \brief State of one stream on either side.
struct Http2Stream {
  virtual ~Http2Stream() = default;

  std::int32_t id = 0;
  MessageSplitter incoming;
  std::string path;
  std::string outgoing;
  bool outgoing_ended = false;
  bool deferred = false;
  bool closed = false;

  /// \brief Called after bytes, the end of the peer's side, or a reset.
  virtual void OnData() {}
  virtual void OnPeerEnd() {}
  virtual void OnClose(std::uint32_t error_code) = 0;
};

/// \brief One HTTP/2 connection over an Asio socket.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
 public:
  enum class Side { kClient, kServer };

  Http2Session(boost::asio::ip::tcp::socket socket, Side side,
               ByteCounters* counters);
  ~Http2Session();

  /// \brief Makes the stream object of a request from the peer.
  std::function<std::shared_ptr<Http2Stream>(Http2Session&, std::int32_t)>
      on_new_stream;

  /// \brief Sends the settings and runs until the connection ends.
  void Start();
  void Close();
  bool IsOpen() const { return this->open; }
  /// \brief Counts the bytes of this connection, earlier ones too.
  void CountInto(ByteCounters* counters);

  /// \brief Opens a client stream whose body is `stream->outgoing`.
  /// \returns false if the connection takes no more streams.
  bool SubmitRequest(const std::shared_ptr<Http2Stream>& stream);
  /// \brief Sends the response header; the body follows `stream.outgoing`.
  void SubmitResponse(Http2Stream& stream);
  /// \brief Tells the session that `stream.outgoing` has changed.
  void Resume(Http2Stream& stream);
  void Reset(Http2Stream& stream);
  /// \brief Gives receive window back for bytes that the reader has taken.
  void Consume(Http2Stream& stream, std::size_t bytes);
  /// \brief Writes what the session has pending.
  void Flush();

 private:
  friend struct Http2Callbacks;

  Awaitable<void> ReadLoop();
  Awaitable<void> WriteLoop();
  Awaitable<void> PingLoop();
  void Fail();

  boost::asio::ip::tcp::socket socket;
  Side side;
  ByteCounters* counters;
  ByteCounters not_yet_counted;
  nghttp2_session* session = nullptr;
  bool open = false;
  bool writing = false;
  TimePoint last_received;
  std::map<std::int32_t, std::shared_ptr<Http2Stream>> streams;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TRANSPORT_HTTP2_SESSION_H_
