// StoreWatcher: the table of routers, with the rows that they share.
#include <algorithm>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/jitter.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/remote_endpoint.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/store/store_call_times.h"
#include "dispatch/store/store_watcher.h"

namespace dandelionscale::internal {

namespace {

std::int64_t UnixMilliseconds() {
  constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
  return UnixNanoseconds() / kNanosecondsPerMillisecond;
}

// Interval between reads of the table of routers, to find peers that started
// while digests were lost. Until the router's own row is written and after a
// failed read, the calls are repeated after `kMaxRetryDelay` instead.
constexpr Duration kRouterReadInterval = std::chrono::seconds(60);
// A router that reaches none of its peers reads the table this often, since it
// may also hold what they know of prompts that crash engines.
constexpr Duration kIsolatedReadInterval = std::chrono::seconds(1);
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
// Timeout of a call for which a client waits.
constexpr Duration kVersionsReadTimeout = std::chrono::milliseconds(400);
// Within this time after the store was restored, engines write their rows
// again.
constexpr Duration kRelistTime = std::chrono::seconds(2);

}  // namespace

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

}  // namespace dandelionscale::internal
