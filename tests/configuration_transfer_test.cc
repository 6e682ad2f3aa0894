// Configurations that are sent compressed, or as a change of one that the
// receiver has: sound ones, and bytes that are no such thing.
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/transport/http_server.h"
#include "dispatch/configuration_history.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/peers/snapshot_exchange.h"
#include "dispatch/peers/text_compression.h"
#include "dispatch_peer.pb.h"
#include "platform/platform_codec.h"
#include "tests/support/configuration_text.h"

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;
using tests::ConfigurationText;

TEST_CASE("a text is the same after its compression") {
  const std::string before = ConfigurationText(1, 250);
  for (const std::string& text :
       {std::string(), std::string("x"), ConfigurationText(2, 250),
        ConfigurationText(3, 1650), ConfigurationText(4, 10)}) {
    for (const std::string& dictionary : {std::string(), before, text}) {
      const std::string frame = CompressText(text, dictionary);
      const auto again =
          DecompressText(frame, dictionary, kMaxConfigurationBytes);
      REQUIRE(again.has_value());
      CHECK(again.value() == text);
    }
  }
}

TEST_CASE("a change takes as many bytes as it is new") {
  const std::string before = ConfigurationText(1, 1650);
  const std::string idle = ConfigurationText(2, 1650);
  const std::string grown = ConfigurationText(2, 2250);
  constexpr std::size_t kFewBytes = 1000;
  constexpr std::size_t kNewBytes = 600 * 24;
  constexpr std::size_t kTenth = 10;
  CHECK(CompressText(idle, before).size() < kFewBytes);
  CHECK(CompressText(grown, before).size() < kNewBytes);
  CHECK(CompressText(idle, "").size() < idle.size() / kTenth);
}

TEST_CASE("bytes that are no compressed text are refused") {
  const std::string text = ConfigurationText(1, 250);
  const std::string frame = CompressText(text, "");
  const auto is_refused = [](std::string_view bytes) {
    return DecompressText(bytes, "", kMaxConfigurationBytes).has_error();
  };
  CHECK(is_refused(""));
  CHECK(is_refused("no frame"));
  CHECK(is_refused(text));
  for (std::size_t size = 0; size < frame.size(); size += 97) {
    CAPTURE(size);
    CHECK(is_refused(std::string_view(frame).substr(0, size)));
  }
  CHECK(is_refused(frame + "more"));
  // Changed bytes give an error or another text, which its hash shows.
  for (std::size_t n = 0; n < frame.size(); n += 31) {
    std::string changed = frame;
    changed[n] = static_cast<char>(changed[n] ^ 0x55);
    const auto result = DecompressText(changed, "", kMaxConfigurationBytes);
    if (result.has_value()) {
      CHECK((result.value() == text) ==
            (HashText(result.value()) == HashText(text)));
    }
  }
}

TEST_CASE("a frame of a text without end is refused before it is read") {
  constexpr std::size_t kHugeBytes = 256 * 1024 * 1024;
  const std::string frame = CompressText(std::string(kHugeBytes, 'a'), "");
  CHECK(frame.size() < kMaxConfigurationBytes);
  const auto result = DecompressText(frame, "", kMaxConfigurationBytes);
  REQUIRE(result.has_error());
  CHECK(result.error().kind == FaultKind::kMessageTooLarge);
}

TEST_CASE("a configuration is encoded for a base that is known") {
  ConfigurationHistory history;
  CHECK(history.Current().empty());
  std::vector<std::uint64_t> hashes;
  for (std::uint64_t version = 1; version <= 20; ++version) {
    history.OnInForce(ConfigurationText(version, 1650));
    hashes.push_back(history.CurrentHash());
  }
  const EncodedConfiguration& change = history.Encode(hashes[18]);
  CHECK(change.base_hash == hashes[18]);
  CHECK(&history.Encode(hashes[18]) == &change);
  const EncodedConfiguration& whole = history.Encode(std::nullopt);
  CHECK_FALSE(whole.base_hash);
  CHECK(whole.frame.size() > change.frame.size());
  // The first one is forgotten.
  CHECK(&history.Encode(hashes[0]) == &whole);
  CHECK(&history.Encode(7) == &whole);
  CHECK_FALSE(history.Find(hashes[0]));
  CHECK(history.Find(hashes[19]) == history.Current());
}

