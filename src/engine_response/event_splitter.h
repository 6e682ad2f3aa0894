/// \file
/// \brief Splits a server-sent event stream into events.
#ifndef DANDELIONSCALE_SRC_ENGINE_RESPONSE_EVENT_SPLITTER_H_
#define DANDELIONSCALE_SRC_ENGINE_RESPONSE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionscale::internal {

/// \brief Returns complete events byte for byte and records the last event id.
///
/// An event ends with an empty line; a line ends with LF, CR or CRLF.
///
/// After a resumption at another engine, discards the events that were already
/// returned before.
class EventSplitter {
 public:
  /// Limit of one event. The stream is malformed if an event exceeds it.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  /// \brief Appends received bytes.
  /// \returns all events that are complete now, concatenated.
  std::string Feed(std::string_view bytes);
  /// \returns true if the incomplete event at the end exceeds the limit.
  bool IsEventTooLong() const { return this->pending.size() > kMaxEventBytes; }
  /// \returns true if the bytes after the last complete event begin another
  ///          one. A stream that ends here was broken off.
  bool IsInsideEvent() const;
  /// \brief The stream ended outside of an event.
  /// \returns the remaining bytes, which are empty lines.
  std::string Flush();
  /// \brief Another engine continues the stream; discards an incomplete event.
  void OnResumed();
  /// \returns the number of received bytes that belong to no complete event
  /// yet.
  std::size_t UnfinishedBytes() const { return this->pending.size(); }
  /// \returns the id of the last event that had one; empty if none had.
  const std::string& LastId() const { return this->last_id; }
  /// \returns the number of events returned so far.
  std::uint64_t EventCount() const { return this->events; }
  /// \returns the number of events that have a line that is no field of an
  ///          event stream, or an id that is not above the one before.
  std::uint64_t MalformedEventCount() const { return this->malformed_events; }

 private:
  // Sets `id` to the id of `event`. Ids are compared as numbers; an event
  // without a numeric id is never a duplicate.
  bool IsDuplicate(std::string_view event, std::string& id) const;
  // Returns false if `event` can't be the next event of the current response.
  bool IsWellFormed(std::string_view event);

  std::string pending;
  std::size_t searched = 0;  ///< Bytes of `pending` without an event's end.
  std::string last_id;
  std::uint64_t events = 0;
  std::uint64_t malformed_events = 0;
  /// Id of the last event of the current response, if it was a number.
  std::optional<std::uint64_t> previous_number;
  bool resumed = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ENGINE_RESPONSE_EVENT_SPLITTER_H_
