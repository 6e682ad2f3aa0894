/// \file
/// \brief Options of sockets whose other end may fall silent.
#ifndef DANDELIONSCALE_SRC_DISPATCH_SOCKET_OPTIONS_H_
#define DANDELIONSCALE_SRC_DISPATCH_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace dandelionscale::internal {

/// \brief Sends at once, and lets a silent peer end the connection in seconds.
void SetPeerSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_SOCKET_OPTIONS_H_
