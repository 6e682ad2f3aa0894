#include "dandelionscale/core/lease.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {

void LeaseWatch::SetMembership(const Membership& membership) {
  struct Ordered {
    std::uint64_t hash;
    std::string name;
  };
  std::vector<Ordered> order;
  for (const Member& member : membership.members) {
    order.push_back({HashText(member.name), member.name});
  }
  std::sort(order.begin(), order.end(),
            [](const Ordered& a, const Ordered& b) { return a.hash < b.hash; });
  this->watched.clear();
  auto self = std::find_if(order.begin(), order.end(), [&](const Ordered& o) {
    return o.name == this->router;
  });
  if (self == order.end()) return;
  const auto position = static_cast<std::size_t>(self - order.begin());
  for (std::size_t i = 1; i <= kWatched && i < order.size(); ++i) {
    this->watched.push_back(order[(position + i) % order.size()].name);
  }
  std::erase_if(this->seen, [&](const auto& entry) {
    return std::find(this->watched.begin(), this->watched.end(), entry.first) ==
           this->watched.end();
  });
}

bool LeaseWatch::Observe(std::string_view name, std::uint64_t revision,
                         TimePoint now) {
  auto [found, inserted] = this->seen.try_emplace(std::string(name));
  Seen& entry = found->second;
  if (inserted || entry.revision != revision) {
    entry = {revision, now};
    return false;
  }
  return now - entry.since >= this->length;
}

}  // namespace dandelionscale
