/// \file
/// \brief Splits a server-sent event stream into events.
#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_EVENT_SPLITTER_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "engine_response/body_framing.h"

namespace dandelionscale::internal {

/// \brief What follows the events that a response has brought so far.
enum class StreamState {
  kOpen,      ///< More of its events may follow.
  kFollowed,  ///< Another response has begun behind its last event.
  kMalformed  ///< What followed can't be its next event.
};

/// \returns the name used in logs.
std::string_view ToString(StreamState state);

/// \brief Returns complete events byte for byte and records the last event id.
///
/// An event ends with an empty line; a line ends with LF, CR or CRLF. Ids that
/// are numbers increase within one response.
///
/// If only the end of the connection ends the body, an engine that sends a
/// second response sends it as part of the first body. Only there, lines that
/// are no fields of an event end the stream.
///
/// After a resumption at another engine, discards the events that were already
/// returned before.
class EventSplitter {
 public:
  /// Limit of one event. The stream is malformed if an event exceeds it.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  /// \brief The client resumes the stream after the event with this id.
  void SkipThrough(std::string_view id) { this->last_id = id; }
  /// \brief A response begins; each one after the first resumes the stream, and
  ///        an incomplete event of the one before is discarded.
  /// \param framing how the end of the response's body is marked.
  void OnResponse(BodyFraming framing);
  /// \brief Appends received bytes.
  /// \returns all events that are complete now, concatenated. There are none
  ///          once the state is not `kOpen`.
  std::string Feed(std::string_view bytes);
  StreamState State() const { return this->state; }
  /// \returns the response that has begun behind the last event, as far as its
  ///          head has arrived.
  std::string_view Following() const;
  /// \returns true if the incomplete event at the end exceeds the limit.
  bool IsEventTooLong() const { return this->pending.size() > kMaxEventBytes; }
  /// \returns true if the bytes after the last complete event begin another
  ///          one. A stream that ends here was broken off.
  bool IsInsideEvent() const;
  /// \brief The stream ended outside of an event.
  /// \returns the remaining bytes, which are empty lines.
  std::string Flush();
  /// \returns the number of received bytes that belong to no complete event
  /// yet.
  std::size_t UnfinishedBytes() const { return this->pending.size(); }
  /// \returns the memory that these bytes take.
  std::size_t UnfinishedMemory() const { return this->pending.capacity(); }
  /// \returns the id of the last event that had one; empty if none had.
  const std::string& LastId() const { return this->last_id; }
  /// \returns the number of events returned so far.
  std::uint64_t EventCount() const { return this->events; }

 private:
  // Returns true if an event with this id was returned before. An event without
  // a numeric id is never a duplicate.
  bool IsDuplicate(std::optional<std::uint64_t> number) const;
  // Returns what a whole event, or the beginning of one, shows.
  StreamState Judge(std::string_view event) const;
  StreamState JudgeUnfinished(std::string_view text) const;
  // Returns false if the id is a number that is not above the one before.
  bool IsInOrder(std::optional<std::uint64_t> number);

  std::string pending;
  std::size_t searched = 0;  ///< Bytes of `pending` without an event's end.
  std::string last_id;
  std::uint64_t events = 0;
  /// Id of the last event of the current response, if it was a number.
  std::optional<std::uint64_t> previous_number;
  StreamState state = StreamState::kOpen;
  BodyFraming framing = BodyFraming::kChunked;
  bool resumed = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_EVENT_SPLITTER_H_
