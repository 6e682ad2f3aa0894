#include "dandelionscale/core/prefix_index.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// Engines drop what they used least recently; unused prefixes are gone by then.
constexpr Duration kHolderLifetime = std::chrono::minutes(5);
// Peers hear of a holder that stays in use again after this time, so that a
// lost message or two don't let it lapse there.
constexpr Duration kTellAgainAfter = kHolderLifetime / 3;
constexpr std::size_t kMostHolders = 8;

}  // namespace

std::uint64_t PartKey(std::string_view model, std::string_view id) {
  return RendezvousWeight(HashText(id), HashText(model));
}

std::vector<PrefixLink> MakePrefixLinks(std::string_view model,
                                        std::span<const PromptPart> parts) {
  std::vector<PrefixLink> links;
  if (parts.empty()) return links;
  links.reserve(parts.size());
  for (const PromptPart& part : parts.first(parts.size() - 1)) {
    links.push_back({PartKey(model, part.id), part.tokens});
  }
  return links;
}

std::uint32_t TotalTokens(std::span<const PrefixLink> links) {
  std::uint32_t tokens = 0;
  for (const PrefixLink& link : links) tokens += link.tokens;
  return tokens;
}

std::uint32_t TokensAt(std::span<const PrefixHolding> holdings,
                       std::uint64_t engine_key) {
  for (const PrefixHolding& holding : holdings) {
    if (holding.engine_key == engine_key) return holding.tokens;
  }
  return 0;
}

void PrefixIndex::Apply(TimePoint now, const PrefixPlacement& placement) {
  if (placement.dropped) {
    this->Drop(placement.part_key, placement.engine_key);
    return;
  }
  Holder* holder = this->Use(now, placement.part_key, placement.engine_key);
  if (holder != nullptr) holder->told_at = now;
}

bool PrefixIndex::Observe(TimePoint now, const PrefixPlacement& placement) {
  const Holder* known = this->Find(placement.part_key, placement.engine_key);
  const bool is_news =
      placement.dropped
          ? known != nullptr
          : known == nullptr || now - known->told_at >= kTellAgainAfter;
  if (is_news) {
    this->Apply(now, placement);
  } else if (!placement.dropped) {
    this->Use(now, placement.part_key, placement.engine_key);
  }
  return is_news;
}

bool PrefixIndex::Holds(std::uint64_t part_key,
                        std::uint64_t engine_key) const {
  return this->Find(part_key, engine_key) != nullptr;
}

PrefixIndex::Holder* PrefixIndex::Use(TimePoint now, std::uint64_t part_key,
                                      std::uint64_t engine_key) {
  auto [found, added] = this->entries.try_emplace(part_key);
  if (added) {
    this->order.push_back(part_key);
    this->Trim();
    found = this->entries.find(part_key);
    if (found == this->entries.end()) return nullptr;
  }
  Entry& entry = found->second;
  entry.used_at = now;
  for (Holder& holder : entry.holders) {
    if (holder.engine_key != engine_key) continue;
    holder.used_at = now;
    return &holder;
  }
  if (entry.holders.size() < kMostHolders) {
    return &entry.holders.emplace_back(Holder{engine_key, now, {}});
  }
  auto oldest = std::min_element(
      entry.holders.begin(), entry.holders.end(),
      [](const Holder& a, const Holder& b) { return a.used_at < b.used_at; });
  *oldest = {engine_key, now, {}};
  return &*oldest;
}

void PrefixIndex::Forget(std::uint64_t engine_key) {
  for (auto& [key, entry] : this->entries) {
    std::erase_if(entry.holders, [engine_key](const Holder& holder) {
      return holder.engine_key == engine_key;
    });
  }
}

void PrefixIndex::Drop(std::uint64_t part_key, std::uint64_t engine_key) {
  auto found = this->entries.find(part_key);
  if (found == this->entries.end()) return;
  std::erase_if(found->second.holders, [engine_key](const Holder& holder) {
    return holder.engine_key == engine_key;
  });
}

const PrefixIndex::Holder* PrefixIndex::Find(std::uint64_t part_key,
                                             std::uint64_t engine_key) const {
  auto found = this->entries.find(part_key);
  if (found == this->entries.end()) return nullptr;
  for (const Holder& holder : found->second.holders) {
    if (holder.engine_key == engine_key) return &holder;
  }
  return nullptr;
}

std::vector<PrefixHolding> PrefixIndex::Holdings(
    TimePoint now, std::span<const PrefixLink> links) const {
  std::vector<PrefixHolding> holdings;
  for (std::size_t n = links.size(); n > 0; --n) {
    auto found = this->entries.find(links[n - 1].key);
    if (found == this->entries.end()) continue;
    // The engine read the parts before it together with this one; of a part
    // that all engines hold, only some holders are known.
    const std::uint32_t tokens = TotalTokens(links.first(n));
    for (const Holder& holder : found->second.holders) {
      if (now - holder.used_at >= kHolderLifetime) continue;
      holdings.push_back({holder.engine_key, tokens});
    }
  }
  return holdings;
}

std::uint32_t PrefixIndex::HeldTokens(TimePoint now,
                                      std::span<const PrefixLink> links,
                                      std::uint64_t engine_key) const {
  return TokensAt(this->Holdings(now, links), engine_key);
}

std::vector<PrefixPlacement> PrefixIndex::Known(std::size_t most) const {
  std::vector<PrefixPlacement> known;
  for (const auto& [part_key, entry] : this->entries) {
    for (const Holder& holder : entry.holders) {
      if (known.size() >= most) return known;
      known.push_back({part_key, holder.engine_key, false});
    }
  }
  return known;
}

void PrefixIndex::Trim() {
  std::size_t checks = this->order.size();
  while (this->entries.size() > this->capacity && checks-- > 0) {
    const std::uint64_t key = this->order.front();
    this->order.pop_front();
    auto found = this->entries.find(key);
    if (found == this->entries.end()) continue;
    // Second chance: a prefix used after its successor was added stays.
    auto next = this->order.empty() ? this->entries.end()
                                    : this->entries.find(this->order.front());
    if (next != this->entries.end() &&
        found->second.used_at > next->second.used_at) {
      this->order.push_back(key);
      continue;
    }
    this->entries.erase(found);
  }
}

}  // namespace dandelionscale
