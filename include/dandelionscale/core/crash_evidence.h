#ifndef DANDELIONSCALE_CORE_CRASH_EVIDENCE_H_
#define DANDELIONSCALE_CORE_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/crash_report.h"

namespace dandelionscale {

/// \returns the number of crashes that are too many for chance if a share
///          `loss_rate` of all sends is lost and each of `routers` decides.
std::size_t RequiredCrashes(double loss_rate, std::size_t routers);

/// \brief Keys that all requests of a series of lost sends have.
struct CrashCandidate {
  RequestKeySet keys;               ///< All that they have in common.
  std::set<std::uint32_t> engines;  ///< Where they were lost.
  std::size_t crashes = 0;
  double loss_rate = 0;  ///< Of the other sends.
};

/// \brief Lost sends and answers of all routers, and which requests they show
///        to crash engines.
///
/// A crash breaks all requests that the engine has in progress, of all routers.
/// Only those that it had not begun to answer can have caused it, and of their
/// keys only such as no engine has answered since: a request that crashes
/// engines is never answered, while any other is answered again soon. Routers
/// therefore share two kinds of reports, lost sends and answered keys.
class CrashEvidence {
 public:
  /// \brief Records that this router has received an answer to a request with
  ///        these keys.
  void OnOwnAnswer(TimePoint now, std::string_view service,
                   std::span<const std::uint64_t> keys);
  /// \brief Removes a key from the sends that were lost before the answer.
  /// \returns the number of these sends.
  std::size_t Clear(TimePoint answered_at, std::uint64_t key);
  /// \brief Records an answer that clears `cleared` reports, for the peers.
  void ReportAnswer(TimePoint answered_at, std::uint64_t key,
                    std::size_t cleared);
  /// \brief Records an answer that a peer reports.
  /// \returns false if a later one is known.
  bool OnReportedAnswer(const AnsweredKey& answered);

  /// \brief Counts a lost send of this router to a service.
  void OnOwnLoss(TimePoint now, std::string_view service);
  /// \returns the lost send without the keys that engines have answered since,
  ///          of which peers are told.
  LostSend WithoutAnswered(LostSend send);
  /// \brief Adds such a send, unless it is known, old or accounted for.
  /// \param is_own this router has sent it.
  /// \returns true if it was added.
  bool Add(TimePoint now, LostSend send, bool is_own);
  /// \brief Forgets the lost sends with all of these keys and those of the same
  ///        engines and of `engines`: their crash is accounted for.
  void Account(TimePoint now, const RequestKeySet& keys,
               std::set<std::uint32_t> engines);

  /// \brief Sets the number of other routers, on which it depends how long
  ///        reports take to reach this one.
  void SetPeerCount(std::size_t peers);
  /// \returns the age from which a lost send counts: answers that clear it are
  ///          known by then.
  Duration SettleTime() const { return this->settle_time; }
  /// \returns the keys that crash engines, or nothing.
  std::optional<CrashCandidate> FindCandidate(TimePoint now);
  /// \returns true if this router has just received answers to all of the keys.
  ///          They are not blocked then, whatever is reported of them.
  bool WereJustAnswered(TimePoint now, const RequestKeySet& keys) const;
  /// \returns when an answer to the key began last, as far as is known.
  TimePoint AnsweredAt(std::uint64_t key) const;
  /// \brief Forgets what is too old.
  void Expire(TimePoint now);

  /// \brief Adds what the next digest should hold.
  void TakeForDigest(QuarantineUpdate& update);
  /// \returns the number of lost sends that are remembered.
  std::size_t LostSendCount() const { return this->losses.size(); }

 private:
  // What became of this router's sends to one service.
  struct Traffic {
    double answered = 0;  ///< Decays, as `lost` does.
    double lost = 0;
    TimePoint updated_at{};
    std::uint64_t total_answered = 0;
  };
  struct Loss {
    LostSend send;
    bool is_own = false;  ///< This router has sent it.
    /// `Traffic::total_answered` when the send became known.
    std::uint64_t answered_before = 0;
    int digests_left = 0;  ///< Digests that still have to hold it.
  };
  struct Answer {
    TimePoint at{};
    int digests_left = 0;
    std::size_t cleared = 0;  ///< Reports that it has cleared.
  };

  Traffic& TrafficOf(TimePoint now, std::uint32_t service);
  bool IsSettled(TimePoint now, const Loss& loss);
  bool IsKnown(const LostSend& send) const;
  // Returns the candidate for the sends that have this key in common.
  CrashCandidate MakeCandidate(TimePoint now, std::uint64_t key);
  // The answered keys that peers should be told of next.
  std::vector<std::uint64_t> AnswersToReport() const;

  std::map<std::uint32_t, Traffic> traffic;  ///< By service.
  std::deque<Loss> losses;                   ///< Oldest first.
  std::map<std::uint64_t, Answer> answers;   ///< Of keys with lost sends.
  /// When this router last received an answer to a key.
  std::unordered_map<std::uint64_t, TimePoint> own_answers;
  /// Engines whose crash is accounted for, and when that was found.
  std::map<std::uint32_t, TimePoint> accounted_engines;
  std::size_t routers = 1;
  Duration settle_time{};  ///< Age from which a lost send counts.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_CRASH_EVIDENCE_H_
