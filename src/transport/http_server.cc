#include "dandelionscale/transport/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <unordered_set>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_fields.h"
#include "transport/socket_helpers.h"

namespace dandelionscale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using internal::RedirectError;

namespace {

// Space in the read buffer for bytes beyond one request of the largest size,
// such as pipelined requests. If Beast reports buffer_overflow, the response is
// 413 and the connection is closed.
constexpr std::size_t kReadBufferBytes = 64 * 1024;

Fault ToFault(const error_code& error) {
  if (error == http::error::header_limit) {
    return {FaultKind::kHeadTooLarge, error.message()};
  }
  if (error == http::error::body_limit ||
      error == http::error::buffer_overflow) {
    return {FaultKind::kMessageTooLarge, error.message()};
  }
  if (error == beast::error::timeout) {
    return {FaultKind::kTimeout, error.message()};
  }
  if (error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    return {FaultKind::kMalformedMessage, error.message()};
  }
  return {FaultKind::kConnectionLost, error.message()};
}

HttpResponse DefaultBadRequest(const Fault& fault) {
  HttpResponse response;
  response.status = StatusOfBadRequest(fault.kind);
  response.body = std::string(ToString(fault.kind)) + "\n";
  return response;
}

// State of a disconnect watch; it outlives the exchange while the wait on the
// socket is pending.
struct DisconnectWatch {
  bool active = false;
  std::function<void()> on_disconnect;
};

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::any_io_executor executor, HttpServerLimits limits,
        HttpHandler handler,
        std::function<HttpResponse(const Fault&)> on_bad_request)
      : executor(executor),
        limits(limits),
        handler(std::move(handler)),
        on_bad_request(std::move(on_bad_request)),
        acceptor(executor) {}

  asio::any_io_executor executor;
  HttpServerLimits limits;
  HttpHandler handler;
  std::function<HttpResponse(const Fault&)> on_bad_request;
  asio::ip::tcp::acceptor acceptor;
  std::size_t connections = 0;
  bool stopping = false;

  Awaitable<void> Accept();
  Awaitable<void> Serve(asio::ip::tcp::socket socket);
};

namespace {

class BeastExchange : public HttpExchange {
 public:
  BeastExchange(beast::tcp_stream& stream, HttpRequest request,
                const HttpServerLimits& limits)
      : stream(stream),
        write_timeout(limits.write_timeout),
        min_write_rate(limits.min_write_rate) {
    this->request = std::move(request);
  }
  ~BeastExchange() override { this->watch->active = false; }

  std::string ClientIp() const override {
    error_code error;
    const auto client = this->stream.socket().remote_endpoint(error);
    return error ? std::string() : client.address().to_string();
  }

  Awaitable<bool> Respond(HttpResponse response) override {
    this->response_started = true;
    http::response<http::string_body> message;
    this->FillHeader(message, response.status, response.headers);
    message.body() = std::move(response.body);
    message.prepare_payload();
    error_code error;
    this->stream.expires_after(this->TimeToWrite(message.body().size()));
    co_await http::async_write(this->stream, message, RedirectError(error));
    this->broken = this->broken || error.failed();
    co_return !this->broken;
  }

  Awaitable<bool> StartStream(unsigned status, HttpHeaders headers) override {
    this->response_started = true;
    this->streaming = true;
    http::response<http::empty_body> message;
    this->FillHeader(message, status, headers);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    error_code error;
    this->stream.expires_after(this->write_timeout);
    co_await http::async_write_header(this->stream, serializer,
                                      RedirectError(error));
    this->broken = this->broken || error.failed();
    co_return !this->broken;
  }

  Awaitable<bool> Write(std::string_view data) override {
    if (this->broken) co_return false;
    if (data.empty()) co_return true;
    error_code error;
    this->stream.expires_after(this->write_timeout);
    auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
    co_await asio::async_write(this->stream, chunk, RedirectError(error));
    this->broken = this->broken || error.failed();
    co_return !this->broken;
  }

  Awaitable<void> Finish() override {
    if (this->broken) co_return;
    error_code error;
    this->stream.expires_after(this->write_timeout);
    auto last = http::make_chunk_last();
    co_await asio::async_write(this->stream, last, RedirectError(error));
    this->finished = true;
    this->broken = error.failed();
  }

  void Abort() override {
    this->broken = true;
    this->stream.close();
  }

  void WatchDisconnect(std::function<void()> on_disconnect) override {
    this->watch->active = true;
    this->watch->on_disconnect = std::move(on_disconnect);
    // The wait may still be pending after the exchange. It does not disturb the
    // next read on the connection, because it consumes no bytes.
    this->stream.socket().async_wait(
        asio::socket_base::wait_read,
        [watch = this->watch, &stream = this->stream](error_code error) {
          if (!watch->active) return;
          error_code ignored;
          char byte = 0;
          auto size = error ? 0
                            : stream.socket().receive(
                                  asio::buffer(&byte, 1),
                                  asio::socket_base::message_peek, ignored);
          if (!error && !ignored && size > 0) return;  // pipelined request
          watch->active = false;
          watch->on_disconnect();
        });
  }

  bool IsReusable() const {
    return this->response_started && !this->broken &&
           (!this->streaming || this->finished);
  }
  bool keep_alive = true;
  bool response_started = false;

