#ifndef DANDELIONSCALE_TRANSPORT_SSE_H_
#define DANDELIONSCALE_TRANSPORT_SSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/fault.h"

namespace dandelionscale {

/// \brief One server-sent event.
struct SseEvent {
  std::string id;
  std::string event;
  std::string data;
};

/// \brief Splits a byte stream into server-sent events.
class SseReader {
 public:
  /// \param event_bytes size limit of one event.
  explicit SseReader(std::size_t event_bytes = 256 * 1024)
      : event_bytes(event_bytes) {}

  /// \brief Appends received bytes.
  void Append(std::string_view bytes) { this->buffer += bytes; }
  /// \returns the next whole event, nothing if more bytes are needed;
  ///          fault: `kMessageTooLarge`.
  Result<std::optional<SseEvent>> Next();

 private:
  std::size_t event_bytes;
  std::string buffer;
};

/// \returns `event` in the wire format.
std::string FormatSse(const SseEvent& event);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_SSE_H_
