#include "engine_response/body_framing.h"

namespace dandelionscale::internal {

std::string_view ToString(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kUntilClose:
      return "until_close";
  }
  return "length";
}

}  // namespace dandelionscale::internal
