// Splitting of an event stream into complete events.
#include "engine_response/event_splitter.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace dandelionscale::internal {
namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) +
         "\n\n";
}

TEST_CASE("only complete events are returned") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\nda").empty());
  CHECK(splitter.Feed("ta: x\n\nid: 2\n") == "id: 1\ndata: x\n\n");
  CHECK(splitter.LastId() == "1");
  CHECK(splitter.IsInsideEvent());
  CHECK(splitter.UnfinishedBytes() == 6);
}

TEST_CASE("a stream may end after an event and empty lines only") {
  EventSplitter splitter;
  CHECK_FALSE(splitter.IsInsideEvent());
  CHECK(splitter.Feed("id: 1\n").empty());
  CHECK(splitter.IsInsideEvent());
  CHECK(splitter.Feed("\n\n") == "id: 1\n\n");
  CHECK_FALSE(splitter.IsInsideEvent());
  CHECK(splitter.Flush() == "\n");
}

TEST_CASE("a line may end with LF, CR or CRLF") {
  for (const std::string_view line_end : {"\n", "\r", "\r\n"}) {
    for (const std::string_view empty_line : {"\n", "\r", "\r\n"}) {
      // Together these are one line end.
      if (line_end == "\r" && empty_line == "\n") continue;
      std::string event = "id: 7";
      event += line_end;
      event += "data: x";
      event += line_end;
      event += empty_line;
      EventSplitter splitter;
      CHECK(splitter.Feed(event + "id: 8") == event);
      CHECK(splitter.LastId() == "7");
      CHECK(splitter.EventCount() == 1);
      CHECK(splitter.IsInsideEvent());
    }
  }
}

TEST_CASE("after a resumption incomplete and duplicate events are discarded") {
  EventSplitter splitter;
  splitter.Feed(Event(1) + Event(2) + "id: 3\ndata: cut");
  splitter.OnResumed();
  CHECK(splitter.Feed(Event(2) + Event(3) + Event(4)) == Event(3) + Event(4));
  CHECK(splitter.LastId() == "4");
  CHECK(splitter.EventCount() == 4);
}

TEST_CASE("a field before the id is preserved") {
  EventSplitter splitter;
  const std::string event = "weight-versions: 3\nid: 9\ndata: x\n\n";
  CHECK(splitter.Feed(event) == event);
  CHECK(splitter.LastId() == "9");
}

TEST_CASE("any fragmentation of the bytes gives the same events") {
  rc::check([] {
    std::string text;
    const int events = *rc::gen::inRange(0, 8);
    for (int n = 1; n <= events; ++n) text += Event(n);
    EventSplitter splitter;
    std::string taken;
    std::size_t position = 0;
    while (position < text.size()) {
      const std::size_t size =
          *rc::gen::inRange<std::size_t>(1, text.size() - position + 1);
      taken += splitter.Feed(std::string_view(text).substr(position, size));
      position += size;
    }
    RC_ASSERT(taken == text);
    RC_ASSERT(splitter.Flush().empty());
  });
}

}  // namespace
}  // namespace dandelionscale::internal
