#include "engine_response/response_match.h"

#include "dandelionscale/transport/http_status.h"

namespace dandelionscale::internal {

ResponseMatch MatchResponse(const EngineResponse& response,
                            std::string_view request_id, bool is_only_request) {
  if (response.has_conflicting_ids) return ResponseMatch::kForeign;
  const bool has_id = !response.request_id.empty();
  if (has_id && response.request_id != request_id) {
    return ResponseMatch::kForeign;
  }
  if (!has_id && !is_only_request) return ResponseMatch::kForeign;
  if (!http_status::IsBelowRedirection(response.status)) {
    return ResponseMatch::kOwn;
  }
  const bool is_valid =
      has_id && response.is_signed && !response.has_content_encoding;
  return is_valid ? ResponseMatch::kOwn : ResponseMatch::kInvalid;
}

}  // namespace dandelionscale::internal
