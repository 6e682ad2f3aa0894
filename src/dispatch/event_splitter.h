/// \file
/// \brief Whole events out of the bytes of an event stream.
#ifndef DANDELIONSCALE_SRC_DISPATCH_EVENT_SPLITTER_H_
#define DANDELIONSCALE_SRC_DISPATCH_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionscale::internal {

/// \brief Passes on whole events byte for byte, and knows the last one's id.
///
/// After a resumption it leaves out events that were delivered before.
class EventSplitter {
 public:
  /// \brief Appends received bytes.
  /// \returns the whole events that can be delivered now.
  std::string Take(std::string_view bytes);
  /// \brief The stream ended regularly. \returns what is left.
  std::string TakeRest();
  /// \brief The stream goes on from another engine; drops a cut-off event.
  void OnResumed();
  /// \returns the id of the last event taken; empty if it bears none.
  const std::string& LastId() const { return this->last_id; }
  /// \returns the number of events taken.
  std::uint64_t Events() const { return this->events; }

 private:
  bool IsDuplicate(std::string_view event, std::string& id) const;

  std::string pending;
  std::string last_id;
  std::uint64_t events = 0;
  bool resumed = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_EVENT_SPLITTER_H_
