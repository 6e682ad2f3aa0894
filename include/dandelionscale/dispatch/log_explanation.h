#ifndef DANDELIONSCALE_DISPATCH_LOG_EXPLANATION_H_
#define DANDELIONSCALE_DISPATCH_LOG_EXPLANATION_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionscale {

/// \brief What routers' logs say of one request.
struct RequestExplanation {
  std::vector<std::string> lines;    ///< About the request, in order of time.
  std::string cause;                 ///< Most likely cause of its outcome.
  std::vector<std::string> context;  ///< Beliefs that changed around it.
  std::vector<std::string> contradictions;  ///< What speaks against the cause.
  int decisions = 0;  ///< Logged with all that they were made from.
  /// Those of them that come out otherwise when they are made again.
  std::vector<std::string> unexplained;
};

/// \brief Finds a request in the logs of several routers.
///
/// Lines that are not JSON are passed over. The clocks of hosts may differ, so
/// that the order between routers is as good as these.
/// \returns an explanation without lines if no log knows the request.
RequestExplanation ExplainRequest(std::string_view request_id,
                                  std::span<const std::string> log_lines);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_LOG_EXPLANATION_H_
