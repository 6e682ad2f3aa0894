#include "dispatch/request/socket_options.h"

#include <netinet/tcp.h>

namespace dandelionscale::internal {
namespace {

// TCP_USER_TIMEOUT: the connection is closed if sent data stays unacknowledged
// for this long, and at the first keep-alive probe after this time without
// traffic, whatever the count of probes. A sound host may be silent for over a
// second.
constexpr int kUserTimeoutMs = 2500;
// TCP keep-alive: time without traffic before the first probe, interval between
// probes, and unanswered probes that close the connection.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kMaxLostKeepAliveProbes = 2;

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveProbeCount =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

}  // namespace

void SetTcpSocketOptions(boost::asio::ip::tcp::socket& socket) {
  // Setting options fails if the connection is already closed. The next read or
  // write reports that.
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(UserTimeout(kUserTimeoutMs), ignored);
  socket.set_option(KeepAliveIdle(kKeepAliveIdleSeconds), ignored);
  socket.set_option(KeepAliveInterval(kKeepAliveIntervalSeconds), ignored);
  socket.set_option(KeepAliveProbeCount(kMaxLostKeepAliveProbes), ignored);
}

}  // namespace dandelionscale::internal
