// Which prompt parts and requests are taken to crash engines, in a model of a
// fleet whose routers exchange reports: how soon all routers know, what sound
// requests lose, and that crashes of other causes blame none.
#include "dandelionscale/core/request_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCrashingPart = 0xdead;
constexpr std::string_view kService = "chat";
// The users' bound: crashes after which a part counts as known.
constexpr int kKnownCrashes = 5;
// Requests with the part that may be sent to engines later than the fleet must
// know of it.
constexpr int kMaxLaterSends = 3;

struct Load {
  std::size_t routers = 8;
  std::uint32_t engines = 18;
  double requests_per_second = 175;
  double crashing_share = 0.012;  ///< Of all requests.
  int subjects = 150;       ///< Second parts of prompts, of unequal popularity.
  bool one_subject = true;  ///< Crashing requests have one second part.
  Duration contact = seconds(3);
  double reset_share = 0;  ///< Of the sends, broken by engines that stay up.
  /// Requests have no prompt; the crashing one comes again and again.
  bool is_plain = false;
  double polled_share = 0;  ///< Of plain requests, that one client repeats.
  int known_crashes = kKnownCrashes;
};

// A fleet in steps of 10 ms. Requests reach routers and engines at random.
class FleetModel {
 public:
  FleetModel(Load load, unsigned seed)
      : load(load),
        random(seed),
        routers(load.routers),
        next_peer(load.routers) {
    for (std::uint32_t n = 0; n < load.engines; ++n) {
      this->engines.push_back({++this->last_engine, TimePoint::min()});
    }
    for (std::size_t n = 0; n < load.routers; ++n) this->next_peer[n] = n * 7;
  }

