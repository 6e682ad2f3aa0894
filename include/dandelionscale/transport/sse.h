#ifndef DANDELIONSCALE_TRANSPORT_SSE_H_
#define DANDELIONSCALE_TRANSPORT_SSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/fault.h"

namespace dandelionscale {

/// \brief One server-sent event; absent fields are empty.
struct SseEvent {
  std::string id;
  std::string event;
  std::string data;
};

/// \brief Incremental parser of a stream of server-sent events.
///
/// Lines must end with LF alone.
class SseReader {
 public:
  /// \param max_event_bytes largest unfinished event, in bytes.
  explicit SseReader(std::size_t max_event_bytes = 256 * 1024)
      : max_event_bytes(max_event_bytes) {}

  /// \brief Appends received bytes.
  void Append(std::string_view bytes) { this->buffer += bytes; }
  /// \returns the next complete event, or nothing if more bytes are needed;
  ///          fault: `kMessageTooLarge`.
  Result<std::optional<SseEvent>> Next();

 private:
  std::size_t max_event_bytes;
  std::string buffer;
};

/// \returns `event` in the wire format; no field may contain a line feed.
std::string FormatSse(const SseEvent& event);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_SSE_H_
