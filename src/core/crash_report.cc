#include "dandelionscale/core/crash_report.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {

std::uint32_t ServiceKey(std::string_view service) {
  return static_cast<std::uint32_t>(HashText(service));
}

bool IsSubset(const RequestKeySet& keys, const RequestKeySet& whole) {
  return std::includes(whole.begin(), whole.end(), keys.begin(), keys.end());
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
