#ifndef DANDELIONSCALE_CORE_PROMPT_QUARANTINE_H_
#define DANDELIONSCALE_CORE_PROMPT_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Sorted, distinct keys of prompt parts; see `PartKey()`.
using PartKeySet = std::vector<std::uint64_t>;

/// \brief A request that was sent to an engine whose connection was lost before
///        the engine began its answer: the engine may have crashed at it.
struct LostSend {
  std::uint64_t request_key = 0;  ///< Hash of the request id.
  std::uint32_t engine = 0;       ///< `ShortKey()` of the incarnation.
  std::uint32_t service = 0;      ///< Low half of the hash of its name.
  TimePoint at{};                 ///< When the connection was lost.
  /// Shared parts of the prompt that may be to blame. Parts that engines have
  /// answered since are left out.
  PartKeySet parts;
};

/// \brief An engine has begun to answer a request with this part.
struct AnsweredPart {
  std::uint64_t part = 0;
  TimePoint at{};
};

/// \brief Requests that have all of these parts are not sent to engines.
struct QuarantinedParts {
  PartKeySet parts;
  TimePoint since{};
  /// How often a trial request has failed since the first quarantine.
  std::uint32_t failed_trials = 0;
};

/// \brief What a router tells its peers.
struct QuarantineUpdate {
  std::vector<LostSend> lost_sends;
  std::vector<AnsweredPart> answered;
  std::vector<QuarantinedParts> quarantined;
};

/// \brief A change of the quarantine, for logs and metrics.
struct QuarantineChange {
  enum class Kind {
    kQuarantined,  ///< Found by this router.
    kLearned,      ///< Received from a peer or the store.
    kNarrowed,     ///< A part is not to blame after all.
    kProlonged,    ///< A trial request was lost.
    kReleased,     ///< A request with these parts was answered.
    kExpired       ///< No request came for a trial.
  };
  Kind kind = Kind::kQuarantined;
  QuarantinedParts quarantined;
  std::size_t crashes = 0;  ///< Counted for `kQuarantined`.
  double loss_rate = 0;     ///< Of other sends, for `kQuarantined`.
};

/// \returns the name used in logs.
std::string_view ToString(QuarantineChange::Kind kind);

/// \returns the number of crashes that are too many for chance if a share
///          `loss_rate` of all sends is lost and each of `routers` decides.
std::size_t RequiredCrashes(double loss_rate, std::size_t routers);

/// \brief Finds parts of prompts at which engines crash, and keeps requests
///        with such parts off engines (a "query of death").
///
/// A crash breaks all requests that the engine has in progress, of all routers.
/// Only those that it had not begun to answer can have caused it, and of their
/// parts only such as no engine has answered since: a part that crashes engines
/// is never answered, while any other is answered again soon. Routers therefore
/// share two kinds of reports, lost sends and answered parts.
///
/// A set of parts is quarantined once more engines than chance explains were
/// lost with it, one after the other, while the service went on answering other
/// requests. The set holds all parts that these sends have in common, so that a
/// sound part that always comes with the one to blame is not blocked by itself;
/// a part that is answered leaves the set.
///
/// A quarantine ends with a trial: a single request is let through. If it is
/// answered, the parts are released; if it is lost, the next trial comes later.
class PromptQuarantine {
 public:
  /// \brief Records that an engine has begun its answer to a request.
  std::vector<QuarantineChange> OnAnswered(TimePoint now,
                                           std::string_view service,
                                           std::span<const PrefixPart> prefix);
  /// \brief Records that an engine's connection was lost before it began its
  ///        answer.
  /// \param send the service may be left out.
  std::vector<QuarantineChange> OnLost(TimePoint now, std::string_view service,
                                       LostSend send);
  /// \brief Applies what a peer has sent, or what is kept in the store.
  std::vector<QuarantineChange> Apply(TimePoint now,
                                      const QuarantineUpdate& update);
  /// \brief Decides on new quarantines and ends old ones; to be called often.
  /// \param peers number of other routers, on which it depends how long reports
  ///        take to reach this one.
  std::vector<QuarantineChange> Evaluate(TimePoint now, std::size_t peers);

