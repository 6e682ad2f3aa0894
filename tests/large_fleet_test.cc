// A router with peers in two availability zones, which are sockets of the test:
// which of them is told of the prompt parts that an engine has cached.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/transport/address.h"
#include "dispatch_peer.pb.h"
#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using emulator::Script;
using emulator::SendBytes;
using std::chrono::milliseconds;

constexpr milliseconds kDigestPause(100);
constexpr milliseconds kPoll(10);
// Key of the engine with the id e0 and the start time of all engines.
std::uint64_t EngineKey() { return HashText("e0/1700000000000"); }

Script AnswerStream(const HttpRequest& request) {
  return {SendBytes{emulator::MakeStreamHead(request) +
                    emulator::MakeEventChunk(1) +
                    std::string(emulator::kStreamEnd)}};
}

// Sends digests without content to a router and keeps those that it receives.
class DigestPeer {
 public:
  DigestPeer(std::string zone, const Endpoint& router)
      : zone(std::move(zone)), router(router.address(), router.port()) {
    // The router observes an engine's cache only if it comes before its peers
    // in an order that depends on their addresses.
    do {
      this->sockets.emplace_back(this->context,
                                 udp::endpoint(router.address(), 0));
    } while (this->ComesFirst());
    this->socket().non_blocking(true);
    this->thread = std::thread([this] { this->Run(); });
  }
  ~DigestPeer() {
    this->stopped = true;
    this->thread.join();
  }
  DigestPeer(const DigestPeer&) = delete;
  DigestPeer& operator=(const DigestPeer&) = delete;

  // The digests so far, by sequence number.
  std::map<std::uint64_t, std::string> Digests() const {
    const std::lock_guard lock(this->mutex);
    return this->digests;
  }
  bool HasPlaced(std::string_view part) const {
    return this->Has(part, &wire::RouterDigest::placed_parts);
  }
  bool HasDropped(std::string_view part) const {
    return this->Has(part, &wire::RouterDigest::dropped_parts);
  }
  // True if a digest tells apart entries for all zones and for one.
  bool HasScopes() const {
    for (const auto& [sequence, bytes] : this->Digests()) {
      if (Parse(bytes).has_parts_for_all_zones()) return true;
    }
    return false;
  }

 private:
  using Parts = const google::protobuf::RepeatedField<std::uint64_t>& (
      wire::RouterDigest::*)() const;

  static wire::RouterDigest Parse(const std::string& bytes) {
    wire::RouterDigest digest;
    digest.ParseFromString(bytes);
    return digest;
  }

  udp::socket& socket() { return this->sockets.back(); }

  bool ComesFirst() {
    const udp::endpoint own = this->socket().local_endpoint();
    const auto weight = [](const Endpoint& address) {
      return RendezvousWeight(HashText(ToText(address)), EngineKey());
    };
    return weight({own.address(), own.port()}) >
           weight({this->router.address(), this->router.port()});
  }

  bool Has(std::string_view part, Parts parts) const {
    const std::uint64_t key = PartKey("m", part);
    for (const auto& [sequence, bytes] : this->Digests()) {
      const wire::RouterDigest digest = Parse(bytes);
      const auto& keys = (digest.*parts)();
      if (std::find(keys.begin(), keys.end(), key) != keys.end()) return true;
    }
    return false;
  }

  void Run() {
    auto send_at = std::chrono::steady_clock::now();
    while (!this->stopped) {
      if (std::chrono::steady_clock::now() >= send_at) {
        this->SendDigest();
        send_at += kDigestPause;
      }
      this->Receive();
      std::this_thread::sleep_for(kPoll);
    }
  }

  void SendDigest() {
    wire::RouterDigest digest;
    digest.set_router("peer-" + this->zone);
    digest.set_incarnation(1);
    digest.set_sequence(++this->sequence);
    digest.set_zone(ShortKey(HashText(this->zone)));
    boost::system::error_code ignored;
    this->socket().send_to(asio::buffer(digest.SerializeAsString()),
                           this->router, 0, ignored);
  }

  void Receive() {
    std::string bytes(65'536, '\0');
    udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t size =
        this->socket().receive_from(asio::buffer(bytes), sender, 0, error);
    if (error) return;
    bytes.resize(size);
    const std::lock_guard lock(this->mutex);
    this->digests[Parse(bytes).sequence()] = bytes;
  }

  std::string zone;
  udp::endpoint router;
  asio::io_context context;
  std::vector<udp::socket> sockets;  // All but the last one are not used.
  std::uint64_t sequence = 0;
  std::atomic<bool> stopped{false};
  mutable std::mutex mutex;
  std::map<std::uint64_t, std::string> digests;
  std::thread thread;
};

// Router 1 in the zone north, a peer there and one in the zone south, and one
// model engine.
struct Fleet : PlatformFleet {
  explicit Fleet(const std::string& settings) : PlatformFleet(0) {
    this->PutConfiguration(3);
    this->AddEngine("chat", AnswerStream);
    this->StartRouter(1, settings);
    this->WaitUntilReady(1);
    for (const char* zone : {"north", "south"}) {
      this->peers.push_back(
          std::make_unique<DigestPeer>(zone, this->PeerEndpoint(1)));
    }
    Eventually([this] {
      return !this->North().Digests().empty() &&
             !this->South().Digests().empty();
    });
  }

