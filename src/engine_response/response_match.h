#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_RESPONSE_MATCH_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_RESPONSE_MATCH_H_

#include <string_view>

#include "dandelionscale/dispatch/protocol_codec.h"

namespace dandelionscale::internal {

/// \brief Whether a response belongs to the request that was sent last.
enum class ResponseMatch {
  kOwn,      ///< It does.
  kForeign,  ///< It doesn't, or nothing shows that it does. The own response
             ///< may follow.
  kInvalid   ///< It would, but is no valid response.
};

/// \brief Decides to which request a response belongs.
///
/// Engines echo the id of the request. A response without an id can only be
/// attributed if the connection has carried no other request: else it may be a
/// second response to an earlier one.
/// \param request_id id of the request that was sent last.
/// \param is_only_request true if the connection has carried no other request
///        and no response to one.
ResponseMatch MatchResponse(const EngineResponse& response,
                            std::string_view request_id, bool is_only_request);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_RESPONSE_MATCH_H_
