#include "transport/http2_session.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Length prefix of a message.
constexpr std::size_t kLengthBytes = 4;
// Flow-control window of a stream. It is extended only by Consume(), which the
// client side calls after it has read a complete message.
constexpr std::uint32_t kStreamWindowBytes = 1024 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kMaxConcurrentStreams = 100'000;
constexpr std::size_t kWriteBatchBytes = 64 * 1024;
// Interval of the pings that the client side sends while nothing is received
// and a stream is open.
constexpr Duration kPingInterval = std::chrono::milliseconds(500);
// The client side considers a peer dead if nothing, not even a ping reply, is
// received from it for this long while a stream is open.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(2000);

std::uint32_t ReadLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

nghttp2_nv MakeField(std::string_view name, std::string_view value) {
  auto* name_bytes =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
  auto* value_bytes =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  return {name_bytes, value_bytes, name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

// nghttp2 callback that copies pending bytes of a stream into a DATA frame.
ssize_t CopyOutgoing(nghttp2_session*, std::int32_t, std::uint8_t* buffer,
                     std::size_t length, std::uint32_t* flags,
                     nghttp2_data_source* source, void*) {
  auto& stream = *static_cast<Http2Stream*>(source->ptr);
  std::size_t size = std::min(length, stream.outgoing.size());
  std::memcpy(buffer, stream.outgoing.data(), size);
  stream.outgoing.erase(0, size);
  if (stream.outgoing.empty() && stream.outgoing_ended) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  } else if (size == 0) {
    stream.deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  stream.OnData();
  return static_cast<ssize_t>(size);
}

}  // namespace

bool MessageSplitter::Next(std::string& message) {
  if (this->buffer.size() < kLengthBytes) return false;
  std::size_t length = ReadLength(this->buffer);
  if (this->buffer.size() < kLengthBytes + length) return false;
  message = this->buffer.substr(kLengthBytes, length);
  this->buffer.erase(0, kLengthBytes + length);
  return true;
}

bool MessageSplitter::IsTooLarge() const {
  return this->buffer.size() >= kLengthBytes &&
         ReadLength(this->buffer) > kMaxPeerMessageBytes;
}

std::string FrameMessage(std::string_view message) {
  auto length = static_cast<std::uint32_t>(message.size());
  std::string framed;
  framed.reserve(kLengthBytes + message.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    framed += static_cast<char>(length >> shift & 0xff);
  }
  framed += message;
  return framed;
}

/// \brief Callbacks registered with nghttp2.
struct Http2Callbacks {
  static Http2Session& Self(void* user_data) {
    return *static_cast<Http2Session*>(user_data);
  }

  static std::shared_ptr<Http2Stream> Find(Http2Session& self,
                                           std::int32_t id) {
    auto found = self.streams.find(id);
    return found == self.streams.end() ? nullptr : found->second;
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user_data) {
    Http2Session& self = Self(user_data);
    if (self.side == Http2Session::Side::kClient || !self.on_new_stream) {
      return 0;
    }
    std::int32_t id = frame->hd.stream_id;
    auto stream = self.on_new_stream(self, id);
    stream->id = id;
    self.streams[id] = std::move(stream);
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length,
                      const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t, void* user_data) {
    std::string_view field(reinterpret_cast<const char*>(name), name_length);
    if (field != ":path") return 0;
    auto stream = Find(Self(user_data), frame->hd.stream_id);
    if (stream == nullptr) return 0;
    stream->path.assign(reinterpret_cast<const char*>(value), value_length);
    return 0;
  }

  static int OnDataChunk(nghttp2_session*, std::uint8_t, std::int32_t id,
                         const std::uint8_t* data, std::size_t length,
                         void* user_data) {
    Http2Session& self = Self(user_data);
    nghttp2_session_consume_connection(self.session, length);
    auto stream = Find(self, id);
    if (stream == nullptr) return 0;
    stream->incoming.Append(
        std::string_view(reinterpret_cast<const char*>(data), length));
    if (stream->incoming.IsTooLarge()) {
      self.Reset(*stream);
      return 0;
    }
    stream->OnData();
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                     void* user_data) {
    bool ends_stream =
        (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) &&
        (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (!ends_stream) return 0;
    auto stream = Find(Self(user_data), frame->hd.stream_id);
    if (stream != nullptr) stream->OnPeerEnd();
    return 0;
  }

  static int OnStreamClose(nghttp2_session*, std::int32_t id,
                           std::uint32_t error, void* user_data) {
    Http2Session& self = Self(user_data);
    auto stream = Find(self, id);
    if (stream == nullptr) return 0;
    self.streams.erase(id);
    stream->closed = true;
    stream->OnClose(error);
    return 0;
  }
};

Http2Session::Http2Session(asio::ip::tcp::socket socket, Side side,
                           ByteCounters* counters)
    : socket(std::move(socket)),
      side(side),
      counters(counters == nullptr ? &this->default_counters : counters) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Http2Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Http2Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, Http2Callbacks::OnDataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Http2Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Http2Callbacks::OnStreamClose);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_auto_window_update(options, 1);
  nghttp2_option_set_peer_max_concurrent_streams(options,
                                                 kMaxConcurrentStreams);
  if (side == Side::kClient) {
    nghttp2_session_client_new2(&this->session, callbacks, this, options);
  } else {
    nghttp2_session_server_new2(&this->session, callbacks, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
}

Http2Session::~Http2Session() { nghttp2_session_del(this->session); }

void Http2Session::Start() {
  this->open = true;
  this->last_received = RuntimeClock::now();
  std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
  }};
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  auto executor = this->socket.get_executor();
  asio::co_spawn(executor, this->ReadLoop(), asio::detached);
  if (this->side == Side::kClient) {
    asio::co_spawn(executor, this->PingLoop(), asio::detached);
  }
  this->Flush();
}

