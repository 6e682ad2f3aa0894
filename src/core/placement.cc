#include "dandelionscale/core/placement.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// The bound on load is `load_factor` times the mean, plus this many requests.
constexpr double kBoundSlack = 3.0;
// Share of the bound up to which a holder of a long prefix is used. The rest
// covers what the other routers have sent since their last report.
constexpr double kLongPrefixShare = 0.9;
// The same for a prefix that is cheap to read again elsewhere.
constexpr double kShortPrefixShare = 0.75;
constexpr std::uint32_t kLongPrefixTokens = 4000;
// An engine that would read the prefix anew is taken up to this multiple of the
// mean load, plus one.
constexpr double kNewHolderFactor = 1.25;
// Requests beyond its slots that an engine may have waiting.
constexpr double kQueueShare = 0.25;
// Requests fewer that an engine in another zone must have to be preferred.
constexpr double kZoneAdvantage = 0.5;

// Tokens below which a copy is not worth its transfer.
constexpr std::uint32_t kLeastTokensToCopy = 128;

using Candidate = PlacementCandidate;

bool HasRoom(const Candidate& candidate) {
  const double limit = candidate.max_slots * (1 + kQueueShare);
  return candidate.usable && candidate.in_flight < limit;
}

double Mean(std::span<const Candidate> candidates) {
  std::uint64_t sum = 0;
  for (const Candidate& candidate : candidates) sum += candidate.in_flight;
  if (candidates.empty()) return 0;
  return static_cast<double>(sum) / static_cast<double>(candidates.size());
}

// Utilisation after the request is added, with ties broken by the hash so that
// routers with the same view do not all choose the same engine.
std::optional<std::size_t> LeastLoaded(const PlacementQuestion& question) {
  std::optional<std::size_t> best;
  double best_load = 0;
  std::uint64_t best_weight = 0;
  for (std::size_t n = 0; n < question.candidates.size(); ++n) {
    const Candidate& candidate = question.candidates[n];
    if (!HasRoom(candidate)) continue;
    const double distance = candidate.same_zone ? 0 : kZoneAdvantage;
    const double load = (candidate.in_flight + 1 + distance) /
                        std::max<std::uint32_t>(1, candidate.max_slots);
    const std::uint64_t weight =
        RendezvousWeight(question.spread_key, candidate.engine_key);
    if (!best || load < best_load ||
        (load == best_load && weight > best_weight)) {
      best = n;
      best_load = load;
      best_weight = weight;
    }
  }
  return best;
}

// The first engine in the hash order of the prefix with load below the bound
// that holds `least_tokens` of it.
std::optional<std::size_t> FirstByHash(const PlacementQuestion& question,
                                       double bound,
                                       std::uint32_t least_tokens) {
  std::optional<std::size_t> best;
  std::uint64_t best_weight = 0;
  for (std::size_t n = 0; n < question.candidates.size(); ++n) {
    const Candidate& candidate = question.candidates[n];
    if (candidate.held_tokens < least_tokens) continue;
    if (!HasRoom(candidate) || candidate.in_flight + 1 > bound) continue;
    const std::uint64_t weight =
        RendezvousWeight(question.affinity_key, candidate.engine_key);
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

std::optional<PlacementDecision> ChooseEngine(
    const PlacementQuestion& question) {
  PlacementDecision decision;
  decision.mean_in_flight =
      question.mean_in_flight.value_or(Mean(question.candidates));
  if (question.affinity_key != 0) {
    const double bound =
        question.load_factor * decision.mean_in_flight + kBoundSlack;
    const double share = question.shared_tokens >= kLongPrefixTokens
                             ? kLongPrefixShare
                             : kShortPrefixShare;
    if (auto holder =
            FirstByHash(question, bound * share, question.shared_tokens)) {
      decision.index = *holder;
      decision.basis = PlacementBasis::kHoldsPrefix;
      return decision;
    }
    const bool held =
        std::any_of(question.candidates.begin(), question.candidates.end(),
                    [&question](const Candidate& candidate) {
                      return candidate.usable &&
                             candidate.held_tokens >= question.shared_tokens;
                    });
    const double moderate = kNewHolderFactor * decision.mean_in_flight + 1;
    if (auto hashed = FirstByHash(question, moderate, 0)) {
      decision.index = *hashed;
      decision.basis =
          held ? PlacementBasis::kSpilled : PlacementBasis::kHashed;
      return decision;
    }
  }
  auto least = LeastLoaded(question);
  if (!least) return std::nullopt;
  decision.index = *least;
  decision.basis = question.affinity_key != 0 ? PlacementBasis::kSpilled
                                              : PlacementBasis::kLeastLoaded;
  return decision;
}

std::optional<std::size_t> ChooseCopySource(const PlacementQuestion& question,
                                            std::size_t chosen) {
  std::optional<std::size_t> best;
  std::uint32_t most =
      question.candidates[chosen].held_tokens + kLeastTokensToCopy - 1;
  for (std::size_t n = 0; n < question.candidates.size(); ++n) {
    const Candidate& candidate = question.candidates[n];
    if (n == chosen || !candidate.reachable) continue;
    if (candidate.held_tokens <= most) continue;
    best = n;
    most = candidate.held_tokens;
  }
  return best;
}

}  // namespace dandelionscale
