// How many requests a fleet sends to an engine that limits its rate, in a model
// of routers that ask the engine's issuer for permits: the limit is kept while
// issuers fail and come back, and it is used.
#include "dandelionscale/core/load/rate_permits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/load/engine_rate_limit.h"
#include "tests/support/rate_limit_rule.h"

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The maintainers' aim: the part of the rate that is used while there is work.
constexpr double kMinUse = 0.9;

constexpr milliseconds kResponseTimeout(80);
constexpr milliseconds kSilenceTime(1000);
constexpr milliseconds kOneWay(4);

// One engine and its routers, in steps of a millisecond. Router 0 comes first
// in the order by which issuers are chosen, router 1 second, and so on.
class PermitModel {
 public:
  PermitModel(std::size_t count, RateInForce rate, double demand, unsigned seed)
      : rate(rate), demand(demand), random(seed), routers(count) {
    for (Router& router : this->routers) {
      router.knows_alive.assign(kOrdered, true);
      router.limit.OnStated(this->now, rate.per_second);
    }
  }

  void Run(Duration duration) {
    const TimePoint end = this->now + duration;
    for (; this->now < end; this->now += milliseconds(1)) {
      this->LearnWhoLives();
      const int arrivals =
          std::poisson_distribution<int>(this->demand / 1000)(this->random);
      for (int n = 0; n < arrivals && this->HasDemand(); ++n) this->Arrive();
      while (!this->messages.empty() &&
             this->messages.front().at <= this->now) {
        const Message message = this->messages.front();
        this->messages.pop_front();
        this->Handle(message);
      }
    }
  }

  // A router stops: it issues and sends nothing. The others notice when they
  // have heard no digest for the timeout.
  void Stop(std::size_t router) {
    this->routers[router].runs = false;
    this->ScheduleNews(router, false, PeerTimeout(this->routers.size() - 1));
  }
  // It runs again. The others hear its next digests.
  void Resume(std::size_t router) {
    this->routers[router].runs = true;
    this->routers[router].resumed_at = this->now;
    std::erase_if(this->news,
                  [router](const News& item) { return item.router == router; });
    this->ScheduleNews(router, true,
                       DigestRotationPeriod(this->routers.size() - 1));
  }

  std::size_t MostInWindow(TimePoint from,
                           Duration window = tests::kRateWindow) {
    std::sort(this->sends.begin(), this->sends.end());
    return tests::MostInWindow(this->sends, from, window);
  }
  double SentSince(TimePoint from) const {
    return static_cast<double>(
        std::count_if(this->sends.begin(), this->sends.end(),
                      [from](TimePoint sent_at) { return sent_at >= from; }));
  }

  TimePoint now = TimePoint(seconds(1000));
  double loss = 0.002;  ///< Share of the datagrams that are lost.
  /// Clients send requests in surges. At the beginning of each, all hosts hold
  /// the requests back for this time, so that their permits are used at once.
  Duration hold_time{};

 private:
  // Only the first routers in order are ever asked.
  static constexpr std::size_t kOrdered = 4;

  struct Router {
    bool runs = true;
    TimePoint resumed_at = TimePoint(seconds(0));
    RatePermits permits;
    EngineRateLimit limit;
    std::vector<bool> knows_alive;  ///< Of the first routers in order.
    std::vector<TimePoint> lost_at = std::vector<TimePoint>(kOrdered);
    std::vector<TimePoint> silent_until = std::vector<TimePoint>(kOrdered);
  };
  struct Message {
    TimePoint at{};
    std::size_t from = 0;
    std::size_t to = 0;
    enum class Kind { kRequest, kResponse, kTimeout } kind = Kind::kRequest;
    PermitDecision decision;
    std::uint64_t id = 0;
  };
  struct News {
    TimePoint at{};
    std::size_t listener = 0;
    std::size_t router = 0;
    bool alive = false;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  // Returns the time since the last surge began.
  Duration SurgePhase() const {
    constexpr Duration kSurgeInterval = seconds(3);
    return this->now.time_since_epoch() % kSurgeInterval;
  }
  bool HasDemand() const {
    return this->hold_time == Duration::zero() ||
           this->SurgePhase() < this->hold_time + seconds(1);
  }

  void ScheduleNews(std::size_t router, bool alive, Duration latest) {
    for (std::size_t n = 0; n < this->routers.size(); ++n) {
      const auto delay = std::chrono::duration_cast<Duration>(
          latest * (alive ? this->Uniform() : 0.6 + 0.4 * this->Uniform()));
      this->news.push_back({this->now + delay, n, router, alive});
    }
  }
  void LearnWhoLives() {
    std::erase_if(this->news, [this](const News& item) {
      if (item.at > this->now) return false;
      Router& listener = this->routers[item.listener];
      listener.knows_alive[item.router] = item.alive;
      listener.lost_at[item.router] = item.alive ? TimePoint{} : this->now;
      return true;
    });
  }

