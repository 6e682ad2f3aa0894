#include "dandelionscale/core/routing_table.h"

#include <algorithm>

namespace dandelionscale {

void RoutingTable::BuildIndex() {
  this->routes_by_host.clear();
  for (std::size_t n = 0; n < this->routes.size(); ++n) {
    this->routes_by_host[this->routes[n].host].push_back(n);
  }
  for (auto& [host, indices] : this->routes_by_host) {
    std::stable_sort(indices.begin(), indices.end(),
                     [this](std::size_t left, std::size_t right) {
                       return this->routes[left].prefix.size() >
                              this->routes[right].prefix.size();
                     });
  }
}

const Route* RoutingTable::FindRoute(std::string_view host,
                                     std::string_view path) const {
  auto found = this->routes_by_host.find(host);
  if (found == this->routes_by_host.end()) return nullptr;
  for (std::size_t index : found->second) {
    const Route& route = this->routes[index];
    if (path.starts_with(route.prefix)) return &route;
  }
  return nullptr;
}

const WorkspaceEntry* RoutingTable::FindWorkspace(std::string_view key) const {
  auto found = this->workspaces_by_key.find(key);
  return found == this->workspaces_by_key.end() ? nullptr : &found->second;
}

std::string_view ChooseService(const Route& route, std::uint64_t key) {
  std::uint64_t total = 0;
  for (const WeightedService& entry : route.services) total += entry.weight;
  if (total == 0) return {};
  std::uint64_t position = key % total;
  for (const WeightedService& entry : route.services) {
    if (position < entry.weight) return entry.service;
    position -= entry.weight;
  }
  return route.services.back().service;
}

}  // namespace dandelionscale
