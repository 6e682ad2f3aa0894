#include "dandelionscale/core/load/placement.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// The load bound is `load_factor` times the mean, plus this many requests.
constexpr double kBoundSlack = 3.0;
// Share of the load bound up to which an engine that has cached a long prefix
// is used. The rest covers requests that the other routers have sent since
// their last report.
constexpr double kLongPrefixBoundShare = 0.9;
// The same for a short prefix, which another engine recomputes cheaply.
constexpr double kShortPrefixBoundShare = 0.75;
// An engine selected by hash only, which usually has to recompute the prefix,
// is used up to this multiple of the mean load, plus one request.
constexpr double kMaxHashedLoadFactor = 1.25;
// Part of the latency target that a request may spend waiting at an engine.
// Waiting at a router may take another part; see `DecideWait()`.
constexpr double kEngineWaitShareOfTarget = 0.25;
// Highest value of `EngineQueueShare()`, as a share of the slots: engines
// reject requests when their own queue is full, which costs a retry.
constexpr double kMaxEngineQueueShare = 2.0;
// Added to the requests in flight of an engine in another availability zone
// when loads are compared.
constexpr double kCrossZonePenalty = 0.5;

// Copying fewer additional tokens is not worth the transfer.
constexpr std::uint32_t kMinTokensToCopy = 128;

using Candidate = PlacementCandidate;

double MeanInFlight(std::span<const Candidate> candidates) {
  const bool all_limited =
      std::all_of(candidates.begin(), candidates.end(),
                  [](const Candidate& one) { return one.limits_rate; });
  std::uint64_t sum = 0;
  std::size_t count = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.limits_rate && !all_limited) continue;
    sum += candidate.in_flight;
    ++count;
  }
  if (count == 0) return 0;
  return static_cast<double>(sum) / static_cast<double>(count);
}

// The engines among which a rule chooses.
enum class Scope { kAll, kOwnZone, kOtherZones };

// The engines that the rules may choose, and the bounds on their loads.
struct Eligibility {
  Scope scope = Scope::kAll;
  double load_bound = 0;
  double queue_share = 0;  // `PlacementInputs::engine_queue_share`.
  bool admits_avoided = false;
};

bool IsEligible(const Candidate& candidate, const Eligibility& eligibility) {
  if (!HasRoom(candidate, eligibility.queue_share)) return false;
  if (candidate.avoided && !eligibility.admits_avoided) return false;
  switch (eligibility.scope) {
    case Scope::kAll:
      return true;
    case Scope::kOwnZone:
      return candidate.same_zone &&
             candidate.in_flight + 1 <= eligibility.load_bound;
    case Scope::kOtherZones:
      return !candidate.same_zone;
  }
  return true;
}

// Selects the engine with the lowest utilisation after the request is added.
// Ties are broken by a hash that differs between requests, so that routers with
// the same view do not all choose the same engine.
std::optional<std::size_t> LeastLoaded(const PlacementInputs& inputs,
                                       const Eligibility& eligibility) {
  std::optional<std::size_t> best;
  double best_load = 0;
  std::uint64_t best_weight = 0;
  for (std::size_t n = 0; n < inputs.candidates.size(); ++n) {
    const Candidate& candidate = inputs.candidates[n];
    if (!IsEligible(candidate, eligibility)) continue;
    const double penalty = candidate.same_zone ? 0 : kCrossZonePenalty;
    const double load = (candidate.in_flight + 1 + penalty) /
                        std::max<std::uint32_t>(1, candidate.max_slots);
    const std::uint64_t weight =
        RendezvousWeight(inputs.request_key, candidate.engine_key);
    if (!best || load < best_load ||
        (load == best_load && weight > best_weight)) {
      best = n;
      best_load = load;
      best_weight = weight;
    }
  }
  return best;
}