  void Arrive() {
    const std::size_t index = this->random() % this->routers.size();
    Router& router = this->routers[index];
    if (!router.runs || !router.limit.MayAsk(this->now)) return;
    std::size_t issuer = index;
    for (std::size_t n = 0; n < std::min(kOrdered, index); ++n) {
      if (!router.knows_alive[n] || this->now < router.silent_until[n]) {
        continue;
      }
      issuer = n;
      break;
    }
    if (issuer == index) {
      this->OnOutcome(router, this->Issue(index));
      return;
    }
    const std::uint64_t id = ++this->last_id;
    this->Post({this->now + kResponseTimeout,
                index,
                issuer,
                Message::Kind::kTimeout,
                {},
                id});
    this->open.insert(id);
    if (this->Uniform() < this->loss) return;
    this->Post(
        {this->now + kOneWay, index, issuer, Message::Kind::kRequest, {}, id});
  }

  PermitDecision Issue(std::size_t index) {
    Router& router = this->routers[index];
    const Duration takeover = PeerTimeout(this->routers.size() - 1);
    IssuerView view;
    for (std::size_t n = 0; n < std::min(kOrdered, index); ++n) {
      if (router.knows_alive[n]) ++view.live_before;
      const bool lost = router.lost_at[n] != TimePoint{} &&
                        this->now - router.lost_at[n] < takeover;
      if (lost) ++view.lost_before;
    }
    if (index >= kOrdered) view.live_before += index - kOrdered;
    view.live_routers = this->routers.size();
    view.known_routers = this->routers.size();
    view.has_just_resumed = this->now - router.resumed_at < takeover;
    return router.permits.Decide(this->now, 1, this->rate, IssuerShare(view));
  }

  void OnOutcome(Router& router, const PermitDecision& decision) {
    if (decision.granted) {
      const Duration phase = this->SurgePhase();
      const bool is_held = phase < this->hold_time;
      this->sends.push_back(is_held ? this->now + this->hold_time - phase
                                    : this->now);
    } else {
      router.limit.OnDenied(this->now + decision.retry_after);
    }
  }

  void Handle(const Message& message) {
    if (message.kind == Message::Kind::kRequest) {
      if (!this->routers[message.to].runs) return;
      const PermitDecision decision = this->Issue(message.to);
      if (this->Uniform() < this->loss) return;
      this->Post({this->now + kOneWay, message.to, message.from,
                  Message::Kind::kResponse, decision, message.id});
      return;
    }
    if (this->open.erase(message.id) == 0) return;
    if (message.kind == Message::Kind::kTimeout) {
      Router& asker = this->routers[message.from];
      asker.silent_until[message.to] = this->now + kSilenceTime;
      return;
    }
    if (!this->routers[message.to].runs) return;
    this->OnOutcome(this->routers[message.to], message.decision);
  }

  void Post(Message message) {
    const auto place = std::upper_bound(
        this->messages.begin(), this->messages.end(), message,
        [](const Message& a, const Message& b) { return a.at < b.at; });
    this->messages.insert(place, message);
  }

  RateInForce rate;
  double demand;
  std::mt19937 random;
  std::vector<Router> routers;
  std::deque<Message> messages;  ///< In order of time.
  std::set<std::uint64_t> open;  ///< Requests without an outcome.
  std::vector<News> news;
  std::vector<TimePoint> sends;
  std::uint64_t last_id = 0;
};

struct Fleet {
  std::size_t routers = 8;
  double rate = 4.3;
};
constexpr Fleet kFleets[] = {{8, 4.3}, {8, 0.5}, {295, 3.4}, {295, 40}};

TEST_CASE("a fleet keeps to an engine's rate and uses it") {
  for (const Fleet& fleet : kFleets) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      INFO("routers " << fleet.routers << " rate " << fleet.rate << " seed "
                      << seed);
      PermitModel model(fleet.routers, {fleet.rate}, fleet.rate * 2.2, seed);
      model.Run(seconds(30));
      const TimePoint from = model.now;
      model.Run(seconds(60));
      CHECK(model.MostInWindow(from) <= tests::ToleratedInWindow(fleet.rate));
      CHECK(model.SentSince(from) >= kMinUse * fleet.rate * 60);
    }
  }
}

TEST_CASE("the rate is kept while issuers stop and come back") {
  for (const Fleet& fleet : kFleets) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      INFO("routers " << fleet.routers << " rate " << fleet.rate << " seed "
                      << seed);
      PermitModel model(fleet.routers, {fleet.rate}, fleet.rate * 4, seed);
      model.loss = 0.02;
      model.Run(seconds(30));
      const TimePoint from = model.now;
      model.Stop(0);
      model.Run(seconds(25));
      model.Stop(1);
      model.Run(seconds(50));
      model.Resume(0);
      model.Run(seconds(2));
      model.Resume(1);
      model.Run(seconds(40));
      // Shorter than the time in which it is found to be lost.
      model.Stop(0);
      model.Run(milliseconds(1200));
      model.Resume(0);
      model.Run(seconds(20));
      CHECK(model.MostInWindow(from) <= tests::ToleratedInWindow(fleet.rate));
    }
  }
}

