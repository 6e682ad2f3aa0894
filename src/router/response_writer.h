#ifndef DANDELIONSCALE_SRC_ROUTER_RESPONSE_WRITER_H_
#define DANDELIONSCALE_SRC_ROUTER_RESPONSE_WRITER_H_

#include <string>

#include "dandelionscale/runtime/metrics.h"
#include "dandelionscale/transport/http_server.h"
#include "peer.pb.h"
#include "router/problem.h"

namespace dandelionscale::internal {

/// \brief Format in which a response is sent to the client.
enum class ResponseFormat {
  kEvents,      ///< Server-sent events, one per chunk.
  kCompletion,  ///< One JSON document, once the response is complete.
  kVerbatim,    ///< The engine's status and body, unchanged.
};

/// \brief Writes one response to the client and checks that its chunks are
/// contiguous.
///
/// In the verbatim format it only collects the body; the caller responds.
class ResponseWriter {
 public:
  /// \param started start of the request, from which the time to the first
  /// token is measured.
  ResponseWriter(HttpExchange& exchange, ResponseFormat format,
                 std::string request_id, Metrics& metrics, TimePoint started);

  /// \brief Sets the byte offset at which a resumed response continues.
  void ResumeAt(std::uint64_t offset) { this->offset = offset; }

  /// \brief Takes status and engine; starts the response if it is a stream.
  /// \returns false if the client has disconnected.
  Awaitable<bool> OnHead(const wire::Head& head);
  /// \returns false if the client has disconnected or the chunk does not
  /// continue this response.
  Awaitable<bool> OnChunk(const wire::Chunk& chunk);
  /// \returns false if the stated length differs from the bytes received.
  Awaitable<bool> OnEnd(const wire::End& end);
  /// \brief Reports an error to the client: as a problem response, or as an
  /// error event if the event stream has started.
  Awaitable<void> Fail(const Problem& problem);

  /// \returns the number of bytes of the response received so far.
  std::uint64_t Offset() const { return this->offset; }
  bool IsDisconnected() const { return this->client_disconnected; }
  const std::string& Engine() const { return this->engine; }
  unsigned Status() const { return this->status; }
  const std::string& ContentType() const { return this->content_type; }
  const std::string& Body() const { return this->body; }

 private:
  std::string EventId() const;
  Awaitable<bool> StartEvents();
  Awaitable<bool> WriteEvent(std::string text);
  /// \brief Records the time since the start of the request for the first
  /// chunk, and the time since the previous chunk for the others.
  void RecordTokenLatency();

  HttpExchange& exchange;
  ResponseFormat format;
  std::string request_id;
  Metrics& metrics;
  TimePoint last_token_at;
  std::uint64_t offset = 0;
  std::string engine;
  std::string placement;
  unsigned status = 200;
  std::string content_type;
  std::string body;
  bool started = false;
  bool first_token_seen = false;
  bool client_disconnected = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_RESPONSE_WRITER_H_