  /// \returns the quarantine that blocks a request, or null.
  const QuarantinedParts* Find(std::span<const PrefixPart> prefix) const;
  /// \returns the time from `now` until the trial; zero if it is due.
  static Duration TimeUntilTrial(TimePoint now,
                                 const QuarantinedParts& quarantined);
  /// \brief Asks whether a blocked request may be sent as the trial.
  /// \param rank position of this router in an order of all routers. Routers
  ///        may start trials one after the other, so that normally only one
  ///        does.
  bool TryStartTrial(TimePoint now, const QuarantinedParts& quarantined,
                     std::size_t rank);

  /// \returns what the next digest to the peers should hold.
  QuarantineUpdate TakeForDigest();
  /// \returns all quarantines, for a router that has just started.
  std::vector<QuarantinedParts> Quarantined() const;
  /// \returns true if peers should hear of a change at once.
  bool TakeUrgency();
  /// \returns the number of lost sends that are remembered.
  std::size_t LostSendCount() const { return this->lost_sends.size(); }

 private:
  // What became of this router's sends to one service.
  struct Traffic {
    double answered = 0;  ///< Decays, as `lost` does.
    double lost = 0;
    TimePoint updated_at{};
    std::uint64_t total_answered = 0;
  };
  struct Suspicion {
    LostSend send;
    bool is_own = false;  ///< This router has sent it.
    /// `Traffic::total_answered` when the send became known.
    std::uint64_t answered_before = 0;
    int digests_left = 0;  ///< Digests that still have to hold it.
  };
  struct Answer {
    TimePoint at{};
    int digests_left = 0;
    std::size_t cleared_sends = 0;  ///< Lost sends that it showed to be sound.
  };
  struct Entry {
    QuarantinedParts quarantined;
    TimePoint trial_started_at{};
    int digests_left = 0;
  };
  // Sends that have a part in common.
  struct Group {
    PartKeySet common;  ///< All parts that they have in common.
    std::set<std::uint32_t> engines;
    std::size_t crashes = 0;
    double loss_rate = 0;  ///< Of the other sends.
  };

  Traffic& TrafficOf(TimePoint now, std::uint32_t service);
  // Returns when an answer to the part began last, as far as is known.
  TimePoint AnsweredAt(std::uint64_t part) const;
  // Returns true if this router has just received answers to all of the parts.
  // They are not blocked then, whatever is said of them.
  bool IsProvenSound(TimePoint now, const PartKeySet& parts) const;
  bool IsSettled(TimePoint now, const Suspicion& suspicion);
  Group MakeGroup(TimePoint now, std::uint64_t part);
  std::optional<Group> FindGuilty(TimePoint now);
  // The suspected parts that peers should be told of next.
  std::vector<std::uint64_t> AnswersToTell() const;
  // Removes what an answer to the part proves wrong. Returns how often it was
  // suspected.
  std::size_t Exonerate(TimePoint answered_at, std::uint64_t part,
                        std::vector<QuarantineChange>& changes);
  void AddSuspicion(TimePoint now, LostSend send, bool is_own);
  void AddQuarantine(TimePoint now, QuarantinedParts quarantined,
                     const std::set<std::uint32_t>& engines);
  // Forgets the lost sends that a quarantine explains.
  void RemoveExplained(TimePoint now, const PartKeySet& parts,
                       std::set<std::uint32_t> engines);
  void Forget(TimePoint now);

  std::map<std::uint32_t, Traffic> traffic;  ///< By service.
  std::deque<Suspicion> lost_sends;          ///< Oldest first.
  std::map<std::uint64_t, Answer> answers;   ///< Of suspected parts.
  /// When this router last received an answer to a part, suspected or not.
  std::unordered_map<std::uint64_t, TimePoint> own_answers;
  /// Engines whose crash a quarantine explains, and when that was found.
  std::map<std::uint32_t, TimePoint> explained_engines;
  std::vector<Entry> entries;
  std::size_t next_repeated = 0;  ///< Rotates through `entries`.
  std::size_t routers = 1;        ///< Known at the last evaluation.
  Duration settle_time{};         ///< Age from which a lost send counts.
  bool urgent = false;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PROMPT_QUARANTINE_H_
