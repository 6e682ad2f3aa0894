#ifndef DANDELIONSCALE_SRC_TRANSPORT_SOCKET_HELPERS_H_
#define DANDELIONSCALE_SRC_TRANSPORT_SOCKET_HELPERS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale::internal {

/// \returns a completion token for coroutines that stores an error in `error`
///          instead of throwing it.
inline auto RedirectError(boost::system::error_code& error) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

/// \returns false if the peer has closed an idle connection or has sent bytes
///          that nothing asked for, such as a second response.
bool IsIdle(boost::asio::ip::tcp::socket& socket);

/// \brief Binds `acceptor` and starts listening.
/// \returns the bound endpoint; fault: `kConnectFailed`.
Result<Endpoint> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                              const Endpoint& endpoint);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TRANSPORT_SOCKET_HELPERS_H_
