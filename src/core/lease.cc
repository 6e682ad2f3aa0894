#include "dandelionscale/core/lease.h"

#include <algorithm>

namespace dandelionscale {

void LeaseWatch::SetMembership(const Membership& membership) {
  const std::vector<std::string> order = membership.NamesByHash();
  this->watched.clear();
  auto self = std::find(order.begin(), order.end(), this->router);
  if (self == order.end()) return;
  const auto position = static_cast<std::size_t>(self - order.begin());
  for (std::size_t i = 1; i <= kMaxWatched && i < order.size(); ++i) {
    this->watched.push_back(order[(position + i) % order.size()]);
  }
  std::erase_if(this->observations, [&](const auto& entry) {
    return std::find(this->watched.begin(), this->watched.end(), entry.first) ==
           this->watched.end();
  });
}

bool LeaseWatch::Observe(std::string_view name, std::uint64_t revision,
                         TimePoint now) {
  auto [found, inserted] = this->observations.try_emplace(std::string(name));
  Observation& entry = found->second;
  if (inserted || entry.revision != revision) {
    entry = {revision, now};
    return false;
  }
  return now - entry.since >= this->length;
}

}  // namespace dandelionscale
