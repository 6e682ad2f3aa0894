/// \file
/// \brief Model of a fleet in which configurations spread over links that are
///        shared.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_CONFIGURATION_SPREAD_MODEL_H_
#define DANDELIONSCALE_TESTS_SUPPORT_CONFIGURATION_SPREAD_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/snapshot_sources.h"
#include "dandelionscale/core/transfer_budget.h"
#include "dandelionscale/core/version_lag.h"
#include "dandelionscale/core/watch_schedule.h"
#include "dandelionscale/core/watcher_election.h"
#include "dispatch/configuration_history.h"
#include "tests/support/configuration_text.h"

namespace dandelionscale::tests {

/// \brief How routers supply each other; all true: as the product does.
struct SpreadPolicy {
  bool sends_changes = true;    ///< Else the whole text, uncompressed.
  bool judges_progress = true;  ///< Else a transfer has 0.6 s, a read 1.2 s.
  bool sends_by_link = true;    ///< Else up to four bodies at a time.
  bool ranks_by_link = true;    ///< Else fast and slow hosts watch alike.
};

/// \brief Routers that elect watchers, exchange digests and fetch
///        configurations from each other as the product does; the bytes of all
///        transfers share the links of the hosts.
class ConfigurationSpreadModel {
 public:
  struct Host {
    std::uint32_t link_mbps = kDefaultLinkMbps;
    int zone = 0;
    bool is_refused = false;  ///< The store turns it away.
    bool is_stopped = false;  ///< Neither sends nor receives.
    bool is_new_build = true;
  };

  /// What an outcome is judged by.
  struct Totals {
    std::size_t received_bytes = 0;   ///< By all routers.
    std::size_t discarded_bytes = 0;  ///< Of these, of transfers that failed.
    int failed = 0;                   ///< Transfers that were cut.
    int refused = 0;
    int store_reads = 0;  ///< Configurations that came from the store.
  };

  ConfigurationSpreadModel(std::vector<Host> hosts, SpreadPolicy policy,
                           unsigned seed)
      : policy(policy), random(seed) {
    for (std::size_t n = 0; n < hosts.size(); ++n) {
      this->routers.push_back(std::make_unique<Router>(
          "10.0.0." + std::to_string(n), hosts[n], policy));
    }
    for (auto& router : this->routers) {
      for (const auto& peer : this->routers) {
        if (peer == router) continue;
        router->election.OnPeerListed(this->now, peer->name, peer->key);
      }
    }
  }

  /// \brief The store acknowledges a configuration with so many routes.
  void Change(int routes) {
    const std::uint64_t version = this->changed_at.size() + 1;
    this->texts.push_back(ConfigurationText(version, routes));
    this->changed_at.push_back(this->now);
  }

  void Run(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->now += kTick;
      ++this->ticks;
      this->MoveBytes();
      for (std::size_t n = 0; n < this->routers.size(); ++n) this->Step(n);
    }
  }

  /// \returns the host of a router, which a test may change.
  Host& HostOf(std::size_t router) { return this->routers[router]->host; }

  /// \returns the longest time from a change until a router that runs had it in
  ///          force; counts up while one has not.
  Duration LongestDelay() const { return this->longest_delay; }
  bool IsInForceEverywhere() const {
    return std::all_of(this->routers.begin(), this->routers.end(),
                       [this](const auto& router) {
                         return router->host.is_stopped ||
                                router->version >= this->changed_at.size();
                       });
  }
  void BeginToCount() {
    this->longest_delay = Duration::zero();
    this->totals = {};
  }
  const Totals& Counted() const { return this->totals; }

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(10);
  static constexpr Duration kRoundTrip = std::chrono::milliseconds(20);
  static constexpr long kDigestTicks = kDigestInterval / kTick;
  static constexpr long kRoleTicks = 5;
  static constexpr double kDigestLoss = 0.01;
  // Share of each link that requests of clients take.
  static constexpr double kRequestShare = 0.3;
  // Chance in each tick that a transfer waits for a lost packet.
  static constexpr double kPacketLoss = 0.01;
  static constexpr Duration kRetransmission = std::chrono::milliseconds(200);
  // As in the product.
  static constexpr Duration kStallTimeout = std::chrono::milliseconds(600);
  static constexpr Duration kFixedFetchTimeout = std::chrono::milliseconds(600);
  static constexpr Duration kFixedReadTimeout = std::chrono::milliseconds(1200);
  static constexpr Duration kMaxSupplyTime = std::chrono::milliseconds(800);
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(120);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
  static constexpr Duration kMinDigestInterval = std::chrono::milliseconds(30);
  static constexpr int kFixedTransfers = 4;
  static constexpr std::size_t kSmallBytes = 16 * 1024;

  // A body on its way to a router, from a peer or from the store.
  struct Transfer {
    std::optional<std::size_t> from;  ///< None: the store.
    std::uint64_t version = 0;
    std::size_t bytes = 0;
    double arrived = 0;
    TimePoint began{};
    TimePoint last_at{};
    TimePoint paused_until{};
  };

