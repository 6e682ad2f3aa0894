#include "transport/socket_helpers.h"

namespace dandelionscale::internal {

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
