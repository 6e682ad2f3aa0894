#ifndef DANDELIONSCALE_CORE_SESSION_MEMORY_H_
#define DANDELIONSCALE_CORE_SESSION_MEMORY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <unordered_map>

namespace dandelionscale {

/// \brief Engines that hold context of a session, newest first, by name hash.
struct WarmEngines {
  static constexpr std::size_t kCapacity = 3;
  std::array<std::uint64_t, kCapacity> hashes{};

  std::span<const std::uint64_t> All() const;
  /// \brief Moves `hash` to the front.
  void Touch(std::uint64_t hash);
  void Remove(std::uint64_t hash);
};

/// \brief Which engines are warm for which session, with bounded memory.
///
/// Holds two generations. A session moves to the young one when it is used;
/// when the young one is full, the old one is dropped.
class SessionMemory {
 public:
  /// \param capacity sessions in both generations together.
  explicit SessionMemory(std::size_t capacity)
      : generation_capacity(capacity / 2 + 1) {}

  /// \returns the warm engines of a session, null if it is not known.
  const WarmEngines* Find(std::uint64_t session_key);
  /// \brief Remembers that `engine_hash` has served the session's last turn.
  void Remember(std::uint64_t session_key, std::uint64_t engine_hash);
  void Forget(std::uint64_t session_key, std::uint64_t engine_hash);
  /// \brief Adds what a draining owner hands over, unless known already.
  void Adopt(std::uint64_t session_key, const WarmEngines& engines);
  void ForEach(const std::function<void(std::uint64_t, const WarmEngines&)>&
                   visit) const;
  std::size_t Size() const { return this->young.size() + this->old.size(); }

 private:
  WarmEngines* Promote(std::uint64_t session_key);
  void RotateIfFull();

  std::size_t generation_capacity;
  std::unordered_map<std::uint64_t, WarmEngines> young;
  std::unordered_map<std::uint64_t, WarmEngines> old;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_SESSION_MEMORY_H_
