#include "dispatch/socket_options.h"

#include <netinet/tcp.h>

namespace dandelionscale::internal {
namespace {

// Sent bytes that nobody acknowledges for so long end the connection.
constexpr int kUserTimeoutMs = 1500;
// A connection without traffic is probed after this, and again at this
// interval.
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

void SetPeerSocketOptions(boost::asio::ip::tcp::socket& socket) {
  // A socket that has broken meanwhile refuses options; its next use tells.
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
