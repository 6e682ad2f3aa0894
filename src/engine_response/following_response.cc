#include "engine_response/following_response.h"

#include <algorithm>
#include <charconv>

namespace dandelionscale::internal {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";

// Removes the first line from `text` and returns it without its line end.
// Returns nothing if the line has no end yet.
std::optional<std::string_view> TakeWholeLine(std::string_view& text) {
  const auto end = text.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end + 1);
  if (line.ends_with('\r')) line.remove_suffix(1);
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
  const bool is_number =
      error == std::errc{} && end == digits.data() + digits.size();
  return is_number ? std::optional<unsigned>(status) : std::nullopt;
}

// Returns the fields up to the empty line or the end of `text`.
HttpHeaders ParseFields(std::string_view text) {
  HttpHeaders headers;
  while (const auto line = TakeWholeLine(text)) {
    const auto colon = line->find(':');
    if (colon == std::string_view::npos) break;
    std::string_view value = line->substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    headers.Add(line->substr(0, colon), value);
  }
  return headers;
}

bool BeginsEngineResponse(std::string_view text, const ProtocolCodec& codec) {
  text = text.substr(0, kMaxFollowingHeadBytes);
  const auto status_line = TakeWholeLine(text);
  if (!status_line) return false;
  const auto status = ParseStatusLine(*status_line);
  if (!status) return false;
  const EngineResponse response =
      codec.DecodeResponse(*status, ParseFields(text));
  return !response.request_id.empty() || response.is_signed || response.not_run;
}

}  // namespace

std::optional<std::size_t> FindFollowingResponse(std::string_view body,
                                                 std::size_t from,
                                                 const ProtocolCodec& codec) {
  for (auto at = body.find(kVersionPrefix, from); at != std::string_view::npos;
       at = body.find(kVersionPrefix, at + 1)) {
    if (BeginsEngineResponse(body.substr(at), codec)) return at;
  }
  return std::nullopt;
}

}  // namespace dandelionscale::internal
