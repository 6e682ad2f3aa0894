#ifndef DANDELIONSCALE_CORE_CLAIM_H_
#define DANDELIONSCALE_CORE_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dandelionscale/core/reasons.h"

namespace dandelionscale {

/// \brief Row of the platform's table that claims one idempotency key.
struct ClaimRow {
  std::string attempt_token;
  std::uint64_t body_hash = 0;
  /// Set once the call has ended with a known answer.
  bool completed = false;
  unsigned status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const ClaimRow&) const = default;
};

std::string SerializeClaim(const ClaimRow& row);
/// \returns nothing if the text is not a claim.
std::optional<ClaimRow> ParseClaim(std::string_view text);

/// \brief Events of the claim machine.
struct ClaimInserted {};  ///< The row is ours.
struct ClaimExists {
  ClaimRow row;
};                          ///< Someone's row was there.
struct ClaimAnswerLost {};  ///< May have taken effect.
struct ClaimNotWritten {};  ///< Known not to have happened.
struct ClaimReadBack {
  std::optional<ClaimRow> row;
};
struct ClaimReadFailed {};
struct StatusLookedUp {
  std::optional<ClaimRow> result;
};  ///< Empty: not known.
using ClaimEvent =
    std::variant<ClaimInserted, ClaimExists, ClaimAnswerLost, ClaimNotWritten,
                 ClaimReadBack, ClaimReadFailed, StatusLookedUp>;

/// \brief Effects of the claim machine.
struct InsertClaim {
  ClaimRow row;
};
struct ReadClaim {};
struct RunCall {};  ///< Send it now, once.
/// \brief Another attempt holds the claim: read the row again in a moment.
struct AwaitHolder {};
struct LookUpStatus {};  ///< Ask the service.
struct ReplayAnswer {
  ClaimRow row;
};
struct RefuseCall {
  RefusalReason reason = RefusalReason::kNone;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  /// Our row may exist although the call will never be sent: remove it.
  bool release_claim = false;
};
using ClaimEffect = std::variant<InsertClaim, ReadClaim, RunCall, AwaitHolder,
                                 LookUpStatus, ReplayAnswer, RefuseCall>;

/// \brief Decides whether a non-idempotent call may be sent.
///
/// A call is sent only after its row is known to be in the table with this
/// attempt's token. A row of another attempt without an answer is never sent
/// again: its outcome is looked up where the service allows it, else unknown.
class ClaimMachine {
 public:
  /// How often a row held by another attempt is read before giving up.
  static constexpr int kHolderReads = 10;

  ClaimMachine(std::string attempt_token, std::uint64_t body_hash,
               bool status_lookup);

  ClaimEffect Start() const;
  ClaimEffect Handle(const ClaimEvent& event);

 private:
  ClaimEffect OnRow(const ClaimRow& row);

  ClaimRow own;
  bool status_lookup;
  bool running = false;
  bool saw_holder = false;
  int holder_reads_left = kHolderReads;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_CLAIM_H_
