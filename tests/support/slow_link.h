/// \file
/// \brief A link of limited bandwidth in front of a server.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_SLOW_LINK_H_
#define DANDELIONSCALE_TESTS_SUPPORT_SLOW_LINK_H_

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>

#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/address.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::tests {

/// \brief Forwards TCP connections to a server. The server's bytes pass at a
///        limited rate, which all connections share.
class SlowLink {
 public:
  /// \param bytes_per_second of the link.
  SlowLink(boost::asio::io_context& loop, const Endpoint& server,
           double bytes_per_second)
      : loop(loop),
        server(server),
        bytes_per_second(bytes_per_second),
        acceptor(loop,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    boost::asio::co_spawn(this->loop, this->Accept(), boost::asio::detached);
  }

  /// \returns the address at which the link accepts connections.
  Endpoint Address() const {
    const auto bound = this->acceptor.local_endpoint();
    return {bound.address(), bound.port()};
  }
  /// \returns the bytes of the server that have passed.
  std::size_t Bytes() const { return this->bytes; }
  /// \brief From now on the server's bytes are held back.
  void Stall() { this->is_stalled = true; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Socket = std::shared_ptr<Tcp::socket>;
  using Chunk = std::array<char, 4096>;

  // What a connection may hold on its way; the rest waits at the server.
  static constexpr int kWindowBytes = 16 * 1024;

  Awaitable<void> Accept() {
    while (true) {
      auto client = std::make_shared<Tcp::socket>(this->loop);
      boost::system::error_code error;
      co_await this->acceptor.async_accept(*client,
                                           internal::RedirectError(error));
      if (error) co_return;
      boost::asio::co_spawn(this->loop, this->Connect(client),
                            boost::asio::detached);
    }
  }

  Awaitable<void> Connect(Socket client) {
    auto peer = std::make_shared<Tcp::socket>(this->loop, Tcp::v4());
    boost::system::error_code error;
    peer->set_option(
        boost::asio::socket_base::receive_buffer_size(kWindowBytes), error);
    const Tcp::endpoint address(this->server.address(), this->server.port());
    co_await peer->async_connect(address, internal::RedirectError(error));
    if (error) co_return;
    boost::asio::co_spawn(this->loop, this->Forward(client, peer, false),
                          boost::asio::detached);
    co_await this->Forward(peer, client, true);
  }

  Awaitable<void> Forward(Socket from, Socket to, bool is_limited) {
    auto chunk = std::make_unique<Chunk>();
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = co_await from->async_read_some(
          boost::asio::buffer(*chunk), internal::RedirectError(error));
      if (error) break;
      if (is_limited) co_await this->Pass(size);
      co_await boost::asio::async_write(
          *to, boost::asio::buffer(chunk->data(), size),
          internal::RedirectError(error));
    }
    boost::system::error_code ignored;
    to->close(ignored);
    from->close(ignored);
  }

  // Waits until `size` bytes have passed, behind those that came before.
  Awaitable<void> Pass(std::size_t size) {
    constexpr Duration kStallCheckInterval = std::chrono::milliseconds(10);
    while (this->is_stalled) co_await SleepFor(kStallCheckInterval);
    const TimePoint now = RuntimeClock::now();
    this->free_at =
        std::max(now, this->free_at) +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(size) / this->bytes_per_second));
    this->bytes += size;
    const Duration wait = this->free_at - now;
    co_await SleepFor(wait);
  }

  boost::asio::io_context& loop;
  Endpoint server;
  double bytes_per_second;
  Tcp::acceptor acceptor;
  TimePoint free_at{};
  std::size_t bytes = 0;
  bool is_stalled = false;
};

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_SLOW_LINK_H_
