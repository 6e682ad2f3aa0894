// Whole events out of a stream's bytes.
#include "dispatch/event_splitter.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace dandelionscale::internal {
namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) +
         "\n\n";
}

TEST_CASE("only whole events are passed on") {
  EventSplitter splitter;
  CHECK(splitter.Take("id: 1\nda").empty());
  CHECK(splitter.Take("ta: x\n\nid: 2\n") == "id: 1\ndata: x\n\n");
  CHECK(splitter.LastId() == "1");
  CHECK(splitter.TakeRest() == "id: 2\n");
}

TEST_CASE("after a resumption a cut-off event and known ones are left out") {
  EventSplitter splitter;
  splitter.Take(Event(1) + Event(2) + "id: 3\ndata: cut");
  splitter.OnResumed();
  CHECK(splitter.Take(Event(2) + Event(3) + Event(4)) == Event(3) + Event(4));
  CHECK(splitter.LastId() == "4");
  CHECK(splitter.Events() == 4);
}

TEST_CASE("a first line before the id is kept") {
  EventSplitter splitter;
  const std::string event = "weight-versions: 3\nid: 9\ndata: x\n\n";
  CHECK(splitter.Take(event) == event);
  CHECK(splitter.LastId() == "9");
}

TEST_CASE("any division of the bytes gives the same events") {
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
      taken += splitter.Take(std::string_view(text).substr(position, size));
      position += size;
    }
    RC_ASSERT(taken == text);
    RC_ASSERT(splitter.TakeRest().empty());
  });
}

}  // namespace
}  // namespace dandelionscale::internal
