/// \file
/// \brief How much of a second engine's answer is needed before the first
///        engine is given up for it.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_ANSWER_BEGINNING_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_ANSWER_BEGINNING_H_

#include <optional>
#include <string_view>

#include "engine_response/body_framing.h"
#include "engine_response/event_splitter.h"

namespace dandelionscale::internal {

/// \brief The beginning of an answer's body: of a stream, up to its first whole
///        event; of any other, the whole body, or a long part of it.
///
/// An engine may break off before that, and nothing of it could be delivered.
class AnswerBeginning {
 public:
  /// \brief For an answer that is no stream.
  AnswerBeginning() = default;
  /// \brief For a stream that goes on behind the events returned so far.
  AnswerBeginning(EventSplitter events, BodyFraming framing);

  /// \param fragment of the body; empty at its end.
  /// \returns false if nothing that can be delivered follows.
  bool Add(std::string_view fragment);
  /// \returns true if nothing more has to be awaited.
  bool IsEnough() const { return this->is_enough; }

 private:
  bool AddToStream(std::string_view fragment);

  std::optional<EventSplitter> events;  ///< Of a stream.
  BodyFraming framing = BodyFraming::kLength;
  std::size_t bytes = 0;
  bool is_enough = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_ANSWER_BEGINNING_H_
