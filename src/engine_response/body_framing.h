#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_BODY_FRAMING_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_BODY_FRAMING_H_

#include <string_view>

namespace dandelionscale::internal {

/// \brief How the end of a response's body is marked.
enum class BodyFraming {
  kLength,     ///< Content-Length, or a response that has no body.
  kChunked,    ///< Chunks, of which the last one is empty.
  kUntilClose  ///< By nothing but the end of the connection.
};

/// \brief Whether the end of a response's body has been found.
enum class BodyEnd {
  kOpen,
  kReached,
  kUncertain  ///< What followed does not show where it is.
};

/// \returns the name used in logs.
std::string_view ToString(BodyFraming framing);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_BODY_FRAMING_H_
