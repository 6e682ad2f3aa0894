// Routers that get a large configuration from a peer over a slow link. Guards
// against transfers that are cut by a fixed timeout while their bytes still
// come, and begin anew.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <list>

#include "dandelionscale/transport/http_client.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/peers/snapshot_exchange.h"
#include "dispatch_peer.pb.h"
#include "platform/platform_codec.h"
#include "tests/support/configuration_text.h"
#include "tests/support/slow_link.h"

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;
using tests::ConfigurationText;
using tests::SlowLink;

constexpr double kSlowLinkBytesPerSecond = 10e6 / 8;  // 10 Mbit/s
// Bound of the platform, from the store's acknowledgement on.
constexpr Duration kBound = milliseconds(3000);
// A peer tells of its version so often.
constexpr Duration kDigestInterval = milliseconds(250);

Endpoint LoopbackEndpoint() {
  return {boost::asio::ip::address_v4::loopback(), 0};
}

// A router as far as it exchanges snapshots.
struct Router {
  Router(boost::asio::io_context& loop, std::string name,
         const std::string& configuration)
      : state(loop.get_executor(), MakeOptions(std::move(name)),
              std::make_shared<platform::PlatformCodec>()),
        exchange(this->state) {
    if (!configuration.empty()) {
      this->state.ApplyConfiguration(configuration, "store");
    }
    this->state.engines.OnSnapshot(RuntimeClock::now(), {1, 1}, {});
    this->state.engines_known = true;
  }

  static DispatchOptions MakeOptions(std::string name) {
    DispatchOptions options;
    options.name = std::move(name);
    options.peer_address = LoopbackEndpoint();
    return options;
  }

  DispatchState state;
  SnapshotExchange exchange;
};

// Routers that all know of one peer with a newer configuration, which they
// reach over one slow link.
struct Spread {
  Spread(int routers, const std::string& before, const std::string& after)
      : supplier(this->loop, "supplier", before),
        port(this->FindPort()),
        link(this->loop, this->port, kSlowLinkBytesPerSecond) {
    this->supplier.state.options.peer_address = this->port;
    REQUIRE(this->supplier.exchange.Start().has_value());
    for (int n = 0; n < routers; ++n) {
      this->routers.emplace_back(this->loop, fmt::format("r{}", n), before);
    }
    this->Settle();
    this->Apply(after);
  }

  // Lets the routers fetch the prefix index of a peer, as they do once after
  // their start.
  void Settle() {
    constexpr Duration kSettlingTime = milliseconds(300);
    this->SendDigests();
    this->loop.run_for(kSettlingTime);
  }

  void Apply(const std::string& configuration) {
    this->supplier.state.ApplyConfiguration(configuration, "store");
    this->newest = this->supplier.state.ConfigurationVersion();
  }

  std::size_t InForce() const {
    return static_cast<std::size_t>(std::count_if(
        this->routers.begin(), this->routers.end(), [this](const auto& router) {
          return router.state.ConfigurationVersion() == this->newest;
        }));
  }

  // Returns the time until the newest version is in force at all routers, or
  // `limit`.
  Duration Run(Duration limit) {
    const TimePoint began = RuntimeClock::now();
    TimePoint digest_at = began;
    while (this->InForce() < this->routers.size()) {
      const TimePoint now = RuntimeClock::now();
      if (now - began >= limit) return limit;
      if (now >= digest_at) {
        this->SendDigests();
        digest_at = now + kDigestInterval;
      }
      this->loop.run_for(milliseconds(5));
    }
    return RuntimeClock::now() - began;
  }

  void SendDigests() {
    wire::RouterDigest digest;
    digest.set_configuration_version(this->newest);
    for (Router& router : this->routers) {
      router.exchange.OnDigest(digest, ToText(this->link.Address()));
    }
  }

  Endpoint FindPort() {
    boost::asio::ip::tcp::acceptor acceptor(
        this->loop, {boost::asio::ip::address_v4::loopback(), 0});
    return {boost::asio::ip::address_v4::loopback(),
            acceptor.local_endpoint().port()};
  }

  boost::asio::io_context loop;
  Router supplier;
  Endpoint port;
  SlowLink link;
  std::list<Router> routers;
  std::uint64_t newest = 0;
};

// Load pattern: an operator adds 1,400 routes; the peers of a router on a link
// of 10 Mbit/s hear of it from that router first.
TEST_CASE("a large configuration reaches the peers over a slow link in time") {
  SECTION("four that have the version before") {
    Spread spread(4, ConfigurationText(1, 250), ConfigurationText(2, 1650));
    CHECK(spread.Run(kBound) < kBound);
  }
  SECTION("twelve that have the version before") {
    Spread spread(12, ConfigurationText(1, 250), ConfigurationText(2, 1650));
    CHECK(spread.Run(kBound) < kBound);
  }
  SECTION("four that have none, as after their start") {
    Spread spread(4, "", ConfigurationText(2, 1650));
    CHECK(spread.Run(kBound) < kBound);
  }
}

// A router of an earlier build takes the whole text only, and gives a transfer
// 0.6 s; it is served because such transfers come one after the other.
TEST_CASE("routers of an earlier build get a large configuration in time") {
  Spread spread(0, ConfigurationText(1, 250), ConfigurationText(2, 1650));
  constexpr int kRouters = 4;
  constexpr Duration kFixedTimeout = milliseconds(600);
  wire::SnapshotRequest request;
  request.set_configuration_version(1);
  request.set_engines_version(1);
  request.set_store_era(1);
  request.set_without_placements(true);
  request.set_accepts_changes(true);
  HttpClient client(spread.loop.get_executor(), nullptr);
  int served = 0;
  const auto ask = [&]() -> Awaitable<void> {
    while (true) {
      HttpRequest http_request;
      http_request.method = "POST";
      http_request.target = "/snapshot";
      http_request.body = request.SerializeAsString();
      auto response =
          co_await client.Fetch(spread.link.Address(), std::move(http_request),
                                ConnectionUse::kFresh, kFixedTimeout);
      wire::BeliefSnapshot snapshot;
      const bool is_served =
          response.has_value() && response->status == 200 &&
          snapshot.ParseFromString(response->body) &&
          snapshot.configuration() == ConfigurationText(2, 1650);
      if (is_served) break;
      const Duration pause = kDigestInterval;
      co_await SleepFor(pause);
    }
    ++served;
  };
  for (int n = 0; n < kRouters; ++n) {
    boost::asio::co_spawn(spread.loop, ask, boost::asio::detached);
  }
  spread.loop.run_for(kBound);
  CHECK(served == kRouters);
}

// Guards against routers that stay behind because each version is replaced
// before it has arrived.
TEST_CASE("configurations that change faster than they spread arrive") {
  Spread spread(4, ConfigurationText(1, 1650), ConfigurationText(2, 1650));
  for (std::uint64_t version = 3; version <= 8; ++version) {
    spread.Run(milliseconds(150));
    spread.Apply(ConfigurationText(version, 1650 + static_cast<int>(version)));
  }
  CHECK(spread.Run(kBound) < kBound);
}

}  // namespace
}  // namespace dandelionscale::internal
