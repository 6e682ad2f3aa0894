// Warm-ups of engines: when they begin and end, and what routers tell each
// other of them.
#include "dandelionscale/core/load/engine_warm_up.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

#include "dandelionscale/core/digest_schedule.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "platform/platform_codec.h"

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWarmUpTime(6);
constexpr TimePoint kNow = TimePoint(seconds(1000));

TEST_CASE("a warm-up ends by itself, and not early") {
  EngineWarmUp warm_up;
  CHECK_FALSE(warm_up.IsActive(kNow));
  CHECK(warm_up.Extend(kNow, seconds(4), kWarmUpTime));
  CHECK(warm_up.IsActive(kNow + seconds(4)));
  CHECK_FALSE(warm_up.IsActive(kNow + seconds(4) + EngineWarmUp::kTolerance));
}

TEST_CASE("a warm-up is extended and never shortened") {
  EngineWarmUp warm_up;
  warm_up.Extend(kNow, seconds(4), kWarmUpTime);
  CHECK_FALSE(warm_up.Extend(kNow, seconds(1), kWarmUpTime));
  CHECK_FALSE(warm_up.Extend(kNow, seconds(0), kWarmUpTime));
  CHECK(warm_up.Left(kNow) == seconds(4));
  CHECK(warm_up.Extend(kNow, seconds(5), kWarmUpTime));
  CHECK(warm_up.Left(kNow) == seconds(5));
}

TEST_CASE("a warm-up that is out of range is limited") {
  EngineWarmUp warm_up;
  warm_up.Extend(kNow, std::chrono::hours(1'000'000), kWarmUpTime);
  CHECK_FALSE(warm_up.IsActive(kNow + std::chrono::hours(1)));
}

TEST_CASE("a lost engine warms up until some time after its next answer") {
  EngineWarmUp warm_up;
  CHECK(warm_up.OnLost(kNow, kWarmUpTime));
  CHECK(warm_up.IsActive(kNow + seconds(60)));
  CHECK(warm_up.OnAnswered(kNow + seconds(60), kWarmUpTime));
  CHECK(warm_up.IsActive(kNow + seconds(66)));
  CHECK_FALSE(warm_up.IsActive(kNow + seconds(67)));
  CHECK_FALSE(warm_up.OnAnswered(kNow + seconds(67), kWarmUpTime));
}

TEST_CASE("a warm-up that began after the loss ends the loss") {
  EngineWarmUp warm_up;
  warm_up.OnLost(kNow, kWarmUpTime);
  // A peer's report of a warm-up from before the loss.
  warm_up.Extend(kNow + seconds(1), seconds(4), kWarmUpTime);
  CHECK(warm_up.LostAt());
  warm_up.Extend(kNow + seconds(2), seconds(5), kWarmUpTime);
  CHECK_FALSE(warm_up.LostAt());
}

TEST_CASE("a late report of a loss from before the warm-up is ignored") {
  EngineWarmUp warm_up;
  warm_up.Extend(kNow, kWarmUpTime, kWarmUpTime);
  CHECK_FALSE(warm_up.OnLost(kNow - seconds(1), kWarmUpTime));
  CHECK_FALSE(warm_up.LostAt());
  CHECK(warm_up.OnLost(kNow + seconds(1), kWarmUpTime));
}

TEST_CASE("peers are told of a lasting loss only every few seconds") {
  EngineWarmUp warm_up;
  int told = 0;
  for (int n = 0; n < 600; ++n) {
    if (warm_up.OnLost(kNow + milliseconds(100) * n, kWarmUpTime)) ++told;
  }
  CHECK(told >= 2);
  CHECK(told <= 13);
}

// Routers that pass on what they learn of one engine, in steps of a
// millisecond. Each report goes to a few peers, as digests do.
class NewsModel {
 public:
  NewsModel(std::size_t count, unsigned seed)
      : random(seed), routers(count), news_at(count) {}

  void Lose(std::size_t router) {
    this->OnChange(router,
                   this->routers[router].OnLost(this->now, kWarmUpTime));
  }
  void Answer(std::size_t router) {
    this->OnChange(router,
                   this->routers[router].OnAnswered(this->now, kWarmUpTime));
  }
  void Run(Duration duration) {
    const TimePoint end = this->now + duration;
    for (; this->now < end; this->now += milliseconds(1)) {
      for (std::size_t n = 0; n < this->routers.size(); ++n) this->Send(n);
      std::erase_if(this->reports, [this](const Report& report) {
        if (report.arrives_at > this->now) return false;
        EngineWarmUp& warm_up = this->routers[report.to];
        const bool extended =
            warm_up.Extend(this->now, report.left, kWarmUpTime);
        const bool lost =
            report.lost_age &&
            warm_up.OnLost(this->now - *report.lost_age, kWarmUpTime);
        this->OnChange(report.to, extended || lost);
        return true;
      });
    }
  }
  std::size_t CountActive() const {
    return static_cast<std::size_t>(std::count_if(
        this->routers.begin(), this->routers.end(),
        [this](const auto& one) { return one.IsActive(this->now); }));
  }

