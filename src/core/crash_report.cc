#include "dandelionscale/core/crash_report.h"

#include <algorithm>
#include <set>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// Losses of different requests within this time count as at the same moment.
constexpr Duration kBurstWindow = std::chrono::milliseconds(20);

}  // namespace

std::uint32_t ServiceKey(std::string_view service) {
  return static_cast<std::uint32_t>(HashText(service));
}

bool IsSubset(const RequestKeySet& keys, const RequestKeySet& whole) {
  return std::includes(whole.begin(), whole.end(), keys.begin(), keys.end());
}

std::size_t CountCrashes(std::vector<EngineLoss> losses) {
  std::sort(
      losses.begin(), losses.end(),
      [](const EngineLoss& a, const EngineLoss& b) { return a.at < b.at; });
  std::set<std::uint32_t> engines;
  std::size_t crashes = 0;
  const EngineLoss* counted = nullptr;
  for (const EngineLoss& loss : losses) {
    const bool is_new = engines.insert(loss.engine).second;
    const bool in_burst = counted != nullptr &&
                          loss.request_key != counted->request_key &&
                          loss.at - counted->at < kBurstWindow;
    if (!is_new || in_burst) continue;
    counted = &loss;
    ++crashes;
  }
  return crashes;
}

std::string_view ToString(QuarantineChange::Kind kind) {
  switch (kind) {
    case QuarantineChange::Kind::kBlocked:
      return "quarantined";
    case QuarantineChange::Kind::kLearned:
      return "learned";
    case QuarantineChange::Kind::kNarrowed:
      return "narrowed";
    case QuarantineChange::Kind::kProlonged:
      return "prolonged";
    case QuarantineChange::Kind::kReleased:
      return "released";
    case QuarantineChange::Kind::kExpired:
      return "expired";
  }
  return "expired";
}

}  // namespace dandelionscale