  void Run(Duration duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += kStep;
      this->ArriveRequests();
      this->BeginAnswers();
      this->ExchangeDigests();
      if (++this->steps % 25 == 0) this->EvaluateAll();
    }
  }

  void CrashEngine(std::uint32_t index) {
    Engine& engine = this->engines[index];
    if (engine.down_until > this->now) return;
    engine.down_until = this->now + seconds(4);
    const std::uint32_t key = engine.key;
    engine.key = ++this->last_engine;
    std::vector<Send> lost;
    std::erase_if(this->sends, [&](const Send& send) {
      if (send.engine_key != key) return false;
      lost.push_back(send);
      return true;
    });
    for (const Send& send : lost) this->OnLost(send);
  }

  void RestartRouter(std::size_t router) {
    this->routers[router] = RequestQuarantine();
  }
  void CutOff(std::size_t router) { this->cut_off = router; }
  void Reconnect() { this->cut_off.reset(); }

  struct Engine {
    std::uint32_t key = 0;
    TimePoint down_until;
  };
  struct Send {
    std::size_t router = 0;
    std::uint64_t request = 0;
    std::uint32_t engine = 0;
    std::uint32_t engine_key = 0;
    TimePoint begins_at;
    RequestKeySet parts;
    std::uint64_t fingerprint = 0;
    bool is_crashing = false;
    int repeats = 0;
    bool is_reset = false;
  };

  static constexpr Duration kStep = milliseconds(10);
  Load load;
  std::mt19937 random;
  TimePoint now = TimePoint(seconds(1000));
  std::vector<RequestQuarantine> routers;
  std::vector<Engine> engines;
  std::vector<Send> sends;
  bool poisoned = false;  ///< Requests with the crashing part arrive.
  int crashes = 0;        ///< By the crashing part.
  TimePoint known_at = TimePoint::max();  ///< All routers must know by then.
  int later_sends = 0;  ///< Crashing requests that were sent after that.
  int sound_asked = 0;  ///< Sound requests that share the subject, after that.
  int sound_blocked = 0;  ///< Of these.
  int any_blocked = 0;    ///< Sound requests of any subject, at any time.

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  void ArriveRequests() {
    const double expected = this->load.requests_per_second *
                            std::chrono::duration<double>(kStep).count();
    const int count = std::poisson_distribution<int>(expected)(this->random);
    for (int n = 0; n < count; ++n) this->Arrive();
  }

  void Arrive() {
    Send send;
    send.request = ++this->last_request;
    send.router = this->random() % this->routers.size();
    send.is_crashing =
        this->poisoned && this->Uniform() < this->load.crashing_share;
    // Popular subjects are asked for far more often than others.
    const double popularity = this->Uniform();
    auto subject = static_cast<std::uint64_t>(popularity * popularity *
                                              this->load.subjects);
    if (send.is_crashing && this->load.one_subject) subject = 40;
    const std::uint64_t route = send.is_crashing ? 0 : this->random() % 3;
    if (send.is_crashing || route == 0) {
      send.parts = {1, 100 + subject};
    } else {
      send.parts = {1 + route, 10'000 * route + subject};
    }
    if (send.is_crashing) send.parts.push_back(kCrashingPart);
    send.fingerprint = this->FingerprintOf(send);
    if (this->load.is_plain) {
      this->ArrivePlain(std::move(send));
      return;
    }
    const bool shares_subject = !send.is_crashing && send.parts[1] == 140;
    const bool is_blocked =
        this->routers[send.router].Find(send.parts) != nullptr;
    const bool is_late = this->now > this->known_at;
    if (shares_subject && is_late) ++this->sound_asked;
    if (shares_subject && is_late && is_blocked) ++this->sound_blocked;
    if (is_blocked && !send.is_crashing) ++this->any_blocked;
    if (!is_blocked) this->SendToEngine(std::move(send));
  }

  std::uint64_t FingerprintOf(const Send& send) {
    constexpr std::uint64_t kFirstFingerprint = 1'000'000;
    constexpr std::uint64_t kPolledFingerprint = 7;
    if (!this->load.is_plain) return kFirstFingerprint + send.request;
    if (send.is_crashing) return kCrashingPart;
    if (this->Uniform() < this->load.polled_share) return kPolledFingerprint;
    return kFirstFingerprint + send.request;
  }
  // As the router does: a blocked request is refused, or sent as the probe.
  void ArrivePlain(Send send) {
    send.parts = {};
    RequestQuarantine& router = this->routers[send.router];
    const BlockedKeys* blocked = router.Find(RequestKeySet{send.fingerprint});
    const bool may_send = blocked == nullptr ||
                          router.TryStartProbe(this->now, *blocked, send.router,
                                               this->routers.size());
    if (!may_send && !send.is_crashing) ++this->any_blocked;
    if (may_send) this->SendToEngine(std::move(send));
  }

  void SendToEngine(Send send) {
    for (int attempt = 0; attempt < 50; ++attempt) {
      send.engine =
          static_cast<std::uint32_t>(this->random() % this->engines.size());
      const Engine& engine = this->engines[send.engine];
      if (engine.down_until > this->now) continue;
      send.engine_key = engine.key;
      send.begins_at = this->now + milliseconds(60 + this->random() % 60);
      send.is_reset = this->Uniform() < this->load.reset_share;
      if (send.is_crashing && this->now > this->known_at) ++this->later_sends;
      this->sends.push_back(std::move(send));
      return;
    }
  }

  void BeginAnswers() {
    std::vector<Send> begun;
    std::erase_if(this->sends, [&](const Send& send) {
      if (send.begins_at > this->now) return false;
      begun.push_back(send);
      return true;
    });
    for (const Send& send : begun) {
      if (send.engine_key != this->engines[send.engine].key) continue;
      if (send.is_crashing) {
        ++this->crashes;
        if (this->crashes == this->load.known_crashes) {
          this->known_at = this->now + this->load.contact;
        }
        this->OnLost(send);
        this->CrashEngine(send.engine);
      } else if (send.is_reset) {
        this->OnLost(send);
      } else {
        RequestKeySet keys = send.parts;
        keys.push_back(send.fingerprint);
        this->routers[send.router].OnAnswered(this->now, kService, keys);
      }
    }
  }

  void OnLost(const Send& send) {
    RequestQuarantine& router = this->routers[send.router];
    router.OnLost(this->now, kService,
                  {send.request, send.engine_key, 0, {}, send.parts},
                  send.fingerprint);
    Send repeat = send;
    ++repeat.repeats;
    if (this->load.is_plain) {
      this->RepeatPlain(std::move(repeat));
      return;
    }
    if (send.repeats > 0 || router.Find(send.parts) != nullptr) return;
    this->SendToEngine(std::move(repeat));
  }
  // The router repeats once; then the client repeats once, under a new id and
  // at another router.
  void RepeatPlain(Send repeat) {
    constexpr int kMaxRepeats = 3;
    if (repeat.repeats > kMaxRepeats) return;
    if (repeat.repeats == 2) {
      repeat.request = ++this->last_request;
      repeat.router = this->random() % this->routers.size();
      this->ArrivePlain(std::move(repeat));
      return;
    }
    const RequestKeySet keys = {repeat.fingerprint};
    if (this->routers[repeat.router].Find(keys) != nullptr) return;
    this->SendToEngine(std::move(repeat));
  }

  void ExchangeDigests() {
    for (std::size_t n = 0; n < this->routers.size(); ++n) {
      const bool is_due = (this->steps + static_cast<int>(n)) % 25 == 0;
      const bool is_urgent = this->routers[n].TakeUrgency();
      if (is_due || is_urgent) this->SendDigest(n);
    }
  }

  void SendDigest(std::size_t sender) {
    const QuarantineUpdate update = this->routers[sender].TakeForDigest();
    const std::size_t peers = this->routers.size() - 1;
    for (std::size_t n = 0; n < std::min(kDigestFanout, peers); ++n) {
      std::size_t peer = this->next_peer[sender]++ % this->routers.size();
      if (peer == sender) {
        peer = this->next_peer[sender]++ % this->routers.size();
      }
      const bool is_cut =
          this->cut_off && (*this->cut_off == sender || *this->cut_off == peer);
      const bool is_lost = this->Uniform() < 0.01;
      if (is_cut || is_lost) continue;
      this->routers[peer].Apply(this->now, update);
    }
  }

  void EvaluateAll() {
    for (RequestQuarantine& router : this->routers) {
      router.Evaluate(this->now, this->routers.size() - 1);
    }
  }

  std::vector<std::size_t> next_peer;
  std::optional<std::size_t> cut_off;
  std::uint32_t last_engine = 0;
  std::uint64_t last_request = 0;
  int steps = 0;
};

