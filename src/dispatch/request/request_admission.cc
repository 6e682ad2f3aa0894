#include "dispatch/request/request_admission.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/core/request_fingerprint.h"
#include "dandelionscale/transport/http_status.h"

namespace dandelionscale::internal {

Admission AdmitRequest(const RoutingTable& table, const ClientRequest& decoded,
                       const HttpRequest& request) {
  Admission admission;
  admission.route = table.FindRoute(decoded.host, decoded.path);
  if (admission.route == nullptr) {
    admission.fault = {http_status::kNotFound, "no_route"};
    return admission;
  }
  const Route& route = *admission.route;
  admission.priority = route.priority;
  if (table.keys_required && !route.is_public) {
    const WorkspaceEntry* entry = table.FindWorkspace(decoded.key);
    if (entry == nullptr) {
      admission.fault = {http_status::kUnauthorized, "unknown_key"};
      return admission;
    }
    admission.workspace = entry->name;
    admission.priority = entry->priority.value_or(admission.priority);
  }
  if (decoded.id.empty()) {
    admission.fault = {http_status::kBadRequest, "no_request_id"};
    return admission;
  }
  admission.request_key = HashText(decoded.id);
  if (!decoded.prefix.empty()) {
    admission.affinity_key = decoded.prefix.back().key;
  }
  admission.fingerprint =
      Fingerprint({admission.workspace, request.method, decoded.host,
                   request.target, request.body, decoded.prompt_key});
  admission.quarantine_keys = PartKeys(decoded.prefix);
  admission.quarantine_keys.push_back(admission.fingerprint);
  admission.service =
      ChooseService(route, admission.affinity_key != 0 ? admission.affinity_key
                                                       : admission.request_key);
  return admission;
}

RequestWork EstimateWork(const DispatchState& state, const Route& route,
                         const ClientRequest& decoded, TimePoint now) {
  RequestWork estimate;
  estimate.is_stream = route.kind == RouteKind::kStreaming;
  estimate.expected_output = decoded.expected_output_tokens;
  estimate.max_output = decoded.max_output_tokens;
  const std::uint32_t prompt = decoded.prompt_tokens.value_or(0);
  if (prompt == 0) return estimate;
  // Assumes the engine that has cached most of the prompt, which usually gets
  // the request.
  const std::vector<PrefixMatch> matches =
      state.prefixes.FindMatches(now, decoded.prefix);
  const std::uint32_t cached = matches.empty() ? 0 : matches.front().tokens;
  estimate.uncached_tokens = prompt - std::min(prompt, cached);
  return estimate;
}

ShutdownForecast ForecastShutdown(const DispatchState& state,
                                  const ShutdownQuestion& question,
                                  TimePoint now) {
  ShutdownForecast forecast;
  // A request that arrived before the shutdown is served in any case.
  if (question.arrived_at < state.draining_since) return forecast;
  forecast.estimate =
      state.Service(question.service).times.ConservativeEstimate(question.work);
  if (question.deadline <= state.answers_end_at) return forecast;
  forecast.may_outlive_router =
      forecast.estimate ? now + *forecast.estimate > state.answers_end_at
                        : question.arrived_at >= state.refusals_begin_at;
  return forecast;
}

Duration RetryAfter(const DispatchState& state, const RefusedRequest& refused,
                    TimePoint now, double jitter) {
  Duration retry_after = kDefaultRetryAfter;
  if (!refused.placement.service.empty()) {
    const AdmissionQueue& queue =
        state.Service(refused.placement.service).queue;
    const PlacementPlanner planner(state, refused.placement, now);
    retry_after =
        std::max(queue.RetryAfter(HashText(refused.workspace), jitter),
                 planner.TimeUntilUsableEngine());
  }
  const BlockedKeys* blocked = state.quarantine.Find(refused.quarantine_keys);
  if (blocked == nullptr) return retry_after;
  return std::max(retry_after, CrashBlocklist::TimeUntilProbe(now, *blocked));
}

}  // namespace dandelionscale::internal
