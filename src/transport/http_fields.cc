#include "dandelionscale/transport/http_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace dandelionscale {
namespace {

// The hop-by-hop fields of HTTP, and Content-Length and Expect, which a proxy
// generates itself.
constexpr std::array<std::string_view, 10> kHopByHop = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Content-Length",
                                                        "Expect"};

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

std::vector<std::string_view> SplitList(std::string_view text) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    const auto comma = text.find(',');
    std::string_view item = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
    const auto first = item.find_first_not_of(" \t");
    if (first == std::string_view::npos) continue;
    const auto last = item.find_last_not_of(" \t");
    items.push_back(item.substr(first, last - first + 1));
  }
  return items;
}

bool IsFieldValue(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::none_of(text.begin(), text.end(), [](unsigned char character) {
    return character < kFirstPrintable || character == kDelete;
  });
}

bool IsEventStreamType(std::string_view content_type) {
  const std::string_view type =
      content_type.substr(0, content_type.find_first_of("; \t"));
  return EqualsIgnoringCase(type, "text/event-stream");
}

bool HasAmbiguousFraming(const HttpHeaders& headers) {
  int lengths = 0;
  int encodings = 0;
  bool chunked = false;
  for (const HttpHeader& field : headers.Fields()) {
    if (EqualsIgnoringCase(field.name, "Content-Length")) ++lengths;
    if (EqualsIgnoringCase(field.name, "Transfer-Encoding")) {
      ++encodings;
      chunked = EqualsIgnoringCase(field.value, "chunked");
    }
  }
  if (lengths > 1 || encodings > 1) return true;
  return encodings == 1 && (lengths == 1 || !chunked);
}

bool HasOneHost(const HttpHeaders& headers) {
  const auto& fields = headers.Fields();
  return std::count_if(fields.begin(), fields.end(),
                       [](const HttpHeader& field) {
                         return EqualsIgnoringCase(field.name, "Host");
                       }) == 1;
}

HopByHopFields::HopByHopFields(const HttpHeaders& headers) {
  for (const HttpHeader& field : headers.Fields()) {
    if (!EqualsIgnoringCase(field.name, "Connection")) continue;
    const auto items = SplitList(field.value);
    this->connection_options.insert(this->connection_options.end(),
                                    items.begin(), items.end());
  }
}

bool HopByHopFields::IsHopByHop(std::string_view name) const {
  const auto same = [name](std::string_view other) {
    return EqualsIgnoringCase(name, other);
  };
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), same) ||
         std::any_of(this->connection_options.begin(),
                     this->connection_options.end(), same);
}

}  // namespace dandelionscale
