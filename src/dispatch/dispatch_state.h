/// \file
/// \brief State that the components of one router share.
#ifndef DANDELIONSCALE_SRC_DISPATCH_DISPATCH_STATE_H_
#define DANDELIONSCALE_SRC_DISPATCH_DISPATCH_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/engine_reachability.h"
#include "dandelionscale/core/evacuated_zones.h"
#include "dandelionscale/core/load/admission_queue.h"
#include "dandelionscale/core/load/fleet_retry_budget.h"
#include "dandelionscale/core/load/peer_load.h"
#include "dandelionscale/core/load/rate_limit_news.h"
#include "dandelionscale/core/load/rate_permits.h"
#include "dandelionscale/core/load/service_times.h"
#include "dandelionscale/core/load/stated_loads.h"
#include "dandelionscale/core/load/work_time.h"
#include "dandelionscale/core/load/zone_spill.h"
#include "dandelionscale/core/memory_budget.h"
#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/core/prefix_update_queue.h"
#include "dandelionscale/core/request_quarantine.h"
#include "dandelionscale/core/routing_table.h"
#include "dandelionscale/core/snapshot_sources.h"
#include "dandelionscale/core/software_versions.h"
#include "dandelionscale/core/start_up_check.h"
#include "dandelionscale/core/start_up_source.h"
#include "dandelionscale/core/stream_origins.h"
#include "dandelionscale/core/watcher_election.h"
#include "dandelionscale/dispatch/dispatch_router.h"
#include "dandelionscale/runtime/event.h"
#include "dandelionscale/runtime/metrics.h"
#include "dispatch/configuration_history.h"
#include "dispatch/traffic.h"
#include "dispatch/watchdog.h"

namespace dandelionscale::internal {

class EngineReports;
class OriginExchange;
class PermitExchange;
class RequestDispatch;
class TunnelPeers;
class VersionReader;

/// \brief A pause that an engine has asked for on a tunnel. It binds the router
///        that carried the tunnel.
struct CarriedPause {
  std::uint64_t engine_key = 0;
  std::string peer;  ///< Address of that router, IP:PORT.
  TimePoint until{};
};

/// \brief Queue, retry budget, observed times and loads of one service.
struct ServiceState {
  explicit ServiceState(RetryBudgetLimits budget_limits)
      : budget(budget_limits) {}
  AdmissionQueue queue;
  FleetRetryBudget budget;
  ServiceTimes times;
  WorkTime work_time;
  ZoneSpill zone_spill;
};

/// \brief When a peer was last known to be alive.
struct PeerContact {
  /// Arrival of its last digest, or when it was found in the store's table.
  TimePoint at{};
  bool has_sent_digest = false;
  /// As in `DispatchState::zone_key`; none if it is not known.
  std::optional<std::uint32_t> zone_key{};
  /// Version in its last digest; 0 if it has sent none.
  std::uint64_t configuration_version = 0;
};

/// Interval of `DispatchState::OnLoopCheck()`.
inline constexpr Duration kLoopCheckInterval = std::chrono::milliseconds(40);

/// \brief Configuration, engine and peer state, metrics and active requests of
/// one router.
class DispatchState {
 public:
  DispatchState(boost::asio::any_io_executor executor, DispatchOptions options,
                std::shared_ptr<const ProtocolCodec> codec);
  ~DispatchState();

