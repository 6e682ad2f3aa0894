#include "dispatch/request/placement_query.h"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "dandelionscale/dispatch/prompt_text.h"

namespace dandelionscale::internal {

namespace {

constexpr std::string_view kDefaultMethod = "POST";
// Requests are placed by the hash of their id; that of a query without one is
// always the same.
constexpr std::string_view kDefaultId = "placement-query";
constexpr std::string_view kBearer = "Bearer ";

// Returns nothing if `digits` is not one byte in hexadecimal.
std::optional<char> ParseByte(std::string_view digits) {
  constexpr std::size_t kDigits = 2;
  constexpr int kHexadecimal = 16;
  std::uint8_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto [parsed_to, error] =
      std::from_chars(digits.data(), end, value, kHexadecimal);
  const bool is_whole = error == std::errc() && parsed_to == end;
  if (digits.size() != kDigits || !is_whole) return std::nullopt;
  return static_cast<char>(value);
}

// Returns nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> DecodePercent(std::string_view text) {
  constexpr std::size_t kEscapeLength = 3;
  std::string decoded;
  while (!text.empty()) {
    if (text.front() != '%') {
      decoded.push_back(text.front());
      text.remove_prefix(1);
      continue;
    }
    const auto byte = ParseByte(text.substr(1, kEscapeLength - 1));
    if (!byte) return std::nullopt;
    decoded.push_back(*byte);
    text.remove_prefix(kEscapeLength);
  }
  return decoded;
}

// A parameter that is absent is empty.
boost::leaf::result<std::string> Parameter(const HttpRequest& request,
                                           std::string_view name) {
  auto value = DecodePercent(QueryParameter(request.target, name));
  if (!value) return boost::leaf::new_error(PlacementQueryFault{name});
  return std::move(*value);
}

boost::leaf::result<std::string> RequiredParameter(const HttpRequest& request,
                                                   std::string_view name) {
  BOOST_LEAF_AUTO(value, Parameter(request, name));
  if (value.empty()) return boost::leaf::new_error(PlacementQueryFault{name});
  return value;
}

boost::leaf::result<void> ReadPrompt(const HttpRequest& request,
                                     ClientRequest& client) {
  constexpr std::string_view kName = "prefix";
  BOOST_LEAF_AUTO(model, Parameter(request, "model"));
  BOOST_LEAF_AUTO(text, Parameter(request, kName));
  if (text.empty()) return {};
  auto prefix = ParsePrefix(model, text);
  if (!prefix) return boost::leaf::new_error(PlacementQueryFault{kName});
  client.prefix = std::move(*prefix);
  client.prompt_key = PartKey(model, text);
  return {};
}

boost::leaf::result<void> ReadTokens(const HttpRequest& request,
                                     ClientRequest& client) {
  constexpr std::string_view kName = "tokens";
  BOOST_LEAF_AUTO(text, Parameter(request, kName));
  if (text.empty()) return {};
  const auto counts = ParseTokenCounts(text);
  if (!counts) return boost::leaf::new_error(PlacementQueryFault{kName});
  client.prompt_tokens = counts->prompt;
  client.max_output_tokens = counts->max_output;
  return {};
}

}  // namespace

boost::leaf::result<PlacementQuery> ParsePlacementQuery(
    const HttpRequest& request) {
  PlacementQuery query;
  ClientRequest& client = query.client;
  BOOST_LEAF_ASSIGN(client.host, RequiredParameter(request, "host"));
  BOOST_LEAF_ASSIGN(query.target, RequiredParameter(request, "path"));
  BOOST_LEAF_ASSIGN(query.method, Parameter(request, "method"));
  BOOST_LEAF_ASSIGN(client.id, Parameter(request, "id"));
  BOOST_LEAF_CHECK(ReadPrompt(request, client));
  BOOST_LEAF_CHECK(ReadTokens(request, client));
  if (query.method.empty()) query.method = kDefaultMethod;
  if (client.id.empty()) client.id = kDefaultId;
  client.path = PathOf(query.target);
  const std::string_view authorization = request.headers.Find("Authorization");
  if (authorization.starts_with(kBearer)) {
    client.key = authorization.substr(kBearer.size());
  }
  return query;
}

}  // namespace dandelionscale::internal
