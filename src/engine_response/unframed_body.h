/// \file
/// \brief Finds the end of a body that is marked by nothing but the end of the
///        connection.
#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_UNFRAMED_BODY_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_UNFRAMED_BODY_H_

#include <optional>
#include <string_view>

#include "dandelionscale/dispatch/protocol_codec.h"
#include "engine_response/body_framing.h"
#include "engine_response/following_response.h"

namespace dandelionscale::internal {

/// \brief Which request a response names, seen from the connection that brought
///        it.
enum class NamedRequest {
  kCurrent,  ///< The one that was sent last.
  kEarlier,  ///< Another one that was, or may have been, sent on it.
  kNever,    ///< One that was never sent on it.
  kNone      ///< It names none.
};

/// \returns the name used in logs.
std::string_view ToString(NamedRequest named);

/// \returns which request `response` names.
/// \param request_id id of the request that was sent last.
/// \param may_be_earlier true if the named request may have been sent before.
NamedRequest FindNamedRequest(const EngineResponse& response,
                              std::string_view request_id, bool may_be_earlier);

/// \brief What a head inside a body shows.
enum class HeadMeaning {
  kQuote,     ///< It is text of the body.
  kResponse,  ///< Another response begins there: the body ends before it.
  kUnclear
};

/// \returns the name used in logs.
std::string_view ToString(HeadMeaning meaning);

/// \brief What is known when a head is found inside a body.
struct HeadContext {
  std::string_view body;           ///< As far as it has arrived.
  const EngineResponse* response;  ///< The one that the body belongs to.
  NamedRequest named = NamedRequest::kNone;
  bool is_only_request = false;  ///< The connection has carried no other one.
  bool at_end = false;           ///< The connection has ended.
};

/// \brief Decides whether a head in a body is a quote or another response.
///
/// A body that is cut off at a quote would look complete, so a head counts as
/// another response only if it repeats the own one, or if it stands in the
/// middle of a line, where no text quotes a head, on a connection that has
/// carried no other request. A head of no request of this connection, with
/// neither of the marks by which engines state what they did, is a quote.
/// \returns nothing if bytes that may still come decide.
std::optional<HeadMeaning> JudgeHead(const FollowingHead& head,
                                     const HeadContext& context);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_UNFRAMED_BODY_H_
