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
  splitter.OnResponse(BodyFraming::kChunked);
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

std::string ResponseHead() {
  return "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nResponse-Seal: seal\r\n\r\n";
}

TEST_CASE("a response behind the last event ends an unframed stream") {
  EventSplitter splitter;
  splitter.OnResponse(BodyFraming::kUntilClose);
  CHECK(splitter.Feed(Event(1) + Event(2) + "HTT") == Event(1) + Event(2));
  CHECK(splitter.State() == StreamState::kOpen);
  CHECK(splitter.Feed("P/1.1").empty());
  CHECK(splitter.State() == StreamState::kFollowed);
  CHECK(splitter.Feed(" 200 OK\r\n\r\n" + Event(3)).empty());
  CHECK(splitter.EventCount() == 2);
}

TEST_CASE("a response inside an event breaks an unframed stream") {
  for (const std::string_view begun :
       {"id: 3\n", "id: 3\nda", "id: 3\ndata: x"}) {
    for (const std::string_view head :
         {"HTTP/1.1 200 OK\r\nRequest-Id: b\r\n\r\n",
          "HTTP/1.1 200 OK\r\nrequest-id: b\r\n\r\n"}) {
      CAPTURE(begun, head);
      EventSplitter splitter;
      splitter.OnResponse(BodyFraming::kUntilClose);
      CHECK(splitter.Feed(Event(1) + std::string(begun) + std::string(head) +
                          Event(4)) == Event(1));
      CHECK(splitter.State() == StreamState::kMalformed);
    }
  }
}

TEST_CASE("a response inside a chunked stream breaks it") {
  for (const std::string_view begun : {"", "id: 2\n", "id: 2\ndata: x"}) {
    CAPTURE(begun);
    EventSplitter splitter;
    splitter.OnResponse(BodyFraming::kChunked);
    CHECK(splitter.Feed(Event(1) + std::string(begun) + ResponseHead() +
                        Event(3)) == Event(1));
    CHECK(splitter.State() == StreamState::kMalformed);
  }
}

TEST_CASE("a byte order mark may precede an unframed stream") {
  EventSplitter splitter;
  splitter.OnResponse(BodyFraming::kUntilClose);
  const std::string events = "\xEF\xBB\xBF" + Event(1) + Event(2);
  CHECK(splitter.Feed(events) == events);
}

// Guards against a stream that ends as complete at an error text of its engine.
TEST_CASE("a word of an error text is no event of an unframed stream") {
  for (const std::string_view text :
       {"error\n\n", "timeout\r\n\r\n", "error: upstream\n\n",
        "id: 2\ndaerror\n\n"}) {
    CAPTURE(text);
    EventSplitter splitter;
    splitter.OnResponse(BodyFraming::kUntilClose);
    CHECK(splitter.Feed(Event(1) + std::string(text)) == Event(1));
    CHECK(splitter.State() == StreamState::kMalformed);
  }
  for (const std::string_view text :
       {": keep-alive\n\n", "data\n\n", "weight-versions: 3\ndata: x\n\n",
        "\n\n", "retry: 5\n\n"}) {
    CAPTURE(text);
    EventSplitter splitter;
    splitter.OnResponse(BodyFraming::kUntilClose);
    splitter.Feed(Event(1) + std::string(text));
    CHECK(splitter.State() == StreamState::kOpen);
    CHECK_FALSE(splitter.IsInsideEvent());
  }
}

TEST_CASE("the text of an event may quote a response") {
  EventSplitter splitter;
  splitter.OnResponse(BodyFraming::kUntilClose);
  const std::string events =
      ": a comment\n\nid: 1\ndata: HTTP/1.1 200 OK\ndata: Request-Id: b\n\n";
  CHECK(splitter.Feed(events) == events);
  CHECK(splitter.State() == StreamState::kOpen);
}

TEST_CASE("ids increase within a response") {
  for (const BodyFraming framing :
       {BodyFraming::kChunked, BodyFraming::kUntilClose}) {
    for (const int repeated : {1, 2}) {
      EventSplitter splitter;
      splitter.OnResponse(framing);
      CHECK(splitter.Feed(Event(1) + Event(2) + Event(repeated) + Event(3)) ==
            Event(1) + Event(2));
      CHECK(splitter.State() == StreamState::kMalformed);
    }
  }
}

// A first answer, whole or cut, and a second one, in any fragments: only events
// of the first are returned, in their order.
TEST_CASE("no byte of a second response is returned") {
  const bool held = rc::check([] {
    const int events = *rc::gen::inRange(0, 5);
    std::string own;
    for (int id = 1; id <= events; ++id) own += Event(id);
    const std::string next = Event(events + 1);
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, next.size());
    const std::string second =
        ResponseHead() + "id: " + std::to_string(events + 2) + "\ndata: b\n\n";
    const std::size_t sent =
        *rc::gen::inRange<std::size_t>(0, second.size() + 1);
    const std::string bytes =
        own + next.substr(0, cut) + second.substr(0, sent);
    EventSplitter splitter;
    splitter.OnResponse(BodyFraming::kUntilClose);
    std::string taken;
    for (std::size_t position = 0; position < bytes.size();) {
      const std::size_t size =
          *rc::gen::inRange<std::size_t>(1, bytes.size() - position + 1);
      taken += splitter.Feed(std::string_view(bytes).substr(position, size));
      position += size;
    }
    RC_ASSERT(taken == own);
    // An answer that was cut inside an event must not look whole.
    const bool looks_whole =
        splitter.State() == StreamState::kFollowed ||
        (splitter.State() == StreamState::kOpen && !splitter.IsInsideEvent());
    RC_ASSERT(cut == 0 || !looks_whole);
  });
  CHECK(held);
}

TEST_CASE("broken bytes never return more than was fed") {
  const bool held = rc::check([](const std::vector<std::string>& fragments) {
    EventSplitter splitter;
    splitter.OnResponse(*rc::gen::element(
        BodyFraming::kLength, BodyFraming::kChunked, BodyFraming::kUntilClose));
    std::string fed;
    std::string taken;
    for (const std::string& fragment : fragments) {
      fed += fragment;
      taken += splitter.Feed(fragment);
    }
    RC_ASSERT(fed.starts_with(taken));
  });
  CHECK(held);
}

TEST_CASE("any fragmentation of the bytes gives the same events") {
  const bool held = rc::check([] {
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
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale::internal
