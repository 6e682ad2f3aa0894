#ifndef DANDELIONSCALE_EMULATOR_PREFIX_CACHE_H_
#define DANDELIONSCALE_EMULATOR_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace dandelionscale::emulator {

/// \brief One message of a prompt.
struct PromptBlock {
  /// Hash of the prompt from its start to the end of this message.
  std::uint64_t prefix_hash = 0;
  std::uint32_t tokens = 0;  ///< Of this message alone.
};

/// \brief Cache of prompt prefixes that evicts the least recently used.
class PrefixCache {
 public:
  /// \param capacity_tokens highest number of tokens that are cached.
  explicit PrefixCache(std::uint64_t capacity_tokens)
      : capacity_tokens(capacity_tokens) {}

  /// \returns the number of tokens of the longest cached prefix of a prompt.
  /// Does not mark it as used.
  std::uint64_t Match(std::span<const PromptBlock> prompt);
  /// \brief Adds all prefixes of a prompt and marks them as used.
  void Insert(std::span<const PromptBlock> prompt);
  void Clear();

 private:
  void Touch(const PromptBlock& block);

  std::uint64_t capacity_tokens;
  std::uint64_t used_tokens = 0;
  std::list<PromptBlock> recent;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<PromptBlock>::iterator> index;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_PREFIX_CACHE_H_
