#include "engine_response/following_response.h"

#include <algorithm>
#include <charconv>

namespace dandelionscale::internal {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";

struct Line {
  std::string_view text;  ///< Without its line end.
  std::size_t size = 0;   ///< With it.
  /// Ended by CRLF; the parser of responses accepts no other line.
  bool is_http = false;
};

// Returns the first line of `text`; nothing if that has no end yet.
std::optional<Line> FirstLine(std::string_view text) {
  const auto end = text.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  Line line = {text.substr(0, end), end + 1, false};
  line.is_http = line.text.ends_with('\r');
  if (line.is_http) line.text.remove_suffix(1);
  return line;
}

// Returns the status of a line such as "HTTP/1.1 200 OK".
std::optional<unsigned> ParseStatusLine(std::string_view line) {
  constexpr std::size_t kStatusBegin = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t kStatusDigits = 3;
  if (line.size() < kStatusBegin + kStatusDigits) return std::nullopt;
  if (line[kStatusBegin - 1] != ' ') return std::nullopt;
  const std::string_view digits = line.substr(kStatusBegin, kStatusDigits);
  unsigned status = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), status);
  const std::string_view rest = line.substr(kStatusBegin + kStatusDigits);
  const bool is_number = error == std::errc{} &&
                         end == digits.data() + digits.size() &&
                         (rest.empty() || rest.starts_with(' '));
  return is_number ? std::optional<unsigned>(status) : std::nullopt;
}

// A head of a response, as far as it has arrived.
struct PartialHead {
  unsigned status = 0;
  HttpHeaders headers;
  bool is_whole = false;       ///< The empty line has arrived.
  bool is_header = true;       ///< All lines are header fields.
  bool is_plain_text = false;  ///< A line does not end like one of a response.
  std::size_t size = 0;  ///< Up to the first line that is no header field.
};

void ParseFields(std::string_view text, PartialHead& head) {
  while (const auto line = FirstLine(text)) {
    head.is_plain_text = !line->is_http;
    head.is_whole = line->is_http && line->text.empty();
    const auto colon = line->text.find(':');
    head.is_header = head.is_whole || colon != std::string_view::npos;
    if (head.is_plain_text || !head.is_header) return;
    head.size += line->size;
    if (head.is_whole) return;
    std::string_view value = line->text.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    head.headers.Add(line->text.substr(0, colon), value);
    text.remove_prefix(line->size);
  }
  head.size += text.size();
}

// Returns nothing if `text` does not begin with a whole status line.
std::optional<PartialHead> ParseHead(std::string_view text) {
  text = text.substr(0, kMaxFollowingHeadBytes);
  const auto status_line = FirstLine(text);
  if (!status_line || !status_line->is_http) return std::nullopt;
  const auto status = ParseStatusLine(status_line->text);
  if (!status) return std::nullopt;
  PartialHead head;
  head.status = *status;
  head.size = status_line->size;
  ParseFields(text.substr(status_line->size), head);
  return head;
}

bool IsEngineResponse(const EngineResponse& response) {
  const bool states_refusal = response.not_run && !response.wrong_engine;
  return !response.request_id.empty() || response.is_signed || states_refusal;
}

// Returns true if `text` is a status line without its end.
bool IsCutStatusLine(std::string_view text) {
  constexpr std::size_t kStatusBegin = std::string_view("HTTP/1.1 ").size();
  if (text.size() <= kStatusBegin || text[kStatusBegin - 1] != ' ') {
    return false;
  }
  const char digit = text[kStatusBegin];
  return digit >= '1' && digit <= '5' &&
         text.find('\n') == std::string_view::npos;
}

}  // namespace

std::optional<FollowingHead> FindFollowingHead(std::string_view body,
                                               std::size_t from,
                                               const ProtocolCodec& codec) {
  std::size_t begin = body.find(kVersionPrefix, from);
  while (begin != std::string_view::npos) {
    std::size_t next = begin + 1;
    if (const auto head = ParseHead(body.substr(begin))) {
      next = begin + head->size;
      FollowingHead found = {begin, next, head->is_whole,
                             codec.DecodeResponse(head->status, head->headers)};
      const bool is_engine_response =
          !head->is_plain_text && IsEngineResponse(found.response);
      if (is_engine_response) return found;
    }
    begin = body.find(kVersionPrefix, next);
  }
  return std::nullopt;
}

std::optional<FollowingHead> ParseFollowingHead(std::string_view text,
                                                const ProtocolCodec& codec) {
  const auto head = ParseHead(text);
  if (!head) return std::nullopt;
  return FollowingHead{0, head->size, head->is_whole,
                       codec.DecodeResponse(head->status, head->headers)};
}

bool EndsInsideHead(std::string_view body) {
  const std::size_t from =
      body.size() - std::min(body.size(), kMaxFollowingHeadBytes);
  const auto at = body.rfind(kVersionPrefix);
  if (at == std::string_view::npos || at < from) return false;
  const std::string_view text = body.substr(at);
  const auto head = ParseHead(text);
  if (!head) return IsCutStatusLine(text);
  return !head->is_whole && head->is_header && !head->is_plain_text;
}

}  // namespace dandelionscale::internal
