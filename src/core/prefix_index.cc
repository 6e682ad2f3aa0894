#include "dandelionscale/core/prefix_index.h"

#include <fmt/format.h>

#include <algorithm>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/load/placement.h"

namespace dandelionscale {
namespace {

// Engines evict their least recently used parts; a part that is unused for this
// long counts as evicted.
constexpr Duration kHolderLifetime = std::chrono::minutes(5);
// A holder that stays in use is announced to the peers again after this time.
// One or two lost announcements do not let it expire there.
constexpr Duration kReannounceInterval = kHolderLifetime / 3;
constexpr std::size_t kMaxHoldersPerPart = 8;

}  // namespace

std::uint64_t PartKey(std::string_view model, std::string_view id) {
  return RendezvousWeight(HashText(id), HashText(model));
}

std::vector<PrefixPart> MakePrefixParts(std::string_view model,
                                        std::span<const PromptPart> parts) {
  std::vector<PrefixPart> prefix;
  if (parts.empty()) return prefix;
  prefix.reserve(parts.size());
  for (const PromptPart& part : parts.first(parts.size() - 1)) {
    prefix.push_back({PartKey(model, part.id), part.tokens});
  }
  return prefix;
}

std::uint32_t TotalTokens(std::span<const PrefixPart> prefix) {
  // Beyond any prompt; further additions to it do not overflow.
  constexpr std::uint64_t kMaxTokens = 1'000'000'000;
  std::uint64_t tokens = 0;
  for (const PrefixPart& part : prefix) tokens += part.tokens;
  return static_cast<std::uint32_t>(std::min(tokens, kMaxTokens));
}

std::vector<std::uint64_t> PartKeys(std::span<const PrefixPart> prefix) {
  std::vector<std::uint64_t> keys;
  keys.reserve(prefix.size());
  for (const PrefixPart& part : prefix) keys.push_back(part.key);
  return keys;
}

std::string FormatPartKeys(std::span<const std::uint64_t> keys) {
  return fmt::format("{:x}", fmt::join(keys, " "));
}

std::uint32_t MatchedTokens(std::span<const PrefixMatch> matches,
                            std::uint64_t engine_key) {
  for (const PrefixMatch& match : matches) {
    if (match.engine_key == engine_key) return match.tokens;
  }
  return 0;
}

UpdateScope ScopeOfPrefix(std::uint32_t prefix_tokens,
                          bool keeps_short_in_zone) {
  const bool is_short = prefix_tokens < kMinLongPrefixTokens;
  return keeps_short_in_zone && is_short ? UpdateScope::kOwnZone
                                         : UpdateScope::kAllZones;
}

void PrefixIndex::Apply(TimePoint now, const PrefixUpdate& update) {
  if (update.dropped) {
    this->RemoveHolder(update.part_key, update.engine_key);
    return;
  }
  Holder* holder = this->RecordUse(now, update);
  if (holder != nullptr) holder->announced_at = now;
}

bool PrefixIndex::Observe(TimePoint now, const PrefixUpdate& update) {
  const Holder* holder = this->FindHolder(update.part_key, update.engine_key);
  const bool is_wider = update.scope == UpdateScope::kAllZones &&
                        this->ScopeOf(update.part_key) == UpdateScope::kOwnZone;
  const bool must_announce =
      update.dropped ? holder != nullptr
                     : holder == nullptr || is_wider ||
                           now - holder->announced_at >= kReannounceInterval;
  if (must_announce) {
    this->Apply(now, update);
  } else if (!update.dropped) {
    this->RecordUse(now, update);
  }
  return must_announce;
}

bool PrefixIndex::IsHolder(std::uint64_t part_key,
                           std::uint64_t engine_key) const {
  return this->FindHolder(part_key, engine_key) != nullptr;
}

UpdateScope PrefixIndex::ScopeOf(std::uint64_t part_key) const {
  auto found = this->entries.find(part_key);
  return found == this->entries.end() ? UpdateScope::kOwnZone
                                      : found->second.scope;
}

PrefixIndex::Holder* PrefixIndex::RecordUse(TimePoint now,
                                            const PrefixUpdate& update) {
  const std::uint64_t part_key = update.part_key;
  const std::uint64_t engine_key = update.engine_key;
  auto [found, added] = this->entries.try_emplace(part_key);
  if (added) {
    this->eviction_order.push_back(part_key);
    this->EvictToCapacity();
    found = this->entries.find(part_key);
    if (found == this->entries.end()) return nullptr;
  }
  Entry& entry = found->second;
  entry.used_at = now;
  if (update.scope == UpdateScope::kAllZones) entry.scope = update.scope;
  for (Holder& holder : entry.holders) {
    if (holder.engine_key != engine_key) continue;
    holder.used_at = now;
    return &holder;
  }
  if (entry.holders.size() < kMaxHoldersPerPart) {
    return &entry.holders.emplace_back(Holder{engine_key, now, {}});
  }
  auto oldest = std::min_element(
      entry.holders.begin(), entry.holders.end(),
      [](const Holder& a, const Holder& b) { return a.used_at < b.used_at; });
  *oldest = {engine_key, now, {}};
  return &*oldest;
}

void PrefixIndex::RemoveEngine(std::uint64_t engine_key) {
  for (auto& [key, entry] : this->entries) {
    std::erase_if(entry.holders, [engine_key](const Holder& holder) {
      return holder.engine_key == engine_key;
    });
  }
}

void PrefixIndex::RemoveHolder(std::uint64_t part_key,
                               std::uint64_t engine_key) {
  auto found = this->entries.find(part_key);
  if (found == this->entries.end()) return;
  std::erase_if(found->second.holders, [engine_key](const Holder& holder) {
    return holder.engine_key == engine_key;
  });
}

const PrefixIndex::Holder* PrefixIndex::FindHolder(
    std::uint64_t part_key, std::uint64_t engine_key) const {
  auto found = this->entries.find(part_key);
  if (found == this->entries.end()) return nullptr;
  for (const Holder& holder : found->second.holders) {
    if (holder.engine_key == engine_key) return &holder;
  }
  return nullptr;
}

std::vector<PrefixMatch> PrefixIndex::FindMatches(
    TimePoint now, std::span<const PrefixPart> prefix) const {
  std::vector<PrefixMatch> matches;
  for (std::size_t n = prefix.size(); n > 0; --n) {
    auto found = this->entries.find(prefix[n - 1].key);
    if (found == this->entries.end()) continue;
    // An engine that has cached this part has read the parts before it too, so
    // these are counted without a look-up. Their own lists of holders may lack
    // the engine: a part that all engines have cached has more holders than
    // kMaxHoldersPerPart.
    const std::uint32_t tokens = TotalTokens(prefix.first(n));
    for (const Holder& holder : found->second.holders) {
      if (now - holder.used_at >= kHolderLifetime) continue;
      matches.push_back({holder.engine_key, tokens});
    }
  }
  return matches;
}

std::uint32_t PrefixIndex::CachedTokens(TimePoint now,
                                        std::span<const PrefixPart> prefix,
                                        std::uint64_t engine_key) const {
  return MatchedTokens(this->FindMatches(now, prefix), engine_key);
}

std::vector<PrefixUpdate> PrefixIndex::Snapshot(TimePoint now,
                                                std::size_t max_updates) const {
  std::vector<PrefixUpdate> updates;
  for (const auto& [part_key, entry] : this->entries) {
    for (const Holder& holder : entry.holders) {
      if (updates.size() >= max_updates) return updates;
      // The receiver would count an expired holder as used now.
      if (now - holder.used_at >= kHolderLifetime) continue;
      updates.push_back({part_key, holder.engine_key, false, entry.scope});
    }
  }
  return updates;
}

void PrefixIndex::EvictToCapacity() {
  std::size_t checks_left = this->eviction_order.size();
  while (this->entries.size() > this->capacity && checks_left-- > 0) {
    const std::uint64_t key = this->eviction_order.front();
    this->eviction_order.pop_front();
    auto found = this->entries.find(key);
    if (found == this->entries.end()) continue;
    // Second chance: a part that was used later than the next one in the order
    // moves to the back instead of being evicted.
    auto next = this->eviction_order.empty()
                    ? this->entries.end()
                    : this->entries.find(this->eviction_order.front());
    if (next != this->entries.end() &&
        found->second.used_at > next->second.used_at) {
      this->eviction_order.push_back(key);
      continue;
    }
    this->entries.erase(found);
  }
}

}  // namespace dandelionscale
