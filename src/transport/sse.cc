#include "dandelionscale/transport/sse.h"

namespace dandelionscale {
namespace {

// Adds one line of an event to `event`; unknown fields are ignored.
void ApplyField(std::string_view line, SseEvent& event) {
  auto colon = line.find(':');
  if (colon == std::string_view::npos) return;
  std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (name == "id") {
    event.id = value;
  } else if (name == "event") {
    event.event = value;
  } else if (name == "data") {
    if (!event.data.empty()) event.data += '\n';
    event.data += value;
  }
}

}  // namespace

Result<std::optional<SseEvent>> SseReader::Next() {
  auto end = this->buffer.find("\n\n");
  if (end == std::string::npos) {
    if (this->buffer.size() > this->max_event_bytes) {
      return Fault{FaultKind::kMessageTooLarge,
                   "server-sent event exceeds the size limit"};
    }
    return std::optional<SseEvent>();
  }
  SseEvent event;
  std::string_view block = std::string_view(this->buffer).substr(0, end);
  while (!block.empty()) {
    std::string_view line = block.substr(0, block.find('\n'));
    block.remove_prefix(std::min(block.size(), line.size() + 1));
    ApplyField(line, event);
  }
  this->buffer.erase(0, end + 2);
  return std::optional<SseEvent>(std::move(event));
}

std::string FormatSse(const SseEvent& event) {
  std::string text;
  if (!event.id.empty()) text += "id: " + event.id + "\n";
  if (!event.event.empty()) text += "event: " + event.event + "\n";
  text += "data: " + event.data + "\n\n";
  return text;
}

}  // namespace dandelionscale