 private:
  template <typename Message>
  void FillHeader(Message& message, unsigned status,
                  const HttpHeaders& headers) {
    message.version(11);
    message.result(status);
    message.keep_alive(this->keep_alive);
    for (const HttpHeader& field : headers.Fields()) {
      message.set(field.name, field.value);
    }
  }

  // Returns the time for a whole response.
  Duration TimeToWrite(std::size_t bytes) const {
    if (this->min_write_rate == 0) return this->write_timeout;
    const std::chrono::duration<double> at_min_rate(
        static_cast<double>(bytes) / static_cast<double>(this->min_write_rate));
    return this->write_timeout +
           std::chrono::duration_cast<Duration>(at_min_rate);
  }

  beast::tcp_stream& stream;
  Duration write_timeout;
  std::size_t min_write_rate;
  bool broken = false;
  bool streaming = false;
  bool finished = false;
  std::shared_ptr<DisconnectWatch> watch = std::make_shared<DisconnectWatch>();
};

HttpRequest ToRequest(http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.Add(
        std::string_view(field.name_string().data(),
                         field.name_string().size()),
        std::string_view(field.value().data(), field.value().size()));
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

Awaitable<void> HttpServer::State::Accept() {
  auto self = this->shared_from_this();
  while (!this->stopping) {
    error_code error;
    asio::ip::tcp::socket socket =
        co_await this->acceptor.async_accept(RedirectError(error));
    if (this->stopping) break;
    if (error || this->connections >= this->limits.connections) {
      Logger::Warning(
          "connection_refused",
          {{"connections", static_cast<std::int64_t>(this->connections)}});
      if (error) co_await SleepFor(std::chrono::milliseconds(10));
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    if (this->limits.send_buffer_bytes > 0) {
      const asio::socket_base::send_buffer_size size(
          static_cast<int>(this->limits.send_buffer_bytes));
      socket.set_option(size, error);
    }
    asio::co_spawn(this->executor, this->Serve(std::move(socket)),
                   asio::detached);
  }
}

Awaitable<void> HttpServer::State::Serve(asio::ip::tcp::socket socket) {
  auto self = this->shared_from_this();
  ++this->connections;
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer(kReadBufferBytes + this->limits.header_bytes +
                            this->limits.body_bytes);
  bool keep_open = true;
  while (keep_open) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(this->limits.header_bytes));
    parser.body_limit(this->limits.body_bytes);
    error_code error;
    if (buffer.size() == 0) {
      stream.expires_after(this->limits.idle_timeout);
      auto space = buffer.prepare(4096);
      auto size = co_await stream.async_read_some(space, RedirectError(error));
      if (error) break;
      buffer.commit(size);
    }
    stream.expires_after(this->limits.request_timeout);
    co_await http::async_read(stream, buffer, parser, RedirectError(error));
    if (error) {
      Fault fault = ToFault(error);
      if (fault.kind == FaultKind::kConnectionLost) break;
      auto make_response =
          this->on_bad_request ? this->on_bad_request : DefaultBadRequest;
      HttpResponse response = make_response(fault);
      if (fault.kind == FaultKind::kTimeout) {
        // Beast closes the stream on a timeout, so the response is discarded.
        break;
      }
      HttpRequest empty_request;
      BeastExchange exchange(stream, std::move(empty_request), this->limits);
      exchange.keep_alive = false;
      co_await exchange.Respond(std::move(response));
      break;
    }
    http::request<http::string_body> message = parser.release();
    bool keep_alive = message.keep_alive() && !this->stopping;
    constexpr unsigned kHttp11 = 11;
    const bool needs_host = message.version() >= kHttp11;
    BeastExchange exchange(stream, ToRequest(message), this->limits);
    exchange.keep_alive = keep_alive;
    stream.expires_never();
    if (HasAmbiguousFraming(exchange.Request().headers) ||
        (needs_host && !HasOneHost(exchange.Request().headers))) {
      auto make_response =
          this->on_bad_request ? this->on_bad_request : DefaultBadRequest;
      HttpResponse response = make_response(
          {FaultKind::kMalformedMessage,
           "ambiguous body framing, or not exactly one Host field"});
      exchange.keep_alive = false;
      co_await exchange.Respond(std::move(response));
      break;
    }
    co_await this->handler(exchange);
    keep_open = keep_alive && exchange.IsReusable() && !this->stopping;
  }
  error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  --this->connections;
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpServerLimits limits,
                       HttpHandler handler,
                       std::function<HttpResponse(const Fault&)> on_bad_request)
    : state(std::make_shared<State>(executor, limits, std::move(handler),
                                    std::move(on_bad_request))) {}

HttpServer::~HttpServer() { this->StopAccepting(); }

Result<Endpoint> HttpServer::Listen(const Endpoint& endpoint) {
  auto bound = internal::OpenAcceptor(this->state->acceptor, endpoint);
  if (bound.has_value()) {
    asio::co_spawn(this->state->executor, this->state->Accept(),
                   asio::detached);
  }
  return bound;
}

void HttpServer::StopAccepting() {
  this->state->stopping = true;
  error_code ignored;
  this->state->acceptor.close(ignored);
}

std::size_t HttpServer::Connections() const { return this->state->connections; }

}  // namespace dandelionscale
