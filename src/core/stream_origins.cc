#include "dandelionscale/core/stream_origins.h"

#include <algorithm>
#include <functional>
#include <string>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// Joins two texts so that no other pair gives the same result.
std::uint64_t HashPair(std::string_view first, std::string_view second) {
  return HashText(std::to_string(first.size()) + ":" + std::string(first) +
                  std::string(second));
}

}  // namespace

std::uint64_t StreamKey(std::string_view workspace,
                        std::string_view request_id) {
  return HashPair(workspace, request_id);
}

std::uint64_t VersionKey(std::string_view service, std::string_view version) {
  return std::max<std::uint64_t>(1, HashPair(service, version));
}

std::vector<std::string> FirstPeers(std::uint64_t stream_key,
                                    std::span<const std::string_view> peers,
                                    std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::string_view>> weights;
  weights.reserve(peers.size());
  for (const std::string_view peer : peers) {
    weights.emplace_back(RendezvousWeight(HashText(peer), stream_key), peer);
  }
  count = std::min(count, weights.size());
  const auto end = weights.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weights.begin(), end, weights.end(), std::greater<>());
  std::vector<std::string> first;
  for (auto weight = weights.begin(); weight != end; ++weight) {
    first.emplace_back(weight->second);
  }
  return first;
}

void StreamOrigins::Record(TimePoint now, StreamOrigin origin, bool is_own) {
  auto [found, is_new] = this->entries.try_emplace(origin.stream_key);
  Entry& entry = found->second;
  const bool is_expired = !is_new && now - entry.recorded_at >= kMemory;
  if (is_new || is_expired) {
    entry.version_key = origin.version_key;
  } else if (entry.version_key != origin.version_key) {
    entry.version_key = 0;
  }
  if (is_own) ++this->own_records;
  entry.is_own = is_own || (entry.is_own && !is_expired);
  entry.recorded_at = now;
  this->uses.push_back({origin.stream_key, now});
  this->DropOldest(now);
}

std::optional<std::uint64_t> StreamOrigins::Find(
    TimePoint now, std::uint64_t stream_key) const {
  const auto found = this->entries.find(stream_key);
  if (found == this->entries.end()) return std::nullopt;
  const Entry& entry = found->second;
  if (entry.version_key == 0 || now - entry.recorded_at >= kMemory) {
    return std::nullopt;
  }
  return entry.version_key;
}

std::vector<StreamOrigin> StreamOrigins::Own(TimePoint now,
                                             Duration max_age) const {
  std::vector<StreamOrigin> own;
  for (const auto& [stream_key, entry] : this->entries) {
    const bool is_current = now - entry.recorded_at < max_age;
    if (!entry.is_own || !is_current || entry.version_key == 0) continue;
    own.push_back({stream_key, entry.version_key});
  }
  return own;
}

void StreamOrigins::DropOldest(TimePoint now) {
  while (!this->uses.empty()) {
    const Use& oldest = this->uses.front();
    const bool is_old = now - oldest.at >= kMemory;
    if (!is_old && this->uses.size() <= kMaxStreams) return;
    const auto found = this->entries.find(oldest.stream_key);
    // A stream that was recorded again has a later use.
    if (found != this->entries.end() &&
        found->second.recorded_at == oldest.at) {
      this->entries.erase(found);
    }
    this->uses.pop_front();
  }
}

}  // namespace dandelionscale
