#include "dandelionscale/core/digest_tree.h"

#include <algorithm>

namespace dandelionscale {
namespace {

void AddLoads(ServiceLoads& sum, const ServiceLoads& more) {
  for (const ServiceLoadEntry& entry : more) {
    auto found = std::find_if(sum.begin(), sum.end(), [&](const auto& s) {
      return s.service_hash == entry.service_hash;
    });
    if (found == sum.end()) {
      sum.push_back(entry);
    } else {
      found->load.in_flight += entry.load.in_flight;
      found->load.engines += entry.load.engines;
    }
  }
}

}  // namespace

void DigestTree::SetMembership(const Membership& membership) {
  const std::vector<std::string> order = membership.NamesByHash();
  this->parent.clear();
  this->children.clear();
  auto self = std::find(order.begin(), order.end(), this->router);
  if (self == order.end()) return;
  const auto position = static_cast<std::size_t>(self - order.begin());
  if (position > 0) this->parent = order[(position - 1) / kFanOut];
  for (std::size_t i = 1; i <= kFanOut; ++i) {
    std::size_t child = position * kFanOut + i;
    if (child < order.size()) this->children.push_back(order[child]);
  }
  std::erase_if(this->child_loads, [&](const auto& entry) {
    return std::find(this->children.begin(), this->children.end(),
                     entry.first) == this->children.end();
  });
}

void DigestTree::OnChild(std::string_view child, ServiceLoads loads,
                         TimePoint now) {
  auto known = std::find(this->children.begin(), this->children.end(), child);
  if (known == this->children.end()) return;
  this->child_loads[std::string(child)] = {std::move(loads), now};
}

void DigestTree::OnTotal(ServiceLoads total, TimePoint now) {
  this->total = ReceivedLoads{std::move(total), now};
}

ServiceLoads DigestTree::Subtree(TimePoint now) const {
  ServiceLoads sum = this->own;
  for (const auto& [child, entry] : this->child_loads) {
    if (now - entry.at < kStaleAfter) AddLoads(sum, entry.loads);
  }
  return sum;
}

std::optional<ServiceLoads> DigestTree::Total(TimePoint now) const {
  if (this->parent.empty()) return this->Subtree(now);
  if (!this->total || now - this->total->at >= kStaleAfter) {
    return std::nullopt;
  }
  return this->total->loads;
}

}  // namespace dandelionscale
