#include "prefix_cache.h"

namespace dandelionscale::emulator {

std::uint64_t PrefixCache::Match(std::span<const PromptBlock> prompt) {
  std::uint64_t matched = 0;
  for (const PromptBlock& block : prompt) {
    if (!this->index.contains(block.prefix_hash)) break;
    matched += block.tokens;
  }
  return matched;
}

void PrefixCache::Touch(const PromptBlock& block) {
  auto found = this->index.find(block.prefix_hash);
  if (found != this->index.end()) {
    this->recent.splice(this->recent.begin(), this->recent, found->second);
    return;
  }
  this->recent.push_front(block);
  this->index[block.prefix_hash] = this->recent.begin();
  this->used_tokens += block.tokens;
}

void PrefixCache::Insert(std::span<const PromptBlock> prompt) {
  // The last message is inserted first, so that prefixes are evicted from the
  // longest to the shortest.
  for (auto block = prompt.rbegin(); block != prompt.rend(); ++block) {
    this->Touch(*block);
  }
  while (this->used_tokens > this->capacity_tokens && !this->recent.empty()) {
    const PromptBlock& oldest = this->recent.back();
    this->used_tokens -= oldest.tokens;
    this->index.erase(oldest.prefix_hash);
    this->recent.pop_back();
  }
}

void PrefixCache::Clear() {
  this->recent.clear();
  this->index.clear();
  this->used_tokens = 0;
}

}  // namespace dandelionscale::emulator
