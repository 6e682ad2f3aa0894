#include "dandelionscale/runtime/metrics.h"

#include <fmt/format.h>

// Boost.Accumulators uses string streams without including them.
// clang-format off
#include <sstream>
// clang-format on

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <set>

namespace dandelionscale {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

std::string_view BaseName(std::string_view name) {
  return name.substr(0, name.find('{'));
}

// Inserts a label into a name that may already carry labels.
std::string WithLabel(std::string_view name, std::string_view label) {
  if (name.ends_with('}')) {
    return fmt::format("{},{}}}", name.substr(0, name.size() - 1), label);
  }
  return fmt::format("{}{{{}}}", name, label);
}

std::string WithSuffix(std::string_view name, std::string_view suffix) {
  std::string_view base = BaseName(name);
  return fmt::format("{}{}{}", base, suffix, name.substr(base.size()));
}

}  // namespace

struct Metrics::Summary {
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(std::string_view counter, std::uint64_t amount) {
  auto found = this->counters.find(counter);
  if (found == this->counters.end()) {
    found = this->counters.emplace(counter, 0).first;
  }
  found->second += amount;
}

void Metrics::Set(std::string_view gauge, double value) {
  this->gauges.insert_or_assign(std::string(gauge), value);
}

void Metrics::Observe(std::string_view summary, double sample) {
  auto found = this->summaries.find(summary);
  if (found == this->summaries.end()) {
    found = this->summaries.emplace(summary, std::make_unique<Summary>()).first;
  }
  found->second->accumulator(sample);
}

std::uint64_t Metrics::Counter(std::string_view counter) const {
  auto found = this->counters.find(counter);
  return found == this->counters.end() ? 0 : found->second;
}

std::string Metrics::ToPrometheus() const {
  std::string text;
  std::set<std::string_view> typed;
  auto declare = [&](std::string_view name, std::string_view type) {
    if (!typed.insert(BaseName(name)).second) return;
    text += fmt::format("# TYPE {} {}\n", BaseName(name), type);
  };
  for (const auto& [name, value] : this->counters) {
    declare(name, "counter");
    text += fmt::format("{} {}\n", name, value);
  }
  for (const auto& [name, value] : this->gauges) {
    declare(name, "gauge");
    text += fmt::format("{} {}\n", name, value);
  }
  for (const auto& [name, summary] : this->summaries) {
    declare(name, "summary");
    for (double probability : kQuantiles) {
      double value = acc::quantile(summary->accumulator,
                                   acc::quantile_probability = probability);
      text += fmt::format(
          "{} {}\n",
          WithLabel(name, fmt::format("quantile=\"{}\"", probability)), value);
    }
    text += fmt::format("{} {}\n", WithSuffix(name, "_sum"),
                        acc::sum(summary->accumulator));
    text += fmt::format("{} {}\n", WithSuffix(name, "_count"),
                        acc::count(summary->accumulator));
  }
  return text;
}

}  // namespace dandelionscale
