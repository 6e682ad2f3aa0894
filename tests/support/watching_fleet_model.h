/// \file
/// \brief Model of routers that learn of changes from a store which leaves
///        some of them without answers.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_WATCHING_FLEET_MODEL_H_
#define DANDELIONSCALE_TESTS_SUPPORT_WATCHING_FLEET_MODEL_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/watch_schedule.h"
#include "dandelionscale/core/watcher_election.h"

namespace dandelionscale::tests {

/// \brief How the store treats a router's calls for a table.
enum class StoreAnswer {
  kServes,
  kHangs,    ///< No answer, also to calls that are out.
  kRefuses,  ///< Answers 503 or 429; ends calls that are out.
  kSlow      ///< Answers late.
};

/// \brief Routers that exchange digests over a network that loses some, and
///        read and watch two tables as `StoreWatcher` does.
class WatchingFleetModel {
 public:
  static constexpr std::size_t kTables = 2;
  /// Table whose changes are counted.
  static constexpr std::size_t kConfiguration = 0;

  struct Table {
    StoreAnswer answer = StoreAnswer::kServes;
    bool has_table = false;
    bool is_out = false;   ///< A call is out.
    bool is_read = false;  ///< That call reads the whole table.
    bool is_lost = false;  ///< The store will never answer it.
    TimePoint began{};
    TimePoint ends{};  ///< When the call ends or times out.
    TimePoint watch_end{};
    TimePoint idle_until{};
    Duration retry_delay{};
    std::uint64_t version = 0;  ///< Of the store, that the router has read.
    std::optional<TimePoint> shown_at;
  };

  struct Router {
    explicit Router(std::string name)
        : name(std::move(name)),
          key(HashText(this->name)),
          election(this->key),
          next_peer(this->key % 1000) {}
    std::string name;
    std::uint64_t key;
    WatcherElection election;
    std::array<Table, kTables> tables;
    std::uint64_t version = 0;  ///< Of the configuration, in force.
    std::uint64_t heard_version = 0;
    TimePoint fetched_at{};  ///< When `heard_version` has been fetched.
    std::size_t next_peer;
  };

  WatchingFleetModel(std::size_t count, unsigned seed) : random(seed) {
    for (std::size_t n = 0; n < count; ++n) {
      this->routers.push_back(
          std::make_unique<Router>("10.0.0." + std::to_string(n)));
    }
    for (auto& router : this->routers) {
      for (const auto& peer : this->routers) {
        if (peer == router) continue;
        router->election.OnPeerListed(this->now, peer->name, peer->key);
      }
    }
  }

  void Run(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->now += kTick;
      ++this->ticks;
      for (std::size_t n = 0; n < this->routers.size(); ++n) this->Step(n);
    }
  }

  /// \brief An operator changes the configuration.
  void Change() { this->changed_at.push_back(this->now); }

  /// \brief From now on the store treats the calls of a router so.
  void SetAnswer(Router& router, std::size_t table, StoreAnswer answer) {
    Table& own = router.tables[table];
    own.answer = answer;
    if (!own.is_out) return;
    if (answer == StoreAnswer::kHangs) own.is_lost = true;
    if (answer == StoreAnswer::kRefuses) own.ends = this->now;
  }

  std::vector<Router*> Watching() const {
    std::vector<Router*> watching;
    for (const auto& router : this->routers) {
      if (WatchesStore(router->election.Role())) {
        watching.push_back(router.get());
      }
    }
    return watching;
  }

  /// \brief Forgets delays and calls so far.
  void BeginToCount() {
    this->longest_delay = Duration::zero();
    this->calls = 0;
    this->reads = 0;
    this->oldest_view = Duration::zero();
  }

