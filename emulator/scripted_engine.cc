#include "scripted_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <utility>

#include "source_filter.h"

namespace dandelionscale::emulator {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

auto RedirectError(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

constexpr std::string_view kReportPath = "/dandelionscale/report";
constexpr std::string_view kNoCacheEvents = "[]";

void ResetSocket(asio::ip::tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

std::string MakeResponse(const HttpRequest& request, unsigned status,
                         std::string_view body,
                         std::string_view extra_headers) {
  return fmt::format(
      "HTTP/1.1 {} Answer\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
      "Keep-Alive: timeout=10\r\n{}Content-Length: {}\r\n\r\n{}",
      status, request.headers.Find("Request-Id"), extra_headers, body.size(),
      body);
}

std::string MakeStreamHead(const HttpRequest& request) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      request.headers.Find("Request-Id"));
}

std::string MakeEventChunk(int id) {
  const std::string event = fmt::format("id: {}\ndata: piece {}\n\n", id, id);
  return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

struct ScriptedEngine::State : std::enable_shared_from_this<State> {
  State(asio::any_io_executor executor, ScriptMaker maker)
      : executor(executor), acceptor(executor), maker(std::move(maker)) {}

  Awaitable<void> Accept();
  Awaitable<void> Serve(std::shared_ptr<asio::ip::tcp::socket> shared);
  void CutOff(std::vector<asio::ip::address_v4> sources, CutKind kind);
  bool IsCutOff(const asio::ip::tcp::socket& socket) const;
  void FilterSegments(int socket) const;
  Awaitable<void> WaitWhileSilenced(const asio::ip::tcp::socket& socket) const;
  Awaitable<void> SendUntilClosed(asio::ip::tcp::socket& socket,
                                  SendEndlessly step);
  Awaitable<bool> RunScript(asio::ip::tcp::socket& socket, Script script);
  std::string MakeReport() const;
  // Returns the response to a poll with the events that are due.
  std::string TakeCacheEvents();

  asio::any_io_executor executor;
  asio::ip::tcp::acceptor acceptor;
  ScriptMaker maker;
  std::vector<HttpRequest> requests;
  std::uint64_t connections = 0;
  int abandoned = 0;
  std::uint64_t endless_bytes = 0;
  std::set<std::shared_ptr<asio::ip::tcp::socket>> open_connections;
  std::vector<asio::ip::address_v4> cut_sources;
  CutKind cut_kind = CutKind::kHang;
  ReportKind report = ReportKind::kNone;
  std::string cache_events{kNoCacheEvents};  // JSON array.
  bool answers_before_body = false;
  std::multiset<std::string> running;  ///< Ids of the requests.
};

bool ScriptedEngine::State::IsCutOff(
    const asio::ip::tcp::socket& socket) const {
  error_code error;
  const auto peer = socket.remote_endpoint(error);
  if (error || !peer.address().is_v4()) return false;
  return std::find(this->cut_sources.begin(), this->cut_sources.end(),
                   peer.address().to_v4()) != this->cut_sources.end();
}

void ScriptedEngine::State::FilterSegments(int socket) const {
  const bool drops =
      this->cut_kind == CutKind::kHang || this->cut_kind == CutKind::kOneWay;
  DropFrom(socket,
           drops ? this->cut_sources : std::vector<asio::ip::address_v4>());
}

void ScriptedEngine::State::CutOff(std::vector<asio::ip::address_v4> sources,
                                   CutKind kind) {
  this->cut_sources = std::move(sources);
  this->cut_kind = kind;
  this->FilterSegments(this->acceptor.native_handle());
  const auto connections = this->open_connections;
  for (const auto& socket : connections) {
    if (!socket->is_open()) continue;
    this->FilterSegments(socket->native_handle());
    if (kind == CutKind::kReset && this->IsCutOff(*socket)) {
      ResetSocket(*socket);
    }
  }
}

Awaitable<void> ScriptedEngine::State::WaitWhileSilenced(
    const asio::ip::tcp::socket& socket) const {
  constexpr Duration kPollInterval = std::chrono::milliseconds(20);
  while (this->cut_kind == CutKind::kHang && this->IsCutOff(socket)) {
    const Duration interval = kPollInterval;
    co_await SleepFor(interval);
  }
}

Awaitable<void> ScriptedEngine::State::Accept() {
  auto self = this->shared_from_this();
  while (this->acceptor.is_open()) {
    error_code error;
    auto socket = co_await this->acceptor.async_accept(RedirectError(error));
    if (error) co_return;
    const bool refuses = this->cut_kind == CutKind::kReset ||
                         this->cut_kind == CutKind::kNewReset;
    if (refuses && this->IsCutOff(socket)) {
      ResetSocket(socket);
      continue;
    }
    ++this->connections;
    auto shared = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
    asio::co_spawn(this->executor, this->Serve(shared), asio::detached);
  }
}

Awaitable<void> ScriptedEngine::State::Serve(
    std::shared_ptr<asio::ip::tcp::socket> shared) {
  auto self = this->shared_from_this();
  this->open_connections.insert(shared);
  const auto remove = [this](asio::ip::tcp::socket* socket) {
    std::erase_if(this->open_connections,
                  [socket](const auto& open) { return open.get() == socket; });
  };
  asio::ip::tcp::socket& socket = *shared;
  const std::unique_ptr<asio::ip::tcp::socket, decltype(remove)> registration(
      shared.get(), remove);
  boost::beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    error_code error;
    if (this->answers_before_body) {
      co_await http::async_read_header(socket, buffer, parser,
                                       RedirectError(error));
    } else {
      co_await http::async_read(socket, buffer, parser, RedirectError(error));
    }
    if (error) co_return;
    auto& message = parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.Add(std::string(field.name_string()),
                          std::string(field.value()));
    }
    request.body = message.body();
    if (request.target == kReportPath && this->report != ReportKind::kNone) {
      co_await this->WaitWhileSilenced(socket);
      const std::string report = this->MakeReport();
      co_await asio::async_write(socket, asio::buffer(report),
                                 RedirectError(error));
      continue;
    }
    if (request.target.starts_with("/dandelionscale/")) {
      // Routers long-poll the events of the engine's prompt cache at these
      // paths. Most polls end without events.
      const Duration wait = std::chrono::milliseconds(300);
      co_await SleepFor(wait);
      co_await this->WaitWhileSilenced(socket);
      const std::string events = this->TakeCacheEvents();
      co_await asio::async_write(socket, asio::buffer(events),
                                 RedirectError(error));
      continue;
    }
    this->requests.push_back(request);
    Script script = this->maker(request);
    const auto run =
        this->running.insert(std::string(request.headers.Find("Request-Id")));
    const bool is_open = co_await this->RunScript(socket, std::move(script));
    this->running.erase(run);
    if (!is_open) co_return;
    if (parser.is_done()) continue;
    co_await http::async_read(socket, buffer, parser, RedirectError(error));
    if (error) co_return;
  }
}

