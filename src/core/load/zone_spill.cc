#include "dandelionscale/core/load/zone_spill.h"

#include <algorithm>
#include <cmath>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// Difference of utilizations, in requests per slot, from which on requests
// leave the zone, at a zone cost of 1.
constexpr double kMargin = 0.1;
// The share falls when the difference is smaller than the margin by this much.
constexpr double kHysteresis = 0.05;
// Requests per slot below which requests hardly ever wait, even at an engine
// with few slots: of 6 slots, 1 request in 100 finds all in use.
constexpr double kBusyUtilization = 0.3;
// Change of the logarithm of the staying share within the response time, for an
// own utilization that is too high or too low by a factor of e. It is below 1,
// so that loads show the effect of a change before the share has overshot.
constexpr double kGain = 0.6;
// Largest logarithm of that factor that counts.
constexpr double kMaxDeviation = 1.0;
// The same for an own utilization that is too low. It limits the rate at which
// a zone that returns takes its load back: meanwhile the engines of the other
// zones hold more than the mean.
constexpr double kMaxIdleDeviation = 4.0;
// A zone with a usable engine serves at least this share of its requests.
// Without any, the zone's utilization would not show whether it can take more.
constexpr double kMinStaying = 0.05;
// Time constant of the moving means of the utilizations. The utilization of 6
// slots varies by 0.2 from one report to the next.
constexpr Duration kSmoothingTime = std::chrono::seconds(2);
constexpr Duration kUpdateInterval = std::chrono::milliseconds(250);
// A longer time between updates counts as this, since the loads in between are
// unknown.
constexpr Duration kMaxUpdateInterval = std::chrono::seconds(2);
// While the own zone has no usable engine, the share that stays falls to 1/e
// within this time. An engine that pauses for a moment gets its load back soon.
constexpr Duration kAbsenceTime = std::chrono::seconds(2);
// Makes the hash that selects requests independent of others of the same key.
constexpr std::uint64_t kSelectionSalt = 0x7a6f6e65;

double Ratio(Duration dividend, Duration divisor) {
  return static_cast<double>(dividend.count()) /
         static_cast<double>(divisor.count());
}

// Logarithm of the factor by which a utilization is too high.
double Deviation(double utilization, double target) {
  constexpr double kMinUtilization = 1e-6;
  return std::clamp(std::log(std::max(utilization, kMinUtilization) / target),
                    -kMaxIdleDeviation, kMaxDeviation);
}

}  // namespace

double ZoneLoad::Utilization() const {
  if (this->slots == 0) return 0;
  return static_cast<double>(this->in_flight) /
         static_cast<double>(this->slots);
}

ZoneLoads SumZoneLoads(std::span<const PlacementCandidate> candidates) {
  ZoneLoads loads;
  for (const PlacementCandidate& candidate : candidates) {
    ZoneLoad& zone = candidate.same_zone ? loads.own : loads.others;
    zone.has_engines = true;
    if (!candidate.usable || candidate.limits_rate) continue;
    zone.in_flight += candidate.in_flight;
    zone.slots += std::max<std::uint32_t>(1, candidate.max_slots);
  }
  return loads;
}

void ZoneSpill::Update(TimePoint now, const ZoneLoads& loads,
                       Duration response_time, double zone_cost) {
  if (now - this->updated_at < kUpdateInterval) return;
  const Duration elapsed =
      std::min<Duration>(now - this->updated_at, kMaxUpdateInterval);
  this->updated_at = now;
  if (loads.own.slots == 0 || loads.others.slots == 0) {
    this->has_utilization = false;
    // `RuleFor()` takes effect at once; the share that remains when the zone
    // has engines again depends on how long it had none.
    this->staying =
        loads.others.slots == 0
            ? 1
            : std::max(kMinStaying,
                       this->staying * std::exp(-Ratio(elapsed, kAbsenceTime)));
    return;
  }
  this->Smooth(loads, elapsed);
  this->Adapt(Ratio(elapsed, response_time + kSmoothingTime), zone_cost);
}

void ZoneSpill::Smooth(const ZoneLoads& loads, Duration elapsed) {
  const double weight = this->has_utilization
                            ? 1 - std::exp(-Ratio(elapsed, kSmoothingTime))
                            : 1.0;
  this->has_utilization = true;
  this->own_utilization +=
      weight * (loads.own.Utilization() - this->own_utilization);
  this->other_utilization +=
      weight * (loads.others.Utilization() - this->other_utilization);
}

void ZoneSpill::Adapt(double steps, double zone_cost) {
  const double high =
      std::max(this->other_utilization + kMargin * zone_cost, kBusyUtilization);
  const double low = std::max(high - kHysteresis, kHysteresis);
  const bool is_in_band =
      this->own_utilization >= low && this->own_utilization <= high;
  const double deviation =
      is_in_band ? 0 : Deviation(this->own_utilization, high);
  this->staying *= std::exp(-kGain * steps * deviation);
  this->staying = std::clamp(this->staying, kMinStaying, 1.0);
}

ZoneRule ZoneSpill::RuleFor(const ZoneLoads& loads,
                            std::uint64_t request_key) const {
  if (!loads.own.has_engines || !loads.others.has_engines) {
    return ZoneRule::kIgnored;
  }
  if (loads.own.slots == 0 && loads.others.slots == 0) {
    return ZoneRule::kIgnored;
  }
  if (loads.own.slots == 0) return ZoneRule::kLeave;
  if (loads.others.slots == 0) return ZoneRule::kStay;
  const double position = RendezvousFraction(request_key, kSelectionSalt);
  return position < this->Share() ? ZoneRule::kLeave : ZoneRule::kStay;
}

}  // namespace dandelionscale
