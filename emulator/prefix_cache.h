#ifndef DANDELIONSCALE_EMULATOR_PREFIX_CACHE_H_
#define DANDELIONSCALE_EMULATOR_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace dandelionscale::emulator {

/// \brief One message of a prompt: the hash of the prompt up to its end.
struct PromptBlock {
  std::uint64_t prefix_hash = 0;
  std::uint32_t tokens = 0;
};

/// \brief Prompt prefixes in limited memory, least recently used out first.
class PrefixCache {
 public:
  explicit PrefixCache(std::uint64_t capacity_tokens)
      : capacity_tokens(capacity_tokens) {}

  /// \returns the tokens of the longest cached prefix, and marks it as used.
  std::uint64_t Match(std::span<const PromptBlock> prompt);
  /// \brief Adds all prefixes of a prompt.
  void Insert(std::span<const PromptBlock> prompt);
  void Clear();

 private:
  void Touch(const PromptBlock& block);

  std::uint64_t capacity_tokens;
  std::uint64_t used_tokens = 0;
  std::list<PromptBlock> recent;  // newest first
  std::unordered_map<std::uint64_t, std::list<PromptBlock>::iterator> index;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_PREFIX_CACHE_H_
