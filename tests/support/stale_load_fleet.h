/// \file
/// \brief Simulates many routers that place requests on the engines of one
///        service by load reports that are up to a rotation of digests old.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_STALE_LOAD_FLEET_H_
#define DANDELIONSCALE_TESTS_SUPPORT_STALE_LOAD_FLEET_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/load/peer_load.h"
#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/core/load/stated_loads.h"
#include "dandelionscale/core/load/work_time.h"
#include "dandelionscale/core/load/zone_spill.h"

namespace dandelionscale::tests {

/// \brief How the simulated routers use reports.
enum class ReportUse {
  kFull,    ///< Each report counts in full, however old it is.
  kSpread,  ///< `PeerLoad::SpreadStaleLoad()`.
  kNone     ///< A random engine.
};

/// \brief The routers and engines of one availability zone.
struct SimulatedZone {
  int routers = 0;
  int engines = 0;
  double requests_per_s = 0;
};

/// \brief A fleet and its load.
struct StaleLoadSettings {
  std::vector<SimulatedZone> zones;
  std::uint32_t slots = 6;  ///< Of each engine; further requests wait there.
  int work_ms = 30;         ///< Mean; exponentially distributed if `varied`.
  bool varied = false;
  ReportUse use = ReportUse::kSpread;
  /// By which routers decide how many requests may wait at an engine; 0: as few
  /// as possible.
  int latency_target_ms = 0;
  double zone_cost = 0;
  std::uint64_t seed = 1;
  bool uses_stated_loads = false;
  /// Engines state their load when they begin a request (the head of a stream),
  /// not when they have ended it.
  bool states_at_begin = false;
  /// Share of requests with one short prefix, which engines that have served it
  /// have cached. All routers know at once which these are.
  double hot_prefix_share = 0;
  /// Share of the spans of `kPaceMs` in which an engine is slow, and by what
  /// factor.
  double slow_share = 0;
  double slow_factor = 2.5;
  int late_after_ms = 300;
  /// Engine 0 always states this load, if set.
  std::optional<std::uint64_t> false_load{};
};

/// \brief What happened in a span of simulated time.
struct StaleLoadResult {
  int requests = 0;
  int found_full = 0;  ///< All slots of the chosen engine were in use.
  int not_placed = 0;  ///< No engine had room, as far as the router knew.
  int left_zone = 0;   ///< Placed in another zone than the router's.
  int over_bound = 0;  ///< The engine held more than twice the mean, plus 3.
  int late = 0;        ///< Ended after the latency objective.
  int at_first = 0;    ///< Placed on engine 0.
  int at_slow = 0;     ///< Placed on an engine that is slow at the moment.
  std::vector<double> utilization;  ///< Mean of each zone's engines.
  /// Share that leaves each zone: mean over its routers, sampled each 100 ms.
  std::vector<double> mean_share;
  std::vector<double> min_share;  ///< Lowest of these samples.
  std::vector<double> max_share;  ///< Highest of these samples.
  /// Standard deviation of an engine's requests in flight, sampled each 10 ms.
  double load_deviation = 0;

  double LeftZoneShare() const {
    return static_cast<double>(this->left_zone) / std::max(1, this->requests);
  }
  double OverBoundShare() const { return this->ShareOf(this->over_bound); }
  double LateShare() const { return this->ShareOf(this->late); }
  double FirstShare() const { return this->ShareOf(this->at_first); }
  double SlowShare() const { return this->ShareOf(this->at_slow); }
  double ShareOf(int count) const {
    return static_cast<double>(count) / std::max(1, this->requests);
  }
  double FoundFullShare() const {
    return static_cast<double>(this->found_full) / std::max(1, this->requests);
  }
};

/// \brief Simulates a fleet in steps of 1 ms.
class StaleLoadFleet {
 public:
  explicit StaleLoadFleet(StaleLoadSettings settings)
      : settings(std::move(settings)), random(this->settings.seed) {
    for (std::size_t zone = 0; zone < this->settings.zones.size(); ++zone) {
      for (int n = 0; n < this->settings.zones[zone].engines; ++n) {
        this->engines.push_back({kFirstKey + this->engines.size(), zone});
      }
    }
    for (std::size_t zone = 0; zone < this->settings.zones.size(); ++zone) {
      for (int n = 0; n < this->settings.zones[zone].routers; ++n) {
        Router router;
        router.zone = zone;
        router.name = std::to_string(this->routers.size());
        router.next_peer = this->random();
        router.phase_ms = static_cast<int>(this->random() % kDigestMs);
        router.in_flight.resize(this->engines.size());
        this->routers.push_back(std::move(router));
      }
    }
  }

