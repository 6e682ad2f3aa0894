#ifndef DANDELIONSCALE_DISPATCH_PROMPT_TEXT_H_
#define DANDELIONSCALE_DISPATCH_PROMPT_TEXT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "dandelionscale/core/prefix_index.h"

namespace dandelionscale {

/// \brief Tokens of a request, as its client states them.
struct TokenCounts {
  std::uint32_t prompt = 0;
  std::uint32_t max_output = 0;
};

/// \returns the shared parts of a prompt that is given as a list of `ID:TOKENS`
///          items, or nothing if an item is malformed.
std::optional<std::vector<PrefixPart>> ParsePrefix(std::string_view model,
                                                   std::string_view text);

/// \returns the counts in a text of the form `PROMPT,MAX_OUTPUT`, or nothing if
///          it is malformed.
std::optional<TokenCounts> ParseTokenCounts(std::string_view text);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_PROMPT_TEXT_H_
