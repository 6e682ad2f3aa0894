#include "dispatch/store/store_watcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/core/jitter.h"
#include "dandelionscale/core/watch_schedule.h"
#include "dandelionscale/runtime/logger.h"
#include "dispatch/store/store_call_times.h"
#include "dispatch/store/version_reader.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;

namespace {

// Wait of the first watch after the read at the start. It is short, since the
// result shows that this router's view of the store is current.
constexpr Duration kFirstWatchWait = std::chrono::milliseconds(20);
// Delay after a failed call; doubles with each further failure up to
// `kMaxRetryDelay`.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
// Delay before the quarantine is written, within which other changes follow and
// peers agree on it.
constexpr Duration kQuarantineWriteDelay = std::chrono::milliseconds(600);
// Delay before the software versions are written, within which further engines
// are listed.
constexpr Duration kVersionsWriteDelay = std::chrono::milliseconds(100);
// Delay after a call that returned rows, so that the next call returns several
// changes at once.
constexpr Duration kBatchDelay = std::chrono::milliseconds(120);
// Interval at which a starting router decides whether it reads the store.
constexpr Duration kStartUpInterval = std::chrono::milliseconds(20);
// Interval at which the router decides whether it watches the store itself.
constexpr Duration kRoleInterval = std::chrono::milliseconds(50);

// An answer that is this late is not due to a slow store or a lost packet.
constexpr Duration kOverdueTime = std::chrono::milliseconds(300);
// Interval at which the ages of the tables' views are counted.
constexpr Duration kAgeInterval = std::chrono::seconds(1);
// Responses of the store from this size on are logged.
constexpr std::uint64_t kLargeTransferBytes = 16 * 1024;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string_view TableName(StoreTable table) {
  return table == StoreTable::kConfiguration ? "configuration" : "engines";
}

}  // namespace

void StoreWatcher::Start() {
  this->state.version_reader->SetSource(
      [this] { return this->ReadVersions(); });
  asio::co_spawn(this->state.executor,
                 this->WatchTable(StoreTable::kConfiguration), asio::detached);
  asio::co_spawn(this->state.executor, this->WatchTable(StoreTable::kEngines),
                 asio::detached);
  asio::co_spawn(this->state.executor, this->RegisterAndFindPeers(),
                 asio::detached);
  asio::co_spawn(
      this->state.executor,
      this->WriteAfterChanges(
          std::string(kQuarantineRowKey), this->state.quarantine_changed,
          kQuarantineWriteDelay, [this] { return this->FormatQuarantine(); }),
      asio::detached);
  asio::co_spawn(
      this->state.executor,
      this->WriteAfterChanges(std::string(kVersionsRowKey),
                              this->state.versions_changed, kVersionsWriteDelay,
                              [this] { return this->FormatVersions(); }),
      asio::detached);
  asio::co_spawn(this->state.executor, this->WriteOrigins(), asio::detached);
  asio::co_spawn(this->state.executor, this->ChooseRole(), asio::detached);
}

Awaitable<void> StoreWatcher::ChooseRole() {
  while (true) {
    const WatchRole before = this->state.watcher_election.Role();
    const TimePoint now = RuntimeClock::now();
    const WatchRole role =
        this->state.watcher_election.Decide(now, this->state.peers.size());
    if (role != before) this->OnRoleChanged(before, role);
    this->ObserveCalls();
    const Duration interval = kRoleInterval;
    co_await SleepFor(interval);
  }
}

