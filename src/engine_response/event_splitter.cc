#include "engine_response/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dandelionscale::internal {
namespace {

constexpr std::string_view kLineEndCharacters = "\r\n";

// Length of the longest pair of line ends, which terminates an event.
constexpr std::size_t kMaxTerminatorBytes = 4;

// Returns the size of the line end (LF, CR or CRLF) at `position`; 0 if there
// is none.
std::size_t LineEndSize(std::string_view text, std::size_t position) {
  const std::string_view rest = text.substr(position);
  if (rest.starts_with("\r\n")) return 2;
  return rest.starts_with('\r') || rest.starts_with('\n') ? 1 : 0;
}

// Returns the size of the first event in `text`, including its terminating
// empty line; 0 if it is incomplete. The first `searched` bytes are known not
// to contain its end.
std::size_t FindEventEnd(std::string_view text, std::size_t searched) {
  std::size_t position = searched - std::min(searched, kMaxTerminatorBytes - 1);
  while (true) {
    position = text.find_first_of(kLineEndCharacters, position);
    if (position == std::string_view::npos) return 0;
    position += LineEndSize(text, position);
    const std::size_t empty_line = LineEndSize(text, position);
    if (empty_line > 0) return position + empty_line;
  }
}

// Removes the first line from `text` and returns it without its line end.
std::string_view TakeLine(std::string_view& text) {
  const auto end = text.find_first_of(kLineEndCharacters);
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos
                         ? text.size()
                         : end + LineEndSize(text, end));
  return line;
}

// Returns the value of the event's `id` field; empty if it has none.
std::string_view ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    std::string_view line = TakeLine(event);
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
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

// Names of fields are lowercase; clients ignore those that they don't know. A
// line without a name is a comment.
bool IsEventField(std::string_view line) {
  const std::string_view name = line.substr(0, line.find(':'));
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  });
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
    if (!this->IsWellFormed(event)) ++this->malformed_events;
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

bool EventSplitter::IsInsideEvent() const {
  return this->pending.find_first_not_of(kLineEndCharacters) !=
         std::string::npos;
}

std::string EventSplitter::Flush() {
  this->searched = 0;
  return std::exchange(this->pending, std::string());
}

void EventSplitter::OnResumed() {
  this->pending.clear();
  this->searched = 0;
  this->resumed = true;
  this->previous_number.reset();
}

bool EventSplitter::IsWellFormed(std::string_view event) {
  const auto number = ParseNumber(ParseEventId(event));
  const bool is_in_order =
      !number || !this->previous_number || *number > *this->previous_number;
  if (number) this->previous_number = number;
  while (!event.empty()) {
    if (!IsEventField(TakeLine(event))) return false;
  }
  return is_in_order;
}

bool EventSplitter::IsDuplicate(std::string_view event, std::string& id) const {
  id = ParseEventId(event);
  if (!this->resumed || this->last_id.empty()) return false;
  const auto number = ParseNumber(id);
  const auto last = ParseNumber(this->last_id);
  return number && last && *number <= *last;
}

}  // namespace dandelionscale::internal
