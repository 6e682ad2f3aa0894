#ifndef DANDELIONSCALE_TRANSPORT_PARSE_NUMBER_H_
#define DANDELIONSCALE_TRANSPORT_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>

namespace dandelionscale {

/// \returns the number that `text` is as a whole, or nothing if it is none or
///          out of range.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return value;
}

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_PARSE_NUMBER_H_