// Selects the engine with the highest rendezvous weight for the prefix among
// those that have cached at least `min_tokens` of it and do not exceed `bound`
// with the request and the candidate's margin added.
std::optional<std::size_t> ChooseByHash(const PlacementInputs& inputs,
                                        const Eligibility& eligibility,
                                        double bound,
                                        std::uint32_t min_tokens) {
  std::optional<std::size_t> best;
  std::uint64_t best_weight = 0;
  for (std::size_t n = 0; n < inputs.candidates.size(); ++n) {
    const Candidate& candidate = inputs.candidates[n];
    if (candidate.cached_tokens < min_tokens) continue;
    if (!IsEligible(candidate, eligibility)) continue;
    if (candidate.in_flight + candidate.margin + 1 > bound) continue;
    const std::uint64_t weight =
        RendezvousWeight(inputs.affinity_key, candidate.engine_key);
    if (!best || weight > best_weight) {
      best = n;
      best_weight = weight;
    }
  }
  return best;
}

struct Choice {
  std::size_t index = 0;
  PlacementBasis basis = PlacementBasis::kLeastLoaded;
};

bool HasLongPrefix(const PlacementInputs& inputs) {
  return inputs.affinity_key != 0 &&
         inputs.shared_tokens >= kMinLongPrefixTokens;
}

// Up to which load an engine is used that has cached the prefix.
double HolderBound(const PlacementInputs& inputs, double load_bound) {
  return load_bound * (HasLongPrefix(inputs) ? kLongPrefixBoundShare
                                             : kShortPrefixBoundShare);
}

std::optional<Choice> ChooseHolder(const PlacementInputs& inputs,
                                   const Eligibility& eligibility) {
  const auto holder = ChooseByHash(inputs, eligibility,
                                   HolderBound(inputs, eligibility.load_bound),
                                   inputs.shared_tokens);
  if (!holder) return std::nullopt;
  return Choice{*holder, PlacementBasis::kHoldsPrefix};
}

// Applies the rules for a prompt with shared parts, but for the last one.
std::optional<Choice> ChooseForPrefix(const PlacementInputs& inputs,
                                      const Eligibility& eligibility,
                                      double mean_in_flight) {
  if (auto holder = ChooseHolder(inputs, eligibility)) return holder;
  const bool has_holder =
      std::any_of(inputs.candidates.begin(), inputs.candidates.end(),
                  [&inputs](const Candidate& candidate) {
                    return candidate.usable &&
                           candidate.cached_tokens >= inputs.shared_tokens;
                  });
  // An engine that the first rule has refused is not chosen by the second.
  const double hashed_bound =
      std::min(kMaxHashedLoadFactor * mean_in_flight + 1,
               HolderBound(inputs, eligibility.load_bound));
  const auto hashed = ChooseByHash(inputs, eligibility, hashed_bound, 0);
  if (!hashed) return std::nullopt;
  return Choice{
      *hashed, has_holder ? PlacementBasis::kSpilled : PlacementBasis::kHashed};
}

std::optional<Choice> Choose(const PlacementInputs& inputs,
                             const Eligibility& eligibility,
                             double mean_in_flight) {
  const bool has_prefix = inputs.affinity_key != 0;
  if (has_prefix) {
    auto choice = ChooseForPrefix(inputs, eligibility, mean_in_flight);
    if (choice) return choice;
  }
  const auto least = LeastLoaded(inputs, eligibility);
  if (!least) return std::nullopt;
  return Choice{*least, has_prefix ? PlacementBasis::kSpilled
                                   : PlacementBasis::kLeastLoaded};
}

// Returns an eligible engine that may be chosen at any rate of requests.
std::optional<std::size_t> FindRoom(const PlacementInputs& inputs,
                                    const Eligibility& eligibility) {
  const auto found = std::find_if(
      inputs.candidates.begin(), inputs.candidates.end(),
      [&eligibility](const Candidate& candidate) {
        return !candidate.limits_rate && IsEligible(candidate, eligibility);
      });
  if (found == inputs.candidates.end()) return std::nullopt;
  return static_cast<std::size_t>(found - inputs.candidates.begin());
}

