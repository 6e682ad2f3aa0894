#include "transport/spliced_head.h"

#include <algorithm>

namespace dandelionscale::internal {
namespace {

// What a status line begins with, up to its minor version.
constexpr std::string_view kVersion = "HTTP/1.";
// Length of the minor version, a space and the status code.
constexpr std::size_t kStatusLength = 5;

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

bool IsStatus(std::string_view text) {
  return text.size() >= kStatusLength && IsDigit(text[0]) && text[1] == ' ' &&
         std::all_of(text.begin() + 2, text.begin() + kStatusLength, IsDigit);
}

bool HoldsStatusLine(std::string_view text) {
  for (auto at = text.find(kVersion); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    if (IsStatus(text.substr(at + kVersion.size()))) return true;
  }
  return false;
}

}  // namespace

bool IsSplicedHead(std::string_view reason,
                   const boost::beast::http::fields& fields) {
  if (HoldsStatusLine(reason)) return true;
  return std::any_of(fields.begin(), fields.end(), [](const auto& field) {
    return HoldsStatusLine({field.value().data(), field.value().size()});
  });
}

}  // namespace dandelionscale::internal
