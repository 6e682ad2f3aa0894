#ifndef DANDELIONSCALE_CORE_PLACEMENT_H_
#define DANDELIONSCALE_CORE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace dandelionscale {

/// \brief One engine as placement sees it.
struct PlacementCandidate {
  std::uint64_t engine_key = 0;
  std::uint32_t in_flight = 0;  ///< Of all routers, as far as known.
  std::uint32_t max_slots = 1;
  std::uint32_t held_tokens = 0;  ///< Of this prompt's shared parts.
  bool usable = true;     ///< Not draining, not set aside, not tried before.
  bool reachable = true;  ///< Other engines can copy from its cache.
  bool same_zone = false;
};

/// \brief What decides where a request goes.
struct PlacementQuestion {
  std::span<const PlacementCandidate> candidates;
  std::uint32_t shared_tokens = 0;  ///< Of the prompt's shared parts.
  std::uint64_t affinity_key = 0;   ///< Of the last shared part; 0 for none.
  std::uint64_t spread_key = 0;     ///< Differs between requests.
  double load_factor = 2.0;         ///< Bound on load, times the mean, plus 3.
  /// Mean load of the service; worked out if `candidates` are all its engines.
  std::optional<double> mean_in_flight{};
};

/// \brief Why an engine was chosen.
enum class PlacementBasis {
  kHoldsPrefix,  ///< It holds most of the prompt's shared parts.
  kHashed,       ///< Nobody holds them; the hash of the prefix chose it.
  kSpilled,      ///< The holders are too loaded.
  kLeastLoaded,  ///< The request has no shared parts.
};

/// \returns the name used in logs.
std::string_view ToString(PlacementBasis basis);

/// \brief The decision and the figures that it rests on.
struct PlacementDecision {
  std::size_t index = 0;  ///< Into `PlacementQuestion::candidates`.
  PlacementBasis basis = PlacementBasis::kLeastLoaded;
  double mean_in_flight = 0;
};

/// \brief Chooses an engine.
/// \returns nothing if no engine is usable or all are full.
std::optional<PlacementDecision> ChooseEngine(
    const PlacementQuestion& question);

/// \brief Chooses where the chosen engine copies the prompt's parts from.
/// \returns the index of the candidate that holds most, or nothing if none
/// holds
///          enough more than the chosen one to be worth a copy.
std::optional<std::size_t> ChooseCopySource(const PlacementQuestion& question,
                                            std::size_t chosen);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_PLACEMENT_H_
