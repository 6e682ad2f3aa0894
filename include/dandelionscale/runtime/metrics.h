#ifndef DANDELIONSCALE_RUNTIME_METRICS_H_
#define DANDELIONSCALE_RUNTIME_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Counters, gauges, summaries and latency histograms of one process.
///
/// Names may carry Prometheus labels: `requests_total{outcome="completed"}`.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// \brief Increases a counter by `amount`.
  void Add(std::string_view counter, std::uint64_t amount = 1);
  /// \brief Sets a gauge.
  void Set(std::string_view gauge, double value);
  /// \brief Adds a sample to a summary (quantiles 0.5, 0.95, 0.99).
  void Observe(std::string_view summary, double sample);

  /// \brief Adds a latency, exported in seconds, to a histogram with buckets
  ///        from 1 ms to 10 s.
  void ObserveLatency(std::string_view histogram, Duration latency);

  /// \returns the value of a counter, 0 if it was never increased.
  std::uint64_t Counter(std::string_view counter) const;
  /// \returns all metrics in the Prometheus text format.
  std::string ToPrometheus() const;

 private:
  struct Summary;
  struct Histogram;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries;
  std::map<std::string, std::unique_ptr<Histogram>, std::less<>> histograms;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_METRICS_H_