  /// \brief Applies the settings that may change while the router runs.
  void Reload(const DispatchOptions& new_options);
  /// \brief Replaces the routing table if `text` has a higher version.
  /// \param source origin of the text, for the log.
  /// \returns false if the text is malformed or its version is not higher.
  bool ApplyConfiguration(std::string_view text, std::string_view source);
  /// \brief Logs and counts engine changes, and triggers a digest to the peers.
  /// \param source origin of the changes, for the log.
  void OnEngineChanges(const std::vector<EngineChange>& changes,
                       std::string_view source);
  /// \brief Lets digests announce the current list of engines if `changes` hold
  ///        a removal that no row of the store shows.
  void AnnounceRemovals(std::span<const EngineChange> changes);
  /// \brief Logs zones that were evacuated or restored, and triggers a digest
  ///        to the peers. Engines of a restored zone begin to warm up. To be
  ///        called after each event that is passed to `evacuated_zones`.
  /// \param source origin of the changes, for the log.
  void OnZoneChanges(const std::vector<EvacuatedZones::Change>& changes,
                     std::string_view source);
  /// \returns true if no request may be sent to the engine because its zone is
  ///          evacuated.
  bool IsEvacuated(const Engine& engine) const {
    return this->evacuated_zones.Contains(engine.record.availability_zone);
  }
  /// \brief Logs and counts changes of the quarantine, and triggers a digest to
  ///        the peers if they should know at once. To be called after each
  ///        event that is passed to `quarantine`.
  /// \param source origin of the changes, for the log.
  void OnQuarantineChanges(const std::vector<QuarantineChange>& changes,
                           std::string_view source);
  /// \brief The same for changes that this router has found itself, which are
  ///        also written to the store.
  void OnOwnQuarantineChanges(const std::vector<QuarantineChange>& changes,
                              std::string_view source);
  /// \brief Records that the event loop runs; called every
  ///        `kLoopCheckInterval`.
  void OnLoopCheck(TimePoint now);
  /// \returns for how long a request that is read at `now` may have waited
  ///          because the process did not run; zero in normal operation.
  Duration LoopStall(TimePoint now) const;
  /// \returns true if the process did not run for some time since `since`.
  bool HasPausedSince(TimePoint since) const {
    return this->last_stall_end >= since;
  }
  /// \returns true if peers may have counted this router as lost shortly before
  ///          `now` and not yet know that it runs.
  bool HasJustResumed(TimePoint now) const;
  /// \returns true if no other router can know of engines that this one has not
  ///          heard of for some time.
  bool IsViewCurrent(TimePoint now) const;
  /// \brief Records the store's era, as it or a peer reports it.
  void OnStoreEra(std::uint64_t era);
  /// \brief Applies what an engine states about itself in a response head: that
  ///        it is shutting down, or that it wants no requests for some time.
  void OnEngineResponse(Engine& engine, const EngineResponse& response);
  /// \returns true if digests reach the peers in rotation. Only then are loads
  ///          that engines state more recent than the peers' reports; smaller
  ///          fleets neither use nor forward them.
  bool UsesStatedLoads() const { return this->peers.size() > kDigestFanout; }
  /// \brief Corrects the loads of the candidates of one request by the loads
  ///        that engines have stated; does nothing in a small fleet.
  /// \param use of it, `peer_report_age` is set here.
  void CorrectByStatedLoads(TimePoint now, StatedLoadInputs use,
                            std::span<PlacementCandidate> candidates) const;
  /// \returns the mean age of the peers' reports.
  Duration PeerReportAge() const {
    return DigestRotationPeriod(this->peers.size()) / 2;
  }
  /// \returns the age of the estimate of an engine's requests in flight.
  Duration LoadEstimateAge(TimePoint now, const Engine& engine) const;
  /// \brief Keeps a pause that was asked for on a tunnel for the router that
  ///        carried it.
  void OnCarriedPause(const Engine& engine, const std::string& peer,
                      Duration pause);
  /// \brief Applies what the response to a request says of the engine's rate
  ///        limit.
  /// \param sent_at when the request was sent.
  void OnRateLimitAnswer(Engine& engine, const EngineResponse& response,
                         TimePoint sent_at);
  /// \brief Applies what a peer reports of an engine's rate limit.
  /// \param rate in requests per second; none if the engine has no limit.
  /// \param stated_at when the engine stated it.
  void OnRateLimitReported(Engine& engine, std::optional<double> rate,
                           TimePoint stated_at, std::string_view source);
  /// \brief Applies what a peer reports of an engine's warm-up.
  /// \param left time until its end; zero if there is none.
  /// \param lost_at when a router lost the engine; none if it was reached
  ///        since.
  void OnWarmUpReported(Engine& engine, Duration left,
                        std::optional<TimePoint> lost_at,
                        std::string_view source);
  /// \brief Records that this router could not reach an engine or lost its
  ///        connection to it: the engine may have restarted.
  void OnEngineLost(Engine& engine);
  /// \brief Treats all engines of a zone as if they had just started, where
  ///        their service has a rate for this.
  void BeginWarmUp(std::string_view availability_zone);
  /// \returns the rate of requests that the engine takes from all routers; none
  ///          if it is not limited. Requests to a limited engine need a permit.
  std::optional<RateInForce> RateOf(const Engine& engine, TimePoint now) const;
  /// \brief Records a successful store call; logs the end of an outage.
  void OnStoreAnswered(std::string_view store_table);
  /// \brief Records a failed store call; logs the start of an outage.
  void OnStoreFailed(std::string_view store_table, const Fault& fault);