  /// \brief Runs the fleet; the state is kept from the previous call.
  StaleLoadResult Run(int duration_ms) {
    const std::size_t zones = this->settings.zones.size();
    StaleLoadResult result;
    result.utilization.resize(zones);
    result.mean_share.resize(zones);
    result.min_share.resize(zones, 1.0);
    result.max_share.resize(zones);
    double sum = 0;
    double squares = 0;
    int samples = 0;
    for (const int end = this->now_ms + duration_ms; this->now_ms < end;
         ++this->now_ms) {
      this->Finish(result);
      if (this->now_ms % kPaceMs == 0) this->ChangePaces();
      for (Router& router : this->routers) {
        if (this->now_ms % kDigestMs == router.phase_ms) this->Report(router);
      }
      for (std::size_t zone = 0; zone < this->settings.zones.size(); ++zone) {
        std::poisson_distribution<int> arrivals(
            this->settings.zones[zone].requests_per_s / 1000);
        for (int n = arrivals(this->random); n > 0; --n) {
          this->Place(this->RandomRouter(zone), result);
        }
      }
      if (this->now_ms % 10 != 0) continue;
      for (const SimEngine& engine : this->engines) {
        sum += engine.in_flight;
        squares += static_cast<double>(engine.in_flight) * engine.in_flight;
        ++samples;
        result.utilization[engine.zone] +=
            10.0 * engine.in_flight /
            (duration_ms * this->settings.slots *
             this->settings.zones[engine.zone].engines);
      }
      if (this->now_ms % 100 != 0) continue;
      for (std::size_t zone = 0; zone < zones; ++zone) {
        const double share = this->Share(zone);
        result.mean_share[zone] += 100 * share / duration_ms;
        result.min_share[zone] = std::min(result.min_share[zone], share);
        result.max_share[zone] = std::max(result.max_share[zone], share);
      }
    }
    const double mean = sum / samples;
    result.load_deviation = std::sqrt(squares / samples - mean * mean);
    return result;
  }

  /// \brief Makes the engines of a zone usable or not. Running requests end.
  void SetUsable(std::size_t zone, bool usable) {
    for (SimEngine& engine : this->engines) {
      if (engine.zone == zone) engine.usable = usable;
    }
  }
  void SetRequestsPerSecond(std::size_t zone, double rate) {
    this->settings.zones[zone].requests_per_s = rate;
  }
  /// \returns the share that leaves a zone, as a mean over its routers.
  double Share(std::size_t zone) const {
    double sum = 0;
    for (const Router& router : this->routers) {
      if (router.zone == zone) sum += router.zone_spill.Share();
    }
    return sum / this->settings.zones[zone].routers;
  }

 private:
  static constexpr int kDigestMs = 250;
  static_assert(kDigestInterval == std::chrono::milliseconds(kDigestMs));
  static constexpr std::uint64_t kFirstKey = 1000;
  static constexpr int kPaceMs = 600;  ///< Time for which an engine is slow.
  static constexpr std::uint32_t kHotTokens = 700;