TEST_CASE("earlier configurations take a limited amount of memory") {
  ConfigurationHistory history;
  history.OnInForce(ConfigurationText(1, 10'000));
  const std::uint64_t first = history.CurrentHash();
  history.OnInForce(ConfigurationText(2, 10'000));
  CHECK(history.Find(first));
  history.OnInForce(ConfigurationText(3, 10'000));
  CHECK_FALSE(history.Find(first));
}

// A router with a configuration, and a peer that answers as a test says.
struct Exchange {
  Exchange()
      : peer(this->loop.get_executor(), HttpServerLimits(),
             [this](HttpExchange& exchange) { return this->Serve(exchange); }),
        address(this->peer.Listen({boost::asio::ip::address_v4::loopback(), 0})
                    .value()),
        state(this->loop.get_executor(), {},
              std::make_shared<platform::PlatformCodec>()),
        exchange(this->state) {
    this->state.ApplyConfiguration(this->before, "store");
    this->state.engines.OnSnapshot(RuntimeClock::now(), {1, 1}, {});
    this->state.engines_known = true;
  }

  Awaitable<void> Serve(HttpExchange& http) {
    wire::SnapshotRequest request;
    REQUIRE(request.ParseFromString(http.Request().body));
    this->requests.push_back(request);
    wire::BeliefSnapshot snapshot;
    snapshot.set_configuration_version(2);
    if (request.accepts_compressed()) {
      this->fill(snapshot);
    } else {
      snapshot.set_configuration(this->after);
    }
    HttpResponse response;
    response.body = snapshot.SerializeAsString();
    co_await http.Respond(std::move(response));
  }

  void Run() {
    wire::RouterDigest digest;
    digest.set_configuration_version(2);
    this->exchange.OnDigest(digest, ToText(this->address));
    const TimePoint end = RuntimeClock::now() + std::chrono::seconds(10);
    while (this->state.ConfigurationVersion() < 2 &&
           RuntimeClock::now() < end) {
      this->loop.run_for(milliseconds(5));
    }
  }

  std::string before = ConfigurationText(1, 250);
  std::string after = ConfigurationText(2, 300);
  std::vector<wire::SnapshotRequest> requests;
  std::function<void(wire::BeliefSnapshot&)> fill;
  boost::asio::io_context loop;
  HttpServer peer;
  Endpoint address;
  DispatchState state;
  SnapshotExchange exchange;
};

TEST_CASE("a change of the configuration that a router has is applied") {
  Exchange test;
  test.fill = [&](wire::BeliefSnapshot& snapshot) {
    snapshot.set_compressed_configuration(
        CompressText(test.after, test.before));
    snapshot.set_base_hash(HashText(test.before));
    snapshot.set_configuration_hash(HashText(test.after));
  };
  test.Run();
  CHECK(test.state.configurations.Current() == test.after);
  REQUIRE(test.requests.size() == 1);
  CHECK(test.requests[0].configuration_hash() == HashText(test.before));
}

TEST_CASE("the whole configuration is fetched if a change does not apply") {
  Exchange test;
  const std::string frame = CompressText(test.after, test.before);
  wire::BeliefSnapshot odd;
  odd.set_compressed_configuration(frame);
  odd.set_base_hash(HashText(test.before));
  odd.set_configuration_hash(HashText(test.after));
  SECTION("its hash differs") {
    odd.set_configuration_hash(HashText(test.before));
  }
  SECTION("it changes a text that the router does not have") {
    odd.set_base_hash(17);
  }
  SECTION("it has no base") { odd.clear_base_hash(); }
  SECTION("its bytes are cut") {
    odd.set_compressed_configuration(frame.substr(0, frame.size() / 2));
  }
  SECTION("it states a text without end") {
    odd.set_compressed_configuration(
        CompressText(std::string(2 * kMaxConfigurationBytes, 'a'), ""));
    odd.clear_base_hash();
  }
  test.fill = [&](wire::BeliefSnapshot& snapshot) { snapshot.MergeFrom(odd); };
  test.Run();
  CHECK(test.state.configurations.Current() == test.after);
  REQUIRE(test.requests.size() == 2);
  CHECK(test.requests[0].accepts_compressed());
  CHECK_FALSE(test.requests[1].accepts_compressed());
  CHECK(test.state.metrics.ToPrometheus().find(
            "peer_configurations_refused_total 1") != std::string::npos);
}

// A router of an earlier build sends the whole text in any case.
TEST_CASE("a configuration that is not compressed is taken") {
  Exchange test;
  test.fill = [&](wire::BeliefSnapshot& snapshot) {
    snapshot.set_configuration(test.after);
  };
  test.Run();
  CHECK(test.state.configurations.Current() == test.after);
}

}  // namespace
}  // namespace dandelionscale::internal
