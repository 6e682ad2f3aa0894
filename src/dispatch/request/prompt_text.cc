#include "dandelionscale/dispatch/prompt_text.h"

#include "dandelionscale/transport/http_fields.h"
#include "dandelionscale/transport/parse_number.h"

namespace dandelionscale {

std::optional<std::vector<PrefixPart>> ParsePrefix(std::string_view model,
                                                   std::string_view text) {
  std::vector<PromptPart> parts;
  for (std::string_view item : SplitList(text)) {
    const auto colon = item.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const auto tokens = ParseNumber<std::uint32_t>(item.substr(colon + 1));
    if (!tokens) return std::nullopt;
    parts.push_back({item.substr(0, colon), *tokens});
  }
  return MakePrefixParts(model, parts);
}

std::optional<TokenCounts> ParseTokenCounts(std::string_view text) {
  const std::vector<std::string_view> counts = SplitList(text);
  if (counts.size() != 2) return std::nullopt;
  const auto prompt = ParseNumber<std::uint32_t>(counts[0]);
  const auto max_output = ParseNumber<std::uint32_t>(counts[1]);
  if (!prompt || !max_output) return std::nullopt;
  return TokenCounts{*prompt, *max_output};
}

}  // namespace dandelionscale
