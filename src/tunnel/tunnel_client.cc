#include "tunnel/tunnel_client.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/request/http_text.h"
#include "dispatch/request/socket_options.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Time for one peer to open a tunnel, with its connection to the engine.
constexpr Duration kOpenTimeout = std::chrono::milliseconds(450);
constexpr Duration kFindEndTimeout = std::chrono::milliseconds(200);
// Peers that are asked for one tunnel.
constexpr int kMaxPeers = 4;
// Peers that do not reach an engine until it counts as unreachable.
constexpr int kMaxUnreachable = 2;
constexpr std::uint32_t kMaxResponseHeadBytes = 4096;

}  // namespace

TunnelClient::TunnelClient(DispatchState& state)
    : state(state), client(state.executor, nullptr) {}

Awaitable<Result<std::shared_ptr<EngineConnection>>> TunnelClient::Open(
    std::shared_ptr<Engine> engine, std::string request_id) {
  const std::uint32_t service = ShortKey(HashText(engine->record.service));
  std::set<std::string> asked;
  int unreachable = 0;
  while (asked.size() < kMaxPeers && unreachable < kMaxUnreachable) {
    const auto peer = this->state.tunnel_peers->Choose(
        RuntimeClock::now(), service, asked, this->state.RandomBits());
    if (!peer) break;
    asked.insert(*peer);
    const Attempt attempt = co_await this->OpenOver(*peer, engine, request_id);
    if (const auto* opened =
            std::get_if<std::shared_ptr<EngineConnection>>(&attempt)) {
      co_return *opened;
    }
    const TunnelRefusal refusal = std::get<TunnelRefusal>(attempt);
    this->state.tunnel_peers->OnRefused(RuntimeClock::now(), *peer, service,
                                        refusal);
    this->state.metrics.Add(fmt::format(
        "tunnels_not_opened_total{{reason=\"{}\"}}", ToString(refusal)));
    Logger::Info("tunnel_not_opened", {{"request", request_id},
                                       {"engine", engine->record.id},
                                       {"peer", *peer},
                                       {"reason", ToString(refusal)}});
    if (refusal == TunnelRefusal::kUnreachable) ++unreachable;
  }
  if (unreachable >= kMaxUnreachable) {
    co_return Fault{FaultKind::kConnectFailed, "not reached by peers"};
  }
  co_return Fault{FaultKind::kNoPath, "no peer carries a tunnel"};
}

Awaitable<TunnelClient::Attempt> TunnelClient::OpenOver(
    std::string peer, std::shared_ptr<Engine> engine, std::string request_id) {
  const auto address = ParseEndpoint(peer);
  if (address.has_error()) co_return TunnelRefusal::kNoAnswer;
  const Endpoint endpoint(address->address(),
                          this->state.tunnel_peers->TunnelPort(peer));
  const TimePoint started_at = RuntimeClock::now();
  auto connection = std::make_shared<EngineConnection>(this->state.executor);
  Watchdog::Guard guard(this->state.watchdog, [connection] {
    error_code ignored;
    connection->socket.close(ignored);
  });
  guard.Set(started_at + kOpenTimeout);
  error_code error;
  // The peer knows this router by its address.
  connection->socket.open(endpoint.protocol(), error);
  if (!error) {
    const Endpoint own(this->state.options.peer_address.address(), 0);
    connection->socket.bind(own, error);
  }
  if (error) co_return TunnelRefusal::kNoAnswer;
  co_await connection->socket.async_connect(endpoint, RedirectError(error));
  if (error) co_return TunnelRefusal::kNoAnswer;
  SetTcpSocketOptions(connection->socket);
  const TunnelRequest request = {engine->key, this->MakeTunnelId(), request_id};
  const std::string text = FormatTunnelRequest(request);
  co_await asio::async_write(connection->socket, asio::buffer(text),
                             RedirectError(error));
  if (error) co_return TunnelRefusal::kNoAnswer;
  const auto refusal = co_await this->ReadResponse(*connection);
  if (refusal) co_return *refusal;
  if (!connection->socket.is_open()) co_return TunnelRefusal::kNoAnswer;
  const TimePoint now = RuntimeClock::now();
  this->state.tunnel_peers->OnOpened(now, peer);
  connection->tunnel = std::make_unique<TunnelLease>(
      this->state.tunnel_peers, TunnelLabel{peer, request.tunnel_id});
  this->state.metrics.Add("tunnels_opened_total");
  this->state.metrics.ObserveLatency("tunnel_open_seconds", now - started_at);
  Logger::Info("tunnel_opened",
               {{"request", request_id},
                {"engine", engine->record.id},
                {"peer", peer},
                {"tunnel", request.tunnel_id},
                {"took_ms", ToMilliseconds(now - started_at)}});
  co_return connection;
}

Awaitable<std::optional<TunnelRefusal>> TunnelClient::ReadResponse(
    EngineConnection& connection) {
  http::response_parser<http::empty_body> parser;
  parser.header_limit(kMaxResponseHeadBytes);
  // What follows the head is no body of this response.
  parser.skip(true);
  error_code error;
  co_await http::async_read_header(connection.socket, connection.buffer, parser,
                                   RedirectError(error));
  if (error) co_return TunnelRefusal::kNoAnswer;
  if (parser.get().result_int() == http_status::kOk) co_return std::nullopt;
  const HttpHeaders headers = CopyHeaders(parser.get());
  co_return ToTunnelRefusal(headers.Find(kTunnelRefusalField));
}

Awaitable<TunnelEnd> TunnelClient::FindEnd(TunnelLabel label) {
  const auto address = ParseEndpoint(label.peer);
  if (address.has_error()) co_return TunnelEnd::kUnknown;
  const Endpoint endpoint(address->address(),
                          this->state.tunnel_peers->TunnelPort(label.peer));
  HttpRequest request;
  request.method = "GET";
  request.target = std::string(kTunnelEndPath) + label.id;
  const auto response = co_await this->client.Fetch(
      endpoint, std::move(request), ConnectionUse::kFresh, kFindEndTimeout);
  if (response.has_error()) co_return TunnelEnd::kUnknown;
  co_return ToTunnelEnd(response->body);
}

std::string TunnelClient::MakeTunnelId() {
  return fmt::format("{:x}-{:x}", this->state.RandomBits(),
                     ++this->last_tunnel);
}

}  // namespace dandelionscale::internal