void Http2Session::CountInto(ByteCounters* counters) {
  if (counters == nullptr || this->counters == counters) return;
  counters->sent += this->counters->sent;
  counters->received += this->counters->received;
  this->counters = counters;
}

void Http2Session::Close() {
  error_code ignored;
  this->socket.close(ignored);
  this->Fail();
}

void Http2Session::Fail() {
  if (!this->open) return;
  this->open = false;
  error_code ignored;
  this->socket.close(ignored);
  auto failed = std::move(this->streams);
  this->streams.clear();
  for (auto& [id, stream] : failed) {
    stream->closed = true;
    stream->OnClose(NGHTTP2_INTERNAL_ERROR);
  }
}

bool Http2Session::SubmitRequest(const std::shared_ptr<Http2Stream>& stream) {
  std::array<nghttp2_nv, 4> fields = {
      MakeField(":method", "POST"), MakeField(":scheme", "http"),
      MakeField(":path", stream->path), MakeField(":authority", "peer")};
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = CopyOutgoing;
  std::int32_t id = nghttp2_submit_request(
      this->session, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (id < 0) return false;
  stream->id = id;
  this->streams[id] = stream;
  this->Flush();
  return true;
}

void Http2Session::SubmitResponse(Http2Stream& stream) {
  std::array<nghttp2_nv, 1> fields = {MakeField(":status", "200")};
  nghttp2_data_provider provider{};
  provider.source.ptr = &stream;
  provider.read_callback = CopyOutgoing;
  nghttp2_submit_response(this->session, stream.id, fields.data(),
                          fields.size(), &provider);
  this->Flush();
}

void Http2Session::Resume(Http2Stream& stream) {
  if (stream.closed || !this->open) return;
  if (stream.deferred) {
    stream.deferred = false;
    nghttp2_session_resume_data(this->session, stream.id);
  }
  this->Flush();
}

void Http2Session::Reset(Http2Stream& stream) {
  if (stream.closed || !this->open) return;
  nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, stream.id,
                            NGHTTP2_CANCEL);
  this->Flush();
}

void Http2Session::Consume(Http2Stream& stream, std::size_t bytes) {
  if (stream.closed || !this->open) return;
  nghttp2_session_consume_stream(this->session, stream.id, bytes);
  this->Flush();
}

void Http2Session::Flush() {
  if (this->writing || !this->open) return;
  this->writing = true;
  asio::co_spawn(this->socket.get_executor(), this->WriteLoop(),
                 asio::detached);
}

Awaitable<void> Http2Session::WriteLoop() {
  auto self = this->shared_from_this();
  std::string batch;
  while (this->open) {
    batch.clear();
    while (batch.size() < kWriteBatchBytes) {
      const std::uint8_t* data = nullptr;
      ssize_t size = nghttp2_session_mem_send(this->session, &data);
      if (size <= 0) break;
      batch.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(size));
    }
    if (batch.empty()) break;
    error_code error;
    co_await asio::async_write(this->socket, asio::buffer(batch),
                               RedirectError(error));
    this->counters->sent += batch.size();
    if (error) this->Fail();
  }
  this->writing = false;
}

Awaitable<void> Http2Session::ReadLoop() {
  auto self = this->shared_from_this();
  std::array<std::uint8_t, 16 * 1024> buffer;
  while (this->open) {
    error_code error;
    std::size_t size = co_await this->socket.async_read_some(
        asio::buffer(buffer), RedirectError(error));
    if (error) break;
    this->counters->received += size;
    this->last_received = RuntimeClock::now();
    ssize_t consumed =
        nghttp2_session_mem_recv(this->session, buffer.data(), size);
    if (consumed < 0) break;
    this->Flush();
    if (nghttp2_session_want_read(this->session) == 0 &&
        nghttp2_session_want_write(this->session) == 0) {
      break;
    }
  }
  this->Fail();
}

Awaitable<void> Http2Session::PingLoop() {
  auto self = this->shared_from_this();
  TimePoint last_without_streams = RuntimeClock::now();
  while (this->open) {
    co_await SleepFor(kPingInterval);
    if (!this->open) break;
    const TimePoint now = RuntimeClock::now();
    if (this->streams.empty()) {
      last_without_streams = now;
      continue;
    }
    const TimePoint last_activity =
        std::max(last_without_streams, this->last_received);
    if (now - last_activity > kPeerTimeout) {
      this->Fail();
      break;
    }
    if (now - this->last_received < kPingInterval) continue;
    nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
    this->Flush();
  }
}

}  // namespace dandelionscale::internal
