#include "load_monitor.h"

#include <algorithm>
#include <cmath>

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::emulator {

LoadMonitor::LoadMonitor(std::size_t engines, double factor, Duration window)
    : factor(factor),
      window(window),
      running(engines, 0),
      live(engines, true),
      live_count(static_cast<std::uint32_t>(engines)),
      last_update(RuntimeClock::now()) {}

void LoadMonitor::Advance(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - this->last_update).count();
  this->last_update = now;
  if (this->live_count == 0 || this->total < this->live_count) return;
  std::uint32_t highest = 0;
  for (std::size_t i = 0; i < this->running.size(); ++i) {
    if (this->live[i]) highest = std::max(highest, this->running[i]);
  }
  const double mean = static_cast<double>(this->total) / this->live_count;
  const double skew = highest / mean;
  this->weighted_skew += skew * seconds;
  this->weighted_seconds += seconds;
  this->worst_skew = std::max(this->worst_skew, skew);
}

double LoadMonitor::Mean() const {
  if (this->live_count == 0) return 0;
  return static_cast<double>(this->total) / this->live_count;
}

double LoadMonitor::HighestMean(TimePoint now) {
  // The last sample before the window is the mean load at its start.
  while (this->samples.size() > 1 &&
         this->samples[1].at <= now - this->window) {
    this->samples.pop_front();
  }
  double highest = this->Mean();
  for (const Sample& sample : this->samples) {
    highest = std::max(highest, sample.mean);
  }
  return highest;
}

void LoadMonitor::OnStart(std::size_t engine, TimePoint now) {
  this->Advance(now);
  ++this->running[engine];
  ++this->total;
  this->samples.push_back({now, this->Mean()});
  const auto bound = static_cast<std::uint32_t>(
      std::ceil(this->factor * this->HighestMean(now)));
  if (this->running[engine] <= bound) return;
  ++this->violations;
  Logger::Warning("bound_violated",
                  {{"engine", static_cast<std::int64_t>(engine)},
                   {"load", static_cast<std::int64_t>(this->running[engine])},
                   {"bound", static_cast<std::int64_t>(bound)},
                   {"highest_mean", this->HighestMean(now)},
                   {"mean", this->Mean()},
                   {"live", static_cast<std::int64_t>(this->live_count)}});
  this->worst_excess =
      std::max(this->worst_excess, this->running[engine] - bound);
}

void LoadMonitor::OnFinish(std::size_t engine, TimePoint now) {
  this->Advance(now);
  if (this->running[engine] == 0) return;
  --this->running[engine];
  --this->total;
  this->samples.push_back({now, this->Mean()});
}

void LoadMonitor::SetLive(std::size_t engine, bool live, TimePoint now) {
  this->Advance(now);
  if (this->live[engine] == live) return;
  this->live[engine] = live;
  live ? ++this->live_count : --this->live_count;
  this->samples.push_back({now, this->Mean()});
}

double LoadMonitor::TimeWeightedSkew() const {
  return this->weighted_seconds > 0
             ? this->weighted_skew / this->weighted_seconds
             : 0;
}

}  // namespace dandelionscale::emulator
