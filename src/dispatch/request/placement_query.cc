#include "dispatch/request/placement_query.h"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/transport/http_fields.h"

namespace dandelionscale::internal {

namespace {

constexpr std::string_view kDefaultMethod = "POST";
// Requests are placed by the hash of their id; that of a query without one is
// always the same.
constexpr std::string_view kDefaultId = "placement-query";
constexpr std::string_view kBearer = "Bearer ";

std::optional<std::uint32_t> ParseNumber(std::string_view text, int base) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] =
      std::from_chars(text.data(), end, value, base);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return value;
}

// Returns nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> DecodePercent(std::string_view text) {
  constexpr std::size_t kDigits = 2;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  while (!text.empty()) {
    if (text.front() != '%') {
      decoded.push_back(text.front());
      text.remove_prefix(1);
      continue;
    }
    const std::string_view digits = text.substr(1, kDigits);
    const auto value = ParseNumber(digits, kHexadecimal);
    if (digits.size() != kDigits || !value) return std::nullopt;
    decoded.push_back(static_cast<char>(*value));
    text.remove_prefix(1 + kDigits);
  }
  return decoded;
}

// Returns nothing if an item is not `ID:TOKENS`.
std::optional<std::vector<PrefixPart>> ParsePrefixParts(std::string_view model,
                                                        std::string_view text) {
  constexpr int kDecimal = 10;
  std::vector<PromptPart> parts;
  for (std::string_view item : SplitList(text)) {
    const auto colon = item.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const auto tokens = ParseNumber(item.substr(colon + 1), kDecimal);
    if (!tokens) return std::nullopt;
    parts.push_back({item.substr(0, colon), *tokens});
  }
  return MakePrefixParts(model, parts);
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
  auto prefix = ParsePrefixParts(model, text);
  if (!prefix) return boost::leaf::new_error(PlacementQueryFault{kName});
  client.prefix = std::move(*prefix);
  client.prompt_key = PartKey(model, text);
  return {};
}

boost::leaf::result<void> ReadTokens(const HttpRequest& request,
                                     ClientRequest& client) {
  constexpr std::string_view kName = "tokens";
  constexpr int kDecimal = 10;
  BOOST_LEAF_AUTO(text, Parameter(request, kName));
  if (text.empty()) return {};
  const std::vector<std::string_view> counts = SplitList(text);
  if (counts.size() != 2) {
    return boost::leaf::new_error(PlacementQueryFault{kName});
  }
  client.prompt_tokens = ParseNumber(counts[0], kDecimal);
  client.max_output_tokens = ParseNumber(counts[1], kDecimal);
  if (!client.prompt_tokens || !client.max_output_tokens) {
    return boost::leaf::new_error(PlacementQueryFault{kName});
  }
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
