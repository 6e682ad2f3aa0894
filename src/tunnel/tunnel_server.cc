#include "tunnel/tunnel_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dispatch/request/http_text.h"
#include "dispatch/request/socket_options.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Time for the caller to send its request.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);
// Shorter than the caller waits for the response.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// After the engine's end of the response, the caller closes within this time.
constexpr Duration kCloseTimeout = std::chrono::milliseconds(2000);
// Time that the engine gets after that end to read the rest of the request.
constexpr Duration kMaxUploadWait = std::chrono::seconds(1);
constexpr Duration kUploadPollInterval = std::chrono::milliseconds(10);
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxRequestHeadBytes = 4096;
constexpr std::size_t kPassBufferBytes = 16 * 1024;
// All tunnels may use 1/4 of the descriptors.
constexpr std::size_t kDescriptorDivisor = 4 * kDescriptorsPerTunnel;
// Ends of tunnels are remembered for this time, and this many of them.
constexpr Duration kEndLifetime = std::chrono::seconds(5);
constexpr std::size_t kMaxEnds = 4096;

// Makes the peer of the socket see a failure, not an orderly end.
void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct TunnelServer::Session {
  Session(tcp::socket socket, Watchdog& watchdog)
      : caller(std::move(socket)),
        caller_left(this->caller.get_executor()),
        timeout(watchdog, [this] { this->Close(); }) {}

  void Close() {
    error_code ignored;
    this->caller.close(ignored);
    if (this->engine) this->engine->socket.close(ignored);
  }

  tcp::socket caller;
  boost::beast::flat_buffer buffer{kMaxRequestHeadBytes};
  std::string caller_address;
  TunnelRequest request;
  std::shared_ptr<EngineConnection> engine;
  Event caller_left;           ///< The caller has closed its connection.
  bool is_writing = false;     ///< To the engine.
  bool upload_failed = false;  ///< The engine could not be sent all.
  Watchdog::Guard timeout;
  std::uint64_t bytes = 0;  ///< Passed to the caller.
};

TunnelServer::TunnelServer(DispatchState& state, EngineConnectionPool& pool)
    : state(state), pool(pool), acceptor(state.executor) {}

Result<void> TunnelServer::Start(std::shared_ptr<void> owner) {
  const Endpoint& address = this->state.options.tunnel_address;
  if (address.port() == 0) return {};
  auto opened = OpenAcceptor(this->acceptor, address);
  if (opened.has_error()) return opened.error();
  asio::co_spawn(this->state.executor, this->Accept(std::move(owner)),
                 asio::detached);
  return {};
}

void TunnelServer::Expire(TimePoint now) {
  std::erase_if(this->ends, [now](const auto& entry) {
    return now - entry.second.at > kEndLifetime;
  });
}

Awaitable<void> TunnelServer::Accept(std::shared_ptr<void> owner) {
  while (this->acceptor.is_open()) {
    error_code error;
    auto socket = co_await this->acceptor.async_accept(RedirectError(error));
    if (error) {
      if (!this->acceptor.is_open()) break;
      const Duration pause = kAcceptPause;
      co_await SleepFor(pause);
      continue;
    }
    SetTcpSocketOptions(socket);
    auto session =
        std::make_shared<Session>(std::move(socket), this->state.watchdog);
    asio::co_spawn(this->state.executor, this->Serve(owner, session),
                   asio::detached);
  }
}

Awaitable<void> TunnelServer::Serve(std::shared_ptr<void> owner,
                                    std::shared_ptr<Session> session) {
  ++this->sessions;
  error_code error;
  const auto remote = session->caller.remote_endpoint(error);
  session->caller_address = remote.address().to_string();
  session->timeout.Set(RuntimeClock::now() + kRequestTimeout);
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxRequestHeadBytes);
  co_await http::async_read_header(session->caller, session->buffer, parser,
                                   RedirectError(error));
  session->timeout.Clear();
  if (!error) {
    const auto& message = parser.get();
    const std::string target(message.target());
    const bool is_listed = this->IsListedRouter(remote.address());
    const auto request = ParseTunnelRequest(target, CopyHeaders(message));
    if (target.starts_with(kTunnelEndPath)) {
      co_await this->AnswerEnd(session, target.substr(kTunnelEndPath.size()));
    } else if (!is_listed) {
      co_await this->RefuseTunnel(session, TunnelRefusal::kNotListed);
    } else if (message.method() == http::verb::connect && request) {
      session->request = *request;
      co_await this->OpenTunnel(owner, session);
    }
  }
  session->Close();
  --this->sessions;
}

