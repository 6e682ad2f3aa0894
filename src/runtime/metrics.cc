#include "dandelionscale/runtime/metrics.h"

#include <fmt/format.h>

// Must precede Boost.Accumulators, which uses string streams without including
// their header.
// clang-format off
#include <sstream>
// clang-format on

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <set>

namespace dandelionscale {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

// Upper bounds of the buckets of latency histograms, in seconds.
constexpr std::array<double, 13> kBucketBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// Removes the labels from a name.
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

// Appends a suffix to the part of a name before its labels.
std::string WithSuffix(std::string_view name, std::string_view suffix) {
  std::string_view base = BaseName(name);
  return fmt::format("{}{}{}", base, suffix, name.substr(base.size()));
}

}  // namespace

struct Metrics::Summary {
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};
};

struct Metrics::Histogram {
  // The first edge is the lower bound of the first bucket.
  static std::vector<double> Edges() {
    std::vector<double> edges = {0};
    edges.insert(edges.end(), kBucketBounds.begin(), kBucketBounds.end());
    return edges;
  }
  boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<>>>
      buckets = boost::histogram::make_histogram(
          boost::histogram::axis::variable<>(Edges()));
  double sum = 0;
  std::uint64_t count = 0;
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

void Metrics::ObserveLatency(std::string_view histogram, Duration latency) {
  auto found = this->histograms.find(histogram);
  if (found == this->histograms.end()) {
    found = this->histograms.emplace(histogram, std::make_unique<Histogram>())
                .first;
  }
  const double seconds = std::chrono::duration<double>(latency).count();
  found->second->buckets(seconds);
  found->second->sum += seconds;
  ++found->second->count;
}

std::uint64_t Metrics::Counter(std::string_view counter) const {
  auto found = this->counters.find(counter);
  return found == this->counters.end() ? 0 : found->second;
}

std::string Metrics::ToPrometheus() const {
  std::string text;
  std::set<std::string_view> declared;
  auto declare = [&](std::string_view name, std::string_view type) {
    if (!declared.insert(BaseName(name)).second) return;
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
  for (const auto& [name, histogram] : this->histograms) {
    declare(name, "histogram");
    double cumulative = 0;
    for (std::size_t n = 0; n < kBucketBounds.size(); ++n) {
      cumulative += histogram->buckets.at(static_cast<int>(n));
      text += fmt::format("{} {}\n",
                          WithLabel(WithSuffix(name, "_bucket"),
                                    fmt::format("le=\"{}\"", kBucketBounds[n])),
                          cumulative);
    }
    text += fmt::format("{} {}\n",
                        WithLabel(WithSuffix(name, "_bucket"), "le=\"+Inf\""),
                        histogram->count);
    text += fmt::format("{} {}\n", WithSuffix(name, "_sum"), histogram->sum);
    text +=
        fmt::format("{} {}\n", WithSuffix(name, "_count"), histogram->count);
  }
  return text;
}

}  // namespace dandelionscale