  struct SimEngine {
    std::uint64_t key = 0;
    std::size_t zone = 0;
    std::uint32_t in_flight = 0;
    bool usable = true;
    bool slow = false;
    bool holds_hot_prefix = false;
    std::priority_queue<double, std::vector<double>, std::greater<>>
        slots_free_ms{};
  };
  struct Router {
    std::size_t zone = 0;
    std::string name;
    std::uint64_t next_peer = 0;
    int phase_ms = 0;
    std::uint64_t sequence = 0;
    std::vector<std::uint32_t> in_flight;
    PeerLoad peer_load{};
    StatedLoads stated_loads{};
    WorkTime work_time{};
    ZoneSpill zone_spill{};
  };
  struct Running {
    double ends_ms = 0;
    double began_ms = 0;
    std::size_t router = 0;
    std::size_t engine = 0;
    bool operator>(const Running& other) const {
      return this->ends_ms > other.ends_ms;
    }
  };

  TimePoint Now() const {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::milliseconds(this->now_ms);
  }

  std::size_t RandomRouter(std::size_t zone) {
    std::size_t first = 0;
    for (std::size_t n = 0; n < zone; ++n) {
      first += static_cast<std::size_t>(this->settings.zones[n].routers);
    }
    return first + this->random() % static_cast<std::size_t>(
                                        this->settings.zones[zone].routers);
  }

  void ChangePaces() {
    std::bernoulli_distribution is_slow(this->settings.slow_share);
    for (SimEngine& engine : this->engines) engine.slow = is_slow(this->random);
  }

  void State(Router& router, std::size_t index) {
    const SimEngine& engine = this->engines[index];
    StatedLoad load{engine.key, engine.in_flight,
                    engine.slow ? 100 * this->settings.slow_factor : 100};
    if (index == 0 && this->settings.false_load) {
      load.in_flight = *this->settings.false_load;
    }
    router.stated_loads.OnStated(this->Now(), load, router.in_flight[index]);
  }

  void Finish(StaleLoadResult& result) {
    while (!this->running.empty() &&
           this->running.top().ends_ms <= this->now_ms) {
      const Running& done = this->running.top();
      Router& router = this->routers[done.router];
      if (!this->settings.states_at_begin) this->State(router, done.engine);
      if (done.ends_ms - done.began_ms > this->settings.late_after_ms) {
        ++result.late;
      }
      --router.in_flight[done.engine];
      --this->engines[done.engine].in_flight;
      router.work_time.OnAnswered(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(done.ends_ms -
                                                    done.began_ms)));
      this->running.pop();
    }
  }

