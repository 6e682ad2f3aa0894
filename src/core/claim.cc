#include "dandelionscale/core/claim.h"

#include <boost/json.hpp>

namespace dandelionscale {

namespace json = boost::json;

std::string SerializeClaim(const ClaimRow& row) {
  json::object object;
  object["attempt_token"] = row.attempt_token;
  object["body_hash"] = row.body_hash;
  object["completed"] = row.completed;
  if (row.completed) {
    object["status"] = row.status;
    object["content_type"] = row.content_type;
    object["body"] = row.body;
  }
  return json::serialize(object);
}

std::optional<ClaimRow> ParseClaim(std::string_view text) {
  try {
    json::value value =
        json::parse(json::string_view(text.data(), text.size()));
    ClaimRow row;
    row.attempt_token = json::value_to<std::string>(value.at("attempt_token"));
    row.body_hash = value.at("body_hash").to_number<std::uint64_t>();
    row.completed = value.at("completed").as_bool();
    if (row.completed) {
      row.status = value.at("status").to_number<unsigned>();
      row.content_type = json::value_to<std::string>(value.at("content_type"));
      row.body = json::value_to<std::string>(value.at("body"));
    }
    return row;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

ClaimStateMachine::ClaimStateMachine(std::string attempt_token,
                                     std::uint64_t body_hash,
                                     bool status_lookup)
    : status_lookup(status_lookup) {
  this->own.attempt_token = std::move(attempt_token);
  this->own.body_hash = body_hash;
}

ClaimEffect ClaimStateMachine::Start() const { return InsertClaim{this->own}; }

ClaimEffect ClaimStateMachine::OnRow(const ClaimRow& row) {
  if (row.attempt_token == this->own.attempt_token) {
    if (this->running) {
      return RefuseCall{RefusalReason::kClaimUnresolved,
                        RequestOutcome::kUnknown, false};
    }
    this->running = true;
    return RunCall{};
  }
  if (row.body_hash != this->own.body_hash) {
    return RefuseCall{RefusalReason::kIdempotencyKeyConflict,
                      RequestOutcome::kNotRun, false};
  }
  if (row.completed) return ReplayResponse{row};
  this->found_holder = true;
  if (this->holder_reads_left > 0) {
    --this->holder_reads_left;
    return AwaitHolder{};
  }
  if (this->status_lookup) return LookUpStatus{};
  return RefuseCall{RefusalReason::kClaimUnresolved, RequestOutcome::kUnknown,
                    false};
}

ClaimEffect ClaimStateMachine::Handle(const ClaimEvent& event) {
  struct Visitor {
    ClaimStateMachine& machine;

    ClaimEffect operator()(const ClaimInserted&) const {
      return this->machine.OnRow(this->machine.own);
    }
    ClaimEffect operator()(const ClaimExists& exists) const {
      return this->machine.OnRow(exists.row);
    }
    ClaimEffect operator()(const ClaimResponseLost&) const {
      return ReadClaim{};
    }
    ClaimEffect operator()(const ClaimNotWritten&) const {
      return RefuseCall{RefusalReason::kPlatformUnavailable,
                        RequestOutcome::kNotRun, false};
    }
    ClaimEffect operator()(const ClaimReadBack& read) const {
      if (read.row) return this->machine.OnRow(*read.row);
      if (this->machine.found_holder) {
        // The other attempt released its claim: its call was not run.
        this->machine.found_holder = false;
        return InsertClaim{this->machine.own};
      }
      // The insert may still take effect after the read.
      return RefuseCall{RefusalReason::kPlatformUnavailable,
                        RequestOutcome::kNotRun, true};
    }
    ClaimEffect operator()(const ClaimReadFailed&) const {
      if (this->machine.found_holder) {
        return RefuseCall{RefusalReason::kClaimUnresolved,
                          RequestOutcome::kUnknown, false};
      }
      return RefuseCall{RefusalReason::kPlatformUnavailable,
                        RequestOutcome::kNotRun, true};
    }
    ClaimEffect operator()(const StatusLookedUp& looked_up) const {
      if (looked_up.result) return ReplayResponse{*looked_up.result};
      return RefuseCall{RefusalReason::kClaimUnresolved,
                        RequestOutcome::kUnknown, false};
    }
  };
  return std::visit(Visitor{*this}, event);
}

}  // namespace dandelionscale