bool TunnelServer::IsListedRouter(const asio::ip::address& address) const {
  const std::string prefix = ToText(Endpoint(address, 0));
  // The port that a peer uses for its own connections is any.
  const std::string_view host =
      std::string_view(prefix).substr(0, prefix.rfind(':') + 1);
  const auto found = this->state.peers.lower_bound(std::string(host));
  return found != this->state.peers.end() && found->starts_with(host);
}

std::optional<TunnelRefusal> TunnelServer::FindRefusal(
    const Session& session, const Engine* engine) const {
  if (engine == nullptr || engine->key != session.request.engine_key) {
    return TunnelRefusal::kUnknown;
  }
  if (engine->draining || engine->gone || this->state.IsEvacuated(*engine) ||
      engine->pause.IsActive(RuntimeClock::now())) {
    return TunnelRefusal::kUnwanted;
  }
  if (this->state.reachability.IsCutOff(engine->record.service)) {
    return TunnelRefusal::kCutOff;
  }
  const std::size_t max_tunnels =
      this->state.options.max_descriptors / kDescriptorDivisor;
  const bool is_busy = this->state.draining || this->sessions > max_tunnels;
  if (is_busy) return TunnelRefusal::kBusy;
  return std::nullopt;
}

Awaitable<void> TunnelServer::OpenTunnel(std::shared_ptr<void> owner,
                                         std::shared_ptr<Session> session) {
  const auto engine =
      this->state.engines.FindByShortKey(ShortKey(session->request.engine_key));
  auto refusal = this->FindRefusal(*session, engine.get());
  if (refusal) {
    co_await this->RefuseTunnel(session, *refusal);
    co_return;
  }
  const TimePoint started_at = RuntimeClock::now();
  auto connected = co_await this->pool.Connect(engine, kConnectTimeout);
  // The engine may have begun to leave meanwhile, or its zone may have been
  // evacuated.
  refusal = this->FindRefusal(*session, engine.get());
  if (!refusal && connected.has_error()) refusal = TunnelRefusal::kUnreachable;
  if (refusal) {
    co_await this->RefuseTunnel(session, *refusal);
    co_return;
  }
  session->engine = connected.value();
  this->state.metrics.Add("tunnels_carried_total");
  Logger::Info("tunnel_carried",
               {{"request", session->request.request_id},
                {"engine", engine->record.id},
                {"peer", session->caller_address},
                {"tunnel", session->request.tunnel_id},
                {"took_ms", ToMilliseconds(RuntimeClock::now() - started_at)},
                {"tunnels", static_cast<std::int64_t>(this->sessions)}});
  error_code error;
  const std::string opened = FormatTunnelOpened();
  co_await asio::async_write(session->caller, asio::buffer(opened),
                             RedirectError(error));
  if (error) co_return;
  asio::co_spawn(
      this->state.executor,
      [this, owner, session]() -> Awaitable<void> {
        co_await this->PassToEngine(session);
      },
      asio::detached);
  co_await this->PassToCaller(session);
}

Awaitable<void> TunnelServer::RefuseTunnel(std::shared_ptr<Session> session,
                                           TunnelRefusal refusal) {
  this->state.metrics.Add(
      fmt::format("tunnels_refused_total{{reason=\"{}\"}}", ToString(refusal)));
  Logger::Info("tunnel_refused", {{"request", session->request.request_id},
                                  {"peer", session->caller_address},
                                  {"reason", ToString(refusal)}});
  error_code ignored;
  const std::string text = FormatTunnelRefusal(refusal);
  co_await asio::async_write(session->caller, asio::buffer(text),
                             RedirectError(ignored));
  session->caller.shutdown(tcp::socket::shutdown_send, ignored);
}

