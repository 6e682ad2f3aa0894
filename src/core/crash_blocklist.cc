#include "dandelionscale/core/crash_blocklist.h"

#include <algorithm>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

constexpr std::size_t kMaxEntries = 64;
// Time until the first probe; doubles with each failed one up to the maximum.
constexpr Duration kFirstProbeDelay = std::chrono::minutes(1);
constexpr Duration kMaxProbeDelay = std::chrono::hours(1);
// Routers may start a probe this long after each other.
constexpr Duration kProbeStagger = std::chrono::seconds(2);
// The last router may start the first probe of a single request this long after
// the first router.
constexpr Duration kFirstProbeSpread = std::chrono::seconds(16);
// A router sends no second probe within this time.
constexpr Duration kProbeTimeout = std::chrono::seconds(15);
// An entry for which no request came ends this long after its probe was due.
constexpr Duration kUnusedLifetime = std::chrono::hours(1);
constexpr std::size_t kMaxEntriesPerDigest = 4;

bool IsProbedAtOnce(const BlockedKeys& blocked) {
  return blocked.is_single_request && blocked.failed_probes == 0;
}

Duration ProbeDelay(const BlockedKeys& blocked) {
  // Enough doublings to reach the maximum.
  constexpr std::uint32_t kMaxDoublings = 6;
  if (IsProbedAtOnce(blocked)) return Duration::zero();
  return std::min(
      kFirstProbeDelay * (1 << std::min(blocked.failed_probes, kMaxDoublings)),
      kMaxProbeDelay);
}

bool HasKey(std::span<const std::uint64_t> keys, std::uint64_t key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

const BlockedKeys* CrashBlocklist::Find(
    std::span<const std::uint64_t> keys) const {
  for (const Entry& entry : this->entries) {
    const RequestKeySet& blocked = entry.blocked.keys;
    const bool has_all =
        std::all_of(blocked.begin(), blocked.end(),
                    [keys](std::uint64_t key) { return HasKey(keys, key); });
    if (has_all) return &entry.blocked;
  }
  return nullptr;
}

Duration CrashBlocklist::TimeUntilProbe(TimePoint now,
                                        const BlockedKeys& blocked) {
  const TimePoint probe_at = blocked.since + ProbeDelay(blocked);
  return std::max(probe_at - now, Duration::zero());
}

bool CrashBlocklist::MayStartProbe(TimePoint now, const BlockedKeys& blocked,
                                   std::size_t rank,
                                   std::size_t routers) const {
  const Duration stagger = IsProbedAtOnce(blocked)
                               ? kFirstProbeSpread * rank / routers
                               : kProbeStagger * rank;
  const TimePoint probe_at = blocked.since + ProbeDelay(blocked) + stagger;
  const auto entry = this->FindEntry(blocked);
  if (entry == this->entries.end() || now < probe_at) return false;
  return entry->probe_started_at <= blocked.since ||
         now - entry->probe_started_at >= kProbeTimeout;
}

bool CrashBlocklist::TryStartProbe(TimePoint now, const BlockedKeys& blocked,
                                   std::size_t rank, std::size_t routers) {
  if (!this->MayStartProbe(now, blocked, rank, routers)) return false;
  const auto index = this->FindEntry(blocked) - this->entries.begin();
  this->entries[static_cast<std::size_t>(index)].probe_started_at = now;
  return true;
}

std::vector<CrashBlocklist::Entry>::const_iterator CrashBlocklist::FindEntry(
    const BlockedKeys& blocked) const {
  return std::find_if(
      this->entries.begin(), this->entries.end(),
      [&](const Entry& entry) { return &entry.blocked == &blocked; });
}

void CrashBlocklist::Add(BlockedKeys blocked) {
  // The new one blocks all requests that these block.
  std::erase_if(this->entries, [&](const Entry& entry) {
    return IsSubset(blocked.keys, entry.blocked.keys);
  });
  if (this->entries.size() >= kMaxEntries) {
    this->entries.erase(
        std::min_element(this->entries.begin(), this->entries.end(),
                         [](const Entry& a, const Entry& b) {
                           return a.blocked.since < b.blocked.since;
                         }));
  }
  this->entries.push_back({std::move(blocked), {}, kDigestsPerReport});
}

bool CrashBlocklist::Merge(const BlockedKeys& received) {
  auto known = std::find_if(
      this->entries.begin(), this->entries.end(), [&](const Entry& entry) {
        return IsSubset(entry.blocked.keys, received.keys);
      });
  if (known == this->entries.end()) return false;
  const bool is_prolonged =
      received.failed_probes > known->blocked.failed_probes;
  if (is_prolonged) {
    known->blocked.since = received.since;
    known->blocked.failed_probes = received.failed_probes;
    known->digests_left = kDigestsPerReport;
  }
  return true;
}

std::size_t CrashBlocklist::OnAnswered(TimePoint answered_at, std::uint64_t key,
                                       std::vector<QuarantineChange>& changes) {
  std::size_t count = 0;
  for (Entry& entry : this->entries) {
    BlockedKeys& blocked = entry.blocked;
    if (blocked.since >= answered_at) continue;
    if (std::erase(blocked.keys, key) == 0) continue;
    ++count;
    const bool is_empty = blocked.keys.empty();
    changes.push_back({is_empty ? QuarantineChange::Kind::kReleased
                                : QuarantineChange::Kind::kNarrowed,
                       blocked});
    if (is_empty) changes.back().blocked.keys = {key};
    entry.digests_left = kDigestsPerReport;
  }
  std::erase_if(this->entries,
                [](const Entry& entry) { return entry.blocked.keys.empty(); });
  return count;
}

const BlockedKeys* CrashBlocklist::OnLost(
    TimePoint now, const RequestKeySet& keys,
    std::vector<QuarantineChange>& changes) {
  for (Entry& entry : this->entries) {
    BlockedKeys& blocked = entry.blocked;
    if (!IsSubset(blocked.keys, keys)) continue;
    const bool was_probe = entry.probe_started_at > blocked.since;
    if (was_probe) {
      blocked.since = now;
      ++blocked.failed_probes;
      entry.digests_left = kDigestsPerReport;
      changes.push_back({QuarantineChange::Kind::kProlonged, blocked});
    }
    return &blocked;
  }
  return nullptr;
}

void CrashBlocklist::Expire(TimePoint now,
                            std::vector<QuarantineChange>& changes) {
  std::erase_if(this->entries, [&](const Entry& entry) {
    const bool is_unused =
        now - entry.blocked.since > ProbeDelay(entry.blocked) + kUnusedLifetime;
    if (is_unused) {
      changes.push_back({QuarantineChange::Kind::kExpired, entry.blocked});
    }
    return is_unused;
  });
}

std::vector<BlockedKeys> CrashBlocklist::All() const {
  std::vector<BlockedKeys> all;
  for (const Entry& entry : this->entries) all.push_back(entry.blocked);
  return all;
}

std::vector<BlockedKeys> CrashBlocklist::TakeForDigest() {
  std::vector<BlockedKeys> taken;
  for (Entry& entry : this->entries) {
    if (taken.size() >= kMaxEntriesPerDigest) break;
    if (entry.digests_left <= 0) continue;
    --entry.digests_left;
    taken.push_back(entry.blocked);
  }
  if (taken.empty() && !this->entries.empty()) {
    this->next_repeated = (this->next_repeated + 1) % this->entries.size();
    taken.push_back(this->entries[this->next_repeated].blocked);
  }
  return taken;
}

}  // namespace dandelionscale
