#include "dandelionscale/core/load/rate_limit_news.h"

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

// Keeps a digest within a few kilobytes.
constexpr std::size_t kMaxChangesPerDigest = 64;

}  // namespace

void RateLimitNews::Add(std::uint64_t engine_key) {
  this->digests_left[engine_key] = kDigestsPerReport;
}

std::vector<std::uint64_t> RateLimitNews::TakeForDigest() {
  std::vector<std::uint64_t> keys;
  for (auto& [key, left] : this->digests_left) {
    if (keys.size() >= kMaxChangesPerDigest) break;
    keys.push_back(key);
    --left;
  }
  std::erase_if(this->digests_left,
                [](const auto& entry) { return entry.second <= 0; });
  return keys;
}

}  // namespace dandelionscale
