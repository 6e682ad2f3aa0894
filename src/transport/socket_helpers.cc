#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;

bool IsIdle(asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  if (error) return false;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

Result<Endpoint> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                              const Endpoint& endpoint) {
  try {
    acceptor.open(endpoint.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor.local_endpoint();
  } catch (const boost::system::system_error& error) {
    return Fault{FaultKind::kConnectFailed, error.what()};
  }
}

}  // namespace dandelionscale::internal