Awaitable<void> TunnelServer::AnswerEnd(std::shared_ptr<Session> session,
                                        std::string tunnel_id) {
  const auto found = this->ends.find(tunnel_id);
  const TunnelEnd end =
      found == this->ends.end() ? TunnelEnd::kUnknown : found->second.end;
  const std::string_view name = ToString(end);
  const std::string text = fmt::format(
      "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n"
      "Connection: close\r\n\r\n{}",
      name.size(), name);
  error_code ignored;
  co_await asio::async_write(session->caller, asio::buffer(text),
                             RedirectError(ignored));
  session->caller.shutdown(tcp::socket::shutdown_send, ignored);
}

Awaitable<void> TunnelServer::PassToEngine(std::shared_ptr<Session> session) {
  std::array<char, kPassBufferBytes> buffer;
  error_code error;
  while (!error) {
    const std::size_t size = co_await session->caller.async_read_some(
        asio::buffer(buffer), RedirectError(error));
    if (error) break;
    session->is_writing = true;
    co_await asio::async_write(session->engine->socket,
                               asio::buffer(buffer.data(), size),
                               RedirectError(error));
    session->is_writing = false;
    session->upload_failed = error.failed();
  }
  // What the engine has sent before is still passed on.
  if (session->upload_failed) co_return;
  // The caller has what it wants, or wants it no longer.
  error_code ignored;
  session->engine->socket.close(ignored);
  session->caller_left.NotifyAll();
}

Awaitable<void> TunnelServer::PassToCaller(std::shared_ptr<Session> session) {
  std::array<char, kPassBufferBytes> buffer;
  error_code error;
  error_code write_error;
  while (!error && !write_error) {
    const std::size_t size = co_await session->engine->socket.async_read_some(
        asio::buffer(buffer), RedirectError(error));
    if (error) break;
    session->bytes += size;
    co_await asio::async_write(session->caller,
                               asio::buffer(buffer.data(), size),
                               RedirectError(write_error));
  }
  const bool ended_by_caller =
      write_error || !session->engine->socket.is_open();
  if (!ended_by_caller) {
    const bool in_order =
        error == asio::error::eof && co_await this->HasPassedUpload(session);
    const TunnelEnd end =
        in_order ? TunnelEnd::kEngineClosed : TunnelEnd::kEngineLost;
    if (this->ends.size() < kMaxEnds) {
      this->ends[session->request.tunnel_id] = {end, RuntimeClock::now()};
    }
    co_await this->EndForCaller(session, in_order);
  }
  Logger::Info("tunnel_ended",
               {{"request", session->request.request_id},
                {"peer", session->caller_address},
                {"tunnel", session->request.tunnel_id},
                {"by_caller", ended_by_caller},
                {"bytes", static_cast<std::int64_t>(session->bytes)}});
}

// The system reports the reset of a connection only once. If a write gets that
// error, a later read finds what looks like an orderly end.
Awaitable<bool> TunnelServer::HasPassedUpload(
    std::shared_ptr<Session> session) {
  const TimePoint until = RuntimeClock::now() + kMaxUploadWait;
  while (!session->upload_failed && RuntimeClock::now() < until) {
    error_code ignored;
    const bool is_passing =
        session->is_writing || session->caller.available(ignored) > 0;
    if (!is_passing) co_return true;
    const Duration interval = kUploadPollInterval;
    co_await SleepFor(interval);
  }
  co_return false;
}

Awaitable<void> TunnelServer::EndForCaller(std::shared_ptr<Session> session,
                                           bool in_order) {
  if (!in_order) {
    Reset(session->caller);
    co_return;
  }
  error_code ignored;
  session->caller.shutdown(tcp::socket::shutdown_send, ignored);
  // It closes its side when it has read everything.
  const Duration timeout = kCloseTimeout;
  co_await session->caller_left.WaitFor(timeout);
}

}  // namespace dandelionscale::internal