std::string ScriptedEngine::State::MakeReport() const {
  std::string runs;
  if (this->report == ReportKind::kTruthful) {
    for (const std::string& id : this->running) {
      runs += fmt::format(R"({}["{}",100,1,5])", runs.empty() ? "" : ",", id);
    }
  }
  const int queued = this->report == ReportKind::kPreempted ? 1 : 0;
  const std::string body = fmt::format(
      R"({{"stage":"both","queued":{},"runs":[{}]}})", queued, runs);
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     body.size(), body);
}

std::string ScriptedEngine::State::TakeCacheEvents() {
  const std::string events =
      std::exchange(this->cache_events, std::string(kNoCacheEvents));
  const std::string body =
      fmt::format(R"({{"epoch":1,"next":0,"lost":false,"events":{}}})", events);
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     body.size(), body);
}

Awaitable<void> ScriptedEngine::State::SendUntilClosed(
    asio::ip::tcp::socket& socket, SendEndlessly step) {
  error_code error;
  while (!error) {
    this->endless_bytes += co_await asio::async_write(
        socket, asio::buffer(step.bytes), RedirectError(error));
    if (step.interval > Duration::zero()) co_await SleepFor(step.interval);
  }
  ++this->abandoned;
}

Awaitable<bool> ScriptedEngine::State::RunScript(asio::ip::tcp::socket& socket,
                                                 Script script) {
  for (const ScriptStep& step : script) {
    error_code error;
    co_await this->WaitWhileSilenced(socket);
    if (const auto* send = std::get_if<SendBytes>(&step)) {
      co_await asio::async_write(socket, asio::buffer(send->bytes),
                                 RedirectError(error));
      if (error) {
        ++this->abandoned;
        co_return false;
      }
    } else if (const auto* endless = std::get_if<SendEndlessly>(&step)) {
      co_await this->SendUntilClosed(socket, *endless);
      co_return false;
    } else if (const auto* pause = std::get_if<Pause>(&step)) {
      const Duration duration = pause->duration;
      co_await SleepFor(duration);
    } else if (std::holds_alternative<EndSending>(step)) {
      socket.shutdown(asio::socket_base::shutdown_send, error);
    } else if (std::holds_alternative<ResetConnection>(step)) {
      ResetSocket(socket);
      co_return false;
    } else {
      socket.shutdown(asio::socket_base::shutdown_both, error);
      co_return false;
    }
  }
  co_return true;
}

ScriptedEngine::ScriptedEngine(asio::any_io_executor executor,
                               ScriptMaker maker)
    : state(std::make_shared<State>(executor, std::move(maker))) {}

ScriptedEngine::~ScriptedEngine() {
  error_code ignored;
  this->state->acceptor.close(ignored);
}

Result<Endpoint> ScriptedEngine::Listen(const Endpoint& endpoint) {
  error_code error;
  auto& acceptor = this->state->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(endpoint, error);
  }
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return Fault{FaultKind::kConnectFailed, error.message()};
  asio::co_spawn(this->state->executor, this->state->Accept(), asio::detached);
  return acceptor.local_endpoint();
}

const std::vector<HttpRequest>& ScriptedEngine::Requests() const {
  return this->state->requests;
}

int ScriptedEngine::AbandonedResponses() const {
  return this->state->abandoned;
}

std::uint64_t ScriptedEngine::EndlessBytes() const {
  return this->state->endless_bytes;
}

std::uint64_t ScriptedEngine::Connections() const {
  return this->state->connections;
}

void ScriptedEngine::CutOff(std::vector<asio::ip::address_v4> sources,
                            CutKind kind) {
  this->state->CutOff(std::move(sources), kind);
}

void ScriptedEngine::AnswerBeforeBody() {
  this->state->answers_before_body = true;
}

void ScriptedEngine::SetReport(ReportKind kind) { this->state->report = kind; }

void ScriptedEngine::SetCacheEvents(std::string events) {
  this->state->cache_events = std::move(events);
}

void ScriptedEngine::SetScript(ScriptMaker maker) {
  this->state->maker = std::move(maker);
}

}  // namespace dandelionscale::emulator
