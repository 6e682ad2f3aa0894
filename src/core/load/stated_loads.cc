#include "dandelionscale/core/load/stated_loads.h"

#include <algorithm>
#include <cmath>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// Two copies of one load differ in age by the delay of their datagrams. A copy
// must not replace the other, because the correction by own requests starts
// anew with each load.
constexpr Duration kMinAdvance = std::chrono::milliseconds(20);
// A stated load counts as at most this many times the engine's slots, unless
// more may wait there, so that a false one can't raise the mean, and with it
// the load bound, without limit.
constexpr double kMaxSlotsMultiple = 2;
// Separate the hashes that select requests from each other and from the one
// that breaks ties between equally loaded engines.
constexpr std::uint64_t kPaceSalt = 0x9ae16a3b2f90404f;
constexpr std::uint64_t kLowerLoadSalt = 0xc949c7defebe6b2f;
constexpr std::uint64_t kMarginSalt = 0x8f14e45fceea167a;
// Largest margin, as a share of the engine's requests in flight. With a load
// factor of 2, an engine that holds no more than the mean stays below the bound
// for short prefixes with any margin.
constexpr double kMaxMarginShare = 0.5;

bool HoldsPrefix(const StatedLoadInputs& use,
                 const PlacementCandidate& candidate) {
  return use.affinity_key != 0 && candidate.cached_tokens >= use.shared_tokens;
}

}  // namespace

void StatedLoads::OnStated(TimePoint now, const StatedLoad& load,
                           std::uint32_t own_in_flight) {
  this->Set(now, load, own_in_flight, true);
}

void StatedLoads::OnForwarded(TimePoint now, const StatedLoad& load,
                              std::uint32_t own_in_flight) {
  if (load.age < Duration::zero() || load.age > kMaxLoadAge) return;
  const auto known = this->entries.find(load.engine_key);
  const bool is_new = known == this->entries.end() ||
                      now - load.age >= known->second.stated_at + kMinAdvance;
  if (is_new) this->Set(now, load, own_in_flight, false);
}

void StatedLoads::Expire(TimePoint now) {
  std::erase_if(this->entries, [now](const auto& entry) {
    return now - entry.second.stated_at > kMaxLoadAge;
  });
}

std::vector<StatedLoad> StatedLoads::LoadsToForward(TimePoint now) const {
  std::vector<StatedLoad> loads;
  for (const auto& [key, entry] : this->entries) {
    const Duration age = now - entry.stated_at;
    if (!entry.is_direct || age > kMaxForwardAge) continue;
    loads.push_back({key, entry.in_flight, entry.pace, age});
  }
  return loads;
}

std::optional<Duration> StatedLoads::UsedAge(TimePoint now,
                                             std::uint64_t engine_key,
                                             Duration peer_report_age) const {
  const Entry* entry =
      this->Find(now, engine_key, std::min(peer_report_age, kMaxLoadAge));
  if (entry == nullptr) return std::nullopt;
  return now - entry->stated_at;
}

double StatedLoads::Pace(TimePoint now, std::uint64_t engine_key) const {
  const Entry* entry = this->Find(now, engine_key, kMaxPaceAge);
  return entry == nullptr ? kUsualPace : entry->pace;
}

void StatedLoads::Apply(TimePoint now, const StatedLoadInputs& use,
                        std::span<PlacementCandidate> candidates) const {
  const auto usable_engines = static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(),
                    [](const auto& candidate) { return candidate.usable; }));
  std::vector<std::uint32_t> by_reports;
  by_reports.reserve(candidates.size());
  for (PlacementCandidate& candidate : candidates) {
    by_reports.push_back(candidate.in_flight);
    const Entry* entry = this->FindUsed(now, use, candidate.engine_key);
    if (entry != nullptr) {
      candidate.in_flight =
          Estimate(now, use, *entry, candidate, usable_engines);
      candidate.margin = Margin(use, candidate);
    }
    candidate.avoided = this->IsAvoided(now, use, candidate.engine_key);
  }
  const bool all_limited =
      std::all_of(candidates.begin(), candidates.end(),
                  [](const auto& one) { return one.limits_rate; });
  const bool any_has_room =
      std::any_of(candidates.begin(), candidates.end(), [&](const auto& one) {
        return (all_limited || !one.limits_rate) &&
               HasRoom(one, use.queue_share);
      });
  if (any_has_room) return;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    candidates[n].in_flight = by_reports[n];
    candidates[n].margin = 0;
  }
}

