// What of the bytes from an engine is the answer to a request, and when its
// connection may carry another one.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "engine_response/connection_reuse.h"
#include "engine_response/following_response.h"
#include "engine_response/response_match.h"
#include "platform/platform_codec.h"

namespace dandelionscale::internal {
namespace {

EngineResponse MakeResponse(unsigned status, std::string id) {
  EngineResponse response;
  response.status = status;
  response.request_id = std::move(id);
  response.is_signed = true;
  return response;
}

TEST_CASE("a response belongs to the request whose id it echoes") {
  for (const unsigned status : {200U, 421U, 500U, 503U}) {
    CHECK(MatchResponse(MakeResponse(status, "a"), "a", true) ==
          ResponseMatch::kOwn);
    CHECK(MatchResponse(MakeResponse(status, "a"), "a", false) ==
          ResponseMatch::kOwn);
    CHECK(MatchResponse(MakeResponse(status, "b"), "a", true) ==
          ResponseMatch::kForeign);
    CHECK(MatchResponse(MakeResponse(status, ""), "a", false) ==
          ResponseMatch::kForeign);
  }
}

TEST_CASE("a failure without an id is of the only request of a connection") {
  CHECK(MatchResponse(MakeResponse(503, ""), "a", true) == ResponseMatch::kOwn);
  CHECK(MatchResponse(MakeResponse(200, ""), "a", true) ==
        ResponseMatch::kInvalid);
}

TEST_CASE("a success needs a signature and no encoding") {
  EngineResponse response = MakeResponse(200, "a");
  response.is_signed = false;
  CHECK(MatchResponse(response, "a", true) == ResponseMatch::kInvalid);
  response = MakeResponse(200, "a");
  response.has_content_encoding = true;
  CHECK(MatchResponse(response, "a", true) == ResponseMatch::kInvalid);
}

TEST_CASE("a response with conflicting ids is of no request") {
  EngineResponse response = MakeResponse(503, "a");
  response.has_conflicting_ids = true;
  CHECK(MatchResponse(response, "a", true) == ResponseMatch::kForeign);
}

ExchangeEnd CleanEnd() {
  return {true, true, true, true, false, 0, true, false};
}

TEST_CASE("a connection is reused only if nothing is left open on it") {
  CHECK(MayReuseConnection(CleanEnd()));
  for (bool ExchangeEnd::*needed :
       {&ExchangeEnd::request_written, &ExchangeEnd::response_complete,
        &ExchangeEnd::keep_alive, &ExchangeEnd::has_id,
        &ExchangeEnd::is_open}) {
    ExchangeEnd end = CleanEnd();
    end.*needed = false;
    CHECK_FALSE(MayReuseConnection(end));
  }
  ExchangeEnd end = CleanEnd();
  end.has_foreign_response = true;
  CHECK_FALSE(MayReuseConnection(end));
  end = CleanEnd();
  end.unread_bytes = 1;
  CHECK_FALSE(MayReuseConnection(end));
  end = CleanEnd();
  end.engine_draining = true;
  CHECK_FALSE(MayReuseConnection(end));
}

std::optional<std::size_t> Find(std::string_view body, std::size_t from = 0) {
  const auto head = FindFollowingHead(body, from, platform::PlatformCodec());
  return head ? std::optional<std::size_t>(head->begin) : std::nullopt;
}

TEST_CASE("a head is found by a field that marks an engine's response") {
  for (const std::string_view field : {"Request-Id: b", "request-id: b",
                                       "Response-Seal: s", "Not-Executed: 1"}) {
    CAPTURE(field);
    const std::string head = "HTTP/1.1 200 OK\r\nX: 1\r\n" + std::string(field);
    CHECK(Find("body" + head + "\r\n\r\nmore") == 4);
    // Its head may be cut.
    CHECK(Find("body" + head + "\r\nContent-") == 4);
  }
  CHECK(Find("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nRequest-Id: b\r\n") ==
        std::nullopt);
  CHECK(Find("HTTP/1.1 OK\r\nRequest-Id: b\r\n\r\n") == std::nullopt);
  CHECK(Find("HTTP/1.1 200 OK, it says\nRequest-Id, then\n") == std::nullopt);
}

// Any first body, then a second response of which any part has arrived: found
// where it begins as soon as its id is there, and never earlier.
TEST_CASE("a following response is found where it begins") {
  const bool held = rc::check([](const std::string& body) {
    RC_PRE(body.find("HTTP/") == std::string::npos && !body.ends_with("H"));
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\n";
    const std::string second = head + "Response-Seal: s\r\n\r\nother";
    const std::size_t arrived =
        *rc::gen::inRange<std::size_t>(0, second.size() + 1);
    const auto found = Find(body + second.substr(0, arrived));
    if (arrived >= head.size()) {
      RC_ASSERT(found == body.size());
    } else {
      RC_ASSERT(!found);
    }
  });
  CHECK(held);
}

TEST_CASE("broken bytes are searched without harm") {
  const bool held = rc::check([](const std::string& bytes) {
    const auto found = Find("HTTP/1." + bytes + "HTTP/1.1 " + bytes);
    RC_ASSERT(!found || *found < 2 * bytes.size() + 16);
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale::internal
