#ifndef DANDELIONSCALE_CORE_LOAD_RATE_PERMITS_H_
#define DANDELIONSCALE_CORE_LOAD_RATE_PERMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dandelionscale/core/load/engine_rate_limit.h"
#include "dandelionscale/core/load/engine_warm_up.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief What a router knows of its place among the routers that could issue
///        permits for an engine.
///
/// All routers order each other by the same hash of router and engine. The
/// first one that is alive issues the permits.
struct IssuerView {
  std::size_t live_before = 0;    ///< Live routers that come before this one.
  std::size_t lost_before = 0;    ///< Routers before it that were just lost.
  std::size_t live_routers = 1;   ///< Including this one.
  std::size_t known_routers = 1;  ///< Live or not, including this one.
  /// This router has just started or was paused: others may have taken over
  /// and not yet know that it is back.
  bool has_just_resumed = false;
};

/// \returns the share of an engine's rate that a router may permit, 0 to 1.
///
/// Routers may disagree for a while about who is alive, so that two of them
/// issue permits. The first in order permits the whole rate; the second, which
/// is asked if the first does not respond, and one that has just become the
/// first, permit a part of it. A router to which no more than half of all are
/// alive, itself included, may be the one that is cut off; it takes only its
/// own share.
double IssuerShare(const IssuerView& view);

/// \brief The rate of requests that an engine takes from all routers together.
struct RateInForce {
  double per_second = 0;
  bool is_warm_up = false;  ///< It warms up, and may state a limit besides.
};

/// \returns the rate for which permits are issued: the lower one of the stated
///          limit and that of a warm-up; none if neither is in force.
/// \param warm_up_rate of the engine's service; 0: no limit.
std::optional<RateInForce> FindRate(TimePoint now, const EngineRateLimit& limit,
                                    const EngineWarmUp& warm_up,
                                    double warm_up_rate);

/// \brief The response to a request for permission.
struct PermitDecision {
  bool granted = false;
  /// If not granted, the time until the next permit; it may be issued to
  /// another router then.
  Duration retry_after{};
};

/// \brief Issues permits to send one request each to engines that limit their
///        rate, for all routers together.
///
/// A token bucket for each engine: a permit takes one token; tokens accrue at
/// the engine's rate, and few are kept, so that no permits pile up while no
/// router asks.
class RatePermits {
 public:
  /// \param rate of the engine; one that warms up gets hardly any bursts.
  /// \param share of the rate that this router may permit; see
  ///        `IssuerShare()`.
  PermitDecision Decide(TimePoint now, std::uint64_t engine_key,
                        const RateInForce& rate, double share);
  /// \brief Forgets engines for which nobody has asked for some time.
  void Expire(TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint updated_at{};
  };

  std::unordered_map<std::uint64_t, Bucket> buckets;  ///< By engine key.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_RATE_PERMITS_H_
