#include "dispatch/request/answer_beginning.h"

#include <utility>

namespace dandelionscale::internal {
namespace {

// Of a body that is no stream.
constexpr std::size_t kMaxBytesAhead = 64 * 1024;

}  // namespace

AnswerBeginning::AnswerBeginning(EventSplitter events, BodyFraming framing)
    : events(std::move(events)), framing(framing) {
  this->events->OnResponse(framing);
}

bool AnswerBeginning::Add(std::string_view fragment) {
  if (this->events) return this->AddToStream(fragment);
  this->bytes += fragment.size();
  this->is_enough = fragment.empty() || this->bytes >= kMaxBytesAhead;
  return true;
}

bool AnswerBeginning::AddToStream(std::string_view fragment) {
  if (!this->events->Feed(fragment).empty()) {
    this->is_enough = true;
    return true;
  }
  if (this->events->State() != StreamState::kOpen) return false;
  if (this->events->IsEventTooLong()) return false;
  if (!fragment.empty()) return true;
  // All events may have been delivered before. A connection's end alone says
  // nothing of that.
  this->is_enough = this->events->EventCount() > 0 &&
                    this->framing != BodyFraming::kUntilClose &&
                    !this->events->IsInsideEvent();
  return this->is_enough;
}

}  // namespace dandelionscale::internal
