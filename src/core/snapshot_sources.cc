#include "dandelionscale/core/snapshot_sources.h"

#include <algorithm>

namespace dandelionscale {
namespace {

// Peers that are kept. More are not needed, since later digests bring others.
constexpr std::size_t kMaxSources = 16;

}  // namespace

void SnapshotSources::OnNewer(TimePoint now, const std::string& peer,
                              const RowVersions& versions, bool is_own_zone,
                              Duration wait) {
  if (!this->waiting_since) this->waiting_since = now;
  std::erase_if(this->sources,
                [&](const Source& source) { return source.peer == peer; });
  const TimePoint usable_at =
      is_own_zone ? now : std::max(now, *this->waiting_since + wait);
  this->sources.push_back({peer, versions, is_own_zone, usable_at});
  if (this->sources.size() > kMaxSources) {
    this->sources.erase(this->sources.begin());
  }
}

void SnapshotSources::OnVersions(const RowVersions& versions) {
  std::erase_if(this->sources, [&](const Source& source) {
    return !source.versions.IsNewerThan(versions);
  });
  if (this->sources.empty()) this->waiting_since.reset();
}

std::optional<std::string> SnapshotSources::Take(TimePoint now) {
  auto best = this->sources.end();
  for (auto source = this->sources.begin(); source != this->sources.end();
       ++source) {
    if (source->usable_at > now) continue;
    const bool is_better = best == this->sources.end() || source->is_own_zone ||
                           !best->is_own_zone;
    if (is_better) best = source;
  }
  if (best == this->sources.end()) return std::nullopt;
  std::string peer = std::move(best->peer);
  this->sources.erase(best);
  return peer;
}

std::optional<TimePoint> SnapshotSources::NextAt() const {
  const auto next = std::min_element(this->sources.begin(), this->sources.end(),
                                     [](const Source& a, const Source& b) {
                                       return a.usable_at < b.usable_at;
                                     });
  if (next == this->sources.end()) return std::nullopt;
  return next->usable_at;
}

}  // namespace dandelionscale
