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

/// \brief A prompt up to and including one shared part.
///
/// An engine reuses a part only if it holds all parts before it too, so that
/// parts are known by the whole chain that ends with them.
struct PrefixLink {
  std::uint64_t key = 0;     ///< Hash of the model and all parts so far.
  std::uint32_t tokens = 0;  ///< Tokens of all parts so far.
};

/// \returns the links of a prompt, shortest first, without its last part, which
///          belongs to the request or its session alone.
std::vector<PrefixLink> MakePrefixLinks(std::string_view model,
                                        std::span<const PromptPart> parts);

/// \brief A prompt prefix and the engine that has read it.
struct PrefixPlacement {
  std::uint64_t prefix_key = 0;
  std::uint64_t engine_key = 0;
};

/// \brief Which engines hold which prompt prefixes, as far as placements tell.
///
/// Bounded; the least recently used prefixes are forgotten first, as the
/// engines do.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t capacity) : capacity(capacity) {}

  /// \brief An engine reads or reuses the prefix.
  void OnPlaced(TimePoint now, std::uint64_t prefix_key,
                std::uint64_t engine_key);
  /// \brief The engine has lost all that it held.
  void Forget(std::uint64_t engine_key);
  /// \returns the tokens of the longest prefix that the engine holds.
  std::uint32_t HeldTokens(TimePoint now, std::span<const PrefixLink> links,
                           std::uint64_t engine_key) const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Holder {
    std::uint64_t engine_key = 0;
    TimePoint used_at{};
  };
  struct Entry {
    std::vector<Holder> holders;
    TimePoint used_at{};
  };

  void Trim();

  std::size_t capacity;
  std::unordered_map<std::uint64_t, Entry> entries;
  // Keys by first use; used ones are put back at the end when they come up.
  std::deque<std::uint64_t> order;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PREFIX_INDEX_H_
