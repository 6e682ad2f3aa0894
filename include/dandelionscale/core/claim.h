#ifndef DANDELIONSCALE_CORE_CLAIM_H_
#define DANDELIONSCALE_CORE_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dandelionscale/core/reasons.h"

namespace dandelionscale {

/// \brief Row of the platform's table that reserves an idempotency key for one
/// attempt of a call.
struct ClaimRow {
  std::string attempt_token;
  /// Hash of the request body; a request with the same key must have the same.
  std::uint64_t body_hash = 0;
  /// True once the call has ended and the fields below hold its response.
  bool completed = false;
  unsigned status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const ClaimRow&) const = default;
};

std::string SerializeClaim(const ClaimRow& row);
/// \returns nothing if the text is not a claim.
std::optional<ClaimRow> ParseClaim(std::string_view text);

/// \brief Event: the insert has written this attempt's row.
struct ClaimInserted {};
/// \brief Event: the insert found a row under the key.
struct ClaimExists {
  ClaimRow row;
};
/// \brief Event: no response to the insert; it may have taken effect.
struct ClaimResponseLost {};
/// \brief Event: the insert is known not to have taken effect.
struct ClaimNotWritten {};
/// \brief Event: the row was read; it is empty if there is none.
struct ClaimReadBack {
  std::optional<ClaimRow> row;
};
/// \brief Event: the row could not be read.
struct ClaimReadFailed {};
/// \brief Event: the service reported the call's status; empty if it has no
/// record of the call or could not be queried.
struct StatusLookedUp {
  std::optional<ClaimRow> result;
};
using ClaimEvent =
    std::variant<ClaimInserted, ClaimExists, ClaimResponseLost, ClaimNotWritten,
                 ClaimReadBack, ClaimReadFailed, StatusLookedUp>;

/// \brief Effect: insert the row unless the key has one.
struct InsertClaim {
  ClaimRow row;
};
/// \brief Effect: read the row.
struct ReadClaim {};
/// \brief Effect: send the call to an engine, once.
struct RunCall {};
/// \brief Effect: another attempt holds the claim; read the row again after a
/// delay.
struct AwaitHolder {};
/// \brief Effect: query the service for the call's status.
struct LookUpStatus {};
/// \brief Effect: return the stored response to the client.
struct ReplayResponse {
  ClaimRow row;
};
/// \brief Effect: end the call with an error.
struct RefuseCall {
  RefusalReason reason = RefusalReason::kNone;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  /// This attempt's row may exist although the call is never sent: delete it.
  bool release_claim = false;
};
using ClaimEffect = std::variant<InsertClaim, ReadClaim, RunCall, AwaitHolder,
                                 LookUpStatus, ReplayResponse, RefuseCall>;

/// \brief State machine that decides whether a non-idempotent call may be sent.
///
/// A call is sent only after its row is known to be in the table with this
/// attempt's token. If the row belongs to another attempt and has no response,
/// the call is not sent again: its outcome is queried from the service if that
/// supports it, and is unknown otherwise.
class ClaimStateMachine {
 public:
  /// Most reads of a row that another attempt holds before its outcome is
  /// queried or reported as unknown.
  static constexpr int kMaxHolderReads = 10;

  /// \param attempt_token unique per attempt.
  /// \param status_lookup whether the service can report a call's status.
  ClaimStateMachine(std::string attempt_token, std::uint64_t body_hash,
                    bool status_lookup);

  /// \returns the first effect to carry out.
  ClaimEffect Start() const;
  /// \returns the effect to carry out after `event`.
  ClaimEffect Handle(const ClaimEvent& event);

 private:
  ClaimEffect OnRow(const ClaimRow& row);

  ClaimRow own;
  bool status_lookup;
  bool running = false;
  bool found_holder = false;
  int holder_reads_left = kMaxHolderReads;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_CLAIM_H_