// Chooses an engine, with avoided ones only if `admits_avoided`.
std::optional<PlacementDecision> Decide(const PlacementInputs& inputs,
                                        double mean_in_flight,
                                        bool admits_avoided) {
  PlacementDecision decision;
  decision.mean_in_flight = mean_in_flight;
  const double load_bound = inputs.load_factor * mean_in_flight + kBoundSlack;
  const auto in_scope = [&](Scope scope) {
    return Eligibility{scope, load_bound, inputs.engine_queue_share,
                       admits_avoided};
  };
  const auto choose_in = [&](Scope scope) {
    return Choose(inputs, in_scope(scope), mean_in_flight);
  };
  const bool has_zone_rule = inputs.zone_rule != ZoneRule::kIgnored;
  const bool stays = inputs.zone_rule == ZoneRule::kStay;
  std::optional<Choice> choice;
  if (has_zone_rule && inputs.affinity_key != 0 &&
      (stays || HasLongPrefix(inputs))) {
    choice = ChooseHolder(inputs, in_scope(Scope::kOwnZone));
    if (!choice) choice = ChooseHolder(inputs, in_scope(Scope::kAll));
  }
  if (!choice && has_zone_rule && !HasLongPrefix(inputs)) {
    if (stays) decision.room = FindRoom(inputs, in_scope(Scope::kOwnZone));
    choice = choose_in(decision.room ? Scope::kOwnZone : Scope::kOtherZones);
  }
  if (!choice) choice = choose_in(Scope::kAll);
  if (!choice) return std::nullopt;
  decision.index = choice->index;
  decision.basis = choice->basis;
  return decision;
}

}  // namespace

bool HasRoom(const PlacementCandidate& candidate, double queue_share) {
  const double limit = candidate.max_slots * (1 + queue_share);
  return candidate.usable && candidate.in_flight < limit;
}

double EngineQueueShare(Duration latency_target, Duration work_time) {
  const double share = kEngineWaitShareOfTarget *
                       static_cast<double>(latency_target.count()) /
                       static_cast<double>(work_time.count());
  return std::clamp(share, kMinEngineQueueShare, kMaxEngineQueueShare);
}

std::string_view ToString(PlacementBasis basis) {
  switch (basis) {
    case PlacementBasis::kHoldsPrefix:
      return "holds_prefix";
    case PlacementBasis::kHashed:
      return "hashed";
    case PlacementBasis::kSpilled:
      return "spilled";
    case PlacementBasis::kLeastLoaded:
      return "least_loaded";
  }
  return "least_loaded";
}

std::string_view ToString(ZoneRule rule) {
  switch (rule) {
    case ZoneRule::kIgnored:
      return "ignored";
    case ZoneRule::kStay:
      return "stay";
    case ZoneRule::kLeave:
      return "leave";
  }
  return "ignored";
}

std::optional<ZoneRule> ParseZoneRule(std::string_view name) {
  for (ZoneRule rule :
       {ZoneRule::kIgnored, ZoneRule::kStay, ZoneRule::kLeave}) {
    if (ToString(rule) == name) return rule;
  }
  return std::nullopt;
}

std::optional<PlacementDecision> ChooseEngine(const PlacementInputs& inputs) {
  const double mean_in_flight =
      inputs.mean_in_flight.value_or(MeanInFlight(inputs.candidates));
  auto decision = Decide(inputs, mean_in_flight, false);
  const bool avoids_any =
      std::any_of(inputs.candidates.begin(), inputs.candidates.end(),
                  [](const Candidate& one) { return one.avoided; });
  if (decision || !avoids_any) return decision;
  return Decide(inputs, mean_in_flight, true);
}

std::optional<std::size_t> ChooseCopySource(const PlacementInputs& inputs,
                                            std::size_t chosen) {
  std::optional<std::size_t> best;
  std::uint32_t best_tokens =
      inputs.candidates[chosen].cached_tokens + kMinTokensToCopy - 1;
  for (std::size_t n = 0; n < inputs.candidates.size(); ++n) {
    const Candidate& candidate = inputs.candidates[n];
    if (n == chosen || !candidate.reachable) continue;
    if (candidate.cached_tokens <= best_tokens) continue;
    best = n;
    best_tokens = candidate.cached_tokens;
  }
  return best;
}

}  // namespace dandelionscale
