#ifndef DANDELIONSCALE_CORE_PREFIX_INDEX_H_
#define DANDELIONSCALE_CORE_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief One part of a prompt, as the client declares it.
///
/// A prompt is a sequence of parts. All but the last one are shared: other
/// requests may begin with the same parts, and an engine that has them cached
/// does not process them again.
struct PromptPart {
  std::string_view id;
  std::uint32_t tokens = 0;
};

/// \brief One shared part of a prompt.
struct PrefixPart {
  std::uint64_t key = 0;  ///< See `PartKey()`.
  std::uint32_t tokens = 0;
};

/// \returns the key of a prompt part: a hash of its model and its id.
std::uint64_t PartKey(std::string_view model, std::string_view id);

/// \returns the shared parts of a prompt in their order: all but the last one,
///          which belongs to the request or its session alone.
std::vector<PrefixPart> MakePrefixParts(std::string_view model,
                                        std::span<const PromptPart> parts);

/// \returns the sum of the tokens of all parts of `prefix`.
std::uint32_t TotalTokens(std::span<const PrefixPart> prefix);

/// \returns the keys of all parts of `prefix`, in their order.
std::vector<std::uint64_t> PartKeys(std::span<const PrefixPart> prefix);

/// \returns the keys in hexadecimal, separated by spaces, for logs.
std::string FormatPartKeys(std::span<const std::uint64_t> keys);

/// \brief The routers that an update of the prefix index is sent to.
enum class UpdateScope {
  kAllZones,
  kOwnZone  ///< Peers in the sender's availability zone only.
};

/// \brief Report that an engine has cached or reused a prompt part, or has
///        evicted it.
struct PrefixUpdate {
  std::uint64_t part_key = 0;
  std::uint64_t engine_key = 0;
  bool dropped = false;  ///< The engine has evicted the part.
  UpdateScope scope = UpdateScope::kAllZones;
};

/// \returns true if the update is sent to peers in other zones, too.
inline bool IsForAllZones(const PrefixUpdate& update) {
  return update.scope == UpdateScope::kAllZones;
}

/// \returns the scope of new entries for a prompt prefix.
/// \param prefix_tokens total of the prefix, see `TotalTokens()`.
/// \param keeps_short_in_zone traffic between zones costs more than computing a
///        short prefix once more in another zone.
UpdateScope ScopeOfPrefix(std::uint32_t prefix_tokens,
                          bool keeps_short_in_zone);

/// \brief An engine and the number of a prompt's leading tokens that it has
///        cached.
struct PrefixMatch {
  std::uint64_t engine_key = 0;
  std::uint32_t tokens = 0;
};

/// \returns the tokens of the engine's longest match; 0 if it has none.
/// \param matches longest first, as `PrefixIndex::FindMatches()` returns them.
std::uint32_t MatchedTokens(std::span<const PrefixMatch> matches,
                            std::uint64_t engine_key);

/// \brief Index of the engines that have cached each prompt part.
///
/// Filled from placements and from the cache events that engines report. An
/// engine reuses a part only if it has cached all parts before it too. The
/// index is bounded and evicts approximately the least recently used parts, as
/// the engines do.
class PrefixIndex {
 public:
  /// \param capacity prompt parts that are kept.
  explicit PrefixIndex(std::size_t capacity) : capacity(capacity) {}

  /// \brief Applies an update received from a peer: the engine has cached,
  ///        reused or evicted the part.
  void Apply(TimePoint now, const PrefixUpdate& update);
  /// \brief Applies an update that this router observed itself.
  /// \returns true if the update has to be sent to the peers: it changes the
  ///          index, the peers' entries for this holder would otherwise expire
  ///          soon, or the part was known in one zone only and the update is
  ///          for all.
  bool Observe(TimePoint now, const PrefixUpdate& update);
  /// \returns true if the engine is recorded as a holder of the part, even if
  ///          the record has expired.
  bool IsHolder(std::uint64_t part_key, std::uint64_t engine_key) const;
  /// \returns the widest scope of an update of the part so far; `kOwnZone` if
  ///          the part is not known. Evictions of the part have this scope.
  UpdateScope ScopeOf(std::uint64_t part_key) const;
  /// \brief Removes the engine from all parts: its cache is lost.
  void RemoveEngine(std::uint64_t engine_key);
  /// \returns the engines that have cached leading parts of a prompt, longest
  ///          match first; an engine may be listed more than once.
  std::vector<PrefixMatch> FindMatches(
      TimePoint now, std::span<const PrefixPart> prefix) const;
  /// \returns the tokens in the leading parts that the engine has cached.
  std::uint32_t CachedTokens(TimePoint now, std::span<const PrefixPart> prefix,
                             std::uint64_t engine_key) const;
  /// \returns at most `max_updates` updates that fill the index of a router
  ///          that has just started.
  std::vector<PrefixUpdate> Snapshot(TimePoint now,
                                     std::size_t max_updates) const;
  /// \returns the number of prompt parts in the index.
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Holder {
    std::uint64_t engine_key = 0;
    TimePoint used_at{};
    TimePoint announced_at{};  ///< Last announced by, or to, this router.
  };
  struct Entry {
    std::vector<Holder> holders;
    TimePoint used_at{};
    UpdateScope scope = UpdateScope::kOwnZone;  ///< See `ScopeOf()`.
  };

  // Records a use of the part by the engine. Returns null if the index is full
  // and the entry added for the part was itself evicted.
  Holder* RecordUse(TimePoint now, const PrefixUpdate& update);
  void RemoveHolder(std::uint64_t part_key, std::uint64_t engine_key);
  const Holder* FindHolder(std::uint64_t part_key,
                           std::uint64_t engine_key) const;
  void EvictToCapacity();

  std::size_t capacity;
  std::unordered_map<std::uint64_t, Entry> entries;
  // Part keys by first use. A key whose part was used later than that of the
  // next key moves to the back instead of being evicted (second chance).
  std::deque<std::uint64_t> eviction_order;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PREFIX_INDEX_H_
