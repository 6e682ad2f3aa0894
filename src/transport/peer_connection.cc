#include "dandelionscale/transport/peer_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <vector>

#include "dandelionscale/runtime/event.h"
#include "transport/http2_session.h"
#include "transport/socket_helpers.h"

namespace dandelionscale {

namespace asio = boost::asio;
using boost::system::error_code;
using internal::FrameMessage;
using internal::Http2Session;
using internal::Http2Stream;
using internal::RedirectError;

namespace {

// Send() waits while more bytes than this are queued on a stream.
constexpr std::size_t kMaxSendBufferBytes = 256 * 1024;
// After a failed connection attempt, calls fail immediately for this long
// instead of trying to connect again.
constexpr Duration kReconnectBackoff = std::chrono::milliseconds(100);

/// \brief Client side of a stream; messages are buffered until they are read.
class ClientStream : public Http2Stream {
 public:
  explicit ClientStream(const asio::any_io_executor& executor)
      : changed(executor) {}

  void OnData() override { this->changed.NotifyAll(); }
  void OnPeerEnd() override {
    this->peer_ended = true;
    this->changed.NotifyAll();
  }
  void OnClose(std::uint32_t error) override {
    this->close_error = error;
    this->changed.NotifyAll();
  }

  Event changed;
  bool peer_ended = false;
  std::uint32_t close_error = NGHTTP2_NO_ERROR;
};

/// \brief Resets the stream on destruction if it is still open.
class ClientStreamHandle : public PeerStream {
 public:
  ClientStreamHandle(std::shared_ptr<Http2Session> session,
                     std::shared_ptr<ClientStream> stream)
      : session(std::move(session)), stream(std::move(stream)) {}
  ~ClientStreamHandle() override { this->Cancel(); }

  Awaitable<Result<std::string>> Read(Duration timeout) override {
    auto stream = this->stream;
    auto session = this->session;
    const TimePoint deadline = RuntimeClock::now() + timeout;
    while (true) {
      std::string message;
      if (stream->incoming.Next(message)) {
        session->Consume(*stream, message.size() + 4);
        if (message.empty()) {
          co_return Fault{FaultKind::kMalformedMessage,
                          "empty message from peer"};
        }
        co_return message;
      }
      if (stream->peer_ended) {
        if (stream->incoming.IsEmpty()) co_return std::string();
        co_return Fault{FaultKind::kMalformedMessage,
                        "stream ended within a message"};
      }
      if (stream->closed) {
        bool refused = stream->close_error == NGHTTP2_REFUSED_STREAM;
        co_return Fault{
            refused ? FaultKind::kNotSent : FaultKind::kConnectionLost,
            "stream closed before the next message"};
      }
      const Duration time_left = deadline - RuntimeClock::now();
      if (time_left <= Duration::zero()) {
        co_return Fault{FaultKind::kTimeout,
                        "no message from peer within the timeout"};
      }
      co_await stream->changed.WaitFor(time_left);
    }
  }

  void Cancel() override {
    if (!this->stream->closed) this->session->Reset(*this->stream);
  }

 private:
  std::shared_ptr<Http2Session> session;
  std::shared_ptr<ClientStream> stream;
};

}  // namespace

struct PeerClient::State : std::enable_shared_from_this<PeerClient::State> {
  State(asio::any_io_executor executor, Endpoint endpoint,
        ByteCounters* counters)
      : executor(executor),
        endpoint(endpoint),
        counters(counters),
        connected(executor) {}

  asio::any_io_executor executor;
  Endpoint endpoint;
  ByteCounters* counters;
  std::shared_ptr<Http2Session> session;
  Event connected;
  bool connecting = false;
  TimePoint next_connect_at;

  bool IsOpen() const {
    return this->session != nullptr && this->session->IsOpen();
  }

  Awaitable<void> Connect(Duration timeout) {
    this->connecting = true;
    asio::ip::tcp::socket socket(this->executor);
    Timer timer(this->executor);
    timer.expires_after(timeout);
    timer.async_wait([&socket](error_code error) {
      error_code ignored;
      if (!error) socket.close(ignored);
    });
    error_code error;
    co_await socket.async_connect(this->endpoint, RedirectError(error));
    // The handler of `timer` refers to `socket` and must have run before this
    // coroutine ends. cancel() returns 0 if the timeout has already fired.
    if (timer.cancel() == 0) error = asio::error::timed_out;
    co_await asio::post(this->executor, asio::use_awaitable);
    if (!error) {
      socket.set_option(asio::ip::tcp::no_delay(true), error);
      this->session = std::make_shared<Http2Session>(
          std::move(socket), Http2Session::Side::kClient, this->counters);
      this->session->Start();
    } else {
      this->next_connect_at = RuntimeClock::now() + kReconnectBackoff;
    }
    this->connecting = false;
    this->connected.NotifyAll();
  }
};

PeerClient::PeerClient(asio::any_io_executor executor, Endpoint endpoint,
                       ByteCounters* counters)
    : state(std::make_shared<State>(executor, endpoint, counters)) {}

PeerClient::~PeerClient() { this->Close(); }

Awaitable<Result<std::shared_ptr<PeerStream>>> PeerClient::Open(
    std::string path, std::string message, Duration connect_timeout) {
  auto state = this->state;
  if (!state->IsOpen()) {
    if (state->connecting) {
      co_await state->connected.WaitFor(connect_timeout);
    } else if (RuntimeClock::now() >= state->next_connect_at) {
      co_await state->Connect(connect_timeout);
    }
  }
  if (!state->IsOpen()) {
    co_return Fault{FaultKind::kConnectFailed, "peer unreachable"};
  }
  auto stream = std::make_shared<ClientStream>(state->executor);
  stream->path = std::move(path);
  stream->outgoing = FrameMessage(message);
  stream->outgoing_ended = true;
  if (!state->session->SubmitRequest(stream)) {
    co_return Fault{FaultKind::kConnectFailed,
                    "the HTTP/2 connection accepts no more streams"};
  }
  co_return std::shared_ptr<PeerStream>(
      std::make_shared<ClientStreamHandle>(state->session, stream));
}

Awaitable<Result<std::string>> PeerClient::Call(std::string path,
                                                std::string message,
                                                Duration timeout) {
  auto opened =
      co_await this->Open(std::move(path), std::move(message), timeout);
  if (opened.has_error()) co_return opened.error();
  std::shared_ptr<PeerStream> stream = opened.value();
  auto reply = co_await stream->Read(timeout);
  co_return reply;
}

void PeerClient::Close() {
  if (this->state->session != nullptr) this->state->session->Close();
}

struct PeerServer::State : std::enable_shared_from_this<PeerServer::State> {
  State(asio::any_io_executor executor, PeerHandler handler,
        std::string counted_path, ByteCounters* counters)
      : executor(executor),
        handler(std::move(handler)),
        counted_path(std::move(counted_path)),
        counters(counters),
        acceptor(executor) {}