  struct Router {
    Router(std::string name, const Host& host, const SpreadPolicy& policy)
        : name(std::move(name)),
          host(host),
          key(HashText(this->name)),
          election(this->key, policy.ranks_by_link ? host.link_mbps : 0),
          budget(host.link_mbps),
          next_peer(this->key % 1000) {}
    std::string name;
    Host host;
    std::uint64_t key;
    WatcherElection election;
    VersionLag lag;
    SnapshotSources sources;
    TransferBudget budget;
    int sending = 0;  ///< Large bodies to peers.
    std::uint64_t version = 0;
    std::optional<Transfer> fetch;  ///< From a peer.
    std::optional<Transfer> read;   ///< From the store.
    TimePoint supplied_at{};
    TimePoint idle_until{};
    TimePoint watch_end{};
    std::optional<TimePoint> digest_due;
    std::size_t next_peer;
  };

  std::uint64_t StoreVersion() const { return this->changed_at.size(); }

  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  // Bytes of what a peer is sent in place of `version` if it has `base`.
  std::size_t BodyBytes(std::uint64_t base, std::uint64_t version) {
    const std::string& text = this->texts[version - 1];
    if (!this->policy.sends_changes) return text.size();
    const auto [found, is_new] = this->sizes.try_emplace({base, version});
    if (is_new) {
      internal::ConfigurationHistory history;
      if (base > 0) history.OnInForce(this->texts[base - 1]);
      const auto base_hash = base > 0 ? std::optional(history.CurrentHash())
                                      : std::optional<std::uint64_t>();
      history.OnInForce(text);
      found->second = history.Encode(base_hash).frame.size();
    }
    return found->second;
  }

  // The store sends base64.
  std::size_t StoreBytes(std::uint64_t version) const {
    return this->texts[version - 1].size() * 4 / 3;
  }

  static double BytesPerTick(const Host& host) {
    constexpr double kBytesPerMegabit = 1e6 / 8;
    const double seconds = std::chrono::duration<double>(kTick).count();
    return host.link_mbps * kBytesPerMegabit * seconds * (1 - kRequestShare);
  }

  // Moves the bytes of one tick; those on a link share it evenly.
  void MoveBytes() {
    std::vector<int> sending(this->routers.size(), 0);
    for (const auto& router : this->routers) {
      if (router->fetch) ++sending[*router->fetch->from];
    }
    for (auto& router : this->routers) {
      const int receiving = (router->fetch ? 1 : 0) + (router->read ? 1 : 0);
      for (auto* transfer : {&router->fetch, &router->read}) {
        if (!*transfer) continue;
        double bytes = BytesPerTick(router->host) / receiving;
        if ((*transfer)->from) {
          const std::size_t from = *(*transfer)->from;
          const Host& host = this->routers[from]->host;
          bytes = std::min(bytes, BytesPerTick(host) / sending[from]);
          if (host.is_stopped) bytes = 0;
        }
        this->MoveBytes(**transfer, bytes);
      }
    }
  }

  void MoveBytes(Transfer& transfer, double bytes) {
    if (this->now < transfer.paused_until || bytes <= 0) return;
    if (this->Random() < kPacketLoss) {
      transfer.paused_until = this->now + kRetransmission;
      return;
    }
    const double left = static_cast<double>(transfer.bytes) - transfer.arrived;
    const double moved = std::min(bytes, left);
    transfer.arrived += moved;
    transfer.last_at = this->now;
    this->totals.received_bytes += static_cast<std::size_t>(moved);
  }

  void Step(std::size_t n) {
    Router& router = *this->routers[n];
    if (router.host.is_stopped) return;
    const auto offset = static_cast<long>(n);
    if ((this->ticks + offset) % kRoleTicks == 0) {
      router.election.Decide(this->now, this->routers.size() - 1);
    }
    this->StepStore(router);
    this->StepFetch(router);
    this->BeginFetch(n);
    this->Observe(router);
    const bool is_due = router.digest_due && this->now >= *router.digest_due;
    if (is_due || (this->ticks + offset * 7) % kDigestTicks == 0) {
      router.digest_due.reset();
      this->SendDigests(n);
    }
  }

  bool HasArrived(const Transfer& transfer) const {
    return transfer.arrived >= static_cast<double>(transfer.bytes);
  }

  bool IsCut(const Transfer& transfer, Duration fixed_timeout) const {
    return this->policy.judges_progress
               ? this->now - transfer.last_at > kStallTimeout
               : this->now - transfer.began > fixed_timeout;
  }

  void OnCut(const Transfer& transfer) {
    ++this->totals.failed;
    this->totals.discarded_bytes += static_cast<std::size_t>(transfer.arrived);
  }

