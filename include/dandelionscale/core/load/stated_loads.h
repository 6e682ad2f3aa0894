#ifndef DANDELIONSCALE_CORE_LOAD_STATED_LOADS_H_
#define DANDELIONSCALE_CORE_LOAD_STATED_LOADS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/core/load/work_time.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Pace of an engine at which work takes the usual time, in percent.
inline constexpr double kUsualPace = 100;

/// \brief Load that one engine has stated.
struct StatedLoad {
  std::uint64_t engine_key = 0;
  std::uint64_t in_flight = 0;  ///< Requests running and waiting.
  /// How long work takes at the moment, in percent of the usual time.
  double pace = kUsualPace;
  Duration age{};  ///< Since the engine has stated it.
};

/// \brief What an estimate by stated loads depends on, besides these.
struct StatedLoadInputs {
  /// Mean age of the peers' reports: half a rotation of digests.
  Duration peer_report_age{};
  /// Mean time of the service's requests if stale loads are spread for the
  /// request (`PeerLoad::SpreadStaleLoad()`), or else `WorkTime::kUnknown`.
  Duration work_time = WorkTime::kUnknown;
  /// As `PlacementInputs::engine_queue_share`.
  double queue_share = kMinEngineQueueShare;
  std::uint64_t request_key = 0;  ///< As in `PlacementInputs`.
  std::uint64_t affinity_key = 0;
  std::uint32_t shared_tokens = 0;
};

/// \brief The latest load that each engine has stated to this router or, as a
///        peer has forwarded it, to another one.
class StatedLoads {
 public:
  /// A stated number of requests is not used when it is older.
  static constexpr Duration kMaxLoadAge = std::chrono::seconds(1);
  /// An engine that receives no requests states nothing, so that its pace must
  /// expire by itself.
  static constexpr Duration kMaxPaceAge = std::chrono::milliseconds(600);
  /// Older loads are not forwarded to peers.
  static constexpr Duration kMaxForwardAge = std::chrono::milliseconds(500);
  /// A higher pace counts as this.
  static constexpr double kMaxPace = 400;

  /// \brief An engine has stated its load in a response to this router.
  /// \param own_in_flight requests that this router has in flight there.
  void OnStated(TimePoint now, const StatedLoad& load,
                std::uint32_t own_in_flight);
  /// \brief A peer has forwarded a load; ignored unless it is newer than the
  ///        known one.
  void OnForwarded(TimePoint now, const StatedLoad& load,
                   std::uint32_t own_in_flight);
  /// \brief Removes loads that are too old to be used.
  void Expire(TimePoint now);

  /// \returns the loads for the next digest, in no particular order. Those that
  ///          peers have forwarded are not among them, so that none circulates.
  std::vector<StatedLoad> LoadsToForward(TimePoint now) const;
  /// \returns the age of the load stated by the engine if this is more recent
  ///          than the peers' reports; otherwise nothing.
  std::optional<Duration> UsedAge(TimePoint now, std::uint64_t engine_key,
                                  Duration peer_report_age) const;
  /// \returns how long work takes at the engine, in percent of the usual time,
  ///          100 to `kMaxPace`; 100 if no recent statement is known.
  double Pace(TimePoint now, std::uint64_t engine_key) const;

  /// \brief Corrects the candidates' requests in flight by stated loads, and
  ///        marks slow engines that the request avoids.
  ///
  /// A stated load replaces the estimate by the peers' reports if it is more
  /// recent, corrected by the change in this router's own requests since it
  /// was received. If stale loads are spread, it has the weight
  /// `exp(-age / work_time)` and the spread load the rest. A load that lowers
  /// the estimate is used for requests whose shared parts the engine has
  /// cached and, of the others, for one in as many as there are usable engines,
  /// selected by hash: otherwise all of them would choose that engine. For the
  /// same reason, an engine that has cached the shared parts gets a margin of
  /// up to half its requests in flight, by hash of request and engine.
  ///
  /// If no engine that takes any rate of requests has room by these loads, the
  /// estimates by peers' reports are kept: engines of a faulty build must not
  /// make a service wait. Marks of slow engines stay.
  /// \param candidates the engines of one service, with `in_flight` estimated
  ///        by the peers' reports. It never falls below `own_in_flight`.
  void Apply(TimePoint now, const StatedLoadInputs& use,
             std::span<PlacementCandidate> candidates) const;

 private:
  struct Entry {
    std::uint64_t in_flight = 0;
    double pace = kUsualPace;
    TimePoint stated_at{};
    std::uint32_t own_in_flight = 0;  ///< When the load was received.
    bool is_direct = false;           ///< Stated to this router.
  };

  void Set(TimePoint now, const StatedLoad& load, std::uint32_t own_in_flight,
           bool is_direct);
  // Returns the known load if it is at most `max_age` old, or null.
  const Entry* Find(TimePoint now, std::uint64_t engine_key,
                    Duration max_age) const;
  // Returns the load that is more recent than the peers' reports, or null.
  const Entry* FindUsed(TimePoint now, const StatedLoadInputs& use,
                        std::uint64_t engine_key) const;
  // Returns the weighted mean of the stated load and the spread reports.
  static double WeightedEstimate(TimePoint now, const StatedLoadInputs& use,
                                 const Entry& entry,
                                 const PlacementCandidate& candidate);
  static std::uint32_t Estimate(TimePoint now, const StatedLoadInputs& use,
                                const Entry& entry,
                                const PlacementCandidate& candidate,
                                std::size_t usable_engines);
  static std::uint32_t Margin(const StatedLoadInputs& use,
                              const PlacementCandidate& candidate);
  bool IsAvoided(TimePoint now, const StatedLoadInputs& use,
                 std::uint64_t engine_key) const;

  std::unordered_map<std::uint64_t, Entry> entries;  ///< By engine key.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_STATED_LOADS_H_
