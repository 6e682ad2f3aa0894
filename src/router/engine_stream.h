#ifndef DANDELIONSCALE_SRC_ROUTER_ENGINE_STREAM_H_
#define DANDELIONSCALE_SRC_ROUTER_ENGINE_STREAM_H_

#include <memory>
#include <string>
#include <variant>

#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/sse.h"

namespace dandelionscale::internal {

/// \brief A piece of an answer, checked to be the next one.
struct AnswerChunk {
  std::uint64_t offset = 0;  ///< Bytes of the answer before this piece.
  std::string content;
};
/// \brief The answer is whole.
struct AnswerEnd {
  std::uint64_t length = 0;
};
using AnswerEvent = std::variant<AnswerChunk, AnswerEnd>;

/// \brief Reads an engine's answer and checks every event of it.
///
/// An event must name the request and continue at the byte where the one before
/// ended, and the end must state the length received; anything else is a fault.
class EngineStream {
 public:
  EngineStream(std::shared_ptr<HttpStream> http, std::string request_id,
               std::uint64_t offset);

  Awaitable<Result<AnswerEvent>> Next(Duration timeout);
  std::uint64_t Offset() const { return this->offset; }
  void Cancel() { this->http->Cancel(); }

 private:
  Result<AnswerEvent> Check(const SseEvent& event);

  std::shared_ptr<HttpStream> http;
  std::string request_id;
  std::uint64_t offset;
  SseReader reader;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_ENGINE_STREAM_H_
