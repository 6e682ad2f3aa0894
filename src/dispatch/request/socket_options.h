/// \file
/// \brief Options of TCP connections to clients and engines.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_SOCKET_OPTIONS_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace dandelionscale::internal {

/// \brief Sets non-blocking mode, TCP_NODELAY, and time-outs that close a
/// connection within seconds if the remote host stops responding.
void SetTcpSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_SOCKET_OPTIONS_H_
