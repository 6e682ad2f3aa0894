#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_CONNECTION_REUSE_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_CONNECTION_REUSE_H_

#include <cstddef>

namespace dandelionscale::internal {

/// \brief What an exchange has left behind on its connection.
struct ExchangeEnd {
  bool request_written = false;    ///< All of its bytes.
  bool response_complete = false;  ///< Up to the end that its framing marks.
  bool keep_alive = false;         ///< As the response states.
  /// The response echoed the id of the request. Otherwise a second response
  /// would bear no id either.
  bool has_id = false;
  bool has_foreign_response = false;  ///< One to another request came first.
  std::size_t unread_bytes = 0;       ///< Received behind the response.
  bool is_open = false;
  bool engine_draining = false;
  bool is_tunnel = false;  ///< Tunnels carry one request each.
};

/// \returns true if another request may be sent on the connection.
bool MayReuseConnection(const ExchangeEnd& end);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_CONNECTION_REUSE_H_