  // Sends the router's loads to the next peers in its rotation.
  void Report(Router& router) {
    const std::size_t peers = this->routers.size() - 1;
    router.peer_load.Expire(this->Now(), DigestRotationPeriod(peers));
    router.stated_loads.Expire(this->Now());
    const auto stated = router.stated_loads.LoadsToForward(this->Now());
    ++router.sequence;
    for (std::size_t n = 0; n < std::min(kDigestFanout, peers); ++n) {
      Router* peer = &this->routers[router.next_peer++ % this->routers.size()];
      if (peer == &router) {
        peer = &this->routers[router.next_peer++ % this->routers.size()];
      }
      std::vector<EngineLoad> loads;
      for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
        if (router.in_flight[engine] == 0) continue;
        loads.push_back({this->engines[engine].key, router.in_flight[engine],
                         peer->work_time.Mean()});
      }
      peer->peer_load.OnReport(this->Now(), router.name, 1, router.sequence,
                               loads);
      for (const StatedLoad& load : stated) {
        peer->stated_loads.OnForwarded(
            this->Now(), load, peer->in_flight[load.engine_key - kFirstKey]);
      }
    }
  }

  std::optional<std::size_t> Choose(Router& router, bool is_hot) {
    if (this->settings.use == ReportUse::kNone) {
      return this->random() % this->engines.size();
    }
    std::vector<PlacementCandidate> candidates;
    for (std::size_t n = 0; n < this->engines.size(); ++n) {
      PlacementCandidate candidate;
      candidate.engine_key = this->engines[n].key;
      candidate.in_flight =
          router.in_flight[n] + router.peer_load.InFlight(candidate.engine_key);
      candidate.own_in_flight = router.in_flight[n];
      candidate.max_slots = this->settings.slots;
      if (is_hot && this->engines[n].holds_hot_prefix) {
        candidate.cached_tokens = kHotTokens;
      }
      candidate.usable = this->engines[n].usable;
      candidate.same_zone = this->engines[n].zone == router.zone;
      candidates.push_back(candidate);
    }
    PlacementInputs inputs;
    inputs.candidates = candidates;
    inputs.request_key = this->random();
    inputs.engine_queue_share = EngineQueueShare(
        std::chrono::milliseconds(this->settings.latency_target_ms),
        router.work_time.Mean());
    if (is_hot) {
      inputs.affinity_key = kHotTokens;
      inputs.shared_tokens = kHotTokens;
    }
    if (this->settings.zone_cost > 0) {
      const ZoneLoads loads = SumZoneLoads(candidates);
      const Duration response_time =
          DigestRotationPeriod(this->routers.size() - 1) +
          std::min<Duration>(router.work_time.Mean(), std::chrono::seconds(10));
      router.zone_spill.Update(this->Now(), loads, response_time,
                               this->settings.zone_cost);
      inputs.zone_rule = router.zone_spill.RuleFor(loads, inputs.request_key);
    }
    StatedLoadInputs use;
    use.peer_report_age = DigestRotationPeriod(this->routers.size() - 1) / 2;
    use.queue_share = inputs.engine_queue_share;
    use.request_key = inputs.request_key;
    use.affinity_key = inputs.affinity_key;
    use.shared_tokens = inputs.shared_tokens;
    if (this->settings.use == ReportUse::kSpread && !is_hot) {
      router.peer_load.SpreadStaleLoad(this->Now(), candidates);
      use.work_time = router.work_time.Mean();
    }
    if (this->settings.uses_stated_loads) {
      router.stated_loads.Apply(this->Now(), use, candidates);
    }
    const auto decision = ChooseEngine(inputs);
    if (!decision) return std::nullopt;
    return decision->index;
  }

  void Place(std::size_t router, StaleLoadResult& result) {
    ++result.requests;
    const bool is_hot = this->settings.hot_prefix_share > 0 &&
                        std::bernoulli_distribution(
                            this->settings.hot_prefix_share)(this->random);
    const auto chosen = this->Choose(this->routers[router], is_hot);
    if (!chosen) {
      ++result.not_placed;
      return;
    }
    SimEngine& engine = this->engines[*chosen];
    if (engine.zone != this->routers[router].zone) ++result.left_zone;
    if (engine.in_flight >= this->settings.slots) ++result.found_full;
    if (engine.in_flight + 1 > this->TrueBound()) ++result.over_bound;
    if (*chosen == 0) ++result.at_first;
    if (engine.slow) ++result.at_slow;
    if (is_hot) engine.holds_hot_prefix = true;
    double began_ms = this->now_ms;
    if (engine.slots_free_ms.size() == this->settings.slots) {
      began_ms = std::max(began_ms, engine.slots_free_ms.top());
      engine.slots_free_ms.pop();
    }
    double work_ms = this->settings.work_ms;
    if (this->settings.varied) {
      work_ms = std::exponential_distribution<double>(1 / work_ms)(random);
    }
    if (engine.slow) work_ms *= this->settings.slow_factor;
    const double ends_ms = began_ms + work_ms;
    engine.slots_free_ms.push(ends_ms);
    ++engine.in_flight;
    ++this->routers[router].in_flight[*chosen];
    this->running.push(
        {ends_ms, static_cast<double>(this->now_ms), router, *chosen});
    if (this->settings.states_at_begin) {
      this->State(this->routers[router], *chosen);
    }
  }

  // Returns the load bound by the true loads.
  double TrueBound() const {
    std::uint32_t sum = 0;
    for (const SimEngine& engine : this->engines) sum += engine.in_flight;
    return 2.0 * sum / static_cast<double>(this->engines.size()) + 3;
  }

  StaleLoadSettings settings;
  std::mt19937_64 random;
  int now_ms = 0;
  std::vector<SimEngine> engines;
  std::vector<Router> routers;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
};

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_STALE_LOAD_FLEET_H_
