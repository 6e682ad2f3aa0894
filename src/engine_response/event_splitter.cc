#include "engine_response/event_splitter.h"

#include <algorithm>
#include <array>
#include <utility>

#include "dandelionscale/transport/parse_number.h"

namespace dandelionscale::internal {
namespace {

constexpr std::string_view kLineEndCharacters = "\r\n";

// May precede the first line.
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

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

// Returns true if a response begins at the start of `text`, behind line ends.
// No field of an event stream begins like that.
bool BeginsResponse(std::string_view text) {
  const auto begin = text.find_first_not_of(kLineEndCharacters);
  return begin != std::string_view::npos &&
         text.substr(begin).starts_with("HTTP/");
}

// Returns the name of the field in a line; empty for a comment.
std::string_view FieldName(std::string_view line) {
  if (line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  return line.substr(0, line.find(':'));
}

// Names of fields are lowercase.
bool IsFieldName(std::string_view name) {
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  });
}

// Returns true if clients ignore the field of this name.
bool IsUnknownField(std::string_view name) {
  constexpr std::array<std::string_view, 4> kKnownFields = {"data", "event",
                                                            "id", "retry"};
  return !name.empty() && std::find(kKnownFields.begin(), kKnownFields.end(),
                                    name) == kKnownFields.end();
}

// Returns true if a head of a response begins in `event`, be it in the middle
// of a line.
bool HoldsHead(std::string_view event) {
  bool has_status_line = false;
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (line.starts_with("HTTP/")) return true;
    // No line of an event behind its data looks like a header field.
    const std::string_view name = line.substr(0, line.find(':'));
    if (has_status_line && IsUnknownField(name)) return true;
    has_status_line = line.find("HTTP/") != std::string_view::npos;
  }
  return false;
}

// Returns true if `event` is no event: a line of it is no field, or it has
// fields that clients don't know but no data, as a word of an error text.
bool IsForeign(std::string_view event) {
  bool has_unknown = false;
  bool has_data = false;
  while (!event.empty()) {
    const std::string_view name = FieldName(TakeLine(event));
    if (!IsFieldName(name)) return true;
    has_data = has_data || name == "data";
    has_unknown = has_unknown || IsUnknownField(name);
  }
  return has_unknown && !has_data;
}

}  // namespace

std::string_view ToString(StreamState state) {
  switch (state) {
    case StreamState::kOpen:
      return "open";
    case StreamState::kFollowed:
      return "followed";
    case StreamState::kMalformed:
      return "malformed";
  }
  return "open";
}

void EventSplitter::OnResponse(BodyFraming framing) {
  this->resumed = !this->last_id.empty();
  this->framing = framing;
  this->state = StreamState::kOpen;
  this->previous_number.reset();
  this->pending.clear();
  this->searched = 0;
}

std::string EventSplitter::Feed(std::string_view bytes) {
  if (this->state != StreamState::kOpen) return {};
  this->pending += bytes;
  std::string complete_events;
  std::size_t position = 0;
  while (true) {
    const std::string_view rest =
        std::string_view(this->pending).substr(position);
    const std::size_t size = FindEventEnd(rest, this->searched);
    const std::string_view event = rest.substr(0, size);
    this->state = size == 0 ? this->JudgeUnfinished(rest) : this->Judge(event);
    if (size == 0 || this->state != StreamState::kOpen) break;
    this->searched = 0;
    const std::string_view id = ParseEventId(event);
    const auto number = ParseNumber<std::uint64_t>(id);
    if (!this->IsInOrder(number)) {
      this->state = StreamState::kMalformed;
      break;
    }
    if (!this->IsDuplicate(number)) {
      complete_events += event;
      ++this->events;
      if (!id.empty()) this->last_id = id;
    }
    position += size;
  }
  this->pending.erase(0, position);
  this->searched = this->pending.size();
  return complete_events;
}

std::string_view EventSplitter::Following() const {
  const std::string_view text = this->pending;
  const auto begin = text.find_first_not_of(kLineEndCharacters);
  return begin == std::string_view::npos ? std::string_view()
                                         : text.substr(begin);
}

StreamState EventSplitter::Judge(std::string_view event) const {
  if (this->JudgeUnfinished(event) == StreamState::kFollowed) {
    return StreamState::kFollowed;
  }
  // Clients ignore unknown lines; in a delimited body they are the engine's
  // own.
  const bool is_foreign =
      HoldsHead(event) ||
      (this->framing == BodyFraming::kUntilClose && IsForeign(event));
  return is_foreign ? StreamState::kMalformed : StreamState::kOpen;
}

StreamState EventSplitter::JudgeUnfinished(std::string_view text) const {
  const bool is_followed =
      this->framing == BodyFraming::kUntilClose && BeginsResponse(text);
  return is_followed ? StreamState::kFollowed : StreamState::kOpen;
}

bool EventSplitter::IsInsideEvent() const {
  return this->pending.find_first_not_of(kLineEndCharacters) !=
         std::string::npos;
}

std::string EventSplitter::Flush() {
  this->searched = 0;
  return std::exchange(this->pending, std::string());
}

bool EventSplitter::IsInOrder(std::optional<std::uint64_t> number) {
  if (!number) return true;
  const bool is_in_order =
      !this->previous_number || *number > *this->previous_number;
  this->previous_number = number;
  return is_in_order;
}

bool EventSplitter::IsDuplicate(std::optional<std::uint64_t> number) const {
  if (!this->resumed) return false;
  const auto last = ParseNumber<std::uint64_t>(this->last_id);
  return number && last && *number <= *last;
}

}  // namespace dandelionscale::internal
