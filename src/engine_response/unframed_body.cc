#include "engine_response/unframed_body.h"

#include <algorithm>

namespace dandelionscale::internal {
namespace {

bool HasSameFields(const EngineResponse& one, const EngineResponse& other) {
  return std::equal(
      one.end_to_end.Fields().begin(), one.end_to_end.Fields().end(),
      other.end_to_end.Fields().begin(), other.end_to_end.Fields().end(),
      [](const HttpHeader& left, const HttpHeader& right) {
        return left.name == right.name && left.value == right.value;
      });
}

// Returns true if the response is a copy of the own one, as far as it has
// arrived.
bool RepeatsOwnResponse(const FollowingHead& head, const HeadContext& context) {
  const std::string_view before = context.body.substr(0, head.begin);
  const std::string_view after = context.body.substr(head.end);
  const bool has_same_head = head.response.status == context.response->status &&
                             head.response.is_signed &&
                             HasSameFields(head.response, *context.response);
  if (has_same_head)
    return before.starts_with(after) || after.starts_with(before);
  return !before.empty() && after.starts_with(before);
}

bool BeginsLine(std::string_view body, std::size_t position) {
  return position == 0 || body[position - 1] == '\n';
}

// Engines sign what they have run and say what they have not.
bool StatesOutcome(const EngineResponse& response) {
  return response.is_signed || response.not_run;
}

HeadMeaning JudgeForeignHead(const FollowingHead& head,
                             const HeadContext& context) {
  const bool begins_line = BeginsLine(context.body, head.begin);
  const bool is_unmarked = head.is_whole && !StatesOutcome(head.response);
  if (is_unmarked) {
    const bool is_quote = begins_line && context.named == NamedRequest::kNever;
    return is_quote ? HeadMeaning::kQuote : HeadMeaning::kUnclear;
  }
  const bool is_broken_off = head.end == context.body.size();
  const bool is_response = !begins_line && context.is_only_request &&
                           (head.is_whole || is_broken_off);
  return is_response ? HeadMeaning::kResponse : HeadMeaning::kUnclear;
}

}  // namespace

std::string_view ToString(NamedRequest named) {
  switch (named) {
    case NamedRequest::kCurrent:
      return "current";
    case NamedRequest::kEarlier:
      return "earlier";
    case NamedRequest::kNever:
      return "never";
    case NamedRequest::kNone:
      return "none";
  }
  return "none";
}

std::string_view ToString(HeadMeaning meaning) {
  switch (meaning) {
    case HeadMeaning::kQuote:
      return "quote";
    case HeadMeaning::kResponse:
      return "response";
    case HeadMeaning::kUnclear:
      return "unclear";
  }
  return "unclear";
}

NamedRequest FindNamedRequest(const EngineResponse& response,
                              std::string_view request_id,
                              bool may_be_earlier) {
  if (response.request_id.empty()) return NamedRequest::kNone;
  if (response.has_conflicting_ids) return NamedRequest::kEarlier;
  if (response.request_id == request_id) return NamedRequest::kCurrent;
  return may_be_earlier ? NamedRequest::kEarlier : NamedRequest::kNever;
}

std::optional<HeadMeaning> JudgeHead(const FollowingHead& head,
                                     const HeadContext& context) {
  if (!head.is_whole && !context.at_end) return std::nullopt;
  switch (context.named) {
    case NamedRequest::kCurrent:
      if (head.is_whole && RepeatsOwnResponse(head, context)) {
        return HeadMeaning::kResponse;
      }
      if (!context.at_end) return std::nullopt;
      return HeadMeaning::kUnclear;
    case NamedRequest::kEarlier:
      return HeadMeaning::kUnclear;
    case NamedRequest::kNever:
    case NamedRequest::kNone:
      return JudgeForeignHead(head, context);
  }
  return HeadMeaning::kUnclear;
}

}  // namespace dandelionscale::internal
