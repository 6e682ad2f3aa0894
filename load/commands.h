#ifndef DANDELIONSCALE_LOAD_COMMANDS_H_
#define DANDELIONSCALE_LOAD_COMMANDS_H_

#include <string>
#include <vector>

#include "dandelionscale/runtime/settings.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale::load {

// Commands of `dandelion-load`; each returns the exit code.

/// \brief Waits until all routers are live or ready.
int RunWait(const Settings& settings);
/// \brief Runs one chat, sends one booking to every router under the same
/// idempotency key, and prints the engine of each turn.
int RunDemo(const Settings& settings);
/// \brief Runs a workload and prints the measurements as JSON.
int RunExperiment(const Settings& settings);

/// \returns the endpoints of a comma-separated list; exits with 2 if one is
/// malformed.
std::vector<Endpoint> ParseEndpointList(const std::string& list);

}  // namespace dandelionscale::load

#endif  // DANDELIONSCALE_LOAD_COMMANDS_H_
