#ifndef DANDELIONSCALE_LOAD_COMMANDS_H_
#define DANDELIONSCALE_LOAD_COMMANDS_H_

#include <string>
#include <vector>

#include "dandelionscale/runtime/settings.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale::load {

/// \brief Commands of `dandelion-load`; each returns the exit code.

/// Waits until all routers are live or ready.
int RunWait(const Settings& settings);
/// Holds one chat and makes one booking, and prints where each turn went.
int RunDemo(const Settings& settings);
/// Runs a workload and prints what was measured.
int RunExperiment(const Settings& settings);

/// \returns the endpoints of a comma-separated list; exits with 2 if one is
/// malformed.
std::vector<Endpoint> ParseEndpointList(const std::string& list);

}  // namespace dandelionscale::load

#endif  // DANDELIONSCALE_LOAD_COMMANDS_H_
