// Compares placement with baseline policies on simulated engines and measures
// the time that a decision takes.
//
// Prints one Markdown table of the policies and one of the times. All figures
// but the times are deterministic.
#include <fmt/format.h>

#include <chrono>
#include <functional>

#include "dandelionscale/core/hash.h"
#include "tests/support/engine_simulator.h"

namespace {

using namespace dandelionscale;         // NOLINT: a program's main file
using namespace dandelionscale::tests;  // NOLINT

constexpr int kEngines = 18;
constexpr int kArrivalIntervalMs = 7;
constexpr int kRunMs = 1200;
constexpr int kSimulatedMs = 60'000;
constexpr std::uint32_t kTokens = 10'000;
constexpr int kParts = 150;

using Policy = std::function<std::optional<std::size_t>(
    const std::vector<SimulatedEngine>&, std::uint64_t part, std::mt19937_64&)>;

std::optional<std::size_t> LeastInFlight(
    const std::vector<SimulatedEngine>& engines, std::uint64_t,
    std::mt19937_64&) {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < engines.size(); ++n) {
    if (!engines[n].usable) continue;
    if (!best || engines[n].ends_ms.size() < engines[*best].ends_ms.size()) {
      best = n;
    }
  }
  return best;
}

std::optional<std::size_t> Rendezvous(
    const std::vector<SimulatedEngine>& engines, std::uint64_t part,
    double bound) {
  std::optional<std::size_t> best;
  std::uint64_t best_weight = 0;
  for (std::size_t n = 0; n < engines.size(); ++n) {
    const bool full = static_cast<double>(engines[n].ends_ms.size()) > bound;
    if (!engines[n].usable || full) continue;
    const std::uint64_t weight = RendezvousWeight(part, engines[n].key);
    if (!best || weight > best_weight) {
      best = n;
      best_weight = weight;
    }
  }
  return best;
}

double MeanLoad(const std::vector<SimulatedEngine>& engines) {
  double sum = 0;
  for (const SimulatedEngine& engine : engines) {
    sum += static_cast<double>(engine.ends_ms.size());
  }
  return sum / static_cast<double>(engines.size());
}

std::optional<std::size_t> TwoChoices(
    const std::vector<SimulatedEngine>& engines, std::uint64_t,
    std::mt19937_64& random) {
  std::optional<std::size_t> best;
  for (int found = 0, tries = 0; found < 2 && tries < 100; ++tries) {
    const std::size_t n = random() % engines.size();
    if (!engines[n].usable) continue;
    ++found;
    if (!best || engines[n].ends_ms.size() < engines[*best].ends_ms.size()) {
      best = n;
    }
  }
  return best;
}

struct SimulationResult {
  SimulationCounts counts;
  /// Largest ratio of highest to mean load, sampled at each request after the
  /// first 5 s.
  double worst_skew = 0;
};

// Simulates a load in which a third of the requests use the same part and one
// engine is replaced every 5 s. An empty `policy` stands for `ChooseEngine()`.
SimulationResult Simulate(const Policy& policy) {
  EngineSimulator simulator(kEngines, 11);
  PrefixIndex index(10'000);
  SimulationResult result;
  std::size_t replaced = 0;
  for (int now = 0; now < kSimulatedMs; now += kArrivalIntervalMs) {
    if (now / 5000 > static_cast<int>(replaced)) {
      simulator.engines[replaced++].usable = false;
      simulator.Add();
    }
    const std::uint64_t part =
        simulator.random() % 3 == 0 ? 9999 : 1 + simulator.random() % kParts;
    if (policy) {
      simulator.RunOn(now, part, kRunMs,
                      policy(simulator.engines, part, simulator.random),
                      result.counts);
    } else {
      simulator.PlaceAndRun(now, part, kTokens, kRunMs, index, result.counts);
    }
    double highest_load = 0;
    for (const SimulatedEngine& engine : simulator.engines) {
      highest_load =
          std::max(highest_load, static_cast<double>(engine.ends_ms.size()));
    }
    if (now > 5000) {
      result.worst_skew = std::max(result.worst_skew,
                                   highest_load / MeanLoad(simulator.engines));
    }
  }
  return result;
}

void PrintPolicyComparison() {
  const std::vector<std::pair<const char*, Policy>> policies = {
      {"cached prefix, bounded load (ChooseEngine)", nullptr},
      {"least in flight", LeastInFlight},
      {"two random choices", TwoChoices},
      {"rendezvous", [](const auto& engines, auto part,
                        auto&) { return Rendezvous(engines, part, 1e9); }},
      {"rendezvous, 1.3 x mean + 4", [](const auto& engines, auto part, auto&) {
         return Rendezvous(engines, part, 1.3 * MeanLoad(engines) + 4);
       }}};
  fmt::print(
      "| policy | reused | recomputed, though cached elsewhere | above the "
      "load bound | highest load / "
      "mean "
      "|\n|---|---|---|---|---|\n");
  for (const auto& [name, policy] : policies) {
    const SimulationResult result = Simulate(policy);
    fmt::print(
        "| {} | {:.3f} | {:.3f} | {:.3f} | {:.2f} |\n", name,
        static_cast<double>(result.counts.reused) / result.counts.requests,
        result.counts.RecomputedShare(), result.counts.OverBoundShare(),
        result.worst_skew);
  }
}

void PrintDecisionTimes() {
  constexpr int kDecisions = 20'000;
  fmt::print("\n| engines | ns per decision |\n|---|---|\n");
  for (int engines : {22, 112, 600}) {
    std::vector<PlacementCandidate> candidates;
    for (int n = 0; n < engines; ++n) {
      PlacementCandidate candidate;
      candidate.engine_key = 1000 + static_cast<std::uint64_t>(n);
      candidate.in_flight = static_cast<std::uint32_t>(n % 7);
      candidate.max_slots = 48;
      candidates.push_back(candidate);
    }
    candidates[5].cached_tokens = kTokens;
    std::size_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < kDecisions; ++n) {
      PlacementInputs inputs{candidates, kTokens,
                             1 + static_cast<std::uint64_t>(n), 7, 2.0};
      sum += ChooseEngine(inputs)->index;
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    const auto nanoseconds =
        std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count();
    fmt::print("| {} | {} |\n", engines,
               sum == 0 ? 0 : nanoseconds / kDecisions);
  }
}

}  // namespace

int main() {
  PrintPolicyComparison();
  PrintDecisionTimes();
}
