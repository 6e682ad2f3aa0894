#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_FOLLOWING_RESPONSE_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_FOLLOWING_RESPONSE_H_

#include <optional>
#include <string_view>

#include "dandelionscale/dispatch/protocol_codec.h"

namespace dandelionscale::internal {

/// \brief The head of a response inside the body of another one, as far as it
///        has arrived.
struct FollowingHead {
  std::size_t begin = 0;  ///< Position of its status line.
  std::size_t end = 0;    ///< Position behind it, or behind what has arrived.
  bool is_whole = false;  ///< The empty line has arrived.
  EngineResponse response;
};

/// \brief Finds a further response of an engine in a body that is ended by
///        nothing but the end of the connection.
///
/// An engine that sends a second response on such a connection sends it, by
/// HTTP's rules, as part of the first body. A head counts only with a field by
/// which engines mark their responses and with the line ends of HTTP, so that a
/// body may quote other heads.
/// \param from position at which the search begins.
std::optional<FollowingHead> FindFollowingHead(std::string_view body,
                                               std::size_t from,
                                               const ProtocolCodec& codec);

/// \brief Bytes of a head behind which such a field is not looked for.
inline constexpr std::size_t kMaxFollowingHeadBytes = 8 * 1024;

/// \returns the head of the response that begins at the start of `text`;
/// nothing
///          if its status line is not whole.
std::optional<FollowingHead> ParseFollowingHead(std::string_view text,
                                                const ProtocolCodec& codec);

/// \returns true if a body ends inside the head of a response, so that it can't
///          be told whether that belongs to the body.
bool EndsInsideHead(std::string_view body);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_FOLLOWING_RESPONSE_H_
