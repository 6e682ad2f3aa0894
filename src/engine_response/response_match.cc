#include "engine_response/response_match.h"

#include "dandelionscale/transport/http_status.h"

namespace dandelionscale::internal {

ResponseMatch MatchResponse(const EngineResponse& response,
                            std::string_view request_id,
                            std::uint32_t requests_sent) {
  if (response.has_conflicting_ids) return ResponseMatch::kForeign;
  const bool has_id = !response.request_id.empty();
  const bool is_first = requests_sent <= 1;
  if (has_id && response.request_id != request_id) {
    return ResponseMatch::kForeign;
  }
  if (!has_id && !is_first) return ResponseMatch::kForeign;
  if (!http_status::IsBelowRedirection(response.status)) {
    return ResponseMatch::kOwn;
  }
  const bool is_valid =
      has_id && response.is_signed && !response.has_content_encoding;
  return is_valid ? ResponseMatch::kOwn : ResponseMatch::kInvalid;
}

}  // namespace dandelionscale::internal
