#include "dandelionscale/core/engine_reachability.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Time between two checks while there is a suspicion.
constexpr Duration kMinCheckInterval = std::chrono::milliseconds(300);
// Time between two checks of services that are cut off.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
// Silence of all engines of a service, while requests wait, that is a
// suspicion.
constexpr Duration kMaxSilence = std::chrono::milliseconds(250);
constexpr int kMinUnanswered = 2;
// Engines may be slow together: time between two checks for silence alone.
constexpr Duration kSilenceCheckInterval = std::chrono::seconds(1);
// Successful checks in succession that end a cut.
constexpr int kChecksToRegain = 2;
// Least duration of a cut; doubles with each relapse up to the maximum, so that
// a link that comes and goes is not tried each time.
constexpr Duration kMinCutTime = std::chrono::milliseconds(500);
constexpr Duration kMaxCutTime = std::chrono::seconds(4);
constexpr int kMaxDoublings = 3;
// A cut that begins sooner after the end of the last one is a relapse.
constexpr Duration kRelapseTime = std::chrono::seconds(10);

}  // namespace

void EngineReachability::OnSent(TimePoint now, std::string_view service) {
  ServiceState& state = this->services[std::string(service)];
  if (!state.silent_since) state.silent_since = now;
  ++state.unanswered;
}

void EngineReachability::OnReceived(std::string_view service) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return;
  found->second.silent_since.reset();
  found->second.unanswered = 0;
}

bool EngineReachability::IsSilent(TimePoint now) const {
  if (now - this->checked_at < kSilenceCheckInterval) return false;
  return std::any_of(this->services.begin(), this->services.end(),
                     [now](const auto& entry) {
                       const ServiceState& state = entry.second;
                       return !state.cut_off && state.silent_since &&
                              state.unanswered >= kMinUnanswered &&
                              now - *state.silent_since > kMaxSilence;
                     });
}

bool EngineReachability::IsCheckDue(TimePoint now) const {
  const Duration since_check = now - this->checked_at;
  if (this->suspected || this->IsSilent(now)) {
    return since_check >= kMinCheckInterval;
  }
  const bool any_cut_off =
      std::any_of(this->services.begin(), this->services.end(),
                  [](const auto& entry) { return entry.second.cut_off; });
  return any_cut_off && since_check >= kProbeInterval;
}

bool EngineReachability::WasJustChecked(TimePoint now) const {
  return now - this->checked_at < kMinCheckInterval;
}

std::vector<std::string> EngineReachability::OnCheckStarted(
    TimePoint now, const std::vector<std::string>& all_services) {
  const bool check_all = this->suspected || this->IsSilent(now);
  this->suspected = false;
  this->checked_at = now;
  if (check_all) return all_services;
  return this->CutOffServices();
}

EngineReachability::Change EngineReachability::OnChecked(
    TimePoint now, std::string_view service, const ReachabilityCheck& check,
    bool has_alternative) {
  ServiceState& state = this->services[std::string(service)];
  if (check.tried == 0) return Change::kNone;
  if (!state.cut_off) {
    if (check.reached > 0) return Change::kNone;
    this->OnLost(now, state);
    return Change::kLost;
  }
  const bool reached_all = check.reached == check.tried;
  state.successes = reached_all ? state.successes + 1 : 0;
  const Duration cut_time =
      std::min(kMinCutTime * (1 << std::min(state.relapses, kMaxDoublings)),
               kMaxCutTime);
  const bool is_stable =
      state.successes >= kChecksToRegain && now - state.cut_at >= cut_time;
  if (!is_stable && (has_alternative || check.reached == 0)) {
    return Change::kNone;
  }
  state.cut_off = false;
  state.regained_at = now;
  state.silent_since.reset();
  state.unanswered = 0;
  return Change::kRegained;
}

void EngineReachability::OnLost(TimePoint now, ServiceState& state) {
  const bool is_relapse = state.regained_at != TimePoint{} &&
                          now - state.regained_at < kRelapseTime;
  state.relapses = is_relapse ? state.relapses + 1 : 0;
  state.cut_off = true;
  state.cut_at = now;
  state.successes = 0;
}

bool EngineReachability::IsCutOff(std::string_view service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() && found->second.cut_off;
}

std::vector<std::string> EngineReachability::CutOffServices() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : this->services) {
    if (state.cut_off) names.push_back(name);
  }
  return names;
}

}  // namespace dandelionscale
