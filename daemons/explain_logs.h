/// \file
/// \brief `dandelionctl explain --log`: explains a request from router logs.
#ifndef DANDELIONSCALE_DAEMONS_EXPLAIN_LOGS_H_
#define DANDELIONSCALE_DAEMONS_EXPLAIN_LOGS_H_

#include <string>

namespace dandelionscale {

/// Exit codes of dandelionctl.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// \brief Prints a request's log lines, related state changes and the likely
///        cause of its outcome.
/// \param paths log files of routers, comma-separated; exits the process if one
///              cannot be read.
/// \param request_id the request to explain.
/// \returns the exit code.
int ExplainFromLogs(const std::string& paths, const std::string& request_id);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DAEMONS_EXPLAIN_LOGS_H_