  asio::any_io_executor executor;
  PeerHandler handler;
  std::string counted_path;
  ByteCounters* counters;
  asio::ip::tcp::acceptor acceptor;
  bool stopping = false;
  std::vector<std::weak_ptr<Http2Session>> sessions;

  Awaitable<void> Accept();
};

namespace {

/// \brief Server side of a stream; runs the handler once the request message is
///        complete.
class ServerStream : public Http2Stream,
                     public PeerCall,
                     public std::enable_shared_from_this<ServerStream> {
 public:
  ServerStream(Http2Session& session, std::shared_ptr<PeerServer::State> state)
      : session(session.weak_from_this()),
        state(std::move(state)),
        changed(this->state->executor) {}

  void OnData() override { this->changed.NotifyAll(); }

  void OnPeerEnd() override {
    auto session = this->session.lock();
    if (session == nullptr) return;
    if (!this->incoming.Next(this->PeerCall::message)) {
      session->Reset(*this);
      return;
    }
    this->PeerCall::path = this->Http2Stream::path;
    if (this->PeerCall::path == this->state->counted_path) {
      session->CountInto(this->state->counters);
    }
    asio::co_spawn(this->state->executor, RunHandler(this->shared_from_this()),
                   asio::detached);
  }

  void OnClose(std::uint32_t) override {
    this->changed.NotifyAll();
    if (this->on_disconnect && !this->outgoing_ended) this->on_disconnect();
    this->on_disconnect = nullptr;
  }

  Awaitable<bool> Send(std::string_view message) override {
    while (!this->closed && this->outgoing.size() > kMaxSendBufferBytes) {
      co_await this->changed.Wait();
    }
    auto session = this->session.lock();
    if (this->closed || session == nullptr) co_return false;
    this->outgoing += FrameMessage(message);
    session->Resume(*this);
    co_return true;
  }

  void WatchDisconnect(std::function<void()> on_disconnect) override {
    this->on_disconnect = std::move(on_disconnect);
  }

 private:
  static Awaitable<void> RunHandler(std::shared_ptr<ServerStream> self) {
    auto session = self->session.lock();
    if (session == nullptr) co_return;
    session->SubmitResponse(*self);
    PeerHandler& handler = self->state->handler;
    co_await handler(*self);
    self->outgoing_ended = true;
    self->on_disconnect = nullptr;
    session->Resume(*self);
  }

  std::weak_ptr<Http2Session> session;
  std::shared_ptr<PeerServer::State> state;
  Event changed;
  std::function<void()> on_disconnect;
};

}  // namespace

Awaitable<void> PeerServer::State::Accept() {
  auto self = this->shared_from_this();
  while (!this->stopping) {
    error_code error;
    asio::ip::tcp::socket socket =
        co_await this->acceptor.async_accept(RedirectError(error));
    if (this->stopping) break;
    if (error) {
      co_await SleepFor(std::chrono::milliseconds(10));
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    auto session = std::make_shared<Http2Session>(
        std::move(socket), Http2Session::Side::kServer, nullptr);
    session->on_new_stream = [self](Http2Session& session, std::int32_t) {
      return std::make_shared<ServerStream>(session, self);
    };
    session->Start();
    std::erase_if(this->sessions,
                  [](const auto& weak) { return weak.expired(); });
    this->sessions.push_back(session);
  }
}

PeerServer::PeerServer(asio::any_io_executor executor, PeerHandler handler,
                       std::string counted_path, ByteCounters* counters)
    : state(std::make_shared<State>(executor, std::move(handler),
                                    std::move(counted_path), counters)) {}

PeerServer::~PeerServer() {
  this->StopAccepting();
  for (auto& weak : this->state->sessions) {
    if (auto session = weak.lock()) session->Close();
  }
}

Result<Endpoint> PeerServer::Listen(const Endpoint& endpoint) {
  auto bound = internal::OpenAcceptor(this->state->acceptor, endpoint);
  if (bound.has_value()) {
    asio::co_spawn(this->state->executor, this->state->Accept(),
                   asio::detached);
  }
  return bound;
}

void PeerServer::StopAccepting() {
  this->state->stopping = true;
  error_code ignored;
  this->state->acceptor.close(ignored);
}

}  // namespace dandelionscale
