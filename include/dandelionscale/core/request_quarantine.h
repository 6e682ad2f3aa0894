#ifndef DANDELIONSCALE_CORE_REQUEST_QUARANTINE_H_
#define DANDELIONSCALE_CORE_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "dandelionscale/core/crash_blocklist.h"
#include "dandelionscale/core/crash_evidence.h"
#include "dandelionscale/core/crash_report.h"
#include "dandelionscale/core/lost_requests.h"

namespace dandelionscale {

/// \brief Finds requests at which engines crash (a "query of death"), and keeps
///        them off engines.
///
/// Joins `CrashEvidence`, `LostRequests` and `CrashBlocklist`. Keys are blocked
/// once more engines than chance explains were lost with them, one after the
/// other, while the service went on answering other requests. All keys that
/// these sends have in common are blocked together, so that a sound key that
/// always comes with the crashing one is not blocked by itself; a key that is
/// answered leaves the set. A request that is lost at one engine after the
/// other is blocked by itself.
class RequestQuarantine {
 public:
  /// \brief Records that an engine has begun its answer to a request.
  std::vector<QuarantineChange> OnAnswered(TimePoint now,
                                           std::string_view service,
                                           std::span<const std::uint64_t> keys);
  /// \brief Records that an engine's connection was lost before it began its
  ///        answer.
  /// \param send the service may be left out, and keys be in any order.
  /// \param fingerprint of the whole request.
  std::vector<QuarantineChange> OnLost(TimePoint now, std::string_view service,
                                       LostSend send,
                                       std::uint64_t fingerprint = 0);
  /// \brief Applies what a peer has sent, or what is kept in the store.
  std::vector<QuarantineChange> Apply(TimePoint now,
                                      const QuarantineUpdate& update);
  /// \brief Blocks new keys and ends old entries; to be called often.
  /// \param peers number of other routers.
  std::vector<QuarantineChange> Evaluate(TimePoint now, std::size_t peers);

  /// \returns the entry that blocks a request with these keys, or null.
  const BlockedKeys* Find(std::span<const std::uint64_t> keys) const {
    return this->blocklist.Find(keys);
  }
  /// \brief As `CrashBlocklist::MayStartProbe()`.
  bool MayStartProbe(TimePoint now, const BlockedKeys& blocked,
                     std::size_t rank, std::size_t routers) const {
    return this->blocklist.MayStartProbe(now, blocked, rank, routers);
  }
  /// \brief As `CrashBlocklist::TryStartProbe()`.
  bool TryStartProbe(TimePoint now, const BlockedKeys& blocked,
                     std::size_t rank, std::size_t routers) {
    return this->blocklist.TryStartProbe(now, blocked, rank, routers);
  }

  /// \returns what the next digest to the peers should hold.
  QuarantineUpdate TakeForDigest();
  /// \returns all entries, for a router that has just started.
  std::vector<BlockedKeys> Blocked() const { return this->blocklist.All(); }
  /// \returns true if peers should hear of a change at once.
  bool TakeUrgency();
  /// \returns the number of lost sends that are remembered.
  std::size_t LostSendCount() const { return this->evidence.LostSendCount(); }

 private:
  // Removes what an answer to the key proves wrong. Returns the number of
  // reports and entries that had it.
  std::size_t Clear(TimePoint answered_at, std::uint64_t key,
                    std::vector<QuarantineChange>& changes);
  void OnRequestLost(TimePoint now, const LostRequest& lost,
                     std::vector<QuarantineChange>& changes);
  void AddLoss(TimePoint now, LostSend send, bool is_own);
  void ApplyAnswer(const AnsweredKey& answered,
                   std::vector<QuarantineChange>& changes);
  void ApplyBlocked(TimePoint now, BlockedKeys blocked,
                    std::vector<QuarantineChange>& changes);

  // Blocks single requests that crash engines.
  void BlockCrashingRequests(TimePoint now,
                             std::vector<QuarantineChange>& changes);

  CrashEvidence evidence;
  LostRequests lost_requests;
  CrashBlocklist blocklist;
  bool urgent = false;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_REQUEST_QUARANTINE_H_
