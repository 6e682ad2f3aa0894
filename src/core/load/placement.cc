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
// Requests that may wait at an engine beyond its slots, as a share of its
// slots.
constexpr double kMaxEngineQueueShare = 0.25;
// Added to the requests in flight of an engine in another availability zone
// when loads are compared.
constexpr double kCrossZonePenalty = 0.5;

// Copying fewer additional tokens is not worth the transfer.
constexpr std::uint32_t kMinTokensToCopy = 128;

using Candidate = PlacementCandidate;

bool HasRoom(const Candidate& candidate) {
  const double limit = candidate.max_slots * (1 + kMaxEngineQueueShare);
  return candidate.usable && candidate.in_flight < limit;
}

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

// Selects the engine with the lowest utilisation after the request is added.
// Ties are broken by a hash that differs between requests, so that routers with
// the same view do not all choose the same engine.
std::optional<std::size_t> LeastLoaded(const PlacementInputs& inputs) {
  std::optional<std::size_t> best;
  double best_load = 0;
  std::uint64_t best_weight = 0;
  for (std::size_t n = 0; n < inputs.candidates.size(); ++n) {
    const Candidate& candidate = inputs.candidates[n];
    if (!HasRoom(candidate)) continue;
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
// with the request added.
std::optional<std::size_t> ChooseByHash(const PlacementInputs& inputs,
                                        double bound,
                                        std::uint32_t min_tokens) {
  std::optional<std::size_t> best;
  std::uint64_t best_weight = 0;
  for (std::size_t n = 0; n < inputs.candidates.size(); ++n) {
    const Candidate& candidate = inputs.candidates[n];
    if (candidate.cached_tokens < min_tokens) continue;
    if (!HasRoom(candidate) || candidate.in_flight + 1 > bound) continue;
    const std::uint64_t weight =
        RendezvousWeight(inputs.affinity_key, candidate.engine_key);
    if (!best || weight > best_weight) {
      best = n;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

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

std::optional<PlacementDecision> ChooseEngine(const PlacementInputs& inputs) {
  PlacementDecision decision;
  decision.mean_in_flight =
      inputs.mean_in_flight.value_or(MeanInFlight(inputs.candidates));
  if (inputs.affinity_key != 0) {
    const double bound =
        inputs.load_factor * decision.mean_in_flight + kBoundSlack;
    const double share = inputs.shared_tokens >= kMinLongPrefixTokens
                             ? kLongPrefixBoundShare
                             : kShortPrefixBoundShare;
    if (auto holder =
            ChooseByHash(inputs, bound * share, inputs.shared_tokens)) {
      decision.index = *holder;
      decision.basis = PlacementBasis::kHoldsPrefix;
      return decision;
    }
    const bool has_holder =
        std::any_of(inputs.candidates.begin(), inputs.candidates.end(),
                    [&inputs](const Candidate& candidate) {
                      return candidate.usable &&
                             candidate.cached_tokens >= inputs.shared_tokens;
                    });
    // An engine that the first rule has refused is not chosen by the second.
    const double hashed_bound = std::min(
        kMaxHashedLoadFactor * decision.mean_in_flight + 1, bound * share);
    if (auto hashed = ChooseByHash(inputs, hashed_bound, 0)) {
      decision.index = *hashed;
      decision.basis =
          has_holder ? PlacementBasis::kSpilled : PlacementBasis::kHashed;
      return decision;
    }
  }
  auto least = LeastLoaded(inputs);
  if (!least) return std::nullopt;
  decision.index = *least;
  decision.basis = inputs.affinity_key != 0 ? PlacementBasis::kSpilled
                                            : PlacementBasis::kLeastLoaded;
  return decision;
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
