#ifndef DANDELIONSCALE_CORE_LOAD_PLACEMENT_H_
#define DANDELIONSCALE_CORE_LOAD_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// A shared prompt prefix of fewer tokens is short: an engine computes it fast,
/// so that the zone counts more for the placement; see `ChooseEngine()`.
inline constexpr std::uint32_t kMinLongPrefixTokens = 4000;

/// Lowest value of `EngineQueueShare()`, as a share of the slots.
inline constexpr double kMinEngineQueueShare = 0.25;

/// \returns how many requests may wait at an engine, as a share of its slots.
///
/// Routers know the loads of engines some time late. Where requests are short,
/// an engine that was reported to be full often has a slot again before the
/// request arrives, or soon after: refusing the request would cost its client
/// more than the wait. So the share is larger, the shorter requests are
/// compared with their latency target.
/// \param latency_target of the request's route.
/// \param work_time mean time for which requests of the service are in flight,
///        waiting included, so that the share falls while engines are
///        overloaded; above 0.
double EngineQueueShare(Duration latency_target, Duration work_time);

/// \brief An engine and the part of its state that placement considers.
struct PlacementCandidate {
  std::uint64_t engine_key = 0;
  /// Requests in flight from this router and, as last reported, from others.
  std::uint32_t in_flight = 0;
  std::uint32_t max_slots = 1;      ///< Requests that the engine runs at once.
  std::uint32_t cached_tokens = 0;  ///< Cached tokens of the shared parts.
  /// May be chosen: not draining, not tried before for this request, and
  /// healthy unless health is ignored.
  bool usable = true;
  bool reachable = true;   ///< Other engines can copy from its cache.
  bool same_zone = false;  ///< In the router's availability zone.
  /// Takes only a limited rate of requests. It can't take its share of the
  /// load, so the mean that bounds the others is taken without it.
  bool limits_rate = false;
  /// Part of `in_flight` that this router has sent; not logged.
  std::uint32_t own_in_flight = 0;
  /// Slow at the moment, and this request is among those that avoid it: it is
  /// chosen only if no other engine has room; see `StatedLoads`.
  bool avoided = false;
  /// Added to `in_flight` when it is compared with the bounds of a choice by
  /// hash. It differs between requests, so that they don't all choose an engine
  /// that is slightly below a bound; see `StatedLoads`.
  std::uint32_t margin = 0;
};

/// \returns true if the engine is usable and has room for a further request.
/// \param queue_share as `PlacementInputs::engine_queue_share`.
bool HasRoom(const PlacementCandidate& candidate, double queue_share);

/// \brief How a request treats availability zones; see `ZoneSpill`.
enum class ZoneRule {
  kIgnored,  ///< All zones alike, but for a small preference for the own one.
  kStay,     ///< In the router's zone while an engine there has room.
  kLeave     ///< In another zone while an engine there has room.
};

/// \returns the name used in log lines.
std::string_view ToString(ZoneRule rule);
/// \returns the rule with that name, or nothing.
std::optional<ZoneRule> ParseZoneRule(std::string_view name);

/// \brief All inputs of one placement decision.
///
/// The shared parts of a prompt are all but its last one; see `PromptPart`.
struct PlacementInputs {
  std::span<const PlacementCandidate> candidates;
  std::uint32_t shared_tokens = 0;  ///< Tokens in the shared parts.
  std::uint64_t affinity_key = 0;   ///< Key of the last shared part; 0: none.
  /// Differs between requests; breaks ties between equally loaded engines.
  std::uint64_t request_key = 0;
  /// An engine's load bound is this factor times the mean load, plus 3
  /// requests.
  double load_factor = 2.0;
  /// Mean of `in_flight` over the engines of the service that do not limit
  /// their rate, or over all if each does. If absent, it is computed from
  /// `candidates`, which must then be all engines of the service.
  std::optional<double> mean_in_flight{};
  ZoneRule zone_rule = ZoneRule::kIgnored;
  /// Requests that may wait at an engine, as a share of its slots; see
  /// `EngineQueueShare()`.
  double engine_queue_share = kMinEngineQueueShare;
};

/// \brief The rule that selected an engine.
enum class PlacementBasis {
  kHoldsPrefix,  ///< It has cached all shared parts of the prompt.
  kHashed,       ///< No usable engine has cached them; by rendezvous hash.
  kSpilled,      ///< The engines preferred for the prefix are too loaded, or
                 ///< in a zone that the request avoids.
  kLeastLoaded,  ///< The request has no shared parts.
};

/// \returns the name used in log lines.
std::string_view ToString(PlacementBasis basis);

/// \brief The chosen engine, the rule applied and the mean load used.
struct PlacementDecision {
  std::size_t index = 0;  ///< Into `PlacementInputs::candidates`.
  PlacementBasis basis = PlacementBasis::kLeastLoaded;
  double mean_in_flight = 0;
  /// With `ZoneRule::kStay`, an engine of the own zone that has room. It is
  /// logged, since a replay needs it to decide by the same zone.
  std::optional<std::size_t> room{};
};

/// \brief Chooses an engine for a request.
///
/// Only usable engines with room are considered: those with fewer requests in
/// flight than their slots plus `engine_queue_share` of these. For a prompt
/// with shared parts, the first rule that matches an engine applies:
/// 1. engines that have cached all shared parts, up to 90 % of the load bound
///    (75 % for prefixes under 4000 tokens), by rendezvous hash of
///    `affinity_key`;
/// 2. all engines up to 1.25 times the mean load plus 1, by the same hash;
/// 3. the least loaded engine.
/// A prompt without shared parts goes to the least loaded engine.
///
/// With a zone rule, an engine that has cached the shared parts comes first if
/// it is in the own zone, and next if it is in another one, since computing
/// them again takes longer than the transfer between zones. With `kLeave` this
/// holds for at least `kMinLongPrefixTokens` shared tokens only. A prompt with
/// fewer shared tokens that no such engine takes, or without shared parts, is
/// placed by zone. With `kStay`, the rules above choose among the engines of
/// the own zone that are below the load bound, if one of these does not limit
/// its rate. Otherwise, and with `kLeave`, they choose among the engines of the
/// other zones, and if none has room, among all.
///
/// The bounds of rules 1 and 2 apply to the requests in flight plus `margin`.
/// Avoided engines are left out, unless no other engine can be chosen.
/// \returns nothing if no engine is usable or all are full.
std::optional<PlacementDecision> ChooseEngine(const PlacementInputs& inputs);

/// \brief Chooses the engine from whose cache the chosen engine copies the
///        prompt's parts.
/// \param chosen index of the chosen engine in `candidates`.
/// \returns the index of the reachable candidate with the most cached tokens,
///          or nothing if none has enough more than the chosen engine to be
///          worth the transfer.
std::optional<std::size_t> ChooseCopySource(const PlacementInputs& inputs,
                                            std::size_t chosen);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_PLACEMENT_H_
