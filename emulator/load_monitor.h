#ifndef DANDELIONSCALE_EMULATOR_LOAD_MONITOR_H_
#define DANDELIONSCALE_EMULATOR_LOAD_MONITOR_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::emulator {

/// \brief Measures the load of all engines of a service: its skew, and starts
///        of requests above the bound on load.
///
/// The bound is checked at each start of a request: the engine's load must not
/// exceed `ceil(factor * mean)`, where `mean` is the highest mean load within
/// the last `window`. The window allows for the age of the routers' records of
/// the mean load. The bound is not checked at other times: when the total load
/// falls, an engine can exceed the bound without a new request, which no
/// placement can prevent.
class LoadMonitor {
 public:
  /// \param engines number of engines, all live at first.
  /// \param factor highest allowed load / mean load.
  /// \param window time over which the highest mean load is taken.
  LoadMonitor(std::size_t engines, double factor, Duration window);

  /// \brief Records the start of a request and checks the bound.
  void OnStart(std::size_t engine, TimePoint now);
  /// \brief Records the end of a request.
  void OnFinish(std::size_t engine, TimePoint now);
  /// \brief Records whether an engine is counted in the mean load.
  void SetLive(std::size_t engine, bool live, TimePoint now);

  std::uint32_t Running(std::size_t engine) const {
    return this->running[engine];
  }
  /// \returns number of starts above the bound.
  std::uint64_t BoundViolations() const { return this->violations; }
  /// \returns largest number of requests by which a load exceeded the bound.
  std::uint32_t WorstExcess() const { return this->worst_excess; }
  /// \returns highest load / mean load, averaged over the time during which
  /// the mean load is at least 1; 0 if it never was.
  double TimeWeightedSkew() const;
  /// \returns maximum of highest load / mean load within the same time.
  double WorstSkew() const { return this->worst_skew; }

 private:
  struct Sample {
    TimePoint at;
    double mean = 0;
  };

  void Advance(TimePoint now);
  double Mean() const;
  double HighestMean(TimePoint now);

  double factor;
  Duration window;
  std::vector<std::uint32_t> running;
  std::vector<bool> live;
  std::uint32_t total = 0;
  std::uint32_t live_count = 0;
  std::deque<Sample> samples;
  TimePoint last_update;
  double weighted_skew = 0;
  double weighted_seconds = 0;
  double worst_skew = 0;
  std::uint64_t violations = 0;
  std::uint32_t worst_excess = 0;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_LOAD_MONITOR_H_
