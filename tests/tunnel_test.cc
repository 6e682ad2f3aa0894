// Tunnels over other routers: who may carry one, and the messages.
#include <catch2/catch.hpp>

#include "tunnel/tunnel_message.h"
#include "tunnel/tunnel_peers.h"

namespace dandelionscale::tests {
namespace {

using internal::ParseTunnelRequest;
using internal::TunnelEnd;
using internal::TunnelPeers;
using internal::TunnelRefusal;
using internal::TunnelRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kService = 7;
constexpr std::uint32_t kOtherService = 8;
constexpr std::uint16_t kPort = 18341;
constexpr TimePoint kNow{seconds(1000)};

TEST_CASE("a peer that carries no tunnels is not chosen") {
  TunnelPeers peers;
  CHECK_FALSE(peers.CanReach(kNow, kService));
  peers.OnReport(kNow, "a:1", 0, {});
  CHECK_FALSE(peers.CanReach(kNow, kService));
  peers.OnReport(kNow, "a:1", kPort, {});
  CHECK(peers.Choose(kNow, kService, {}, 0) == "a:1");
  CHECK(peers.TunnelPort("a:1") == kPort);
  peers.OnPeerLost("a:1");
  CHECK_FALSE(peers.CanReach(kNow, kService));
}

TEST_CASE("a peer that is cut off from a service carries tunnels to others") {
  TunnelPeers peers;
  peers.OnReport(kNow, "a:1", kPort, std::vector{kService});
  CHECK_FALSE(peers.CanReach(kNow, kService));
  CHECK(peers.CanReach(kNow, kOtherService));
  peers.OnReport(kNow, "a:1", kPort, {});
  peers.OnRefused(kNow, "a:1", kService, TunnelRefusal::kCutOff);
  CHECK_FALSE(peers.CanReach(kNow, kService));
  CHECK(peers.CanReach(kNow, kOtherService));
  CHECK(peers.CanReach(kNow + seconds(1), kService));
}

TEST_CASE("a peer that is busy or silent is not asked for some time") {
  TunnelPeers peers;
  peers.OnReport(kNow, "a:1", kPort, {});
  peers.OnRefused(kNow, "a:1", kService, TunnelRefusal::kBusy);
  CHECK_FALSE(peers.CanReach(kNow, kOtherService));
  CHECK(peers.CanReach(kNow + milliseconds(200), kService));
  peers.OnRefused(kNow, "a:1", kService, TunnelRefusal::kNoAnswer);
  CHECK_FALSE(peers.CanReach(kNow + milliseconds(900), kService));
}

TEST_CASE("an engine that a peer does not reach says nothing of the peer") {
  TunnelPeers peers;
  peers.OnReport(kNow, "a:1", kPort, {});
  peers.OnRefused(kNow, "a:1", kService, TunnelRefusal::kUnreachable);
  peers.OnRefused(kNow, "a:1", kService, TunnelRefusal::kUnwanted);
  CHECK(peers.CanReach(kNow, kService));
}

TEST_CASE("of two peers the one with fewer open tunnels is chosen") {
  TunnelPeers peers;
  peers.OnReport(kNow, "a:1", kPort, {});
  peers.OnReport(kNow, "b:1", kPort, {});
  peers.OnOpened(kNow, "a:1");
  constexpr std::uint64_t kDrawsBoth = 1;
  CHECK(peers.Choose(kNow, kService, {}, kDrawsBoth) == "b:1");
  CHECK(peers.Choose(kNow, kService, {"b:1"}, kDrawsBoth) == "a:1");
  peers.OnClosed("a:1");
  peers.OnOpened(kNow, "b:1");
  CHECK(peers.Choose(kNow, kService, {}, kDrawsBoth) == "a:1");
  CHECK(peers.RecentCarriers(kNow + seconds(1)).size() == 2);
  CHECK(peers.RecentCarriers(kNow + seconds(3)) ==
        std::vector<std::string>{"b:1"});
}

TEST_CASE("a request for a tunnel is read as it was written") {
  const TunnelRequest request = {0xabcdef0123456789, "t-1", "r\r\nX: 1"};
  CHECK(FormatTunnelRequest(request) ==
        "CONNECT abcdef0123456789 HTTP/1.1\r\nHost: abcdef0123456789\r\n"
        "Tunnel-Id: t-1\r\nClient-Request: rX: 1\r\n\r\n");
  HttpHeaders headers;
  headers.Add("Tunnel-Id", "t-1");
  headers.Add("Client-Request", "r");
  const auto parsed = ParseTunnelRequest("abcdef0123456789", headers);
  REQUIRE(parsed);
  CHECK(parsed->engine_key == request.engine_key);
  CHECK(parsed->tunnel_id == "t-1");
  CHECK(parsed->request_id == "r");
  for (const char* target : {"", "10.0.0.1:80", "abcdef01234567890", "-1"}) {
    CAPTURE(target);
    CHECK_FALSE(ParseTunnelRequest(target, headers));
  }
  CHECK_FALSE(ParseTunnelRequest("ab", HttpHeaders()));
}

TEST_CASE("names of refusals and ends are read as they were written") {
  for (auto refusal :
       {TunnelRefusal::kNotListed, TunnelRefusal::kUnknown,
        TunnelRefusal::kUnwanted, TunnelRefusal::kCutOff, TunnelRefusal::kBusy,
        TunnelRefusal::kUnreachable, TunnelRefusal::kNoAnswer}) {
    CHECK(internal::ToTunnelRefusal(ToString(refusal)) == refusal);
  }
  for (auto end : {TunnelEnd::kEngineClosed, TunnelEnd::kEngineLost,
                   TunnelEnd::kUnknown}) {
    CHECK(internal::ToTunnelEnd(ToString(end)) == end);
  }
  CHECK(internal::ToTunnelEnd("x") == TunnelEnd::kUnknown);
}

}  // namespace
}  // namespace dandelionscale::tests
