/// \file
/// \brief Answers where a request would go now, and why, without sending it.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_EXPLANATION_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/load/admission_queue.h"
#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/core/load/rate_permits.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/request/placement_query.h"

namespace dandelionscale::internal {

/// \brief What would become of the request.
enum class PlacementVerdict {
  kPlaced,  ///< It would be sent at once; if it needs a permit, once it has it.
  kWaits,   ///< It would wait for an engine with room.
  kRefused,  ///< With a Retry-After field.
  kFailed    ///< Without one: a retry can't succeed.
};

/// \returns the name used in responses.
std::string_view ToString(PlacementVerdict verdict);

/// \brief One engine of the service.
struct ExplainedCandidate {
  std::string engine;  ///< Its id.
  std::string availability_zone;
  PlacementCandidate candidate;
  std::string_view excluded;  ///< The reason; empty if it may be chosen.
};

/// \brief The engine that would be chosen.
struct ExplainedChoice {
  std::size_t index = 0;  ///< Into `PlacementExplanation::candidates`.
  PlacementBasis basis = PlacementBasis::kLeastLoaded;
  double mean_in_flight = 0;
  std::string cache_source_address;
};

/// \brief The permit that would be requested.
struct ExplainedPermit {
  std::string issuer;  ///< Address of the peer; empty for this router.
  RateInForce rate;
};

/// \brief The wait for an engine with room.
struct ExplainedWait {
  WaitInputs inputs;
  std::optional<Duration> longest;  ///< None if it is refused.
};

/// \brief Bounds of the Retry-After field, which is drawn between them.
struct RetryAfterRange {
  Duration from{};
  Duration to{};
};

/// \brief The quarantine of requests that crash engines.
struct ExplainedQuarantine {
  bool may_probe = false;  ///< It would be sent to find out whether it does.
};

/// \brief Where a request would go now, and why.
struct PlacementExplanation {
  PlacementVerdict verdict = PlacementVerdict::kFailed;
  /// Of the response, if the request is refused or has failed, or would be
  /// after its wait.
  unsigned status = 0;
  std::string_view reason;  ///< Of that response, as it is logged.
  std::optional<RetryAfterRange> retry_after;

  std::string request_id;
  std::string route;  ///< Empty if there is none.
  std::string workspace;
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t shared_tokens = 0;
  std::uint64_t configuration = 0;   ///< Version; 0 if there is none.
  StoreVersion engines;              ///< Version of the list of engines.
  std::optional<Duration> load_age;  ///< Of the oldest report of a peer.

  ZoneRule zone_rule = ZoneRule::kIgnored;
  double zone_share = 0;        ///< Share of the requests that leave the zone.
  bool ignores_health = false;  ///< No healthy engine can be chosen.
  std::vector<ExplainedCandidate> candidates;
  std::optional<ExplainedChoice> choice;
  std::optional<ExplainedPermit> permit;
  std::optional<ExplainedWait> wait;
  std::optional<ExplainedQuarantine> quarantine;
};

/// \brief Makes the decision of a real request that arrives now, with the same
///        code, and changes nothing.
///
/// Covers first sends: neither resumptions nor repeats. A real request also
/// waits for a configuration, or for a permit; what comes of that is not known.
PlacementExplanation ExplainPlacement(const DispatchState& state,
                                      const PlacementQuery& query,
                                      TimePoint now);

/// \returns the explanation as a JSON object, without any key.
std::string ToJson(const PlacementExplanation& explanation);
/// \returns the name of the faulty parameter as a JSON object.
std::string ToJson(const PlacementQueryFault& fault);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_PLACEMENT_EXPLANATION_H_