void StoreWatcher::ObserveCalls() {
  const TimePoint now = RuntimeClock::now();
  for (auto& [table, call] : this->calls) {
    if (call.is_logged || now - call.due < kOverdueTime) continue;
    call.is_logged = true;
    const auto shown = this->shown_at.find(table);
    this->state.metrics.Add("store_calls_overdue_total");
    Logger::Warning(
        "store_call_overdue",
        {{"table", TableName(table)},
         {"out_ms", ToMilliseconds(now - call.began)},
         {"table_age_ms", shown == this->shown_at.end()
                              ? std::int64_t{-1}
                              : ToMilliseconds(now - shown->second)},
         {"role", ToString(this->state.watcher_election.Role())}});
  }
  if (now - this->calls_observed_at < kAgeInterval) return;
  this->calls_observed_at = now;
  Metrics& metrics = this->state.metrics;
  for (const auto& [table, shown] : this->shown_at) {
    metrics.Set(fmt::format("store_table_age_seconds{{table=\"{}\"}}",
                            TableName(table)),
                ToSeconds(now - shown));
  }
  if (const auto age = this->state.watcher_election.ViewAge(now)) {
    metrics.Set("view_age_seconds", ToSeconds(*age));
  }
  this->ObserveConfigurations();
}

void StoreWatcher::ObserveConfigurations() {
  std::uint64_t newest = this->state.ConfigurationVersion();
  std::uint64_t oldest = newest;
  for (const auto& [peer, contact] : this->state.live_peers) {
    if (!contact.has_sent_digest) continue;
    newest = std::max(newest, contact.configuration_version);
    oldest = std::min(oldest, contact.configuration_version);
  }
  this->state.metrics.Set("configuration_newest_version",
                          static_cast<double>(newest));
  this->state.metrics.Set("configuration_oldest_version",
                          static_cast<double>(oldest));
}

void StoreWatcher::ObserveTransfer(StoreTable table, bool is_whole_table,
                                   std::uint64_t bytes, Duration duration) {
  if (bytes < kLargeTransferBytes) return;
  Logger::Info("store_transfer",
               {{"table", TableName(table)},
                {"whole", is_whole_table},
                {"bytes", static_cast<std::int64_t>(bytes)},
                {"took_ms", ToMilliseconds(duration)},
                {"role", ToString(this->state.watcher_election.Role())}});
}

void StoreWatcher::OnRoleChanged(WatchRole before, WatchRole role) {
  const TimePoint now = RuntimeClock::now();
  const auto age = this->state.watcher_election.ViewAge(now);
  Logger::Info(
      "watch_role",
      {{"role", ToString(role)},
       {"before", ToString(before)},
       {"view_age_ms", age ? ToMilliseconds(*age) : std::int64_t{-1}},
       {"peers", static_cast<std::int64_t>(this->state.live_peers.size())}});
  this->role_changed.NotifyAll();
  if (role == WatchRole::kListener) {
    // Peers supply configuration and engines from now on, so an earlier loss
    // of the store no longer matters.
    this->shown_at.clear();
    this->state.unreachable_tables.clear();
    this->state.engines.OnStoreRegained(now);
  }
}

void StoreWatcher::OnTableCallSucceeded(StoreTable table, TimePoint shown_at) {
  const TimePoint now = RuntimeClock::now();
  this->state.OnStoreAnswered(TableName(table));
  if (table == StoreTable::kEngines) this->state.engines.OnStoreRegained(now);
  this->shown_at[table] = shown_at;
  const auto engines = this->shown_at.find(StoreTable::kEngines);
  const auto configuration = this->shown_at.find(StoreTable::kConfiguration);
  const bool has_both =
      engines != this->shown_at.end() && configuration != this->shown_at.end();
  if (!has_both) return;
  // One table's calls may be answered while those for the other hang.
  this->state.watcher_election.OnStoreAnswered(
      std::min(engines->second, configuration->second));
}

void StoreWatcher::OnTableCallFailed(StoreTable table, const Fault& fault) {
  this->state.OnStoreFailed(TableName(table), fault);
  this->shown_at.erase(table);
  this->state.watcher_election.OnStoreLost(RuntimeClock::now());
  // The list of engines is stale only if the call for its own table fails.
  if (table == StoreTable::kEngines) this->state.engines.OnStoreLost();
}

