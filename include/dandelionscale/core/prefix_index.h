#ifndef DANDELIONSCALE_CORE_PREFIX_INDEX_H_
#define DANDELIONSCALE_CORE_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief One part of a prompt, as the client declares it.
struct PromptPart {
  std::string_view id;
  std::uint32_t tokens = 0;
};

/// \brief One shared part of a prompt, known by its model and id.
struct PrefixLink {
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
};

/// \returns the key of a part for a model.
std::uint64_t PartKey(std::string_view model, std::string_view id);

/// \returns the parts of a prompt in their order, without its last one, which
///          belongs to the request or its session alone.
std::vector<PrefixLink> MakePrefixLinks(std::string_view model,
                                        std::span<const PromptPart> parts);

/// \returns the tokens of all `links`.
std::uint32_t TotalTokens(std::span<const PrefixLink> links);

/// \brief A prompt part and an engine that has read it, or has dropped it.
struct PrefixPlacement {
  std::uint64_t part_key = 0;
  std::uint64_t engine_key = 0;
  bool dropped = false;
};

/// \brief An engine and the tokens of a prompt's leading parts that it holds.
struct PrefixHolding {
  std::uint64_t engine_key = 0;
  std::uint32_t tokens = 0;
};

/// \returns the tokens that the engine holds, 0 if it is not in `holdings`.
std::uint32_t TokensAt(std::span<const PrefixHolding> holdings,
                       std::uint64_t engine_key);

/// \brief Which engines hold which prompt parts.
///
/// Learnt from placements and from what engines say of their caches. An engine
/// reuses a part only if it holds all parts before it too. Bounded; the least
/// recently used parts are forgotten first, as the engines do.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t capacity) : capacity(capacity) {}

  /// \brief A peer tells that an engine reads, reuses or drops the part.
  void Apply(TimePoint now, const PrefixPlacement& placement);
  /// \brief This router itself learns that an engine reads, reuses or drops
  ///        the part.
  /// \returns true if peers have to be told: they don't know it yet, or would
  ///          soon forget the holder.
  bool Observe(TimePoint now, const PrefixPlacement& placement);
  /// \returns true if the engine is known to hold the part.
  bool Holds(std::uint64_t part_key, std::uint64_t engine_key) const;
  /// \brief The engine has lost all that it held.
  void Forget(std::uint64_t engine_key);
  /// \returns the engines that hold leading parts of a prompt, the longest
  ///          holdings first; an engine may be there more than once.
  std::vector<PrefixHolding> Holdings(TimePoint now,
                                      std::span<const PrefixLink> links) const;
  /// \returns the tokens of the leading parts that the engine holds.
  std::uint32_t HeldTokens(TimePoint now, std::span<const PrefixLink> links,
                           std::uint64_t engine_key) const;
  /// \returns what is known, at most `most` entries, for a router that starts.
  std::vector<PrefixPlacement> Known(std::size_t most) const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Holder {
    std::uint64_t engine_key = 0;
    TimePoint used_at{};
    TimePoint told_at{};  ///< When routers last told each other of it.
  };
  struct Entry {
    std::vector<Holder> holders;
    TimePoint used_at{};
  };

  Holder* Use(TimePoint now, std::uint64_t part_key, std::uint64_t engine_key);
  void Drop(std::uint64_t part_key, std::uint64_t engine_key);
  const Holder* Find(std::uint64_t part_key, std::uint64_t engine_key) const;
  void Trim();

  std::size_t capacity;
  std::unordered_map<std::uint64_t, Entry> entries;
  // Keys by first use; used ones are put back at the end when they come up.
  std::deque<std::uint64_t> order;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PREFIX_INDEX_H_