  std::vector<std::unique_ptr<Router>> routers;
  std::vector<TimePoint> changed_at;
  TimePoint now{std::chrono::hours(1)};
  /// Longest time from a change until a router that is served had it in force.
  Duration longest_delay{};
  Duration oldest_view{};  ///< Of routers that are served.
  int calls = 0;
  int reads = 0;  ///< Of whole tables, among `calls`.

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(10);
  static constexpr long kDigestTicks = kDigestInterval / kTick;
  static constexpr long kRoleTicks = 5;
  static constexpr double kDigestLoss = 0.01;
  static constexpr Duration kRoundTrip = std::chrono::milliseconds(10);
  static constexpr Duration kSlowAnswer = std::chrono::milliseconds(200);
  static constexpr Duration kReadTimeout = std::chrono::milliseconds(1200);
  static constexpr Duration kWatchTimeoutMargin =
      std::chrono::milliseconds(600);
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(120);
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);
  // From a digest with a newer version until its snapshot is in force.
  static constexpr Duration kFetchTime = std::chrono::milliseconds(60);

  std::uint64_t StoreVersion() const { return this->changed_at.size(); }

  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  bool IsServed(const Router& router) const {
    return std::all_of(router.tables.begin(), router.tables.end(),
                       [](const Table& table) {
                         return table.answer == StoreAnswer::kServes ||
                                table.answer == StoreAnswer::kSlow;
                       });
  }

  void Step(std::size_t n) {
    Router& router = *this->routers[n];
    const auto offset = static_cast<long>(n);
    if ((this->ticks + offset) % kRoleTicks == 0) {
      router.election.Decide(this->now, this->routers.size() - 1);
    }
    for (std::size_t table = 0; table < kTables; ++table) {
      this->StepTable(router, table);
    }
    if (router.heard_version > router.version &&
        this->now >= router.fetched_at) {
      this->PutInForce(router, router.heard_version);
    }
    this->Observe(router);
    if ((this->ticks + offset * 7) % kDigestTicks == 0) this->SendDigests(n);
  }

  void StepTable(Router& router, std::size_t number) {
    Table& table = router.tables[number];
    const WatchRole role = router.election.Role();
    if (table.is_out) {
      if (this->HasEnded(table, number)) this->EndCall(router, number);
      return;
    }
    if (role == WatchRole::kListener) {
      table.has_table = false;
      table.shown_at.reset();
      return;
    }
    if (role == WatchRole::kStarting && table.has_table) return;
    if (this->now >= table.idle_until) this->BeginCall(table);
  }

  bool HasEnded(Table& table, std::size_t number) const {
    const bool has_change = number == kConfiguration && !table.is_read &&
                            !table.is_lost &&
                            table.version < this->StoreVersion();
    if (has_change) {
      table.ends = std::min(table.ends, this->now + this->AnswerTime(table));
    }
    return this->now >= table.ends;
  }

  Duration AnswerTime(const Table& table) const {
    return table.answer == StoreAnswer::kSlow ? kSlowAnswer : kRoundTrip;
  }

  void BeginCall(Table& table) {
    ++this->calls;
    table.is_out = true;
    table.is_read = !table.has_table;
    if (table.is_read) ++this->reads;
    table.is_lost = table.answer == StoreAnswer::kHangs;
    table.began = this->now;
    const Duration wait =
        table.is_read ? Duration::zero()
                      : std::max<Duration>(table.watch_end - this->now, kTick);
    table.ends = this->now + wait + this->AnswerTime(table);
    if (table.answer == StoreAnswer::kRefuses) {
      table.ends = this->now + kRoundTrip;
    }
    if (table.is_lost) {
      table.ends = this->now +
                   (table.is_read ? kReadTimeout : wait + kWatchTimeoutMargin);
    }
  }

  void EndCall(Router& router, std::size_t number) {
    Table& table = router.tables[number];
    const bool is_answered = !table.is_lost &&
                             table.answer != StoreAnswer::kRefuses &&
                             table.answer != StoreAnswer::kHangs;
    // A call that is lost while it is out runs into its timeout.
    const TimePoint timeout = table.is_read
                                  ? table.began + kReadTimeout
                                  : table.watch_end + kWatchTimeoutMargin;
    const bool is_waiting = table.is_lost && this->now < timeout;
    if (is_waiting) {
      table.ends = timeout;
      return;
    }
    table.is_out = false;
    const WatchRole role = router.election.Role();
    if (!is_answered) {
      if (role == WatchRole::kListener) return;
      table.shown_at.reset();
      router.election.OnStoreLost(this->now);
      table.retry_delay = std::clamp<Duration>(table.retry_delay * 2,
                                               kMinRetryDelay, kMaxRetryDelay);
      table.idle_until = this->now + table.retry_delay;
      return;
    }
    const std::uint64_t newest =
        number == kConfiguration ? this->StoreVersion() : 0;
    const bool has_rows = newest > table.version;
    if (number == kConfiguration) this->PutInForce(router, newest);
    if (role == WatchRole::kListener) return;
    table.version = newest;
    table.has_table = true;
    table.retry_delay = Duration::zero();
    table.shown_at =
        table.is_read ? table.began : std::min(this->now, table.watch_end);
    const Duration store_time = this->now.time_since_epoch();
    table.watch_end =
        this->now +
        NextWatchWait(store_time, router.election.Rank(), this->Random());
    table.idle_until = has_rows ? this->now + kBatchDelay : this->now;
    const bool has_both = std::all_of(
        router.tables.begin(), router.tables.end(),
        [](const Table& other) { return other.shown_at.has_value(); });
    if (!has_both) return;
    router.election.OnStoreAnswered(
        std::min(*router.tables[0].shown_at, *router.tables[1].shown_at));
  }

  void PutInForce(Router& router, std::uint64_t version) {
    if (version <= router.version) return;
    router.version = version;
    router.election.OnCaughtUp();
  }

  void Observe(const Router& router) {
    if (!this->IsServed(router)) return;
    const auto age = router.election.ViewAge(this->now);
    if (age) this->oldest_view = std::max(this->oldest_view, *age);
    if (router.version >= this->StoreVersion()) return;
    this->longest_delay =
        std::max(this->longest_delay,
                 Duration(this->now - this->changed_at[router.version]));
  }

  void SendDigests(std::size_t from) {
    Router& sender = *this->routers[from];
    const WatchReport report = sender.election.Report(this->now);
    const std::size_t count = std::min(kDigestFanout, this->routers.size() - 1);
    for (std::size_t sent = 0; sent < count; ++sent) {
      std::size_t to = sender.next_peer++ % this->routers.size();
      if (to == from) to = sender.next_peer++ % this->routers.size();
      if (this->Random() < kDigestLoss) continue;
      Router& receiver = *this->routers[to];
      receiver.election.OnDigest(this->now, sender.name, sender.key, report);
      if (sender.version <= receiver.heard_version) continue;
      receiver.heard_version = sender.version;
      receiver.fetched_at = this->now + kFetchTime;
      if (sender.version <= receiver.version) continue;
      receiver.election.OnLagDetected(this->now);
    }
  }

  std::mt19937 random;
  long ticks = 0;
};

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_WATCHING_FLEET_MODEL_H_
