#ifndef DANDELIONSCALE_SRC_ROUTER_ANSWER_WRITER_H_
#define DANDELIONSCALE_SRC_ROUTER_ANSWER_WRITER_H_

#include <string>

#include "dandelionscale/runtime/metrics.h"
#include "dandelionscale/transport/http_server.h"
#include "peer.pb.h"
#include "router/problem.h"

namespace dandelionscale::internal {

/// \brief How an answer reaches the client.
enum class AnswerForm {
  kEvents,      ///< Server-sent events, one per chunk.
  kCompletion,  ///< One JSON document when the answer is whole.
  kVerbatim,    ///< The engine's response as it is.
};

/// \brief Writes one answer to the client and checks that it is in order.
class AnswerWriter {
 public:
  AnswerWriter(HttpExchange& exchange, AnswerForm form, std::string request_id,
               Metrics& metrics, TimePoint started);

  /// \brief Sets where a resumed answer continues.
  void ResumeAt(std::uint64_t offset) { this->offset = offset; }

  Awaitable<bool> OnHead(const wire::Head& head);
  /// \returns false if the client has gone or the chunk is out of order.
  Awaitable<bool> OnChunk(const wire::Chunk& chunk);
  /// \returns false if the answer is not whole.
  Awaitable<bool> OnEnd(const wire::End& end);
  /// \brief Tells the client why there is no whole answer.
  Awaitable<void> Fail(const Problem& problem);

  std::uint64_t Offset() const { return this->offset; }
  bool IsClientGone() const { return this->client_gone; }
  const std::string& Engine() const { return this->engine; }
  unsigned Status() const { return this->status; }
  const std::string& ContentType() const { return this->content_type; }
  const std::string& Body() const { return this->body; }

 private:
  std::string EventId() const;
  Awaitable<bool> StartEvents();
  Awaitable<bool> WriteEvent(std::string text);
  void NoteToken();

  HttpExchange& exchange;
  AnswerForm form;
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
  bool client_gone = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_ANSWER_WRITER_H_