Load LargeLoad() {
  Load load;
  load.routers = 295;
  load.engines = 204;
  load.requests_per_second = 1263;
  load.subjects = 600;
  load.contact = seconds(5);
  return load;
}

TEST_CASE("a part that crashes engines is kept off them by all routers") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    FleetModel fleet(Load(), seed);
    fleet.Run(seconds(4));
    fleet.poisoned = true;
    fleet.Run(seconds(25));
    CHECK(fleet.crashes >= 3);
    CHECK(fleet.later_sends <= kMaxLaterSends);
    CHECK(fleet.sound_blocked * 2 <= fleet.sound_asked);
  }
}

TEST_CASE("the same, whatever else the requests hold and however many") {
  for (double share : {0.004, 0.03, 0.06, 0.1, 0.15}) {
    for (bool one_subject : {true, false}) {
      // On seed 36, nearly all engines crash within the first second.
      for (unsigned seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 36U}) {
        CAPTURE(share, one_subject, seed);
        Load load;
        load.crashing_share = share;
        load.one_subject = one_subject;
        FleetModel fleet(load, seed);
        fleet.Run(seconds(4));
        fleet.poisoned = true;
        fleet.Run(seconds(40));
        CHECK(fleet.later_sends <= kMaxLaterSends);
        CHECK(fleet.sound_blocked * 2 <= fleet.sound_asked);
      }
    }
  }
}

TEST_CASE("295 routers know in time, one that restarted and one cut off too") {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    FleetModel fleet(LargeLoad(), seed);
    fleet.Run(seconds(2));
    fleet.poisoned = true;
    fleet.CutOff(17);
    fleet.Run(seconds(6));
    fleet.Reconnect();
    fleet.RestartRouter(3);
    fleet.Run(seconds(2));
    const RequestKeySet prompt = {1, 140, kCrashingPart};
    for (const RequestQuarantine& router : fleet.routers) {
      REQUIRE(router.Find(prompt) != nullptr);
    }
    fleet.Run(seconds(10));
    CHECK(fleet.later_sends <= kMaxLaterSends);
    CHECK(fleet.sound_blocked * 2 <= fleet.sound_asked);
  }
}

TEST_CASE("crashes and resets of other causes blame no part") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Load load;
    load.reset_share = seed % 2 == 0 ? 0.15 : 0;
    FleetModel fleet(load, seed);
    fleet.Run(seconds(4));
    for (int wave = 0; wave < 10; ++wave) {
      // One engine after the other, then a third of all at once.
      for (std::uint32_t n = 0; n < 4; ++n) {
        fleet.CrashEngine((static_cast<std::uint32_t>(wave) * 5 + n) % 18);
        fleet.Run(milliseconds(300));
      }
      for (std::uint32_t n = 0; n < 6; ++n) fleet.CrashEngine(n * 3);
      fleet.Run(seconds(2));
    }
    CHECK(fleet.any_blocked == 0);
  }
}

