#include "dispatch/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dandelionscale::internal {
namespace {

// Length of the longest line ending that terminates an event.
constexpr std::size_t kMaxTerminatorBytes = 4;

// Returns the size of the first event in `text`, including its terminating
// empty line; 0 if it is incomplete. The first `searched` bytes are known not
// to contain its end.
std::size_t FindEventEnd(std::string_view text, std::size_t searched) {
  const std::size_t from =
      searched - std::min(searched, kMaxTerminatorBytes - 1);
  const auto lf_end = text.find("\n\n", from);
  const auto crlf_end = text.find("\r\n\r\n", from);
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
    return 0;
  }
  if (crlf_end < lf_end) return crlf_end + 4;
  return lf_end + 2;
}

// Returns the value of the event's `id` field; empty if it has none.
std::string_view ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    return line;
  }
  return {};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return {};
  return value;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  this->pending += bytes;
  std::string complete_events;
  std::size_t position = 0;
  while (true) {
    const std::string_view rest =
        std::string_view(this->pending).substr(position);
    const std::size_t size = FindEventEnd(rest, this->searched);
    if (size == 0) break;
    this->searched = 0;
    const std::string_view event = rest.substr(0, size);
    std::string id;
    if (!this->IsDuplicate(event, id)) {
      complete_events += event;
      ++this->events;
      if (!id.empty()) this->last_id = std::move(id);
    }
    position += size;
  }
  this->pending.erase(0, position);
  this->searched = this->pending.size();
  return complete_events;
}

std::string EventSplitter::Flush() {
  this->searched = 0;
  return std::exchange(this->pending, std::string());
}

void EventSplitter::OnResumed() {
  this->pending.clear();
  this->searched = 0;
  this->resumed = true;
}

bool EventSplitter::IsDuplicate(std::string_view event, std::string& id) const {
  id = ParseEventId(event);
  if (!this->resumed || this->last_id.empty()) return false;
  const auto number = ParseNumber(id);
  const auto last = ParseNumber(this->last_id);
  return number && last && *number <= *last;
}

}  // namespace dandelionscale::internal