  void StepStore(Router& router) {
    if (router.read) {
      if (this->HasArrived(*router.read)) {
        const Transfer done = *std::exchange(router.read, std::nullopt);
        ++this->totals.store_reads;
        router.election.OnStoreAnswered(done.began);
        this->PutInForce(router, done.version);
        router.idle_until = this->now + kBatchDelay;
      } else if (this->IsCut(*router.read, kFixedReadTimeout)) {
        this->OnCut(*std::exchange(router.read, std::nullopt));
        router.election.OnStoreLost(this->now);
        router.idle_until = this->now + kRetryDelay;
      }
      return;
    }
    if (!WatchesStore(router.election.Role())) {
      router.watch_end = {};
      return;
    }
    if (this->now < router.idle_until) return;
    if (router.host.is_refused) {
      router.election.OnStoreLost(this->now);
      router.idle_until = this->now + kRetryDelay;
      return;
    }
    const bool begins = router.watch_end == TimePoint{};
    const std::uint64_t newest = this->StoreVersion();
    if (newest > 0 && (newest > router.version || begins)) {
      router.read = Transfer{std::nullopt,
                             newest,
                             this->StoreBytes(newest),
                             0,
                             this->now,
                             this->now + kRoundTrip,
                             this->now + kRoundTrip};
    }
    if (this->now < router.watch_end) return;
    router.election.OnStoreAnswered(this->now);
    router.watch_end =
        this->now + NextWatchWait(this->now.time_since_epoch(),
                                  router.election.Rank(), this->Random());
  }

  void StepFetch(Router& router) {
    if (!router.fetch) return;
    Transfer& fetch = *router.fetch;
    if (fetch.arrived > 0) router.supplied_at = fetch.last_at;
    const bool has_arrived = this->HasArrived(fetch);
    if (!has_arrived && !this->IsCut(fetch, kFixedFetchTimeout)) return;
    const Transfer done = *std::exchange(router.fetch, std::nullopt);
    Router& supplier = *this->routers[*done.from];
    if (done.bytes > kSmallBytes) {
      --supplier.sending;
      supplier.budget.OnEnd(done.bytes);
    }
    if (has_arrived) {
      this->PutInForce(router, done.version);
    } else {
      this->OnCut(done);
    }
  }

  void BeginFetch(std::size_t n) {
    Router& router = *this->routers[n];
    router.sources.OnVersions({router.version, {}});
    while (!router.fetch) {
      const auto name = router.sources.Take(this->now);
      if (!name) return;
      const std::size_t from = this->Find(*name);
      Router& supplier = *this->routers[from];
      if (supplier.version <= router.version) continue;
      const bool is_whole =
          !router.host.is_new_build || !supplier.host.is_new_build;
      const std::size_t bytes =
          is_whole ? this->texts[supplier.version - 1].size()
                   : this->BodyBytes(router.version, supplier.version);
      const bool is_large = bytes > kSmallBytes;
      const bool has_room = this->policy.sends_by_link
                                ? supplier.budget.Admits(bytes)
                                : supplier.sending < kFixedTransfers;
      if (is_large && !has_room) {
        ++this->totals.refused;
        continue;
      }
      if (is_large) {
        ++supplier.sending;
        supplier.budget.OnBegin(bytes);
      }
      router.fetch = Transfer{from,
                              supplier.version,
                              bytes,
                              0,
                              this->now,
                              this->now + kRoundTrip,
                              this->now + kRoundTrip};
    }
  }

  std::size_t Find(const std::string& name) const {
    const auto found =
        std::find_if(this->routers.begin(), this->routers.end(),
                     [&](const auto& router) { return router->name == name; });
    return static_cast<std::size_t>(found - this->routers.begin());
  }

  void PutInForce(Router& router, std::uint64_t version) {
    if (version <= router.version) return;
    router.version = version;
    router.digest_due = this->now + kMinDigestInterval;
    router.lag.OnOwn({version, {}});
    if (!router.lag.Since()) router.election.OnCaughtUp();
  }

  void Observe(const Router& router) {
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
      if (!receiver.host.is_stopped) this->OnDigest(receiver, sender, report);
    }
  }

  void OnDigest(Router& router, const Router& sender,
                const WatchReport& report) {
    router.election.OnDigest(this->now, sender.name, sender.key, report);
    const RowVersions heard{sender.version, {}};
    router.lag.OnHeard(this->now, heard);
    router.lag.OnOwn({router.version, {}});
    const auto since = router.lag.Since();
    if (!since) return;
    const TimePoint supplied_at =
        this->policy.judges_progress
            ? std::min(router.supplied_at, *since + kMaxSupplyTime)
            : *since;
    router.election.OnLagDetected(std::max(*since, supplied_at));
    if (!heard.IsNewerThan({router.version, {}})) return;
    const bool is_own_zone = sender.host.zone == router.host.zone;
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kOwnZoneWait) * (1 + this->Random()));
    router.sources.OnNewer(this->now, sender.name, heard, is_own_zone, wait);
  }

  SpreadPolicy policy;
  std::mt19937 random;
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<std::string> texts;  ///< Of all versions, from 1.
  std::vector<TimePoint> changed_at;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> sizes;
  TimePoint now{std::chrono::hours(1)};
  long ticks = 0;
  Duration longest_delay{};
  Totals totals;
};

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_CONFIGURATION_SPREAD_MODEL_H_