// Load pattern: on 74 and 295 routers, reports take up to a second to reach
// all, and each router answers a request with a popular part only now and then.
TEST_CASE("crashes of other causes blame no part in a large fleet") {
  Load middle;
  middle.routers = 74;
  middle.engines = 60;
  middle.requests_per_second = 600;
  for (const Load& size : {middle, LargeLoad()}) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      CAPTURE(size.routers, seed);
      Load load = size;
      load.reset_share = seed == 2 ? 0.15 : 0;
      FleetModel fleet(load, seed);
      fleet.Run(seconds(2));
      for (std::uint32_t n = 0; n < load.engines; ++n) {
        fleet.CrashEngine(n);
        fleet.Run(milliseconds(100));
      }
      CHECK(fleet.any_blocked == 0);
    }
  }
}

TEST_CASE("an outage of all engines blames no part") {
  FleetModel fleet(Load(), 1);
  fleet.Run(seconds(4));
  for (std::uint32_t n = 0; n < 18; ++n) {
    fleet.CrashEngine(n);
    fleet.Run(milliseconds(150));
  }
  fleet.Run(seconds(20));
  CHECK(fleet.any_blocked == 0);
}

Load PlainLoad(std::size_t routers) {
  Load load;
  load.is_plain = true;
  load.routers = routers;
  load.engines = routers > 100 ? 6 : 4;
  load.requests_per_second = routers > 100 ? 442 : 60;
  load.crashing_share = 2.0 / load.requests_per_second;
  load.polled_share = 0.03;
  load.known_crashes = 3;
  load.contact = seconds(routers > 100 ? 5 : 3);
  return load;
}

// Load pattern: all engines of a small service end within a second, are back
// after four, and the request comes again.
TEST_CASE("a request that crashes engines is kept off them by all routers") {
  for (std::size_t routers : {8U, 74U, 295U}) {
    const unsigned seeds = routers > 8 ? 1 : 6;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      CAPTURE(routers, seed);
      FleetModel fleet(PlainLoad(routers), seed);
      fleet.Run(seconds(4));
      fleet.poisoned = true;
      fleet.Run(seconds(40));
      CHECK(fleet.crashes >= 3);
      CHECK(fleet.later_sends <= kMaxLaterSends);
      CHECK(fleet.any_blocked == 0);
    }
  }
}

TEST_CASE("crashes of other causes block no request that is repeated") {
  for (std::size_t routers : {8U, 295U}) {
    const unsigned seeds = routers > 8 ? 1 : 6;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      CAPTURE(routers, seed);
      FleetModel fleet(PlainLoad(routers), seed);
      fleet.Run(seconds(4));
      for (int wave = 0; wave < 8; ++wave) {
        for (std::uint32_t n = 0; n < fleet.load.engines; ++n) {
          fleet.CrashEngine(n);
          fleet.Run(milliseconds(200));
        }
        fleet.Run(seconds(3));
      }
      CHECK(fleet.any_blocked == 0);
    }
  }
}

// Loses requests with the part at `crashes` engines, with answers to others
// between, and lets the router decide.
void Poison(RequestQuarantine& router, TimePoint& now, int crashes) {
  static std::uint64_t request = 0;
  static std::uint32_t engine = 0;
  for (int n = 0; n < crashes; ++n) {
    now += milliseconds(200);
    router.OnLost(now, kService,
                  {++request, ++engine, 0, {}, {1, 140, kCrashingPart}});
  }
  now += seconds(1);
  for (int n = 0; n < 5; ++n) {
    router.OnAnswered(now, kService, RequestKeySet{1, 50});
  }
  router.Evaluate(now, 7);
}

TEST_CASE("a sound part is released as soon as it is answered") {
  RequestQuarantine router;
  TimePoint now = TimePoint(seconds(1000));
  Poison(router, now, 5);
  // Nothing tells the two apart yet: only requests with both are blocked.
  CHECK(router.Find(RequestKeySet{1, 140, kCrashingPart}) != nullptr);
  CHECK(router.Find(RequestKeySet{1, 140}) == nullptr);
  CHECK(router.Find(RequestKeySet{1, 50, kCrashingPart}) == nullptr);
  now += seconds(1);
  router.OnAnswered(now, kService, RequestKeySet{1, 140});
  CHECK(router.Find(RequestKeySet{1, 140}) == nullptr);
  CHECK(router.Find(RequestKeySet{1, 50, kCrashingPart}) != nullptr);
}

