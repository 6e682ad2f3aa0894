#include "dandelionscale/transport/http_client.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "dandelionscale/core/memory_budget.h"
#include "transport/socket_helpers.h"
#include "transport/spliced_head.h"

namespace dandelionscale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using internal::RedirectError;

namespace {

constexpr Duration kIdleTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxIdlePerEndpoint = 64;
constexpr std::size_t kReadBufferBytes = 256 * 1024;
// Most bytes that one Read() returns.
constexpr std::size_t kMaxReadBytes = 16 * 1024;

Fault ToFault(const error_code& error) {
  if (error == beast::error::timeout) {
    return {FaultKind::kTimeout, error.message()};
  }
  return {FaultKind::kConnectionLost, error.message()};
}

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor), buffer(kReadBufferBytes) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  TimePoint idle_since;
};

}  // namespace

struct HttpClient::State {
  State(asio::any_io_executor executor, ByteCounters* counters,
        HttpClientLimits limits)
      : executor(executor),
        counters(counters),
        limits(limits),
        body_memory(limits.total_bytes) {}

  asio::any_io_executor executor;
  ByteCounters* counters;
  HttpClientLimits limits;
  MemoryBudget body_memory;
  std::map<Endpoint, std::deque<std::unique_ptr<Connection>>> idle;

  std::unique_ptr<Connection> TakeIdle(const Endpoint& endpoint) {
    auto found = this->idle.find(endpoint);
    if (found == this->idle.end()) return nullptr;
    auto& pooled = found->second;
    const TimePoint oldest = RuntimeClock::now() - kIdleTimeout;
    while (!pooled.empty() && pooled.front()->idle_since < oldest) {
      pooled.pop_front();
    }
    while (!pooled.empty()) {
      auto connection = std::move(pooled.back());
      pooled.pop_back();
      if (internal::IsIdle(connection->stream.socket())) return connection;
    }
    return nullptr;
  }

  void ReturnIdle(const Endpoint& endpoint,
                  std::unique_ptr<Connection> connection) {
    connection->idle_since = RuntimeClock::now();
    auto& pooled = this->idle[endpoint];
    pooled.push_back(std::move(connection));
    if (pooled.size() > kMaxIdlePerEndpoint) pooled.pop_front();
  }

  void CountSent(std::size_t bytes) {
    if (this->counters != nullptr) this->counters->sent += bytes;
  }
  void CountReceived(std::size_t bytes) {
    if (this->counters != nullptr) this->counters->received += bytes;
  }
};

namespace {

class BeastStream : public HttpStream {
 public:
  BeastStream(std::shared_ptr<HttpClient::State> state, Endpoint endpoint,
              std::unique_ptr<Connection> connection)
      : state(std::move(state)),
        endpoint(endpoint),
        connection(std::move(connection)) {
    this->parser.body_limit(this->state->limits.body_bytes);
  }

  ~BeastStream() override { this->ReturnConnection(); }

  Awaitable<Result<void>> ReadHeader() {
    error_code error;
    auto size = co_await http::async_read_header(
        this->connection->stream, this->connection->buffer, this->parser,
        RedirectError(error));
    this->state->CountReceived(size);
    if (error) co_return ToFault(error);
    const auto& message = this->parser.get();
    const std::string_view reason(message.reason().data(),
                                  message.reason().size());
    if (internal::IsSplicedHead(reason, message)) {
      co_return Fault{FaultKind::kMalformedMessage, "head of two responses"};
    }
    this->status = message.result_int();
    for (const auto& field : message) {
      this->headers.Add(
          std::string_view(field.name_string().data(),
                           field.name_string().size()),
          std::string_view(field.value().data(), field.value().size()));
    }
    co_return Result<void>();
  }

  Awaitable<Result<std::string>> Read(Duration timeout) override {
    if (this->parser.is_done() || this->connection == nullptr) {
      co_return std::string();
    }
    this->connection->stream.expires_after(timeout);
    co_return co_await this->ReadBodyFragment();
  }

  // Reads the next bytes of the body before the deadline set on the stream.
  Awaitable<Result<std::string>> ReadBodyFragment() {
    while (!this->parser.is_done()) {
      if (this->connection == nullptr) {
        co_return Fault{FaultKind::kCancelled, "stream cancelled"};
      }
      std::string fragment(kMaxReadBytes, '\0');
      auto& body = this->parser.get().body();
      body.data = fragment.data();
      body.size = fragment.size();
      body.more = true;
      error_code error;
      auto size = co_await http::async_read_some(
          this->connection->stream, this->connection->buffer, this->parser,
          RedirectError(error));
      this->state->CountReceived(size);
      if (error == http::error::need_buffer) error = {};
      if (error) co_return ToFault(error);
      fragment.resize(fragment.size() - body.size);
      if (!fragment.empty()) co_return fragment;
    }
    co_return std::string();
  }

  bool IsDone() const { return this->parser.is_done(); }

  void Cancel() override {
    if (this->connection != nullptr) this->connection->stream.close();
  }

 private:
  // Returns the connection to the pool if it can carry another request.
  void ReturnConnection() {
    if (this->connection == nullptr) return;
    bool reusable = this->parser.is_done() && this->parser.get().keep_alive() &&
                    this->connection->buffer.size() == 0 &&
                    this->connection->stream.socket().is_open();
    if (!reusable) return;
    this->connection->stream.expires_never();
    this->state->ReturnIdle(this->endpoint, std::move(this->connection));
  }