Awaitable<void> StoreWatcher::WatchTable(StoreTable table) {
  bool has_table = false;
  StoreVersion version;
  Duration pause = kMinRetryDelay;
  TimePoint watch_end{};
  while (true) {
    const WatchRole role = this->state.watcher_election.Role();
    if (role == WatchRole::kListener) {
      co_await this->role_changed.Wait();
      // Peers have supplied changes since the table was read.
      has_table = false;
      continue;
    }
    if (role == WatchRole::kStarting && has_table) {
      co_await this->role_changed.Wait();
      // The table may have changed since it was read. In a large fleet, where
      // it is large, a watch that does not wait returns the changes.
      has_table = this->state.start_up_source.IsLargeFleet();
      if (has_table) watch_end = RuntimeClock::now() + kFirstWatchWait;
      continue;
    }
    if (!has_table && !this->MayRead()) {
      co_await this->state.start_up_source_changed.WaitFor(kStartUpInterval);
      continue;
    }
    Result<StoreRows> rows = StoreRows();
    const TimePoint began = RuntimeClock::now();
    const std::uint64_t bytes_before = this->store->BytesRead(table);
    TimePoint shown_at = began;
    if (has_table) {
      const Duration wait = std::max(watch_end - began, kFirstWatchWait);
      this->calls[table] = {began, began + wait};
      rows = co_await this->store->Watch(table, version, wait);
      shown_at = std::min(RuntimeClock::now(), began + wait);
    } else {
      this->calls[table] = {began, began};
      rows = co_await this->store->Read(table, kReadTimeout);
      this->state.metrics.ObserveLatency("store_read_seconds",
                                         RuntimeClock::now() - began);
    }
    this->calls.erase(table);
    this->ObserveTransfer(table, !has_table,
                          this->store->BytesRead(table) - bytes_before,
                          RuntimeClock::now() - began);
    // The call was in flight when this router became a listener, which peers
    // supply. A whole table is used unless peers have supplied a newer one. A
    // failure is ignored: it would mark the list of engines as stale until this
    // router watches again, and engines that peers report as removed would stay
    // in the list.
    if (this->state.watcher_election.Role() == WatchRole::kListener) {
      if (rows.has_value() && !has_table) {
        this->state.OnStoreEra(rows->version.era);
        this->OnRows(table, *rows, true);
      }
      continue;
    }
    if (rows.has_error()) {
      const Fault& fault = rows.error();
      if (fault.kind == FaultKind::kUnexpectedStatus) {
        // The store lacks `version` or the changes since then. The next call
        // reads the whole table.
        Logger::Info("store_history_gone", {{"table", TableName(table)}});
        has_table = false;
        continue;
      }
      this->OnTableCallFailed(table, fault);
      const Duration jittered = WithJitter(pause, this->state.Random());
      co_await SleepFor(jittered);
      pause = std::min(pause * 2, kMaxRetryDelay);
      continue;
    }
    pause = kMinRetryDelay;
    this->state.metrics.Add("store_calls_total");
    watch_end =
        RuntimeClock::now() + NextWatchWait(rows->store_time,
                                            this->state.watcher_election.Rank(),
                                            this->state.Random());
    this->state.OnStoreEra(rows->version.era);
    if (has_table && rows->version.era > version.era) {
      // The rows are not the difference to the state before the restoration.
      has_table = false;
      continue;
    }
    if (rows->version < version) {
      // Older than the rows already applied; the next response may be current.
      const Duration jittered =
          WithJitter(kMinRetryDelay, this->state.Random());
      co_await SleepFor(jittered);
      continue;
    }
    this->OnRows(table, *rows, !has_table);
    version = rows->version;
    has_table = true;
    this->OnTableCallSucceeded(table, shown_at);
    if (rows->rows.empty()) continue;
    const Duration batch_delay = kBatchDelay;
    co_await SleepFor(batch_delay);
  }
}

