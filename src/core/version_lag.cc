#include "dandelionscale/core/version_lag.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Further versions count as heard of with the last one.
constexpr std::size_t kMaxMissing = 64;

}  // namespace

void VersionLag::OnHeard(TimePoint now, const RowVersions& versions) {
  if (!versions.IsNewerThan(this->newest)) return;
  this->newest.configuration =
      std::max(this->newest.configuration, versions.configuration);
  this->newest.engines = std::max(this->newest.engines, versions.engines);
  if (!this->newest.IsNewerThan(this->own)) return;
  if (this->missing.size() < kMaxMissing) {
    this->missing.push_back({this->newest, now});
  } else {
    this->missing.back().versions = this->newest;
  }
}

void VersionLag::OnOwn(const RowVersions& versions) {
  this->own = versions;
  std::erase_if(this->missing, [&](const Heard& heard) {
    return !heard.versions.IsNewerThan(versions);
  });
}

std::optional<TimePoint> VersionLag::Since() const {
  if (this->missing.empty()) return std::nullopt;
  return this->missing.front().at;
}

}  // namespace dandelionscale
