/// \file
/// \brief Whether the response of an event stream has brought its last event.
#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_STREAM_END_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_STREAM_END_H_

#include <string_view>

#include "engine_response/body_framing.h"
#include "engine_response/event_splitter.h"

namespace dandelionscale::internal {

/// \brief What leaves open whether the last event of a response was the last
///        one of its stream.
enum class StreamDoubt {
  kNone,
  kResponse,     ///< The head of another response begins behind it.
  kMalformed,    ///< What follows can't be the next event.
  kPartOfEvent,  ///< The response ends inside the next event.
  kNoEvent       ///< The connection has ended before the first event.
};

/// \returns the name used in logs and metrics.
std::string_view ToString(StreamDoubt doubt);

/// \brief What is known of a response besides its events.
struct StreamContext {
  BodyFraming framing = BodyFraming::kChunked;
  /// The client had events of the stream before it sent its request.
  bool is_resumption = false;
  bool at_end = false;  ///< The body has ended as its framing states.
};

/// \returns what leaves open, now or for good, whether a response has brought
///          the last event of its stream; `kNone` also while it goes on.
///
/// Only the end of the body shows that, directly behind an event. Whatever else
/// follows an event shows that the engine is in trouble, and not since when: a
/// response may follow a whole stream or one that was broken off, on any
/// connection and whichever request it names. The stream is then in doubt.
StreamDoubt FindStreamDoubt(const EventSplitter& events,
                            const StreamContext& context);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_STREAM_END_H_
