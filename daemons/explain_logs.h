/// \file
/// \brief The part of the operator's command line that reads routers' logs.
#ifndef DANDELIONSCALE_DAEMONS_EXPLAIN_LOGS_H_
#define DANDELIONSCALE_DAEMONS_EXPLAIN_LOGS_H_

#include <string>

namespace dandelionscale {

/// Exit codes of the operator's command line.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// \brief Prints what the logs say of a request, and the likely cause.
/// \param paths files, separated by commas.
/// \returns the exit code.
int ExplainFromLogs(const std::string& paths, const std::string& request_id);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DAEMONS_EXPLAIN_LOGS_H_
