/// \file
/// \brief `dandelionctl placement`: asks a router where a request would go now.
#ifndef DANDELIONSCALE_DAEMONS_PLACEMENT_COMMAND_H_
#define DANDELIONSCALE_DAEMONS_PLACEMENT_COMMAND_H_

#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/settings.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale {

/// \returns the query for a router's metrics address. The key is in a header
///          field, since targets of requests are logged by proxies.
HttpRequest MakePlacementRequest(const Settings& settings);

/// \returns the router's explanation as text for an operator, or nothing if it
///          is none: a router of an earlier build responds with its metrics.
/// \param document JSON of the response.
std::optional<std::string> FormatPlacement(std::string_view document);

/// \brief Asks the router and prints its explanation.
/// \param router metrics address, IP:PORT.
/// \returns the exit code; `kExitUsage` if `router` is no address or the key
/// has
///          characters that a key can't have.
int RunPlacementCommand(const Settings& settings, const std::string& router);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DAEMONS_PLACEMENT_COMMAND_H_
