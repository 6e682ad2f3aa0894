#ifndef DANDELIONSCALE_TRANSPORT_ADDRESS_H_
#define DANDELIONSCALE_TRANSPORT_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "dandelionscale/runtime/fault.h"

namespace dandelionscale {

/// \brief IP address and TCP port.
using Endpoint = boost::asio::ip::tcp::endpoint;

/// \brief Parses `IP:PORT`; an IPv6 address is written without brackets.
/// \returns the endpoint; fault: `kMalformedMessage`.
Result<Endpoint> ParseEndpoint(std::string_view text);
/// \returns the endpoint as `IP:PORT`.
std::string ToText(const Endpoint& endpoint);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_ADDRESS_H_
