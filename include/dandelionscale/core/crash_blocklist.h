#ifndef DANDELIONSCALE_CORE_CRASH_BLOCKLIST_H_
#define DANDELIONSCALE_CORE_CRASH_BLOCKLIST_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "dandelionscale/core/crash_report.h"

namespace dandelionscale {

/// \brief Sets of keys whose requests are kept off engines, and the probes that
///        end this.
///
/// After a time a single request is let through as a probe (half-open, as a
/// circuit breaker). If it is answered, its keys are released; if it is lost,
/// the next probe comes later.
class CrashBlocklist {
 public:
  /// \returns the entry that blocks a request with these keys, in any order, or
  ///          null.
  const BlockedKeys* Find(std::span<const std::uint64_t> keys) const;
  /// \returns the time from `now` until the next probe; zero if it is due.
  static Duration TimeUntilProbe(TimePoint now, const BlockedKeys& blocked);
  /// \brief Asks whether a blocked request may be sent as the probe.
  /// \param rank position of this router in an order of all `routers`. Routers
  ///        may start probes one after the other, so that normally only one
  ///        does.
  bool TryStartProbe(TimePoint now, const BlockedKeys& blocked,
                     std::size_t rank, std::size_t routers);

  /// \returns true if `TryStartProbe()` would start one.
  bool MayStartProbe(TimePoint now, const BlockedKeys& blocked,
                     std::size_t rank, std::size_t routers) const;

  /// \brief Adds a set of keys; removes the sets that it includes.
  void Add(BlockedKeys blocked);
  /// \brief Applies a set that a peer blocks.
  /// \returns false if no entry blocks its requests; the set is not added.
  bool Merge(const BlockedKeys& received);
  /// \brief Removes a key that an engine has begun to answer.
  /// \returns the number of entries that it was removed from.
  std::size_t OnAnswered(TimePoint answered_at, std::uint64_t key,
                         std::vector<QuarantineChange>& changes);
  /// \brief Records the loss of a request with these keys, which may have been
  ///        a probe.
  /// \returns the entry that blocks such requests, or null.
  const BlockedKeys* OnLost(TimePoint now, const RequestKeySet& keys,
                            std::vector<QuarantineChange>& changes);
  /// \brief Removes entries for which no request came.
  void Expire(TimePoint now, std::vector<QuarantineChange>& changes);

  bool IsEmpty() const { return this->entries.empty(); }
  /// \returns all entries.
  std::vector<BlockedKeys> All() const;
  /// \returns the entries that the next digest should hold. One is always
  ///          repeated, for routers that have missed it.
  std::vector<BlockedKeys> TakeForDigest();

 private:
  struct Entry {
    BlockedKeys blocked;
    TimePoint probe_started_at{};
    int digests_left = 0;
  };

  // Returns the entry that holds `blocked`, or the end.
  std::vector<Entry>::const_iterator FindEntry(
      const BlockedKeys& blocked) const;

  std::vector<Entry> entries;
  std::size_t next_repeated = 0;  ///< Rotates through `entries`.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_CRASH_BLOCKLIST_H_
