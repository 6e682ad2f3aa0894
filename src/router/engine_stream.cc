#include "router/engine_stream.h"

#include <boost/json.hpp>

namespace dandelionscale::internal {

namespace json = boost::json;

EngineStream::EngineStream(std::shared_ptr<HttpStream> http,
                           std::string request_id, std::uint64_t offset)
    : http(std::move(http)),
      request_id(std::move(request_id)),
      offset(offset) {}

Result<ResponseEvent> EngineStream::ParseEvent(const SseEvent& event) {
  try {
    json::value data = json::parse(event.data);
    if (data.at("request_id").as_string() != this->request_id) {
      return Fault{FaultKind::kMalformedMessage,
                   "event belongs to another request"};
    }
    if (event.event == "end") {
      auto length = data.at("length").to_number<std::uint64_t>();
      if (length != this->offset) {
        return Fault{FaultKind::kMalformedMessage,
                     "stated length differs from bytes received"};
      }
      return ResponseEvent(ResponseEnd{length});
    }
    ResponseChunk chunk;
    chunk.offset = data.at("offset").to_number<std::uint64_t>();
    chunk.content = json::value_to<std::string>(data.at("content"));
    if (chunk.offset != this->offset) {
      return Fault{FaultKind::kMalformedMessage,
                   "chunk does not start at the next byte"};
    }
    this->offset += chunk.content.size();
    return ResponseEvent(std::move(chunk));
  } catch (const std::exception&) {
    return Fault{FaultKind::kMalformedMessage, "event is malformed"};
  }
}

Awaitable<Result<ResponseEvent>> EngineStream::Next(Duration timeout) {
  const TimePoint deadline = RuntimeClock::now() + timeout;
  while (true) {
    auto event = this->reader.Next();
    if (event.has_error()) co_return event.error();
    if (event.value()) co_return this->ParseEvent(*event.value());
    const Duration left = deadline - RuntimeClock::now();
    if (left <= Duration::zero()) {
      co_return Fault{FaultKind::kTimeout,
                      "no event from the engine within the timeout"};
    }
    auto fragment = co_await this->http->Read(left);
    if (fragment.has_error()) co_return fragment.error();
    if (fragment.value().empty()) {
      co_return Fault{FaultKind::kConnectionLost,
                      "response ended without an end event"};
    }
    this->reader.Append(fragment.value());
  }
}

}  // namespace dandelionscale::internal
