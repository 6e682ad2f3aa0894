#include "dandelionscale/core/lost_requests.h"

#include <algorithm>
#include <utility>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

constexpr std::size_t kMaxRequests = 256;
// Further losses of one request add nothing.
constexpr std::size_t kMaxLossesOfRequest = 8;
constexpr std::size_t kMaxLossesPerDigest = 8;

}  // namespace

bool LostRequests::Add(TimePoint now, const LostRequest& loss) {
  if (now - loss.at > kLossMemory) return false;
  const auto known = this->requests.find(loss.fingerprint);
  const bool is_first = known == this->requests.end();
  if (!is_first) {
    const std::vector<Loss>& losses = known->second;
    const bool is_known =
        std::any_of(losses.begin(), losses.end(), [&loss](const Loss& other) {
          return other.report.engine == loss.engine;
        });
    if (is_known || losses.size() >= kMaxLossesOfRequest) return false;
  }
  if (is_first && this->requests.size() >= kMaxRequests) this->EvictOldest();
  this->requests[loss.fingerprint].push_back({loss, kDigestsPerReport});
  return true;
}

std::size_t LostRequests::OnAnswered(TimePoint answered_at,
                                     std::uint64_t fingerprint) {
  const auto found = this->requests.find(fingerprint);
  if (found == this->requests.end()) return 0;
  const std::size_t removed = std::erase_if(
      found->second,
      [answered_at](const Loss& loss) { return loss.report.at < answered_at; });
  if (found->second.empty()) this->requests.erase(found);
  return removed;
}

std::vector<CrashingRequest> LostRequests::FindCrashing(
    TimePoint now, Duration settle_time) const {
  std::vector<CrashingRequest> crashing;
  for (const auto& [fingerprint, losses] : this->requests) {
    std::vector<EngineLoss> settled;
    for (const Loss& loss : losses) {
      const LostRequest& report = loss.report;
      if (now - report.at < settle_time) continue;
      settled.push_back({report.request_key, report.engine, report.at});
    }
    const std::size_t crashes = CountCrashes(std::move(settled));
    if (crashes >= kMinCrashes) crashing.push_back({fingerprint, crashes});
  }
  return crashing;
}

void LostRequests::Expire(TimePoint now) {
  for (auto& [fingerprint, losses] : this->requests) {
    std::erase_if(losses, [now](const Loss& loss) {
      return now - loss.report.at > kLossMemory;
    });
  }
  std::erase_if(this->requests,
                [](const auto& entry) { return entry.second.empty(); });
}

std::vector<LostRequest> LostRequests::TakeForDigest() {
  std::vector<LostRequest> taken;
  // Those that were lost most often go first.
  std::vector<std::vector<Loss>*> open;
  for (auto& [fingerprint, losses] : this->requests) {
    const bool has_news =
        std::any_of(losses.begin(), losses.end(),
                    [](const Loss& loss) { return loss.digests_left > 0; });
    if (has_news) open.push_back(&losses);
  }
  std::sort(open.begin(), open.end(),
            [](const auto* a, const auto* b) { return a->size() > b->size(); });
  for (std::vector<Loss>* losses : open) {
    for (Loss& loss : *losses) {
      if (taken.size() >= kMaxLossesPerDigest) return taken;
      if (loss.digests_left <= 0) continue;
      --loss.digests_left;
      taken.push_back(loss.report);
    }
  }
  return taken;
}

void LostRequests::EvictOldest() {
  // Single losses go first: nearly all of them are bystanders of a crash.
  const auto is_older = [](const auto& a, const auto& b) {
    const bool a_single = a.second.size() == 1;
    const bool b_single = b.second.size() == 1;
    if (a_single != b_single) return a_single;
    return a.second.back().report.at < b.second.back().report.at;
  };
  this->requests.erase(
      std::min_element(this->requests.begin(), this->requests.end(), is_older));
}

}  // namespace dandelionscale