  TimePoint now = kNow;
  std::size_t sent = 0;  ///< Reports of all routers.

 private:
  struct Report {
    TimePoint arrives_at{};
    std::size_t to = 0;
    Duration left{};
    std::optional<Duration> lost_age;
  };

  void OnChange(std::size_t router, bool is_news) {
    if (!is_news) return;
    this->news_at[router].assign(
        {this->now + milliseconds(30), this->now + kDigestInterval});
  }
  void Send(std::size_t from) {
    auto& times = this->news_at[from];
    if (times.empty() || times.front() > this->now) return;
    times.erase(times.begin());
    const EngineWarmUp& warm_up = this->routers[from];
    Report report;
    report.left = warm_up.Left(this->now);
    if (warm_up.LostAt()) report.lost_age = this->now - *warm_up.LostAt();
    for (std::size_t n = 0; n < kDigestFanout; ++n) {
      report.to = this->random() % this->routers.size();
      report.arrives_at = this->now + milliseconds(1 + this->random() % 60);
      this->reports.push_back(report);
      ++this->sent;
    }
  }

  std::mt19937 random;
  std::vector<EngineWarmUp> routers;
  std::vector<std::vector<TimePoint>> news_at;
  std::vector<Report> reports;
};

TEST_CASE("a loss and the next answer are known everywhere, and end together") {
  constexpr std::size_t kRouters = 84;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    NewsModel model(kRouters, seed);
    model.Lose(0);
    model.Run(seconds(1));
    CHECK(model.CountActive() == kRouters);
    // The engine is down for longer than it takes to warm up. Many routers try
    // to reach it.
    for (std::size_t n = 1; n <= 20; ++n) {
      model.Lose(n);
      model.Run(milliseconds(500));
    }
    CHECK(model.CountActive() == kRouters);
    model.Answer(3);
    const TimePoint answered_at = model.now;
    // The others get their first answers later.
    for (std::size_t n = 4; n < 20; ++n) {
      model.Run(milliseconds(200));
      model.Answer(n);
    }
    model.Run(answered_at + kWarmUpTime - model.now);
    CHECK(model.CountActive() == kRouters);
    model.Run(seconds(3));
    CHECK(model.CountActive() == 0);
    // Few changes, each in two digests of every router.
    CHECK(model.sent <= 12 * 2 * kDigestFanout * kRouters);
  }
}

}  // namespace
}  // namespace dandelionscale

namespace dandelionscale::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfiguration =
    R"({"version":1,"routes":[],"services":[)"
    R"({"name":"s1","cold_s":6,"cold_per_s":17},)"
    R"({"name":"s2","cold_s":6,"cold_per_s":0}]})";

EngineRecord Record(const std::string& id, const std::string& service,
                    std::int64_t born = 1000) {
  EngineRecord record;
  record.id = id;
  record.service = service;
  record.address = "10.0.0.9:8080";
  record.availability_zone = "north";
  record.born_unix_ms = born;
  return record;
}

struct Router {
  Router() {
    this->state.ApplyConfiguration(kConfiguration, "test");
    this->Apply({Record("e1", "s1"), Record("e2", "s2")});
  }
  void Apply(const std::vector<EngineRecord>& records) {
    this->state.OnEngineChanges(
        this->state.engines.OnSnapshot(RuntimeClock::now(),
                                       {1, ++this->version}, records),
        "test");
  }
  Engine& Find(const std::string& id) {
    return *this->state.engines.Engines().at(id);
  }
  bool WarmsUp(const std::string& id) {
    const auto rate = this->state.RateOf(this->Find(id), RuntimeClock::now());
    return rate && rate->is_warm_up;
  }

  boost::asio::io_context loop;
  DispatchState state{this->loop.get_executor(),
                      {},
                      std::make_shared<platform::PlatformCodec>()};
  std::uint64_t version = 0;
};

TEST_CASE(
    "engines of the first list are warm unless their rows say otherwise") {
  Router router;
  CHECK_FALSE(router.WarmsUp("e1"));
}