  /// \returns the configuration of a service, or null if it has none.
  const ServiceSpec* FindService(std::string_view name) const;
  /// \returns the state of a service; created on first use.
  ServiceState& Service(std::string_view name);
  /// \returns the state of a service, or that of an unused one if there is none
  ///          yet.
  const ServiceState& Service(std::string_view name) const;
  /// \returns the state of a service, or null if there is none yet.
  const ServiceState* FindServiceState(std::string_view name) const;
  /// \returns the version of the routing table; 0 if there is none.
  std::uint64_t ConfigurationVersion() const {
    return this->routing_table ? this->routing_table->version : 0;
  }
  /// \returns true if configuration and engines are known.
  bool HasRows() const {
    return this->engines_known && this->routing_table != nullptr;
  }
  /// \returns the limits of clients' requests in force.
  ClientLimits Limits() const {
    return this->routing_table ? this->routing_table->limits : ClientLimits();
  }
  /// \returns true if the number of routers that were listed or heard is that
  ///          of a large fleet.
  bool IsLargeFleet() const {
    return this->peers.size() + 1 >= this->options.min_large_fleet;
  }
  /// \returns true if new entries for short prefixes stay in the zone: in a
  ///          large fleet whose operator rates traffic between zones above the
  ///          default, since engines in other zones compute them again.
  bool KeepsShortPrefixesInZone() const {
    return this->IsLargeFleet() && this->options.zone_cost > kDefaultZoneCost;
  }
  /// \returns the number of listed routers, reachable or not, including this
  ///          one; a fixed assumption until a peer is discovered.
  std::size_t RouterCount() const;
  /// \returns a function that tells whether the peer with an address comes
  ///          before this router in an order that depends on `key` only.
  std::function<bool(std::string_view)> ComesBeforeThisRouter(
      std::uint64_t key) const;
  /// \returns the position of this router in that order among its live peers,
  ///          from 0.
  std::size_t RankAmongPeers(std::uint64_t key) const;
  /// \returns true if that position is the first; stops at the first peer that
  ///          comes before this router.
  bool IsFirstAmongPeers(std::uint64_t key) const;
  /// \returns true if the peer is in another availability zone, as far as is
  ///          known.
  bool IsInOtherZone(const std::string& peer) const;
  /// \returns the zone of the peer, for counters; `kOwn` if it is unknown.
  PeerZone ZoneOfPeer(const std::string& peer) const {
    return this->IsInOtherZone(peer) ? PeerZone::kOther : PeerZone::kOwn;
  }
  /// \returns the zone of the peer at this IP address; `kOwn` if none is known
  ///          there.
  PeerZone ZoneOfHost(const std::string& ip) const;
  /// \returns true if one of the first `kZoneFetchers` live routers of this
  ///          router's zone, in an order that all routers share, is this one.
  bool IsZoneFetcher() const;
  /// \returns true if the load balancer should send clients to this router.
  bool IsReady() const;
  /// \returns a uniform random number in [0, 1).
  double Random();
  /// \returns a uniform random number of 64 bits.
  std::uint64_t RandomBits() { return this->random(); }

  boost::asio::any_io_executor executor;
  TimePoint started_at;  ///< When this router was created.
  DispatchOptions options;
  /// Low half of the hash of the name of this router's availability zone.
  std::uint32_t zone_key;
  std::shared_ptr<const ProtocolCodec> codec;
  Metrics metrics;
  Watchdog watchdog;

