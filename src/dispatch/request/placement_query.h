/// \file
/// \brief The request that an operator asks about.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_QUERY_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_QUERY_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "dandelionscale/dispatch/protocol_codec.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::internal {

/// Path of the endpoint at the metrics address.
inline constexpr std::string_view kPlacementPath = "/placement";

/// \brief A request that is described, but not sent.
struct PlacementQuery {
  ClientRequest client;
  std::string method;
  std::string target;  ///< Path and query string of the request.
};

/// \brief Error type of the parser: a parameter is missing or malformed.
struct PlacementQueryFault {
  std::string_view parameter;  ///< Its name.
};

/// \brief Reads the parameters `host` and `path`, which are required, and
///        `method`, `id`, `model`, `prefix` (`ID:TOKENS,...`, with the last
///        part of the prompt) and `tokens` (`IN,OUT`). The key is a bearer
///        token, so that it appears in no URL.
/// \returns the query; error: `PlacementQueryFault`.
boost::leaf::result<PlacementQuery> ParsePlacementQuery(
    const HttpRequest& request);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_QUERY_H_