void StatedLoads::Set(TimePoint now, const StatedLoad& load,
                      std::uint32_t own_in_flight, bool is_direct) {
  const bool is_pace = std::isfinite(load.pace);
  this->entries[load.engine_key] = {
      load.in_flight,
      is_pace ? std::clamp(load.pace, kUsualPace, kMaxPace) : kUsualPace,
      now - load.age, own_in_flight, is_direct};
}

const StatedLoads::Entry* StatedLoads::Find(TimePoint now,
                                            std::uint64_t engine_key,
                                            Duration max_age) const {
  const auto found = this->entries.find(engine_key);
  if (found == this->entries.end()) return nullptr;
  return now - found->second.stated_at > max_age ? nullptr : &found->second;
}

const StatedLoads::Entry* StatedLoads::FindUsed(
    TimePoint now, const StatedLoadInputs& use,
    std::uint64_t engine_key) const {
  return this->Find(now, engine_key,
                    std::min<Duration>(use.peer_report_age, kMaxLoadAge));
}

double StatedLoads::WeightedEstimate(TimePoint now, const StatedLoadInputs& use,
                                     const Entry& entry,
                                     const PlacementCandidate& candidate) {
  const double slots = std::max<std::uint32_t>(1, candidate.max_slots);
  // Never below the number at which the engine is full, nor below what peers
  // report.
  const double max_in_flight =
      std::max({kMaxSlotsMultiple * slots, (1 + use.queue_share) * slots,
                static_cast<double>(candidate.in_flight)});
  const double own_change = static_cast<double>(candidate.own_in_flight) -
                            static_cast<double>(entry.own_in_flight);
  const double stated =
      std::min(static_cast<double>(entry.in_flight), max_in_flight) +
      own_change;
  const double weight =
      std::exp(-static_cast<double>((now - entry.stated_at).count()) /
               static_cast<double>(use.work_time.count()));
  return weight * stated + (1 - weight) * candidate.in_flight;
}

std::uint32_t StatedLoads::Estimate(TimePoint now, const StatedLoadInputs& use,
                                    const Entry& entry,
                                    const PlacementCandidate& candidate,
                                    std::size_t usable_engines) {
  const std::uint32_t by_reports = candidate.in_flight;
  const double mixed =
      std::max(0.0, WeightedEstimate(now, use, entry, candidate));
  const auto estimate = std::max<std::uint32_t>(
      candidate.own_in_flight, static_cast<std::uint32_t>(std::lround(mixed)));
  if (estimate >= by_reports || HoldsPrefix(use, candidate)) return estimate;
  const double share =
      1.0 / static_cast<double>(std::max<std::size_t>(1, usable_engines));
  const bool may_lower = RendezvousFraction(use.request_key ^ kLowerLoadSalt,
                                            candidate.engine_key) < share;
  return may_lower ? estimate : by_reports;
}

std::uint32_t StatedLoads::Margin(const StatedLoadInputs& use,
                                  const PlacementCandidate& candidate) {
  // A long prefix is costly to compute or copy, and rarely hot.
  const bool is_long = use.shared_tokens >= kMinLongPrefixTokens;
  if (is_long || !HoldsPrefix(use, candidate)) return 0;
  return static_cast<std::uint32_t>(std::lround(
      kMaxMarginShare * candidate.in_flight *
      RendezvousFraction(use.request_key ^ kMarginSalt, candidate.engine_key)));
}

bool StatedLoads::IsAvoided(TimePoint now, const StatedLoadInputs& use,
                            std::uint64_t engine_key) const {
  if (use.affinity_key != 0) return false;
  const double pace = this->Pace(now, engine_key);
  if (pace <= kUsualPace) return false;
  return RendezvousFraction(use.request_key ^ kPaceSalt, engine_key) >=
         kUsualPace / pace;
}

}  // namespace dandelionscale