  DigestPeer& North() { return *this->peers[0]; }
  DigestPeer& South() { return *this->peers[1]; }

  // Sends a request with shared prompt parts, ID:TOKENS,....
  void Send(const std::string& parts) {
    const std::string id = "r" + std::to_string(++this->sent);
    const std::string answer = this->Exchange(
        1, MakeClientRequest("POST", "/stream/", id,
                             "Model: m\r\nToken-Count: 9000,40\r\n"
                             "Prompt-Prefix: " +
                                 parts + ",own" + id + ":50\r\n",
                             "x"));
    CHECK(answer.starts_with("HTTP/1.1 200"));
  }
  void SendCacheEvents(const std::string& events) {
    this->RunOnLoop([&] { this->Engine(0).SetCacheEvents(events); });
  }
  std::uint64_t PlacementBytes(const std::string& zone) {
    const std::string name =
        "\npeer_bytes_sent_total{kind=\"digest_placements\",zone=\"" + zone +
        "\"} ";
    const std::string metrics = this->Metrics(1);
    const auto at = metrics.find(name);
    return at == std::string::npos
               ? 0
               : std::stoull(metrics.substr(at + name.size()));
  }

  std::vector<std::unique_ptr<DigestPeer>> peers;
  int sent = 0;
};

// Guards against a fleet of hundreds of routers that send every new cache entry
// to all zones, and against long prefixes that only one zone knows.
TEST_CASE("with costly traffic, other zones hear of long prefixes only") {
  Fleet fleet("start.min_large_fleet=3\nrouting.zone_cost=2\n");
  fleet.Send("short:700");
  Eventually([&] { return fleet.North().HasPlaced("short"); });
  fleet.Send("long1:3000,long2:2000");
  for (DigestPeer* peer : {&fleet.North(), &fleet.South()}) {
    Eventually(
        [&] { return peer->HasPlaced("long1") && peer->HasPlaced("long2"); });
  }
  CHECK_FALSE(fleet.South().HasPlaced("short"));
  CHECK(fleet.North().HasScopes());
  CHECK_FALSE(fleet.South().HasScopes());
  const std::uint64_t other_bytes = fleet.PlacementBytes("other");
  CHECK(other_bytes > 0);
  CHECK(fleet.PlacementBytes("own") > other_bytes);

  // Neither part is a long prefix by its own tokens.
  fleet.SendCacheEvents(
      R"([[1,"-","","short",700,"m"],[2,"-","","long2",2000,"m"]])");
  for (DigestPeer* peer : {&fleet.North(), &fleet.South()}) {
    Eventually([&] { return peer->HasDropped("long2"); });
  }
  Eventually([&] { return fleet.North().HasDropped("short"); });
  CHECK_FALSE(fleet.South().HasDropped("short"));
  Eventually([&] {
    return fleet.Log(1).find("\"digest_placements_other_zone\":") !=
           std::string::npos;
  });
}

// Guards against changes of what smaller fleets send.
TEST_CASE("a smaller fleet sends the same digests to all zones") {
  Fleet fleet("");
  fleet.Send("short:700");
  fleet.Send("long1:3000,long2:2000");
  for (DigestPeer* peer : {&fleet.North(), &fleet.South()}) {
    Eventually(
        [&] { return peer->HasPlaced("short") && peer->HasPlaced("long2"); });
    CHECK_FALSE(peer->HasScopes());
  }
  const auto north = fleet.North().Digests();
  int compared = 0;
  for (const auto& [sequence, bytes] : fleet.South().Digests()) {
    const auto same = north.find(sequence);
    if (same == north.end()) continue;
    CHECK(same->second == bytes);
    ++compared;
  }
  CHECK(compared > 0);
}

// Prints the figures in docs/design/fleet-cost.md; run by its tag.
TEST_CASE("prints the size of the fields of a digest", "[.sections]") {
  Fleet fleet("");
  const auto digests = fleet.South().Digests();
  wire::RouterDigest digest;
  REQUIRE(digest.ParseFromString(digests.rbegin()->second));
  fmt::print("all {}\n", digest.ByteSizeLong());
  const auto print = [&digest](std::string_view name, const auto& clear) {
    const std::size_t before = digest.ByteSizeLong();
    clear();
    fmt::print("{} {}\n", name, before - digest.ByteSizeLong());
  };
  print("name", [&] { digest.clear_router(); });
  print("incarnation", [&] { digest.clear_incarnation(); });
  print("sequence", [&] { digest.clear_sequence(); });
  print("versions", [&] {
    digest.clear_configuration_version();
    digest.clear_engines_changed();
    digest.clear_store_era();
  });
  print("store", [&] {
    digest.clear_watcher_age_ms();
    digest.clear_view_age_ms();
    digest.clear_store_lost();
  });
  print("zone", [&] { digest.clear_zone(); });
  print("tunnel port", [&] { digest.clear_tunnel_port(); });
  fmt::print("others {}\n", digest.ByteSizeLong());
}

}  // namespace
}  // namespace dandelionscale::tests
