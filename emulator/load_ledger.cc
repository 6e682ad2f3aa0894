#include "load_ledger.h"

#include <algorithm>
#include <cmath>

namespace dandelionscale::emulator {

LoadLedger::LoadLedger(std::size_t engines, double factor, Duration window)
    : factor(factor),
      window(window),
      running(engines, 0),
      live(engines, true),
      live_count(static_cast<std::uint32_t>(engines)),
      last(RuntimeClock::now()) {}

void LoadLedger::Advance(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - this->last).count();
  this->last = now;
  if (this->live_count == 0 || this->total < this->live_count) return;
  std::uint32_t highest = 0;
  for (std::size_t i = 0; i < this->running.size(); ++i) {
    if (this->live[i]) highest = std::max(highest, this->running[i]);
  }
  const double mean = static_cast<double>(this->total) / this->live_count;
  const double skew = highest / mean;
  this->weighted_skew += skew * seconds;
  this->weight += seconds;
  this->worst_skew = std::max(this->worst_skew, skew);
}

std::uint32_t LoadLedger::HighestTotal(TimePoint now) {
  // The last sample before the window is still in force at its beginning.
  while (this->samples.size() > 1 &&
         this->samples[1].at <= now - this->window) {
    this->samples.pop_front();
  }
  std::uint32_t highest = this->total;
  for (const Sample& sample : this->samples) {
    highest = std::max(highest, sample.total);
  }
  return highest;
}

void LoadLedger::OnStart(std::size_t engine, TimePoint now) {
  this->Advance(now);
  ++this->running[engine];
  ++this->total;
  this->samples.push_back({now, this->total});
  if (this->live_count == 0) return;
  const double mean =
      static_cast<double>(this->HighestTotal(now)) / this->live_count;
  const auto bound = static_cast<std::uint32_t>(std::ceil(this->factor * mean));
  if (this->running[engine] <= bound) return;
  ++this->violations;
  this->worst_excess =
      std::max(this->worst_excess, this->running[engine] - bound);
}

void LoadLedger::OnFinish(std::size_t engine, TimePoint now) {
  this->Advance(now);
  if (this->running[engine] == 0) return;
  --this->running[engine];
  --this->total;
  this->samples.push_back({now, this->total});
}

void LoadLedger::SetLive(std::size_t engine, bool live, TimePoint now) {
  this->Advance(now);
  if (this->live[engine] == live) return;
  this->live[engine] = live;
  live ? ++this->live_count : --this->live_count;
}

double LoadLedger::TimeWeightedSkew() const {
  return this->weight > 0 ? this->weighted_skew / this->weight : 0;
}

}  // namespace dandelionscale::emulator