  std::shared_ptr<HttpClient::State> state;
  Endpoint endpoint;
  std::unique_ptr<Connection> connection;
  http::response_parser<http::buffer_body> parser;
};

http::request<http::string_body> ToBeastRequest(const Endpoint& endpoint,
                                                HttpRequest request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, endpoint.address().to_string());
  for (const HttpHeader& field : request.headers.Fields()) {
    message.set(field.name, field.value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

// Connects if needed, sends the request and reads the response header.
Awaitable<Result<std::shared_ptr<BeastStream>>> OpenStream(
    std::shared_ptr<HttpClient::State> state, Endpoint endpoint,
    HttpRequest request, ConnectionUse use, Duration timeout) {
  const TimePoint deadline = RuntimeClock::now() + timeout;
  http::request<http::string_body> message =
      ToBeastRequest(endpoint, std::move(request));
  while (true) {
    std::unique_ptr<Connection> connection;
    if (use == ConnectionUse::kReuse) connection = state->TakeIdle(endpoint);
    const bool reused = connection != nullptr;
    error_code error;
    if (!reused) {
      connection = std::make_unique<Connection>(state->executor);
      connection->stream.expires_after(deadline - RuntimeClock::now());
      co_await connection->stream.async_connect(endpoint, RedirectError(error));
      if (error) {
        co_return Fault{FaultKind::kConnectFailed, error.message()};
      }
      connection->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                             error);
    }
    connection->stream.expires_after(deadline - RuntimeClock::now());
    auto size = co_await http::async_write(connection->stream, message,
                                           RedirectError(error));
    state->CountSent(size);
    if (error && reused) continue;  // the server closed the idle connection
    if (error) co_return ToFault(error);
    auto stream =
        std::make_shared<BeastStream>(state, endpoint, std::move(connection));
    Result<void> header = co_await stream->ReadHeader();
    if (header.has_value()) co_return stream;
    if (reused && header.error().kind == FaultKind::kConnectionLost) continue;
    co_return header.error();
  }
}

}  // namespace

namespace {

// Returns until when further bytes of a body have to arrive. Called when the
// head has arrived and after each arrival.
using BodyDeadline = std::function<TimePoint(const TransferProgress&)>;

TimePoint NextBytesDue(TimePoint head_at, Duration stall,
                       const TransferProgress& arrived) {
  const std::chrono::duration<double> time_at_min_rate(
      static_cast<double>(arrived.bytes) / kMinTransferRate);
  const TimePoint by_rate =
      head_at + stall + std::chrono::duration_cast<Duration>(time_at_min_rate);
  return std::min(arrived.last_at + stall, by_rate);
}

// The client may be destroyed before this call ends.
Awaitable<Result<HttpResponse>> FetchWhole(
    std::shared_ptr<HttpClient::State> state, Endpoint endpoint,
    HttpRequest request, ConnectionUse use, Duration head_timeout,
    BodyDeadline body_deadline, TransferProgress* progress) {
  MemoryBudget::Share memory(state->body_memory);
  auto opened = co_await OpenStream(state, endpoint, std::move(request), use,
                                    head_timeout);
  if (opened.has_error()) co_return opened.error();
  std::shared_ptr<BeastStream> stream = opened.value();
  HttpResponse response;
  response.status = stream->Status();
  response.headers = stream->Headers();
  TransferProgress arrived{0, RuntimeClock::now()};
  while (!stream->IsDone()) {
    const Duration left = body_deadline(arrived) - RuntimeClock::now();
    auto fragment = co_await stream->Read(left);
    if (fragment.has_error()) co_return fragment.error();
    response.body += fragment.value();
    arrived = {response.body.size(), RuntimeClock::now()};
    if (progress != nullptr) *progress = arrived;
    if (!memory.Resize(response.body.capacity())) {
      co_return Fault{FaultKind::kConnectionLost, "responses are too large"};
    }
  }
  co_return response;
}

}  // namespace

HttpClient::HttpClient(asio::any_io_executor executor, ByteCounters* counters,
                       HttpClientLimits limits)
    : state(std::make_shared<State>(executor, counters, limits)) {}

HttpClient::~HttpClient() = default;

Awaitable<Result<HttpResponse>> HttpClient::Fetch(Endpoint endpoint,
                                                  HttpRequest request,
                                                  ConnectionUse use,
                                                  Duration timeout,
                                                  TransferProgress* progress) {
  const TimePoint deadline = RuntimeClock::now() + timeout;
  return FetchWhole(
      this->state, endpoint, std::move(request), use, timeout,
      [deadline](const TransferProgress&) { return deadline; }, progress);
}

Awaitable<Result<HttpResponse>> HttpClient::Fetch(Endpoint endpoint,
                                                  HttpRequest request,
                                                  ConnectionUse use,
                                                  TransferLimits limits,
                                                  TransferProgress* progress) {
  auto body_deadline = [limits, head_at = std::optional<TimePoint>()](
                           const TransferProgress& arrived) mutable {
    if (!head_at) head_at = arrived.last_at;
    return NextBytesDue(*head_at, limits.stall, arrived);
  };
  return FetchWhole(this->state, endpoint, std::move(request), use, limits.head,
                    std::move(body_deadline), progress);
}

Awaitable<Result<std::shared_ptr<HttpStream>>> HttpClient::Open(
    Endpoint endpoint, HttpRequest request, ConnectionUse use,
    Duration timeout) {
  auto opened = co_await OpenStream(this->state, endpoint, std::move(request),
                                    use, timeout);
  if (opened.has_error()) co_return opened.error();
  co_return std::shared_ptr<HttpStream>(opened.value());
}

}  // namespace dandelionscale
