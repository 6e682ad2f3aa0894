#include "dispatch/store/store_watcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/watch_schedule.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/remote_endpoint.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/store/version_reader.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;

namespace {

std::int64_t UnixMilliseconds() {
  constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
  return UnixNanoseconds() / kNanosecondsPerMillisecond;
}

constexpr Duration kReadTimeout = std::chrono::milliseconds(1200);
// Wait of the first watch after the read at the start. It is short, since the
// result shows that this router's view of the store is current.
constexpr Duration kFirstWatchWait = std::chrono::milliseconds(20);
// Largest fraction of a delay that is subtracted at random, so that routers do
// not call the store in step.
constexpr double kMaxJitter = 0.4;
// Delay after a failed call; doubles with each further failure up to the
// maximum.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);
// Interval between reads of the table of routers, to find peers that started
// while digests were lost. Until the router's own row is written and after a
// failed read, the calls are repeated after `kMaxRetryDelay` instead.
constexpr Duration kRouterReadInterval = std::chrono::seconds(60);
// A router that reaches none of its peers reads the table this often, since it
// may also hold what they know of prompts that crash engines.
constexpr Duration kIsolatedReadInterval = std::chrono::seconds(1);
// Delay before the quarantine is written, within which other changes follow and
// peers agree on it.
constexpr Duration kQuarantineWriteDelay = std::chrono::milliseconds(600);
// Delay before the software versions are written, within which further engines
// are listed.
constexpr Duration kVersionsWriteDelay = std::chrono::milliseconds(100);
// Routers that write them, so that the row is written if one of these ends.
constexpr std::size_t kVersionsWriters = 2;
// Interval at which a router writes where its streams began, if there are new
// ones.
constexpr Duration kOriginsWriteInterval = std::chrono::milliseconds(500);
// Streams that began longer ago have mostly ended.
constexpr Duration kStoredOriginAge = std::chrono::seconds(15);
// Keeps the row within the store's limit.
constexpr std::size_t kMaxStoredOrigins = 3000;
// Within this time after a restoration of the store, routers check whether
// their rows are still there.
constexpr std::chrono::duration<double> kReregistrationSpread =
    std::chrono::seconds(2);
// Delay after a call that returned rows, so that the next call returns several
// changes at once.
constexpr Duration kBatchDelay = std::chrono::milliseconds(120);
// Timeout of a call for which a client waits.
constexpr Duration kVersionsReadTimeout = std::chrono::milliseconds(400);
// Within this time after the store was restored, engines write their rows
// again.
constexpr Duration kRelistTime = std::chrono::seconds(2);
// Interval at which a starting router decides whether it reads the store.
constexpr Duration kStartUpInterval = std::chrono::milliseconds(20);
// Interval at which the router decides whether it watches the store itself.
constexpr Duration kRoleInterval = std::chrono::milliseconds(50);

// An answer that is this late is not due to a slow store or a lost packet.
constexpr Duration kOverdueTime = std::chrono::milliseconds(300);
// Interval at which the ages of the tables' views are counted.
constexpr Duration kAgeInterval = std::chrono::seconds(1);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string_view TableName(StoreTable table) {
  return table == StoreTable::kConfiguration ? "configuration" : "engines";
}

Duration WithJitter(Duration duration, double random) {
  const double factor = 1.0 - kMaxJitter * random;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
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
  const bool has_rows =
      this->state.engines_known && this->state.routing_table != nullptr;
  const WatchRole role = this->state.watcher_election.Role();
  const bool may_be_supplied = role == WatchRole::kStarting ||
                               (role == WatchRole::kStandIn && !has_rows);
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

Awaitable<void> StoreWatcher::RegisterAndFindPeers() {
  const std::string address = ToText(this->state.options.peer_address);
  bool written = false;
  // The store may be restored while this router does not wait for that.
  std::uint64_t generation = this->state.store_restored.Generation();
  while (true) {
    // The own row is written before the table is read: of two routers that
    // start at the same time, at least the later writer reads the row of the
    // other, which then receives its digests.
    if (!written) {
      auto result = co_await this->store->WriteRow(this->state.options.name,
                                                   address, kReadTimeout);
      written = result.has_value();
    }
    auto rows = co_await this->store->Read(StoreTable::kRouters, kReadTimeout);
    if (rows.has_value()) {
      this->OnRouterTable(*rows);
      this->OnRoutersKnown();
    } else {
      this->state.start_up_source.OnListFailed();
    }
    // The store may have been restored from a copy without the row.
    if (rows.has_value()) written = written && this->HasOwnRow(*rows);
    const bool is_registered = written && rows.has_value();
    const Duration pause = is_registered ? kRouterReadInterval : kMaxRetryDelay;
    const Duration jittered = WithJitter(pause, this->state.Random());
    const bool restored = co_await this->WaitForNextRead(jittered, generation);
    if (restored) {
      generation = this->state.store_restored.Generation();
      this->state.versions_changed.NotifyAll();
      // One router writes the quarantine again, if there is any.
      if (!this->state.quarantine.Blocked().empty() &&
          this->state.IsFirstAmongPeers(0)) {
        this->state.quarantine_changed.NotifyAll();
      }
      const auto spread = std::chrono::duration_cast<Duration>(
          kReregistrationSpread * this->state.Random());
      co_await SleepFor(spread);
    }
  }
}

Awaitable<bool> StoreWatcher::WaitForNextRead(Duration interval,
                                              std::uint64_t generation) {
  const TimePoint end = RuntimeClock::now() + interval;
  while (true) {
    if (this->state.store_restored.Generation() != generation) co_return true;
    const Duration left = end - RuntimeClock::now();
    if (left <= Duration::zero()) co_return false;
    const Duration step = std::min(left, kIsolatedReadInterval);
    co_await this->state.store_restored.WaitFor(step);
    if (this->IsIsolated()) co_return false;
  }
}

bool StoreWatcher::IsIsolated() const {
  return !this->state.peers.empty() && this->state.live_peers.empty();
}

Awaitable<void> StoreWatcher::WriteAfterChanges(
    std::string key, Event& changed, Duration delay,
    std::function<std::optional<std::string>()> format) {
  std::uint64_t handled = 0;
  while (true) {
    // Changes may come while the row is written.
    while (changed.Generation() == handled) co_await changed.Wait();
    Result<void> written = Fault{FaultKind::kNotSent, "not written yet"};
    Duration pause = delay;
    while (written.has_error()) {
      const Duration jittered = WithJitter(pause, this->state.Random());
      co_await SleepFor(jittered);
      handled = changed.Generation();
      std::optional<std::string> row = format();
      if (!row) break;
      written =
          co_await this->store->WriteRow(key, std::move(*row), kReadTimeout);
      this->state.metrics.Add("store_calls_total");
      if (written.has_error()) {
        Logger::Warning("shared_row_not_written",
                        {{"row", key},
                         {"fault", ToString(written.error().kind)},
                         {"detail", written.error().detail}});
      }
      pause = kMaxRetryDelay;
    }
  }
}

Awaitable<void> StoreWatcher::WriteOrigins() {
  const std::string key =
      std::string(kOriginsRowPrefix) + this->state.options.name;
  std::uint64_t written_records = 0;
  bool is_empty = true;
  while (true) {
    const Duration interval =
        WithJitter(kOriginsWriteInterval, this->state.Random());
    co_await SleepFor(interval);
    // The row of this router's former process must be read first.
    if (!this->state.software_versions.IsHistoryKnown()) continue;
    const TimePoint now = RuntimeClock::now();
    std::vector<StreamOrigin> origins;
    if (this->state.software_versions.HasSeveral(now)) {
      origins = this->state.stream_origins.Own(now, kStoredOriginAge);
      origins.resize(std::min(origins.size(), kMaxStoredOrigins));
    }
    const std::uint64_t records = this->state.stream_origins.OwnRecords();
    const bool is_same =
        origins.empty() ? is_empty : records == written_records;
    if (is_same) continue;
    std::string row = FormatOriginsRow(origins, UnixMilliseconds());
    auto written =
        co_await this->store->WriteRow(key, std::move(row), kReadTimeout);
    this->state.metrics.Add("store_calls_total");
    if (written.has_error()) continue;
    written_records = records;
    is_empty = origins.empty();
  }
}

void StoreWatcher::OnOriginsRow(const StoreRow& row) {
  const bool is_own = std::string_view(row.key).substr(
                          kOriginsRowPrefix.size()) == this->state.options.name;
  // Later reads bring nothing new of this router's own streams.
  if (is_own && this->state.software_versions.IsHistoryKnown()) return;
  const TimePoint now = RuntimeClock::now();
  for (const StreamOrigin& origin :
       ToStreamOrigins(row.value, UnixMilliseconds())) {
    this->state.stream_origins.Record(now, origin, is_own);
  }
}

Awaitable<bool> StoreWatcher::ReadVersions() {
  auto engines =
      co_await this->store->Read(StoreTable::kEngines, kVersionsReadTimeout);
  this->state.metrics.Add("store_calls_total");
  if (engines.has_error()) co_return false;
  this->state.OnStoreEra(engines->version.era);
  this->OnVersionsListed(*engines);
  // Read after the engines: versions that have left are written by then.
  auto routers =
      co_await this->store->Read(StoreTable::kRouters, kVersionsReadTimeout);
  this->state.metrics.Add("store_calls_total");
  if (routers.has_error()) co_return false;
  this->OnRouterTable(*routers);
  const bool is_newest_era = engines->version.era == this->state.store_era;
  const Duration since_restoration =
      RuntimeClock::now() - this->state.store_restored_at;
  co_return is_newest_era && (since_restoration >= kRelistTime);
}

void StoreWatcher::OnVersionsListed(const StoreRows& engine_rows) {
  std::vector<VersionReport> reports;
  for (const StoreRow& row : engine_rows.rows) {
    const EngineUpdate update = this->DecodeEngineRow(row);
    const auto& version = update.record.software_version;
    if (update.removed || !version) continue;
    reports.push_back({update.record.service, *version, Duration::zero()});
  }
  this->state.software_versions.OnReports(RuntimeClock::now(), reports);
}

std::string StoreWatcher::FormatQuarantine() const {
  return FormatQuarantineRow(this->state.quarantine.Blocked(),
                             RuntimeClock::now(), UnixMilliseconds());
}

std::optional<std::string> StoreWatcher::FormatVersions() const {
  // The row may hold versions that only former processes have seen.
  if (!this->state.software_versions.IsHistoryKnown()) return std::nullopt;
  const std::uint64_t key = HashText(kVersionsRowKey);
  if (this->state.RankAmongPeers(key) >= kVersionsWriters) return std::nullopt;
  return FormatVersionsRow(
      this->state.software_versions.Reports(RuntimeClock::now()),
      UnixMilliseconds());
}

bool StoreWatcher::HasOwnRow(const StoreRows& rows) const {
  return std::any_of(rows.rows.begin(), rows.rows.end(),
                     [this](const StoreRow& row) {
                       return row.key == this->state.options.name;
                     });
}

void StoreWatcher::OnRouterTable(const StoreRows& rows) {
  this->OnRouterRows(rows);
  if (this->state.software_versions.IsHistoryKnown()) return;
  this->state.software_versions.OnHistoryKnown();
  this->state.versions_changed.NotifyAll();
}

void StoreWatcher::OnRoutersKnown() {
  if (this->state.start_up_source.IsDecided()) return;
  std::vector<std::uint64_t> keys;
  for (const std::string& peer : this->state.peers) {
    keys.push_back(HashText(peer));
  }
  this->state.start_up_source.OnRoutersListed(RuntimeClock::now(), keys);
  this->state.start_up_source_changed.NotifyAll();
}

void StoreWatcher::OnRouterRows(const StoreRows& rows) {
  for (const StoreRow& row : rows.rows) {
    if (row.key == kQuarantineRowKey && !row.removed) {
      this->OnQuarantineRow(row);
      continue;
    }
    if (row.key.starts_with(kOriginsRowPrefix)) {
      if (!row.removed) this->OnOriginsRow(row);
      continue;
    }
    if (row.key == kVersionsRowKey && !row.removed) {
      this->state.software_versions.OnReports(
          RuntimeClock::now(), ToVersionReports(row.value, UnixMilliseconds()));
      continue;
    }
    const bool is_other = row.key != this->state.options.name && !row.removed;
    if (!is_other || ParseRemoteEndpoint(row.value).has_error()) continue;
    if (!this->state.peers.insert(row.value).second) continue;
    const TimePoint now = RuntimeClock::now();
    this->state.watcher_election.OnPeerListed(now, row.value,
                                              HashText(row.value));
    this->state.live_peers.try_emplace(row.value, PeerContact{now, false});
    Logger::Info("peer_listed", {{"peer", row.value}, {"name", row.key}});
  }
}

void StoreWatcher::OnQuarantineRow(const StoreRow& row) {
  const TimePoint now = RuntimeClock::now();
  this->state.OnQuarantineChanges(
      this->state.quarantine.Apply(
          now, ToQuarantineUpdate(row.value, now, UnixMilliseconds())),
      "store");
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
