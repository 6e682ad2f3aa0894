#include "engine_response/stream_end.h"

namespace dandelionscale::internal {

StreamDoubt FindStreamDoubt(const EventSplitter& events,
                            const StreamContext& context) {
  switch (events.State()) {
    case StreamState::kFollowed:
      return StreamDoubt::kResponse;
    case StreamState::kMalformed:
      return StreamDoubt::kMalformed;
    case StreamState::kOpen:
      break;
  }
  if (!context.at_end) return StreamDoubt::kNone;
  if (events.IsInsideEvent()) return StreamDoubt::kPartOfEvent;
  // An engine that crashes may close its connection before the first event.
  const bool has_nothing = context.framing == BodyFraming::kUntilClose &&
                           events.EventCount() == 0 && !context.is_resumption;
  return has_nothing ? StreamDoubt::kNoEvent : StreamDoubt::kNone;
}

std::string_view ToString(StreamDoubt doubt) {
  switch (doubt) {
    case StreamDoubt::kNone:
      return "nothing";
    case StreamDoubt::kResponse:
      return "response";
    case StreamDoubt::kMalformed:
      return "malformed";
    case StreamDoubt::kPartOfEvent:
      return "part_of_event";
    case StreamDoubt::kNoEvent:
      return "no_event";
  }
  return "nothing";
}

}  // namespace dandelionscale::internal
