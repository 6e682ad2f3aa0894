#ifndef DANDELIONSCALE_EMULATOR_LOAD_LEDGER_H_
#define DANDELIONSCALE_EMULATOR_LOAD_LEDGER_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::emulator {

/// \brief Watches the load of all engines of a service for skew and the bound.
///
/// The bound is judged at each start of a request: the engine's load must not
/// exceed `ceil(factor * mean)`, where the mean is the highest of the last
/// `window`. The window stands for how old the routers' view of the mean may
/// be; a load that falls leaves engines above the mean without any new request,
/// which no placement can prevent.
class LoadLedger {
 public:
  LoadLedger(std::size_t engines, double factor, Duration window);

  void OnStart(std::size_t engine, TimePoint now);
  void OnFinish(std::size_t engine, TimePoint now);
  void SetLive(std::size_t engine, bool live, TimePoint now);

  std::uint32_t Running(std::size_t engine) const {
    return this->running[engine];
  }
  std::uint64_t BoundViolations() const { return this->violations; }
  std::uint32_t WorstExcess() const { return this->worst_excess; }
  /// \returns max/mean load, weighted by time while the mean is at least 1.
  double TimeWeightedSkew() const;
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
  TimePoint last;
  double weighted_skew = 0;
  double weight = 0;
  double worst_skew = 0;
  std::uint64_t violations = 0;
  std::uint32_t worst_excess = 0;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_LOAD_LEDGER_H_
