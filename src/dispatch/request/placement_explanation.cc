#include "dispatch/request/placement_explanation.h"

#include <algorithm>
#include <boost/json.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/request/placement_planner.h"
#include "dispatch/request/request_admission.h"

namespace dandelionscale::internal {

namespace {

namespace json = boost::json;

// What the steps of an explanation share. The request is admitted.
struct Question {
  const DispatchState& state;
  const PlacementQuery& query;
  const Admission& admission;
  TimePoint now;
  TimePoint deadline;

  PlacementRequest Placement() const {
    PlacementRequest placement;
    placement.service = this->admission.service;
    placement.prefix = this->query.client.prefix;
    placement.affinity_key = this->admission.affinity_key;
    placement.request_key = this->admission.request_key;
    placement.latency_target = this->admission.route->latency_target;
    return placement;
  }
  PlacementPlanner Planner() const {
    return PlacementPlanner(this->state, this->Placement(), this->now);
  }
};

RetryAfterRange RetryAfterOf(const Question& question) {
  const RefusedRequest refused = {question.Placement(),
                                  question.admission.workspace,
                                  question.admission.quarantine_keys};
  return {RetryAfter(question.state, refused, question.now, 0),
          RetryAfter(question.state, refused, question.now, 1)};
}

void Refuse(const Question& question, std::string_view reason,
            PlacementExplanation& explanation) {
  explanation.verdict = PlacementVerdict::kRefused;
  explanation.status = http_status::kServiceUnavailable;
  explanation.reason = reason;
  explanation.retry_after = RetryAfterOf(question);
}

void DescribeState(const DispatchState& state, TimePoint now,
                   PlacementExplanation& explanation) {
  explanation.configuration = state.ConfigurationVersion();
  explanation.engines = state.engines.Version();
  if (state.peer_load.RouterCount() > 0) {
    explanation.load_age = state.peer_load.OldestAge(now);
  }
}

void DescribeAdmission(const Admission& admission,
                       PlacementExplanation& explanation) {
  if (admission.route != nullptr) explanation.route = admission.route->name;
  explanation.workspace = admission.workspace;
  explanation.service = admission.service;
  explanation.priority = admission.priority;
}

// Returns false if the request would be refused.
bool PassesQuarantine(const Question& question,
                      PlacementExplanation& explanation) {
  const DispatchState& state = question.state;
  const BlockedKeys* found =
      state.quarantine.Find(question.admission.quarantine_keys);
  if (found == nullptr) return true;
  const std::size_t rank = state.RankAmongPeers(found->keys.front());
  const bool may_probe = state.quarantine.MayStartProbe(
      question.now, *found, rank, state.RouterCount());
  explanation.quarantine = ExplainedQuarantine{may_probe};
  return may_probe;
}

bool MayOutliveRouter(const Question& question) {
  ShutdownQuestion shutdown;
  shutdown.service = question.admission.service;
  shutdown.work = EstimateWork(question.state, *question.admission.route,
                               question.query.client, question.now);
  shutdown.arrived_at = question.now;
  shutdown.deadline = question.deadline;
  return ForecastShutdown(question.state, shutdown, question.now)
      .may_outlive_router;
}

void DescribeCandidates(const Question& question, const PlacementPass& pass,
                        PlacementExplanation& explanation) {
  const auto engines = question.state.engines.Find(question.admission.service);
  const std::vector<ExaminedEngine> examined = question.Planner().Examine(pass);
  for (std::size_t n = 0; n < examined.size(); ++n) {
    const ExaminedEngine& one = examined[n];
    ExplainedCandidate candidate;
    candidate.engine = engines[n]->record.id;
    candidate.availability_zone = engines[n]->record.availability_zone;
    candidate.candidate = one.candidate;
    if (one.exclusion) candidate.excluded = ToString(*one.exclusion);
    explanation.candidates.push_back(std::move(candidate));
  }
}

void DescribePlan(const Question& question, const PlacementPlan& plan,
                  PlacementExplanation& explanation) {
  const PlacementDecision& decision = plan.decision;
  explanation.verdict = PlacementVerdict::kPlaced;
  explanation.zone_rule = plan.inputs.zone_rule;
  explanation.zone_share = plan.zone_share;
  explanation.choice =
      ExplainedChoice{decision.index, decision.basis, decision.mean_in_flight,
                      plan.cache_source_address};
  const auto rate = question.state.RateOf(*plan.engine, question.now);
  if (!rate) return;
  const PermitExchange& permits = *question.state.permits;
  const auto issuer = permits.FindIssuer(question.now, plan.engine->key);
  explanation.permit = ExplainedPermit{issuer.value_or(""), *rate};
}

// No engine can be chosen now.
void DescribeWait(const Question& question, PlacementExplanation& explanation) {
  const Admission& admission = question.admission;
  const PlacementPlanner planner = question.Planner();
  if (!planner.HasUntriedEngine()) {
    Refuse(question, "no_engine", explanation);
    return;
  }
  const AdmissionQueue& queue = question.state.Service(admission.service).queue;
  const WaitRequest request = {
      HashText(admission.workspace), admission.priority,
      admission.route->latency_target,
      std::min(question.deadline, question.state.answers_end_at),
      planner.TimeUntilUsableEngine()};
  ExplainedWait wait;
  wait.inputs = queue.Inputs(question.now, request);
  wait.longest = DecideWait(wait.inputs);
  explanation.wait = wait;
  Refuse(question, wait.longest ? "no_room" : "queue_full", explanation);
  if (wait.longest) explanation.verdict = PlacementVerdict::kWaits;
}

void ExplainAdmitted(const Question& question,
                     PlacementExplanation& explanation) {
  if (MayOutliveRouter(question)) {
    Refuse(question, "shutting_down", explanation);
    return;
  }
  const PlacementOutcome outcome = question.Planner().Plan(PlacementLimits());
  // Without a plan, the healthy engines show what the request waits for.
  const PlacementPass pass = outcome.plan ? outcome.pass : PlacementPass();
  explanation.ignores_health = pass.ignore_health;
  DescribeCandidates(question, pass, explanation);
  if (!PassesQuarantine(question, explanation)) {
    Refuse(question, "quarantined", explanation);
  } else if (outcome.plan) {
    DescribePlan(question, *outcome.plan, explanation);
  } else {
    DescribeWait(question, explanation);
  }
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

json::object ToObject(const ExplainedCandidate& explained, bool chosen) {
  const PlacementCandidate& candidate = explained.candidate;
  json::object object;
  object["engine"] = explained.engine;
  object["zone"] = explained.availability_zone;
  object["same_zone"] = candidate.same_zone;
  object["in_flight"] = candidate.in_flight;
  object["own_in_flight"] = candidate.own_in_flight;
  object["slots"] = candidate.max_slots;
  object["cached_tokens"] = candidate.cached_tokens;
  object["limits_rate"] = candidate.limits_rate;
  if (candidate.avoided) object["avoided"] = true;
  if (candidate.margin > 0) object["margin"] = candidate.margin;
  if (!explained.excluded.empty()) object["excluded"] = explained.excluded;
  if (chosen) object["chosen"] = true;
  return object;
}

json::object ToObject(const ExplainedWait& wait) {
  json::object object;
  object["waiting"] = wait.inputs.waiting;
  object["workspaces"] = wait.inputs.workspaces;
  object["own_waiting"] = wait.inputs.own_waiting;
  object["estimate_s"] = Seconds(EstimateWait(wait.inputs));
  object["engine_pause_s"] = Seconds(wait.inputs.engine_pause);
  if (wait.longest) object["longest_s"] = Seconds(*wait.longest);
  return object;
}

json::object ToObject(const ExplainedPermit& permit) {
  json::object object;
  object["issuer"] = permit.issuer.empty() ? "self" : permit.issuer;
  object["per_second"] = permit.rate.per_second;
  object["warm_up"] = permit.rate.is_warm_up;
  return object;
}

void AddRequest(const PlacementExplanation& explanation, json::object& object) {
  object["request"] = explanation.request_id;
  object["route"] = explanation.route;
  object["workspace"] = explanation.workspace;
  object["service"] = explanation.service;
  object["priority"] = explanation.priority;
  object["shared_tokens"] = explanation.shared_tokens;
  object["configuration"] = explanation.configuration;
  object["era"] = explanation.engines.era;
  object["engines"] = explanation.engines.number;
  if (explanation.load_age) {
    object["load_age_s"] = Seconds(*explanation.load_age);
  }
}

void AddRefusal(const PlacementExplanation& explanation, json::object& object) {
  if (explanation.status == 0) return;
  object["status"] = explanation.status;
  object["reason"] = explanation.reason;
  if (!explanation.retry_after) return;
  object["retry_after_s"] =
      json::object{{"from", Seconds(explanation.retry_after->from)},
                   {"to", Seconds(explanation.retry_after->to)}};
}

void AddChoice(const PlacementExplanation& explanation, json::object& object) {
  if (!explanation.choice) return;
  const ExplainedChoice& choice = *explanation.choice;
  object["engine"] = explanation.candidates[choice.index].engine;
  object["basis"] = ToString(choice.basis);
  object["mean_load"] = choice.mean_in_flight;
  object["copy_from"] = choice.cache_source_address;
  object["zone_rule"] = ToString(explanation.zone_rule);
  object["zone_share"] = explanation.zone_share;
}

}  // namespace

std::string_view ToString(PlacementVerdict verdict) {
  switch (verdict) {
    case PlacementVerdict::kPlaced:
      return "placed";
    case PlacementVerdict::kWaits:
      return "waits";
    case PlacementVerdict::kRefused:
      return "refused";
    case PlacementVerdict::kFailed:
      return "failed";
  }
  return "failed";
}

PlacementExplanation ExplainPlacement(const DispatchState& state,
                                      const PlacementQuery& query,
                                      TimePoint now) {
  PlacementExplanation explanation;
  explanation.request_id = query.client.id;
  explanation.shared_tokens = TotalTokens(query.client.prefix);
  DescribeState(state, now, explanation);
  if (!state.routing_table) {
    explanation.verdict = PlacementVerdict::kRefused;
    explanation.status = http_status::kServiceUnavailable;
    explanation.reason = "no_configuration";
    explanation.retry_after =
        RetryAfterRange{kDefaultRetryAfter, kDefaultRetryAfter};
    return explanation;
  }
  HttpRequest request;
  request.method = query.method;
  request.target = query.target;
  const Admission admission =
      AdmitRequest(*state.routing_table, query.client, request);
  DescribeAdmission(admission, explanation);
  if (admission.fault) {
    explanation.status = admission.fault->status;
    explanation.reason = admission.fault->reason;
    return explanation;
  }
  const Duration time_left =
      std::min<Duration>(query.client.time_left.value_or(kDefaultClientTimeout),
                         admission.route->timeout);
  ExplainAdmitted({state, query, admission, now, now + time_left}, explanation);
  return explanation;
}

std::string ToJson(const PlacementExplanation& explanation) {
  json::object object;
  object["verdict"] = ToString(explanation.verdict);
  AddRefusal(explanation, object);
  AddRequest(explanation, object);
  AddChoice(explanation, object);
  if (explanation.permit) object["permit"] = ToObject(*explanation.permit);
  if (explanation.wait) object["wait"] = ToObject(*explanation.wait);
  if (explanation.quarantine) {
    object["quarantine"] =
        json::object{{"may_probe", explanation.quarantine->may_probe}};
  }
  object["ignores_health"] = explanation.ignores_health;
  json::array candidates;
  for (std::size_t n = 0; n < explanation.candidates.size(); ++n) {
    const bool chosen = explanation.choice && explanation.choice->index == n;
    candidates.push_back(ToObject(explanation.candidates[n], chosen));
  }
  object["candidates"] = std::move(candidates);
  return json::serialize(object);
}

std::string ToJson(const PlacementQueryFault& fault) {
  return json::serialize(json::object{{"bad_parameter", fault.parameter}});
}

}  // namespace dandelionscale::internal
