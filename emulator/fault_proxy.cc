#include "fault_proxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <deque>
#include <set>

#include "dandelionscale/runtime/event.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::emulator {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using internal::RedirectError;

namespace {

constexpr Duration kStallCheckInterval = std::chrono::milliseconds(10);
// Minimum TCP retransmission timeout (cf. RFC 6298) as common systems set it.
constexpr Duration kRetransmitDelay = std::chrono::milliseconds(200);

template <typename T>
T ParseOr(std::string_view text, T fallback) {
  T number{};
  return boost::conversion::try_lexical_convert(text, number) ? number
                                                              : fallback;
}

}  // namespace

struct FaultProxy::Link : std::enable_shared_from_this<FaultProxy::Link> {
  /// \brief The two sockets of a forwarded connection.
  struct ForwardedConnection {
    explicit ForwardedConnection(const asio::any_io_executor& executor)
        : client(executor), server(executor) {}
    tcp::socket client;
    tcp::socket server;
    void Close() {
      error_code ignored;
      this->client.close(ignored);
      this->server.close(ignored);
    }
  };
  /// \brief Bytes of one read and the time at which they are forwarded.
  struct DelayedBytes {
    std::string bytes;
    TimePoint due;
  };
  /// \brief Bytes of one direction that are not forwarded yet.
  struct Pipe {
    explicit Pipe(const asio::any_io_executor& executor) : changed(executor) {}
    std::deque<DelayedBytes> pending;
    Event changed;
    bool ended = false;
  };

  Link(asio::any_io_executor executor, Endpoint target,
       std::shared_ptr<std::mt19937_64> random)
      : executor(executor),
        acceptor(executor),
        target(target),
        random(std::move(random)) {}

  asio::any_io_executor executor;
  tcp::acceptor acceptor;
  Endpoint target;
  std::shared_ptr<std::mt19937_64> random;
  LinkFaults faults;
  std::set<std::shared_ptr<ForwardedConnection>> connections;

  Duration RandomDelay() {
    std::uniform_real_distribution<double> uniform(0, 1);
    Duration delay = this->faults.delay;
    const double jitter = uniform(*this->random);
    delay += std::chrono::duration_cast<Duration>(this->faults.jitter * jitter);
    if (uniform(*this->random) < this->faults.loss) delay += kRetransmitDelay;
    return delay;
  }

  Awaitable<void> Accept() {
    auto self = this->shared_from_this();
    while (true) {
      error_code error;
      auto connection = std::make_shared<ForwardedConnection>(this->executor);
      co_await this->acceptor.async_accept(connection->client,
                                           RedirectError(error));
      if (error) co_return;
      if (this->faults.refuse) continue;
      asio::co_spawn(this->executor, this->Connect(connection), asio::detached);
    }
  }

  Awaitable<void> Connect(std::shared_ptr<ForwardedConnection> connection) {
    auto self = this->shared_from_this();
    error_code error;
    co_await connection->server.async_connect(this->target,
                                              RedirectError(error));
    if (error || this->faults.refuse) {
      connection->Close();
      co_return;
    }
    connection->client.set_option(tcp::no_delay(true), error);
    connection->server.set_option(tcp::no_delay(true), error);
    this->connections.insert(connection);
    // Up: from the client to the server.
    for (bool up : {true, false}) {
      auto pipe = std::make_shared<Pipe>(this->executor);
      asio::co_spawn(this->executor, this->Read(connection, pipe, up),
                     asio::detached);
      asio::co_spawn(this->executor, this->Write(connection, pipe, up),
                     asio::detached);
    }
  }

  Awaitable<void> Read(std::shared_ptr<ForwardedConnection> connection,
                       std::shared_ptr<Pipe> pipe, bool up) {
    auto self = this->shared_from_this();
    tcp::socket& from = up ? connection->client : connection->server;
    std::array<char, 16 * 1024> buffer;
    TimePoint last_due;
    while (true) {
      error_code error;
      auto size = co_await from.async_read_some(asio::buffer(buffer),
                                                RedirectError(error));
      if (error) break;
      // A random delay must not change the order of the bytes.
      last_due = std::max(last_due, RuntimeClock::now() + this->RandomDelay());
      pipe->pending.push_back({std::string(buffer.data(), size), last_due});
      pipe->changed.NotifyAll();
    }
    pipe->ended = true;
    pipe->changed.NotifyAll();
  }

  Awaitable<void> Write(std::shared_ptr<ForwardedConnection> connection,
                        std::shared_ptr<Pipe> pipe, bool up) {
    auto self = this->shared_from_this();
    tcp::socket& to = up ? connection->server : connection->client;
    while (true) {
      if (up ? this->faults.stall_up : this->faults.stall_down) {
        co_await SleepFor(kStallCheckInterval);
        continue;
      }
      if (pipe->pending.empty()) {
        if (pipe->ended) break;
        co_await pipe->changed.Wait();
        continue;
      }
      const Duration wait = pipe->pending.front().due - RuntimeClock::now();
      if (wait > Duration::zero()) {
        co_await SleepFor(wait);
        continue;
      }
      const std::string bytes = std::move(pipe->pending.front().bytes);
      pipe->pending.pop_front();
      error_code error;
      co_await asio::async_write(to, asio::buffer(bytes), RedirectError(error));
      if (error) break;
    }
    connection->Close();
    this->connections.erase(connection);
  }
};

FaultProxy::FaultProxy(asio::any_io_executor executor, std::uint64_t seed)
    : executor(std::move(executor)),
      random(std::make_shared<std::mt19937_64>(seed)) {}

FaultProxy::~FaultProxy() = default;

Result<void> FaultProxy::AddLink(const Endpoint& listen,
                                 const Endpoint& target) {
  auto link = std::make_shared<Link>(this->executor, target, this->random);
  auto bound = internal::OpenAcceptor(link->acceptor, listen);
  if (bound.has_error()) return bound.error();
  asio::co_spawn(this->executor, link->Accept(), asio::detached);
  this->links.push_back(std::move(link));
  return {};
}

Awaitable<void> FaultProxy::HandleControl(HttpExchange& exchange) {
  const std::string& target = exchange.Request().target;
  HttpResponse response;
  const auto number =
      ParseOr<std::size_t>(QueryParameter(target, "link"), this->links.size());
  if (PathOf(target) != "/fake/link" || number >= this->links.size()) {
    response.status = 404;
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  Link& link = *this->links[number];
  LinkFaults faults;
  faults.refuse = QueryParameter(target, "refuse") == "1";
  faults.stall_up = QueryParameter(target, "stall_up") == "1";
  faults.stall_down = QueryParameter(target, "stall_down") == "1";
  faults.delay = std::chrono::microseconds(
      ParseOr<int>(QueryParameter(target, "delay_us"), 0));
  faults.jitter = std::chrono::microseconds(
      ParseOr<int>(QueryParameter(target, "jitter_us"), 0));
  faults.loss = ParseOr<double>(QueryParameter(target, "loss"), 0);
  link.faults = faults;
  if (faults.refuse) {
    for (const auto& connection : link.connections) connection->Close();
  }
  co_await exchange.Respond(std::move(response));
}

}  // namespace dandelionscale::emulator