bool StoreWatcher::MayRead() const {
  const WatchRole role = this->state.watcher_election.Role();
  const bool may_be_supplied =
      role == WatchRole::kStarting ||
      (role == WatchRole::kStandIn && !this->state.HasRows());
  return !may_be_supplied ||
         this->state.start_up_source.ReadsStore(RuntimeClock::now());
}

void StoreWatcher::OnRows(StoreTable table, const StoreRows& rows,
                          bool is_whole_table) {
  if (table == StoreTable::kConfiguration) {
    this->OnConfigurationRows(rows, is_whole_table);
  } else {
    this->OnEngineRows(rows, is_whole_table);
  }
}

void StoreWatcher::OnConfigurationRows(const StoreRows& rows,
                                       bool is_whole_table) {
  this->OnEvacuationRows(rows, is_whole_table);
  for (const StoreRow& row : rows.rows) {
    if (row.key != kConfigurationRowKey || row.removed) continue;
    this->state.ApplyConfiguration(row.value, "store");
  }
}

void StoreWatcher::OnEvacuationRows(const StoreRows& rows,
                                    bool is_whole_table) {
  std::vector<EvacuatedZones::Change> changes;
  EvacuatedZones::Zones listed;
  for (const StoreRow& row : rows.rows) {
    if (!row.key.starts_with(kEvacuationRowPrefix)) continue;
    std::string zone = row.key.substr(kEvacuationRowPrefix.size());
    if (!row.removed) listed.insert(zone);
    changes.push_back({std::move(zone), !row.removed});
  }
  EvacuatedZones& evacuated = this->state.evacuated_zones;
  if (is_whole_table) {
    this->state.OnZoneChanges(evacuated.OnTable(rows.version, listed), "store");
  } else if (!changes.empty()) {
    this->state.OnZoneChanges(evacuated.OnRows(rows.version, changes), "store");
  }
}

void StoreWatcher::OnEngineRows(const StoreRows& rows, bool is_whole_table) {
  const TimePoint now = RuntimeClock::now();
  std::vector<EngineUpdate> updates;
  std::vector<EngineRecord> records;
  for (const StoreRow& row : rows.rows) {
    this->state.newest_engine_version =
        std::max(this->state.newest_engine_version,
                 StoreVersion{rows.version.era, row.version});
    EngineUpdate update = this->DecodeEngineRow(row);
    // A whole table repeats the rows that are in use already. The time of a
    // warm-up in such a row ran from when it was written, and must not begin
    // anew.
    const StoreVersion written{rows.version.era, row.version};
    if (is_whole_table && written.era == this->state.engines.Version().era &&
        written <= this->state.engines.Version()) {
      update.record.warm_up_left = Duration::zero();
    }
    if (!update.removed) records.push_back(update.record);
    updates.push_back(std::move(update));
  }
  this->state.engines_known = true;
  const std::vector<EngineChange> changes =
      is_whole_table
          ? this->state.engines.OnSnapshot(now, rows.version, records)
          : this->state.engines.OnUpdates(now, rows.version, updates);
  if (is_whole_table) this->state.AnnounceRemovals(changes);
  this->state.OnEngineChanges(changes, "store");
}

EngineUpdate StoreWatcher::DecodeEngineRow(const StoreRow& row) {
  EngineUpdate update{row.key, true, {}};
  if (row.removed) return update;
  const auto leave_out = [&](std::string_view what) {
    this->state.metrics.Add("engine_entries_malformed_total");
    if (!this->logged_malformed.insert(row.key).second) return;
    Logger::Warning("engine_entry_malformed",
                    {{"engine", row.key}, {"what", what}});
  };
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(record,
                        this->state.codec->DecodeEngine(row.key, row.value));
        update.record = std::move(record);
        update.removed = false;
        return {};
      },
      [&](const DecodeFault& fault) { leave_out(fault.what); },
      [&] { leave_out("unknown"); });
  return update;
}

}  // namespace dandelionscale::internal
