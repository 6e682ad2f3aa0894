#include "dandelionscale/core/fleet_view.h"

#include <algorithm>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

struct Candidate {
  std::string_view name;
  std::uint64_t hash;
};

std::string_view HighestWeight(std::uint64_t key,
                               const std::vector<Candidate>& candidates) {
  std::string_view best;
  std::uint64_t best_weight = 0;
  for (const Candidate& candidate : candidates) {
    std::uint64_t weight = RendezvousWeight(key, candidate.hash);
    if (best.empty() || weight > best_weight) {
      best = candidate.name;
      best_weight = weight;
    }
  }
  return best;
}

std::string_view ChooseOwner(const FleetEngine& engine,
                             const Membership& membership) {
  std::vector<Candidate> in_zone;
  std::vector<Candidate> all;
  for (const Member& member : membership.members) {
    if (member.draining) continue;
    Candidate candidate{member.name, HashText(member.name)};
    all.push_back(candidate);
    if (member.availability_zone == engine.availability_zone) {
      in_zone.push_back(candidate);
    }
  }
  return HighestWeight(engine.hash, in_zone.empty() ? all : in_zone);
}

}  // namespace

const Member* Membership::Find(std::string_view name) const {
  auto found = std::find_if(this->members.begin(), this->members.end(),
                            [&](const Member& m) { return m.name == name; });
  return found == this->members.end() ? nullptr : &*found;
}

std::vector<std::string> Membership::NamesByHash() const {
  std::vector<std::string> names;
  for (const Member& member : this->members) names.push_back(member.name);
  std::sort(names.begin(), names.end(),
            [](const std::string& a, const std::string& b) {
              return HashText(a) < HashText(b);
            });
  return names;
}

FleetView::FleetView(const Configuration& configuration,
                     const Membership& membership,
                     const std::set<std::string>& leaving_hosts) {
  for (const ServiceConfig& config : configuration.services) {
    this->services.push_back({config, HashText(config.name), {}});
  }
  const auto& draining = configuration.draining_engines;
  for (const EngineConfig& config : configuration.engines) {
    auto service = this->FindService(config.service);
    if (!service) continue;
    FleetEngine engine;
    engine.name = config.name;
    engine.hash = HashText(config.name);
    engine.service = *service;
    engine.address = config.address;
    engine.availability_zone = config.availability_zone;
    engine.max_in_flight = config.max_in_flight;
    engine.draining = leaving_hosts.contains(config.name) ||
                      std::find(draining.begin(), draining.end(),
                                config.name) != draining.end();
    engine.owner = ChooseOwner(engine, membership);
    auto index = static_cast<EngineIndex>(this->engines.size());
    this->services[*service].engines.push_back(index);
    this->by_name[engine.name] = index;
    this->by_hash[engine.hash] = index;
    this->engines.push_back(std::move(engine));
  }
}

std::optional<EngineIndex> FleetView::FindEngine(std::string_view name) const {
  auto found = this->by_name.find(std::string(name));
  if (found == this->by_name.end()) return std::nullopt;
  return found->second;
}

std::optional<EngineIndex> FleetView::FindEngineByHash(
    std::uint64_t hash) const {
  auto found = this->by_hash.find(hash);
  if (found == this->by_hash.end()) return std::nullopt;
  return found->second;
}

std::optional<ServiceIndex> FleetView::FindService(
    std::string_view name) const {
  for (std::size_t i = 0; i < this->services.size(); ++i) {
    if (this->services[i].config.name == name) {
      return static_cast<ServiceIndex>(i);
    }
  }
  return std::nullopt;
}

std::optional<EngineIndex> FleetView::FirstByHash(
    ServiceIndex service, std::uint64_t key,
    std::span<const EngineIndex> excluded) const {
  std::optional<EngineIndex> best;
  std::uint64_t best_weight = 0;
  for (EngineIndex index : this->services[service].engines) {
    const FleetEngine& engine = this->engines[index];
    if (engine.draining) continue;
    if (std::find(excluded.begin(), excluded.end(), index) != excluded.end()) {
      continue;
    }
    std::uint64_t weight = RendezvousWeight(key, engine.hash);
    if (!best || weight > best_weight) {
      best = index;
      best_weight = weight;
    }
  }
  return best;
}

std::vector<EngineIndex> FleetView::RankByHash(ServiceIndex service,
                                               std::uint64_t key) const {
  struct Ranked {
    std::uint64_t weight;
    EngineIndex index;
  };
  std::vector<Ranked> ranked;
  for (EngineIndex index : this->services[service].engines) {
    const FleetEngine& engine = this->engines[index];
    if (engine.draining) continue;
    ranked.push_back({RendezvousWeight(key, engine.hash), index});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.weight > b.weight;
  });
  std::vector<EngineIndex> order;
  order.reserve(ranked.size());
  for (const Ranked& entry : ranked) order.push_back(entry.index);
  return order;
}

}  // namespace dandelionscale