// Returns the rate in force of an engine that warms up, in a service with this
// rate of warm-ups.
RateInForce WarmUpRate(double rate) {
  EngineWarmUp warm_up;
  const TimePoint now(seconds(1000));
  warm_up.Extend(now, seconds(6), seconds(6));
  return FindRate(now, EngineRateLimit(), warm_up, rate).value();
}

TEST_CASE("in no second an engine that warms up gets more than it tolerates") {
  constexpr std::size_t kRouters = 84;
  constexpr milliseconds kPermitLifetime(200);
  for (double rate : {4.0, 8.0, 17.0, 60.0}) {
    for (unsigned seed = 1; seed <= 6; ++seed) {
      INFO("rate " << rate << " seed " << seed);
      PermitModel model(kRouters, WarmUpRate(rate), rate * 6, seed);
      model.loss = 0.02;
      model.hold_time = kPermitLifetime;
      std::mt19937 random(seed);
      const TimePoint from = model.now;
      for (int n = 0; n < 12; ++n) {
        const std::size_t issuer = random() % 3;
        model.Stop(issuer);
        // Often shorter than the time in which a loss is found.
        model.Run(milliseconds(200 + random() % 9000));
        model.Resume(issuer);
        model.Run(milliseconds(random() % 4000));
      }
      CHECK(static_cast<double>(model.MostInWindow(from, seconds(1))) <=
            tests::ToleratedInSecondOfWarmUp(rate));
    }
  }
}

TEST_CASE("the rate of an engine that warms up is used") {
  constexpr double kMinWarmUpUse = 0.7;
  for (double rate : {4.0, 17.0}) {
    PermitModel model(84, WarmUpRate(rate), rate * 3, 1);
    model.Run(seconds(30));
    const TimePoint from = model.now;
    model.Run(seconds(30));
    CHECK(model.SentSince(from) >= kMinWarmUpUse * rate * 30);
  }
}

TEST_CASE("the lower one of a stated limit and a warm-up's rate is in force") {
  const TimePoint now(seconds(1000));
  EngineRateLimit limit;
  EngineWarmUp warm_up;
  CHECK_FALSE(FindRate(now, limit, warm_up, 17));
  warm_up.Extend(now, seconds(6), seconds(6));
  CHECK_FALSE(FindRate(now, limit, warm_up, 0));
  CHECK(FindRate(now, limit, warm_up, 17)->per_second <= 17);
  limit.OnStated(now, 3);
  CHECK(FindRate(now, limit, warm_up, 17)->per_second == 3);
  CHECK(FindRate(now, limit, warm_up, 17)->is_warm_up);
  CHECK_FALSE(FindRate(now, limit, warm_up, 0)->is_warm_up);
  limit.OnStated(now, 30);
  CHECK(FindRate(now, limit, warm_up, 17)->per_second <= 17);
}

TEST_CASE("routers that are cut off from each other share the rate") {
  IssuerView view;
  view.live_routers = 1;
  view.known_routers = 8;
  CHECK(IssuerShare(view) == 1.0 / 8);
  view.live_routers = 4;
  CHECK(IssuerShare(view) == 1.0 / 8);
  view.live_routers = 5;
  CHECK(IssuerShare(view) == 1);
}

TEST_CASE("an engine that takes no requests is asked now and then") {
  RatePermits permits;
  TimePoint now(seconds(1000));
  int granted = 0;
  for (int n = 0; n < 600; ++n, now += milliseconds(100)) {
    if (permits.Decide(now, 1, {0}, 1).granted) ++granted;
  }
  CHECK(granted >= 3);
  CHECK(granted <= 8);
}

TEST_CASE("a denial tells when the next permit is due") {
  RatePermits permits;
  const TimePoint now(seconds(1000));
  CHECK(permits.Decide(now, 1, {2}, 1).granted);
  const PermitDecision denied = permits.Decide(now, 1, {2}, 1);
  CHECK_FALSE(denied.granted);
  CHECK(denied.retry_after == milliseconds(500));
  CHECK(permits.Decide(now + denied.retry_after, 1, {2}, 1).granted);
}

TEST_CASE(
    "a limit ends with a response to a request sent after it was stated") {
  EngineRateLimit limit;
  const TimePoint now(seconds(1000));
  CHECK(limit.OnStated(now, 4));
  CHECK_FALSE(limit.OnNotStated(now + seconds(1), now - seconds(1)));
  CHECK(limit.IsActive());
  CHECK(limit.OnNotStated(now + seconds(2), now + seconds(1)));
  CHECK_FALSE(limit.IsActive());
}

TEST_CASE("of what routers report of a limit, the newest holds") {
  EngineRateLimit limit;
  const TimePoint now(seconds(1000));
  CHECK(limit.OnReported(4, now));
  CHECK_FALSE(limit.OnReported(std::nullopt, now - seconds(1)));
  CHECK_FALSE(limit.OnReported(3, now + seconds(1)));
  CHECK(limit.Rate() == 3);
  CHECK(limit.OnReported(std::nullopt, now + seconds(2)));
}

}  // namespace
}  // namespace dandelionscale
