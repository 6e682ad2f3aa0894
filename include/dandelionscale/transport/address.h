#ifndef DANDELIONSCALE_TRANSPORT_ADDRESS_H_
#define DANDELIONSCALE_TRANSPORT_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "dandelionscale/runtime/fault.h"

namespace dandelionscale {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// \returns the endpoint written as `IP:PORT`.
Result<Endpoint> ParseEndpoint(std::string_view text);
/// \returns the endpoint as `IP:PORT`.
std::string ToText(const Endpoint& endpoint);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_ADDRESS_H_
