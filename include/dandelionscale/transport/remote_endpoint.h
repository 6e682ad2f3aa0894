#ifndef DANDELIONSCALE_TRANSPORT_REMOTE_ENDPOINT_H_
#define DANDELIONSCALE_TRANSPORT_REMOTE_ENDPOINT_H_

#include <string_view>

#include "dandelionscale/transport/address.h"

namespace dandelionscale {

/// \brief Parses `IP:PORT` of an endpoint that one can connect to: neither port
///        0 nor an unspecified or multicast address.
/// \returns the endpoint; fault: `kMalformedMessage`.
Result<Endpoint> ParseRemoteEndpoint(std::string_view text);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_REMOTE_ENDPOINT_H_