  /// Null until one was loaded.
  std::shared_ptr<const RoutingTable> routing_table;
  /// Encoded forms of `routing_table`, as in the store, and of earlier ones.
  ConfigurationHistory configurations;
  EngineDirectory engines;
  /// Whether peers have confirmed what this router read when it started.
  StartUpCheck start_up;
  /// Where this router gets configuration and engines from when it starts.
  StartUpSource start_up_source;
  Event start_up_source_changed;
  /// Version of the newest change of the engines that this router knows of;
  /// peers whose list is older fetch it.
  StoreVersion newest_engine_version;
  EvacuatedZones evacuated_zones;
  bool engines_known = false;  ///< The engine list was loaded.
  PeerLoad peer_load;          ///< Load that the peers report.
  StatedLoads stated_loads;    ///< Load that the engines state.
  /// Decides whether this router watches the store or relies on the digests of
  /// its peers.
  WatcherElection watcher_election;
  /// Keys of engines that have begun to drain, each with the time until which
  /// digests name it.
  std::vector<std::pair<std::uint64_t, TimePoint>> new_drains;
  /// Signals a change that should be sent in a digest soon.
  Event state_changed;
  std::optional<std::uint64_t> store_era;  ///< Newest known era of the store.
  TimePoint store_restored_at{};           ///< When the era has risen.
  Event store_restored;                    ///< Signals that the era has risen.
  Event quarantine_changed;  ///< Signals that the store's row is to be written.
  PrefixIndex prefixes;      ///< Prompt parts that engines have cached.
  PrefixUpdateQueue prefix_updates;  ///< Prefix changes to send in digests.
  RequestQuarantine quarantine;      ///< Requests that crash engines.
  SoftwareVersions software_versions;
  Event versions_changed;        ///< Signals that their row is to be written.
  StreamOrigins stream_origins;  ///< Versions at which streams have begun.
  /// Reports them to peers and asks these; never null.
  std::unique_ptr<OriginExchange> origins;
  /// Reads the versions anew; never null.
  std::unique_ptr<VersionReader> version_reader;
  /// Asks engines which requests they work on; never null.
  std::unique_ptr<EngineReports> engine_reports;
  RateLimitNews rate_limit_news;  ///< Limits to report in digests.
  /// Which engines this router reaches by connections of its own.
  EngineReachability reachability;
  /// Peers that may carry connections to the others; never null.
  std::shared_ptr<TunnelPeers> tunnel_peers;
  std::vector<CarriedPause> carried_pauses;  ///< To report in digests.
  /// Permits for engines that limit their rate; never null.
  std::unique_ptr<PermitExchange> permits;
  std::set<std::string> peers;  ///< Addresses of other routers, IP:PORT.
  /// Peers that are taken to be alive, by address.
  std::map<std::string, PeerContact> live_peers;

  /// The router, for operations that may outlive what began them.
  std::weak_ptr<void> owner;
  std::set<RequestDispatch*> requests;  ///< Active requests.
  /// Names of the store tables that this router watches and whose last call
  /// failed.
  std::set<std::string> unreachable_tables;
  MemoryBudget request_memory;   ///< For the bodies of all requests.
  MemoryBudget response_memory;  ///< For all responses that are buffered.
  bool draining = false;         ///< The router is shutting down.
  /// When the shutdown began. Requests that arrive later are taken only if they
  /// are expected to be answered before `answers_end_at`.
  TimePoint draining_since = TimePoint::max();
  /// While it is: when the last answers are to be ready.
  TimePoint answers_end_at = TimePoint::max();
  /// While it is: requests that arrive later, and whose answer time can't be
  /// estimated, are taken only if their own timeout ends by `answers_end_at`.
  TimePoint refusals_begin_at = TimePoint::max();

 private:
  void UpdateSoftwareVersions();
  // Begins the warm-up that an engine's row states or that its start requires.
  void ApplyRowWarmUp(const EngineChange& change, std::string_view source);
  // Returns the configuration of the engine's service, or an empty one.
  const ServiceSpec& SpecOf(const Engine& engine) const;
  // Logs a warm-up that has begun or was extended, and tells the peers.
  void OnWarmUpChanged(const Engine& engine, std::string_view reason,
                       std::string_view source);
  void OnZoneRestored(std::string_view zone);
  void OnDrain(const std::string& id);
  void OnStatedLoad(const Engine& engine, const ReportedLoad& load);
  void OnRateLimitChanged(const Engine& engine, const EngineRateLimit& before,
                          std::string_view source);
  // Logs a warning that concerns an engine, once for each engine and event.
  void WarnOnce(std::string_view event, const Engine& engine);

  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> services;
  const ServiceState unused_service{RetryBudgetLimits()};
  /// Events and ids of the engines that `WarnOnce()` has logged.
  std::set<std::pair<std::string, std::string>> logged_warnings;
  std::mt19937_64 random;
  TimePoint loop_checked_at;
  Duration last_stall{};  ///< Length of the last pause of the event loop.
  TimePoint last_stall_end{};
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_DISPATCH_STATE_H_
