#ifndef DANDELIONSCALE_SRC_ROUTER_ENGINE_STREAM_H_
#define DANDELIONSCALE_SRC_ROUTER_ENGINE_STREAM_H_

#include <memory>
#include <string>
#include <variant>

#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/sse.h"

namespace dandelionscale::internal {

/// \brief The next part of a response.
struct ResponseChunk {
  std::uint64_t offset = 0;  ///< Bytes of the response before this part.
  std::string content;
};
/// \brief End of a complete response.
struct ResponseEnd {
  std::uint64_t length = 0;
};
using ResponseEvent = std::variant<ResponseChunk, ResponseEnd>;

/// \brief Reads a streamed response of an engine and validates its events.
///
/// Every event must carry the request's id. A chunk must start at the byte at
/// which the previous one ended, and the end event must state the number of
/// bytes received. Anything else is a fault.
class EngineStream {
 public:
  /// \param offset bytes of the response received before, if it is resumed.
  EngineStream(std::shared_ptr<HttpStream> http, std::string request_id,
               std::uint64_t offset);

  /// \brief Waits for the next event.
  /// \returns the event. Faults: `kTimeout`, `kMalformedMessage`, and
  /// `kConnectionLost` if the response ends without an end event.
  Awaitable<Result<ResponseEvent>> Next(Duration timeout);
  /// \returns the number of bytes of the response received so far.
  std::uint64_t Offset() const { return this->offset; }
  void Cancel() { this->http->Cancel(); }

 private:
  Result<ResponseEvent> ParseEvent(const SseEvent& event);

  std::shared_ptr<HttpStream> http;
  std::string request_id;
  std::uint64_t offset;
  SseReader reader;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_ENGINE_STREAM_H_
