#include "engine_response/connection_reuse.h"

namespace dandelionscale::internal {

bool MayReuseConnection(const ExchangeEnd& end) {
  const bool is_done = end.request_written && end.response_complete;
  const bool is_clean =
      end.has_id && !end.has_foreign_response && end.unread_bytes == 0;
  return is_done && is_clean && end.keep_alive && end.is_open &&
         !end.engine_draining && !end.is_tunnel;
}

}  // namespace dandelionscale::internal
