#ifndef DANDELIONSCALE_CORE_SESSION_MEMORY_H_
#define DANDELIONSCALE_CORE_SESSION_MEMORY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <unordered_map>

namespace dandelionscale {

/// \brief Engines that may hold cached context of a session, by the hash of
/// their names, most recently used first. Unused entries are 0.
struct WarmEngines {
  static constexpr std::size_t kCapacity = 3;
  std::array<std::uint64_t, kCapacity> hashes{};

  /// \returns the used entries.
  std::span<const std::uint64_t> All() const;
  /// \brief Moves `hash` to the front, or inserts it there in place of the
  /// least recently used entry.
  void Touch(std::uint64_t hash);
  void Remove(std::uint64_t hash);
};

/// \brief Bounded cache of the engines that served each session.
///
/// Approximates least-recently-used eviction by two generations. A session
/// moves to the young generation when it is used; when that is full, the old
/// generation is dropped and the young one takes its place.
class SessionMemory {
 public:
  /// \param capacity sessions in both generations together, approximately.
  explicit SessionMemory(std::size_t capacity)
      : generation_capacity(capacity / 2 + 1) {}

  /// \returns the warm engines of a session, null if it has no entry.
  const WarmEngines* Find(std::uint64_t session_key);
  /// \brief Records that `engine_hash` served the session's last turn.
  void RecordEngine(std::uint64_t session_key, std::uint64_t engine_hash);
  /// \brief Removes an engine from a session's entry.
  void RemoveEngine(std::uint64_t session_key, std::uint64_t engine_hash);
  /// \brief Adds an entry handed over by a draining owner, unless the session
  /// has one already.
  void InsertIfAbsent(std::uint64_t session_key, const WarmEngines& engines);
  /// \brief Calls `visit` once for each session.
  void ForEach(const std::function<void(std::uint64_t, const WarmEngines&)>&
                   visit) const;
  std::size_t Size() const {
    return this->young_generation.size() + this->old_generation.size();
  }

 private:
  WarmEngines* Promote(std::uint64_t session_key);
  void RotateIfFull();

  std::size_t generation_capacity;
  std::unordered_map<std::uint64_t, WarmEngines> young_generation;
  std::unordered_map<std::uint64_t, WarmEngines> old_generation;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_SESSION_MEMORY_H_
