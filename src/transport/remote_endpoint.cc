#include "dandelionscale/transport/remote_endpoint.h"

#include <string>

namespace dandelionscale {

Result<Endpoint> ParseRemoteEndpoint(std::string_view text) {
  auto endpoint = ParseEndpoint(text);
  if (endpoint.has_error()) return endpoint;
  const bool is_remote = endpoint->port() != 0 &&
                         !endpoint->address().is_unspecified() &&
                         !endpoint->address().is_multicast();
  if (!is_remote) {
    return Fault{FaultKind::kMalformedMessage, std::string(text)};
  }
  return endpoint;
}

}  // namespace dandelionscale