TEST_CASE("a new incarnation warms up unless its row says otherwise") {
  Router router;
  EngineRecord warm = Record("e4", "s1");
  warm.warm_up_left = Duration::zero();
  router.Apply({Record("e1", "s1", 2000), Record("e2", "s2", 2000),
                Record("e3", "s1"), warm});
  CHECK(router.WarmsUp("e1"));
  CHECK(router.WarmsUp("e3"));
  CHECK_FALSE(router.WarmsUp("e4"));
  CHECK_FALSE(router.WarmsUp("e2"));
}

TEST_CASE("an engine whose row states a warm-up again is limited") {
  Router router;
  EngineRecord record = Record("e1", "s1");
  record.warm_up_left = seconds(3);
  router.Apply({record, Record("e2", "s2")});
  CHECK(router.WarmsUp("e1"));
  CHECK(router.state.engines.Listed(RuntimeClock::now()).front().warm_up_left >
        milliseconds(2000));
}

TEST_CASE("a service without a rate is not limited by any warm-up") {
  Router router;
  Engine& engine = router.Find("e2");
  router.state.OnEngineLost(engine);
  CHECK_FALSE(engine.warm_up.LostAt());
  router.state.BeginWarmUp("north");
  CHECK_FALSE(router.state.RateOf(engine, RuntimeClock::now()));
  CHECK(router.WarmsUp("e1"));
}

TEST_CASE("a zone's engines are limited once a warm-up of it begins") {
  Router router;
  router.state.BeginWarmUp("south");
  CHECK_FALSE(router.WarmsUp("e1"));
  router.state.BeginWarmUp("north");
  CHECK(router.WarmsUp("e1"));
}

TEST_CASE("a lost engine needs permits until it has answered and warmed up") {
  Router router;
  Engine& engine = router.Find("e1");
  router.state.OnEngineLost(engine);
  CHECK(router.WarmsUp("e1"));
  EngineResponse response;
  response.status = 200;
  response.wrong_engine = true;
  router.state.OnRateLimitAnswer(engine, response, RuntimeClock::now());
  CHECK(engine.warm_up.LostAt());
  response.wrong_engine = false;
  router.state.OnRateLimitAnswer(engine, response, RuntimeClock::now());
  CHECK_FALSE(engine.warm_up.LostAt());
  CHECK(router.WarmsUp("e1"));
}

TEST_CASE("a peer applies what a router reports of a warm-up") {
  Router router;
  Router peer;
  // Reports have a resolution of a millisecond.
  router.Find("e1").warm_up.OnLost(RuntimeClock::now() - milliseconds(100),
                                   seconds(6));
  wire::RateLimitReport report;
  FillRateLimit(router.Find("e1"), RuntimeClock::now(), report);
  ApplyRateLimit(peer.state, peer.Find("e1"), report, "10.0.0.1:1");
  CHECK(peer.Find("e1").warm_up.LostAt());
  CHECK(peer.state.rate_limit_news.TakeForDigest().size() == 1);
  router.state.BeginWarmUp("north");
  report.Clear();
  FillRateLimit(router.Find("e1"), RuntimeClock::now(), report);
  ApplyRateLimit(peer.state, peer.Find("e1"), report, "10.0.0.1:1");
  CHECK_FALSE(peer.Find("e1").warm_up.LostAt());
  CHECK(peer.WarmsUp("e1"));
}

// A report of a warm-up by a router that knows of no rate limit must not end
// the limit that its peer knows of.
TEST_CASE("a report of a warm-up ends no stated rate limit") {
  Router router;
  Router peer;
  peer.Find("e1").rate_limit.OnStated(RuntimeClock::now() - seconds(2), 5);
  router.state.BeginWarmUp("north");
  wire::RateLimitReport report;
  FillRateLimit(router.Find("e1"), RuntimeClock::now(), report);
  ApplyRateLimit(peer.state, peer.Find("e1"), report, "10.0.0.1:1");
  CHECK(peer.Find("e1").rate_limit.Statement() == 5);
  CHECK(peer.WarmsUp("e1"));
}

TEST_CASE("an entry of a peer of an older build states no warm-up") {
  wire::EngineEntry entry;
  FillEntry(Record("e1", "s1"), entry);
  CHECK_FALSE(ToRecord(entry).warm_up_left);
  EngineRecord warm = Record("e1", "s1");
  warm.warm_up_left = Duration::zero();
  FillEntry(warm, entry);
  CHECK(ToRecord(entry).warm_up_left == Duration::zero());
}

}  // namespace
}  // namespace dandelionscale::internal
