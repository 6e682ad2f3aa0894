/// \file
/// \brief What a router decides about a request before it chooses an engine,
///        without side effects.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_REQUEST_ADMISSION_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_REQUEST_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "dandelionscale/core/load/service_times.h"
#include "dandelionscale/core/request_quarantine.h"
#include "dandelionscale/core/routing_table.h"
#include "dandelionscale/dispatch/protocol_codec.h"
#include "dispatch/request/placement_planner.h"

namespace dandelionscale::internal {

/// Timeout of clients that don't send one.
inline constexpr Duration kDefaultClientTimeout = std::chrono::seconds(30);
/// Retry-After of refusals before a service was chosen, for example while no
/// configuration is loaded.
inline constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(400);

/// \brief Why a request is not admitted.
struct AdmissionFault {
  unsigned status = 0;      ///< Of the response to the client.
  std::string_view reason;  ///< As logged.
};

/// \brief The route and service of a request, and the keys that its placement
///        uses. What follows a fault is not set.
struct Admission {
  std::optional<AdmissionFault> fault;
  const Route* route = nullptr;  ///< Points into the routing table.
  std::string workspace;
  std::uint32_t priority = 0;
  std::uint64_t affinity_key = 0;  ///< Of the last prompt part; 0 for none.
  std::uint64_t request_key = 0;   ///< Hash of the request id.
  std::string service;
  std::uint64_t fingerprint = 0;  ///< See `Fingerprint()`.
  /// Keys by which the quarantine knows requests as alike.
  RequestKeySet quarantine_keys;
};

/// \brief Checks route, key and request id and chooses the service.
/// \param decoded from `request`.
Admission AdmitRequest(const RoutingTable& table, const ClientRequest& decoded,
                       const HttpRequest& request);

/// \returns the work that the request means for an engine, as far as it is
///          known.
RequestWork EstimateWork(const DispatchState& state, const Route& route,
                         const ClientRequest& decoded, TimePoint now);

/// \brief Whether the request can be answered before a router that shuts down
///        ends.
struct ShutdownForecast {
  bool may_outlive_router = false;
  /// Until the end of the answer; none if nothing is known of the service.
  std::optional<Duration> estimate;
};

/// \brief Inputs of `ForecastShutdown()`.
struct ShutdownQuestion {
  std::string_view service;
  RequestWork work;
  TimePoint arrived_at{};
  TimePoint deadline{};  ///< Of client and route.
};

/// \returns the forecast for a request that would begin now.
ShutdownForecast ForecastShutdown(const DispatchState& state,
                                  const ShutdownQuestion& question,
                                  TimePoint now);

/// \brief Inputs of `RetryAfter()`.
struct RefusedRequest {
  PlacementRequest placement;  ///< Without service if none was chosen.
  std::string_view workspace;
  std::span<const std::uint64_t> quarantine_keys;
};

/// \returns the time after which the client of a refused request should retry.
/// \param jitter 0 to 1; see `AdmissionQueue::RetryAfter()`.
Duration RetryAfter(const DispatchState& state, const RefusedRequest& refused,
                    TimePoint now, double jitter);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_REQUEST_ADMISSION_H_
