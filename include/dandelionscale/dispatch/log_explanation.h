#ifndef DANDELIONSCALE_DISPATCH_LOG_EXPLANATION_H_
#define DANDELIONSCALE_DISPATCH_LOG_EXPLANATION_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionscale {

/// \brief The history of one request, taken from routers' logs.
struct RequestExplanation {
  std::vector<std::string> lines;  ///< Of the request, ordered by time.
  std::string cause;               ///< Most likely cause of the outcome.
  /// Log lines with state changes of the request's router (configuration,
  /// engines, store, peers, life cycle) close to the request.
  std::vector<std::string> context;
  std::vector<std::string> contradictions;  ///< Evidence against the cause.
  int decisions = 0;  ///< Decisions that were logged with all their inputs.
  /// Log lines of decisions for which a replay gives another result.
  std::vector<std::string> mismatches;
};

/// \brief Explains the outcome of a request from the logs of several routers.
///
/// Text before the first `{` of a line, such as the prefix of a log collector,
/// is dropped; lines that are not JSON then are skipped. Lines are ordered by
/// their time stamps, so that the order between routers is only as accurate as
/// the hosts' clocks.
/// \param request_id the value of the log field `request`.
/// \param log_lines lines of all logs, in any order.
/// \returns an explanation without lines if no log contains the request.
RequestExplanation ExplainRequest(std::string_view request_id,
                                  std::span<const std::string> log_lines);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_LOG_EXPLANATION_H_
