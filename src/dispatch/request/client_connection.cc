#include "dispatch/request/client_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_fields.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/request/http_text.h"
#include "dispatch/request/request_dispatch.h"
#include "dispatch/request/socket_options.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Time limit for one write to a client.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
// Time limit for the body, in addition to the one for the head.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);
// While draining, a new connection stays open for this long, since its first
// request is on its way.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(500);
constexpr std::size_t kReadBufferBytes = 4096;
// How long bytes that will not be answered are read, so that the client gets
// the response before them.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Added to each timeout: what arrived while the process stood still is handled
// by the event loop only after the timeout has passed.
constexpr Duration kTimeoutGrace = std::chrono::milliseconds(100);
// Limit of the bytes that are received but not parsed yet, beside those of the
// longest head: lines between the chunks of a body may have no end.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

bool IsTooLarge(const error_code& error) {
  return error == http::error::body_limit ||
         error == http::error::buffer_overflow;
}

bool IsMalformed(const error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

ClientConnection::ClientConnection(DispatchState& state,
                                   EngineConnector& connector,
                                   asio::ip::tcp::socket socket)
    : state(state),
      connector(connector),
      socket(std::move(socket)),
      body_memory(state.request_memory) {
  SetTcpSocketOptions(this->socket);
}

Awaitable<void> ClientConnection::Serve() {
  auto self = this->shared_from_this();
  this->timeout_guard = std::make_unique<Watchdog::Guard>(
      this->state.watchdog, [this] { this->OnTimeout(); });
  while (!this->broken && this->keep_alive) {
    HttpRequest request;
    const bool has_request = co_await this->ReadRequest(request);
    if (!has_request) break;
    this->phase = Phase::kServing;
    this->timeout_guard->Clear();
    this->is_head_request = request.method == "HEAD";
    auto dispatch = std::make_shared<RequestDispatch>(
        this->state, this->connector, *this, std::move(request));
    co_await dispatch->Run();
    this->disconnect_callback.reset();
    this->body_memory.Release();
  }
  this->body_memory.Release();
  co_await this->Close();
}

Awaitable<void> ClientConnection::Close() {
  const bool must_linger = this->was_rejected || this->UnreadBytes() > 0;
  this->phase = Phase::kClosing;
  error_code error;
  this->socket.shutdown(asio::socket_base::shutdown_send, error);
  if (must_linger) {
    this->timeout_guard->Set(RuntimeClock::now() + kLingerTime);
  }
  while (must_linger && !error) {
    this->buffer.clear();
    co_await this->socket.async_read_some(
        this->buffer.prepare(kReadBufferBytes), RedirectError(error));
  }
  this->timeout_guard.reset();
  this->socket.close(error);
}

Awaitable<bool> ClientConnection::ReadRequest(HttpRequest& request) {
  const bool has_begun = co_await this->WaitForRequest();
  if (!has_begun) co_return false;
  // These limits may have changed while the connection was idle.
  const ClientLimits limits = this->state.Limits();
  this->SetTimeout(limits.header_timeout);
  this->buffer.max_size(limits.header_bytes + kMaxUnparsedBytes);
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);
  const bool has_head = co_await this->ReadHead(parser);
  if (!has_head) co_return false;
  request.headers = CopyHeaders(parser.get());
  if (HasAmbiguousFraming(request.headers) || !HasOneHost(request.headers)) {
    co_await this->Reject(http_status::kBadRequest);
    co_return false;
  }
  const Duration body_timeout = limits.header_timeout + kBodyTimeout;
  const bool has_body = co_await this->ReadBody(request, parser, body_timeout);
  if (!has_body) co_return false;
  auto& message = parser.get();
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = std::move(message.body());
  ++this->requests_read;
  this->keep_alive = message.keep_alive();
  co_return true;
}

Awaitable<bool> ClientConnection::WaitForRequest() {
  this->phase = Phase::kIdle;
  if (this->buffer.size() == 0) {
    this->idle_since = RuntimeClock::now();
    this->SetTimeout(this->IdleTimeout());
  }
  while (this->buffer.size() == 0) {
    error_code error;
    const std::size_t size = co_await this->socket.async_read_some(
        this->buffer.prepare(kReadBufferBytes), RedirectError(error));
    this->buffer.commit(size);
    if (!error) continue;
    const bool is_interrupted = error == asio::error::operation_aborted &&
                                !this->wait_interruption.empty();
    const bool has_arrived = is_interrupted && this->UnreadBytes() > 0;
    if (has_arrived) continue;
    if (is_interrupted) this->LogClose(this->wait_interruption);
    co_return false;
  }
  this->wait_interruption = {};
  this->read_interruption.reset();
  this->last_byte_at = RuntimeClock::now();
  this->phase = Phase::kReading;
  co_return true;
}

Awaitable<bool> ClientConnection::ReadHead(Parser& parser) {
  bool is_readable = true;
  while (is_readable && !parser.is_header_done()) {
    is_readable = co_await this->ReadSome(parser);
  }
  co_return is_readable;
}

