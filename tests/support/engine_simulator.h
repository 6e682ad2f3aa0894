/// \file
/// \brief Simulates engines (slots, run times, prompt caches) to test placement
/// under load.
#ifndef DANDELIONSCALE_TESTS_SUPPORT_ENGINE_SIMULATOR_H_
#define DANDELIONSCALE_TESTS_SUPPORT_ENGINE_SIMULATOR_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "dandelionscale/core/load/placement.h"
#include "dandelionscale/core/prefix_index.h"

namespace dandelionscale::tests {

/// \brief State of one simulated engine.
struct SimulatedEngine {
  std::uint64_t key = 0;
  std::uint32_t slots = 48;
  std::multiset<int> ends_ms;     ///< End of each running request.
  std::set<std::uint64_t> parts;  ///< Prompt parts in the cache.
  bool usable = true;
};

/// \brief Counters of a simulation.
struct SimulationCounts {
  int requests = 0;
  int reused = 0;      ///< The chosen engine had cached the part.
  int recomputed = 0;  ///< Only another usable engine had cached the part.
  int over_bound = 0;  ///< The chosen engine was above the bound on load.
  int not_placed = 0;
  double RecomputedShare() const {
    return static_cast<double>(this->recomputed) / std::max(1, this->requests);
  }
  double OverBoundShare() const {
    return static_cast<double>(this->over_bound) / std::max(1, this->requests);
  }
};

/// \brief Runs simulated requests on engines that a policy chooses.
class EngineSimulator {
 public:
  /// A request is above the bound on load if its engine already runs more than
  /// kLoadFactor * mean load + kBoundSlack requests.
  static constexpr double kLoadFactor = 2.0;
  static constexpr double kBoundSlack = 3.0;

  /// \param seed of the random numbers.
  EngineSimulator(int engines, std::uint64_t seed) : random(seed) {
    for (int n = 0; n < engines; ++n) this->Add();
  }

  /// \brief Adds an idle engine with an empty cache.
  void Add() {
    SimulatedEngine engine;
    engine.key = 1000 + ++this->last_key;
    this->engines.push_back(engine);
  }

  /// \brief Places one request by `ChooseEngine` and runs it.
  /// \param part prompt part that the request shares with others.
  /// \param tokens length of the part.
  /// \param index prefix index of the router; the part is added to it.
  void PlaceAndRun(int now_ms, std::uint64_t part, std::uint32_t tokens,
                   int run_ms, PrefixIndex& index, SimulationCounts& counts) {
    this->RemoveFinished(now_ms);
    const TimePoint now = TimePoint(std::chrono::milliseconds(now_ms));
    const std::vector<PrefixPart> parts = {{part, tokens}};
    std::vector<PlacementCandidate> candidates;
    for (const SimulatedEngine& engine : this->engines) {
      PlacementCandidate candidate;
      candidate.engine_key = engine.key;
      candidate.in_flight = static_cast<std::uint32_t>(engine.ends_ms.size());
      candidate.max_slots = engine.slots;
      candidate.cached_tokens = index.CachedTokens(now, parts, engine.key);
      candidate.usable = engine.usable;
      candidates.push_back(candidate);
    }
    PlacementInputs inputs;
    inputs.candidates = candidates;
    inputs.shared_tokens = tokens;
    inputs.affinity_key = part;
    inputs.request_key = this->random();
    inputs.load_factor = kLoadFactor;
    const auto decision = ChooseEngine(inputs);
    std::optional<std::size_t> chosen;
    if (decision) chosen = decision->index;
    this->RunOn(now_ms, part, run_ms, chosen, counts);
    if (chosen) index.Apply(now, {part, this->engines[*chosen].key, false});
  }

  /// \brief Runs one request.
  /// \param engine_index position of the engine that a policy chose in
  /// `engines`; none if it chose none.
  void RunOn(int now_ms, std::uint64_t part, int run_ms,
             std::optional<std::size_t> engine_index,
             SimulationCounts& counts) {
    this->RemoveFinished(now_ms);
    ++counts.requests;
    if (!engine_index) {
      ++counts.not_placed;
      return;
    }
    double sum = 0;
    for (const SimulatedEngine& engine : this->engines) {
      sum += static_cast<double>(engine.ends_ms.size());
    }
    const double mean = sum / static_cast<double>(this->engines.size());
    SimulatedEngine& chosen = this->engines[*engine_index];
    const double bound = kLoadFactor * mean + kBoundSlack;
    if (static_cast<double>(chosen.ends_ms.size()) > bound) ++counts.over_bound;
    this->UseCache(chosen, part, counts);
    chosen.ends_ms.insert(now_ms + run_ms);
  }

  std::vector<SimulatedEngine> engines;
  std::mt19937_64 random;

 private:
  void RemoveFinished(int now_ms) {
    for (SimulatedEngine& engine : this->engines) {
      engine.ends_ms.erase(engine.ends_ms.begin(),
                           engine.ends_ms.upper_bound(now_ms));
    }
  }

  void UseCache(SimulatedEngine& chosen, std::uint64_t part,
                SimulationCounts& counts) {
    if (chosen.parts.contains(part)) {
      ++counts.reused;
      return;
    }
    const bool held_elsewhere =
        std::any_of(this->engines.begin(), this->engines.end(),
                    [part](const SimulatedEngine& engine) {
                      return engine.usable && engine.parts.contains(part);
                    });
    if (held_elsewhere) ++counts.recomputed;
    chosen.parts.insert(part);
  }

  std::uint64_t last_key = 0;
};

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_ENGINE_SIMULATOR_H_