TEST_CASE("a quarantine ends by a trial that is answered") {
  RequestQuarantine router;
  TimePoint now = TimePoint(seconds(1000));
  Poison(router, now, 5);
  const RequestKeySet prompt = {1, 140, kCrashingPart};
  const BlockedKeys* blocked = router.Find(prompt);
  REQUIRE(blocked != nullptr);
  CHECK(CrashBlocklist::TimeUntilProbe(now, *blocked) > seconds(30));
  CHECK_FALSE(router.TryStartProbe(now, *blocked, 0, 8));
  now += seconds(61);
  // Another router has the first turn.
  CHECK_FALSE(router.TryStartProbe(now, *blocked, 5, 8));
  CHECK(router.TryStartProbe(now, *blocked, 0, 8));
  // One trial at a time.
  CHECK_FALSE(router.TryStartProbe(now, *blocked, 0, 8));
  now += milliseconds(80);
  const auto changes = router.OnAnswered(now, kService, prompt);
  CHECK(router.Find(prompt) == nullptr);
  REQUIRE_FALSE(changes.empty());
  CHECK(changes.back().kind == QuarantineChange::Kind::kReleased);
  // A peer that has not heard of it yet does not bring it back.
  QuarantineUpdate late;
  late.blocked = {{{140, kCrashingPart}, now - seconds(61), 0}};
  router.Apply(now + milliseconds(10), late);
  CHECK(router.Find(prompt) == nullptr);
}

TEST_CASE("a trial that crashes an engine prolongs the quarantine") {
  RequestQuarantine router;
  TimePoint now = TimePoint(seconds(1000));
  Poison(router, now, 5);
  const RequestKeySet prompt = {1, 140, kCrashingPart};
  const BlockedKeys* blocked = router.Find(prompt);
  REQUIRE(blocked != nullptr);
  now += seconds(61);
  REQUIRE(router.TryStartProbe(now, *blocked, 0, 8));
  now += milliseconds(80);
  const auto changes = router.OnLost(
      now, kService, {9'999, 9'999, 0, {}, {1, 140, kCrashingPart}});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].kind == QuarantineChange::Kind::kProlonged);
  blocked = router.Find(prompt);
  REQUIRE(blocked != nullptr);
  CHECK(CrashBlocklist::TimeUntilProbe(now, *blocked) > seconds(100));
  // A peer learns the new time.
  RequestQuarantine peer;
  QuarantineUpdate first;
  first.blocked = {{blocked->keys, now - seconds(61), 0}};
  peer.Apply(now, first);
  peer.Apply(now, router.TakeForDigest());
  const BlockedKeys* learned = peer.Find(prompt);
  REQUIRE(learned != nullptr);
  CHECK(learned->failed_probes == 1);
  CHECK(CrashBlocklist::TimeUntilProbe(now, *learned) > seconds(100));
}

TEST_CASE("memory is bounded, and what is not used is forgotten") {
  RequestQuarantine router;
  TimePoint now = TimePoint(seconds(1000));
  for (std::uint64_t n = 0; n < 5'000; ++n) {
    now += milliseconds(5);
    router.OnLost(
        now, kService,
        {n, static_cast<std::uint32_t>(n), 0, {}, {10 * n, 10 * n + 1}});
  }
  CHECK(router.LostSendCount() <= 128);
  QuarantineUpdate update;
  for (std::uint64_t n = 0; n < 500; ++n) {
    update.blocked.push_back({{1'000'000 + n}, now, 0});
    update.answered.push_back({2'000'000 + n, now});
  }
  router.Apply(now, update);
  CHECK(router.Blocked().size() <= 64);
  const QuarantineUpdate digest = router.TakeForDigest();
  CHECK(digest.lost_sends.size() + digest.answered.size() +
            digest.blocked.size() <=
        16);
  now += std::chrono::hours(3);
  router.Evaluate(now, 7);
  CHECK(router.Blocked().empty());
  CHECK(router.LostSendCount() == 0);
}

TEST_CASE("the number of crashes that chance does not explain") {
  CHECK(RequiredCrashes(0.001, 8) == 3);
  CHECK(RequiredCrashes(0.02, 8) == 4);
  CHECK(RequiredCrashes(0.1, 8) == 6);
  CHECK(RequiredCrashes(0.1, 295) == 8);
  CHECK(RequiredCrashes(0.3, 8) == 12);
  CHECK(RequiredCrashes(1.0, 8) == 14);
}

}  // namespace
}  // namespace dandelionscale