Awaitable<bool> ClientConnection::ReadBody(const HttpRequest& request,
                                           Parser& parser, Duration timeout) {
  // The length of a chunked body is not known in advance.
  const std::uint64_t length = parser.content_length().value_or(0);
  if (!this->body_memory.Resize(length)) {
    co_await this->Reject(http_status::kServiceUnavailable);
    co_return false;
  }
  if (EqualsIgnoringCase(request.headers.Find("Expect"), "100-continue")) {
    co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  // The write above may have set a timeout of its own.
  this->SetTimeout(timeout);
  parser.eager(true);
  while (!parser.is_done()) {
    const bool is_readable = co_await this->ReadSome(parser);
    if (!is_readable) co_return false;
    const std::size_t bytes = parser.get().body().capacity();
    if (parser.chunked() && !this->body_memory.Resize(bytes)) {
      co_await this->Reject(http_status::kServiceUnavailable);
      co_return false;
    }
  }
  co_return true;
}

Awaitable<bool> ClientConnection::ReadSome(Parser& parser) {
  error_code error;
  if (!this->read_interruption) {
    co_await http::async_read_some(this->socket, this->buffer, parser,
                                   RedirectError(error));
  }
  // The read may have ended with the whole request before it was cancelled.
  if (this->read_interruption && !parser.is_done()) {
    co_await this->Reject(*this->read_interruption);
    co_return false;
  }
  if (error) {
    co_await this->RejectUnreadable(error);
    co_return false;
  }
  this->last_byte_at = RuntimeClock::now();
  co_return true;
}

// Bytes that the event loop has read already, but not handed over, are in
// neither the socket nor the buffer: only the outcome of the read tells of
// them.
void ClientConnection::InterruptWait(std::string_view cause) {
  this->wait_interruption = cause;
  error_code ignored;
  this->socket.cancel(ignored);
}

void ClientConnection::InterruptReading(unsigned status) {
  if (!this->read_interruption) this->read_interruption = status;
  error_code ignored;
  this->socket.cancel(ignored);
  // A read that was about to go on is not cancelled.
  this->timeout_guard->Set(RuntimeClock::now() + kTimeoutGrace);
}

void ClientConnection::RefuseIncomplete() {
  if (this->phase != Phase::kReading || this->is_writing) return;
  if (!this->read_interruption) this->LogClose("draining");
  this->InterruptReading(http_status::kServiceUnavailable);
}

Awaitable<void> ClientConnection::RejectUnreadable(const error_code& error) {
  this->LogClose("unreadable");
  if (error == http::error::header_limit) {
    co_await this->Reject(http_status::kHeaderFieldsTooLarge);
  } else if (IsTooLarge(error)) {
    co_await this->Reject(http_status::kContentTooLarge);
  } else if (IsMalformed(error)) {
    co_await this->Reject(http_status::kBadRequest);
  }
}

Awaitable<void> ClientConnection::Reject(unsigned status) {
  this->state.metrics.Add(
      fmt::format("client_requests_rejected_total{{status=\"{}\"}}", status));
  Logger::Info("client_request_rejected",
               {{"status", static_cast<std::int64_t>(status)}});
  this->keep_alive = false;
  this->was_rejected = true;
  HttpHeaders headers;
  if (status == http_status::kServiceUnavailable ||
      status == http_status::kRequestTimeout) {
    headers.Add("Retry-After", "0.5");
  }
  co_await this->SendResponse(status, std::move(headers), "");
}

void ClientConnection::CloseIfIdle() {
  const bool is_new =
      RuntimeClock::now() - this->accepted_at < kFirstRequestTime;
  if (this->phase != Phase::kIdle || is_new || this->UnreadBytes() > 0) return;
  this->InterruptWait("draining");
}

Awaitable<void> ClientConnection::SendResponse(unsigned status,
                                               HttpHeaders headers,
                                               std::string_view body) {
  this->keep_alive = this->MayKeepAlive();
  const bool has_no_body =
      status == http_status::kNoContent || status == http_status::kNotModified;
  const std::string framing =
      has_no_body || this->is_head_request
          ? std::string()
          : fmt::format("Content-Length: {}", body.size());
  std::string text = this->FormatHead(status, headers, framing);
  if (!has_no_body && !this->is_head_request) text += body;
  co_await this->Write(text);
}

Awaitable<bool> ClientConnection::StartStream(unsigned status,
                                              const HttpHeaders& headers,
                                              std::string_view data) {
  this->keep_alive = this->MayKeepAlive();
  std::string text =
      this->FormatHead(status, headers, "Transfer-Encoding: chunked");
  if (!data.empty() && !this->is_head_request) text += FormatChunk(data);
  co_return co_await this->Write(text);
}

Awaitable<bool> ClientConnection::SendData(std::string_view data) {
  if (this->is_head_request) co_return !this->broken;
  const std::string chunk = FormatChunk(data);
  co_return co_await this->Write(chunk);
}

Awaitable<void> ClientConnection::EndStream() {
  if (this->is_head_request) co_return;
  co_await this->Write(kLastChunk);
}

void ClientConnection::EndIncomplete() { this->keep_alive = false; }

void ClientConnection::Abort() {
  this->broken = true;
  error_code ignored;
  this->socket.close(ignored);
}

void ClientConnection::SetDisconnectCallback(
    std::function<void(ClientEnd)> on_end) {
  auto callback =
      std::make_shared<std::function<void(ClientEnd)>>(std::move(on_end));
  this->disconnect_callback = callback;
  // Waits for readability without reading, which leaves the bytes of the next
  // request in the socket.
  this->socket.async_wait(
      asio::socket_base::wait_read,
      [self = this->shared_from_this(),
       weak_callback = std::weak_ptr(callback)](error_code error) {
        auto locked_callback = weak_callback.lock();
        if (!locked_callback) return;
        char byte = 0;
        if (!error) {
          self->socket.receive(asio::buffer(&byte, 1),
                               asio::socket_base::message_peek, error);
        }
        // Readable data is a pipelined request, not a disconnect.
        if (!error || error == asio::error::would_block) return;
        if (error == asio::error::operation_aborted && self->socket.is_open()) {
          return;
        }
        const bool is_closed = error == asio::error::eof;
        (*locked_callback)(is_closed ? ClientEnd::kClosed : ClientEnd::kReset);
      });
}

Awaitable<bool> ClientConnection::Write(std::string_view data) {
  if (this->broken) co_return false;
  error_code error;
  const std::size_t written =
      this->socket.write_some(asio::buffer(data), error);
  if (error == asio::error::would_block) error = {};
  if (!error && written < data.size()) {
    this->SetTimeout(kWriteTimeout);
    this->is_writing = true;
    co_await asio::async_write(this->socket, asio::buffer(data) + written,
                               RedirectError(error));
    this->is_writing = false;
    this->timeout_guard->Clear();
  }
  if (error) this->broken = true;
  co_return !this->broken;
}

std::string ClientConnection::FormatHead(unsigned status,
                                         const HttpHeaders& headers,
                                         std::string_view framing) {
  this->stated_idle_timeout = this->state.Limits().idle_timeout;
  return FormatResponseHead(status, headers, framing, this->keep_alive,
                            this->stated_idle_timeout);
}

void ClientConnection::SetTimeout(Duration timeout) {
  this->has_timed_out = false;
  this->timeout_guard->Set(RuntimeClock::now() + timeout);
}

Duration ClientConnection::IdleTimeout() const {
  return std::max(this->state.Limits().idle_timeout, this->stated_idle_timeout);
}

void ClientConnection::OnTimeout() {
  if (this->phase == Phase::kClosing) {
    this->Abort();
    return;
  }
  const TimePoint idle_until = this->idle_since + this->IdleTimeout();
  if (this->phase == Phase::kIdle && RuntimeClock::now() < idle_until) {
    // The limit was raised while the connection was idle.
    this->SetTimeout(idle_until - RuntimeClock::now());
    return;
  }
  if (!this->has_timed_out) {
    this->has_timed_out = true;
    this->timeout_guard->Set(RuntimeClock::now() + kTimeoutGrace);
    return;
  }
  if (this->is_writing) {
    this->LogClose("write_timeout");
    this->Abort();
  } else if (this->phase == Phase::kReading) {
    if (!this->read_interruption) this->LogClose("read_timeout");
    this->InterruptReading(http_status::kRequestTimeout);
  } else if (this->phase == Phase::kIdle) {
    this->InterruptWait("idle_timeout");
  }
}

std::size_t ClientConnection::UnreadBytes() {
  error_code ignored;
  return this->buffer.size() + this->socket.available(ignored);
}

void ClientConnection::LogClose(std::string_view cause) {
  this->state.metrics.Add(
      fmt::format("client_connections_closed_total{{cause=\"{}\"}}", cause));
  const std::size_t unread_bytes = this->UnreadBytes();
  const bool is_reading = this->phase == Phase::kReading;
  const bool is_idle = !is_reading && unread_bytes == 0;
  if (is_idle && !this->state.draining) return;
  const Duration since_last_byte = RuntimeClock::now() - this->last_byte_at;
  Logger::Info("client_connection_closed",
               {{"cause", cause},
                {"requests", static_cast<std::int64_t>(this->requests_read)},
                {"reading", is_reading},
                {"unread_bytes", static_cast<std::int64_t>(unread_bytes)},
                {"last_byte_ms", ToMilliseconds(since_last_byte)},
                {"draining", this->state.draining}});
}

// A request that has arrived behind the current one is served, too.
bool ClientConnection::MayKeepAlive() {
  if (!this->keep_alive || !this->state.draining) return this->keep_alive;
  const bool has_time = this->state.answers_end_at > RuntimeClock::now();
  return has_time && this->UnreadBytes() > 0;
}

}  // namespace dandelionscale::internal
