#include "dispatch/belief_watcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;

namespace {

constexpr Duration kReadTimeout = std::chrono::milliseconds(1200);
// How long one watch call waits. A watch can fall silent without closing; it
// is asked again after this time.
constexpr Duration kWatchWait = std::chrono::milliseconds(1600);
// Part of the wait by which routers differ.
constexpr double kWatchSpread = 0.4;
// Pause after a failed call; grows up to the longest.
constexpr Duration kShortestPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::milliseconds(800);
// A router's row is written again until this has worked; rows are read anew
// this often to find peers that came while digests were lost.
constexpr Duration kRouterReadInterval = std::chrono::seconds(20);
// Changes are gathered for so long after some have come.
constexpr Duration kGatherPause = std::chrono::milliseconds(120);
// How often the router decides whether it watches the store itself.
constexpr Duration kRoleInterval = std::chrono::milliseconds(50);

std::string_view NameOf(StoreTable table) {
  return table == StoreTable::kConfiguration ? "configuration" : "engines";
}

Duration Spread(Duration duration, double random) {
  const double factor = 1.0 - kWatchSpread * random;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

void BeliefWatcher::Start() {
  asio::co_spawn(this->state.executor,
                 this->WatchTable(StoreTable::kConfiguration), asio::detached);
  asio::co_spawn(this->state.executor, this->WatchTable(StoreTable::kEngines),
                 asio::detached);
  asio::co_spawn(this->state.executor, this->JoinRouters(), asio::detached);
  asio::co_spawn(this->state.executor, this->ChooseRole(), asio::detached);
}

Awaitable<void> BeliefWatcher::ChooseRole() {
  while (true) {
    const WatchRole before = this->state.watcher_election.Role();
    const TimePoint now = RuntimeClock::now();
    const WatchRole role =
        this->state.watcher_election.Decide(now, this->state.peers.size());
    if (role != before) this->OnRoleChanged(before, role);
    const Duration interval = kRoleInterval;
    co_await SleepFor(interval);
  }
}

void BeliefWatcher::OnRoleChanged(WatchRole before, WatchRole role) {
  const TimePoint now = RuntimeClock::now();
  const auto age = this->state.watcher_election.ViewAge(now);
  Logger::Info("watch_role",
               {{"role", ToString(role)},
                {"before", ToString(before)},
                {"view_age_ms", age ? ToMilliseconds(*age) : std::int64_t{-1}},
                {"peers", static_cast<std::int64_t>(
                              this->state.last_digest_at.size())}});
  if (before == WatchRole::kListener) {
    this->duty_began.NotifyAll();
  } else if (role == WatchRole::kListener) {
    // Its peers keep the beliefs fresh from here on.
    this->tables_read.clear();
    this->state.unreachable_tables.clear();
    this->state.engines.OnStoreRegained(now);
  }
}

void BeliefWatcher::OnTableAnswered(StoreTable table) {
  const TimePoint now = RuntimeClock::now();
  this->state.OnStoreAnswered(NameOf(table));
  if (table == StoreTable::kEngines) this->state.engines.OnStoreRegained(now);
  this->tables_read.insert(table);
  const bool has_both = this->tables_read.contains(StoreTable::kEngines) &&
                        this->tables_read.contains(StoreTable::kConfiguration);
  if (has_both) this->state.watcher_election.OnStoreAnswered(now);
}

void BeliefWatcher::OnTableFailed(StoreTable table, const Fault& fault) {
  this->state.OnStoreFailed(NameOf(table), fault);
  this->tables_read.erase(table);
  this->state.watcher_election.OnStoreLost(RuntimeClock::now());
  // Only its own table tells whether the list of engines can be refreshed.
  if (table == StoreTable::kEngines) this->state.engines.OnStoreLost();
}

Awaitable<void> BeliefWatcher::WatchTable(StoreTable table) {
  bool know_table = false;
  std::uint64_t version = 0;
  Duration pause = kShortestPause;
  while (true) {
    if (this->state.watcher_election.Role() == WatchRole::kListener) {
      know_table = false;
      co_await this->duty_began.Wait();
      continue;
    }
    Result<StoreRows> rows = StoreRows();
    if (know_table) {
      const Duration wait = Spread(kWatchWait, this->state.Random());
      rows = co_await this->store->Watch(table, version, wait);
    } else {
      const TimePoint began = RuntimeClock::now();
      rows = co_await this->store->Read(table, kReadTimeout);
      this->state.metrics.ObserveLatency("store_read_seconds",
                                         RuntimeClock::now() - began);
    }
    // What a call brings that was under way when the watch was left to peers
    // says nothing of the beliefs any more.
    if (this->state.watcher_election.Role() == WatchRole::kListener) continue;
    if (rows.has_error()) {
      const Fault& fault = rows.error();
      if (fault.kind == FaultKind::kUnexpectedStatus) {
        Logger::Info("store_history_gone", {{"table", NameOf(table)}});
        know_table = false;
        continue;
      }
      this->OnTableFailed(table, fault);
      const Duration spread = Spread(pause, this->state.Random());
      co_await SleepFor(spread);
      pause = std::min(pause * 2, kLongestPause);
      continue;
    }
    pause = kShortestPause;
    this->state.metrics.Add("store_calls_total");
    if (rows->version < version) {
      // An answer from the past; the next one may be current.
      const Duration spread = Spread(kShortestPause, this->state.Random());
      co_await SleepFor(spread);
      continue;
    }
    if (table == StoreTable::kConfiguration) {
      this->OnConfigurationRows(*rows);
    } else {
      this->OnEngineRows(*rows, !know_table);
    }
    version = rows->version;
    know_table = true;
    this->OnTableAnswered(table);
    if (rows->rows.empty()) continue;
    const Duration gather = kGatherPause;
    co_await SleepFor(gather);
  }
}

Awaitable<void> BeliefWatcher::JoinRouters() {
  const std::string address = ToText(this->state.options.peer_address);
  bool written = false;
  while (true) {
    // Written before it is read: of two routers that start together, at least
    // the later writer finds the other, and its digests tell the other of it.
    if (!written) {
      auto result = co_await this->store->WriteRouter(this->state.options.name,
                                                      address, kReadTimeout);
      written = result.has_value();
    }
    auto rows = co_await this->store->Read(StoreTable::kRouters, kReadTimeout);
    if (rows.has_value()) this->OnRouterRows(*rows);
    const bool joined = written && rows.has_value();
    const Duration pause = joined ? kRouterReadInterval : kLongestPause;
    const Duration spread = Spread(pause, this->state.Random());
    co_await SleepFor(spread);
  }
}

void BeliefWatcher::OnRouterRows(const StoreRows& rows) {
  for (const StoreRow& row : rows.rows) {
    const bool is_other = row.key != this->state.options.name && !row.removed;
    if (!is_other || ParseEndpoint(row.value).has_error()) continue;
    if (!this->state.peers.insert(row.value).second) continue;
    Logger::Info("peer_listed", {{"peer", row.value}, {"name", row.key}});
  }
}

void BeliefWatcher::OnConfigurationRows(const StoreRows& rows) {
  for (const StoreRow& row : rows.rows) {
    if (row.key != kConfigurationRowKey || row.removed) continue;
    this->state.ApplyConfiguration(row.value, "store");
  }
}

void BeliefWatcher::OnEngineRows(const StoreRows& rows, bool is_whole_table) {
  const TimePoint now = RuntimeClock::now();
  std::vector<EngineUpdate> updates;
  std::vector<EngineRecord> records;
  for (const StoreRow& row : rows.rows) {
    this->state.newest_engine_version =
        std::max(this->state.newest_engine_version, row.version);
    EngineUpdate update;
    if (!this->DecodeEngineRow(row, update)) continue;
    if (!update.removed) records.push_back(update.record);
    updates.push_back(std::move(update));
  }
  this->state.engines_known = true;
  const std::vector<EngineChange> changes =
      is_whole_table
          ? this->state.engines.OnSnapshot(now, rows.version, records)
          : this->state.engines.OnUpdates(now, rows.version, updates);
  this->state.OnEngineChanges(changes, "store");
}

bool BeliefWatcher::DecodeEngineRow(const StoreRow& row, EngineUpdate& update) {
  update.id = row.key;
  update.removed = row.removed;
  if (row.removed) return true;
  auto log_once = [&](std::string_view what) {
    if (!this->malformed.insert(row.key).second) return;
    Logger::Warning("engine_entry_malformed",
                    {{"engine", row.key}, {"what", what}});
  };
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(record,
                        this->state.codec->DecodeEngine(row.key, row.value));
        update.record = std::move(record);
        return true;
      },
      [&](const DecodeFault& fault) {
        log_once(fault.what);
        return false;
      },
      [&] {
        log_once("unknown");
        return false;
      });
}

}  // namespace dandelionscale::internal
