#include "dandelionscale/core/load/baseline_policy.h"

#include <algorithm>
#include <vector>

namespace dandelionscale {
namespace {

std::vector<EngineIndex> Candidates(const OwnerCore& core,
                                    const PlaceRequest& request) {
  std::vector<EngineIndex> candidates;
  for (EngineIndex index :
       core.View().RankByHash(request.service, request.session_key)) {
    if (core.IsDown(index)) continue;
    if (std::find(request.excluded.begin(), request.excluded.end(), index) !=
        request.excluded.end()) {
      continue;
    }
    candidates.push_back(index);
  }
  return candidates;
}

struct Chooser {
  const OwnerCore& core;
  const PlaceRequest& request;
  const std::vector<EngineIndex>& candidates;
  std::mt19937_64& random;

  EngineIndex operator()(const OwnerAdmissionPolicy&) const {
    return this->candidates.front();
  }
  EngineIndex operator()(const RandomPolicy&) const {
    std::uniform_int_distribution<std::size_t> pick(
        0, this->candidates.size() - 1);
    return this->candidates[pick(this->random)];
  }
  EngineIndex operator()(const LeastReportedPolicy&) const {
    return *std::min_element(this->candidates.begin(), this->candidates.end(),
                             [&](EngineIndex a, EngineIndex b) {
                               return this->core.Reported(a) <
                                      this->core.Reported(b);
                             });
  }
  EngineIndex operator()(const PlainRendezvousPolicy&) const {
    return this->candidates.front();
  }
  EngineIndex operator()(const BoundedRendezvousPolicy&) const {
    std::uint32_t total = 0;
    for (EngineIndex index : this->candidates) {
      total += this->core.Admitted(index);
    }
    const FleetService& service =
        this->core.View().Services()[this->request.service];
    const std::uint32_t cap =
        LoadCap(service.config.load_factor,
                {total, static_cast<std::uint32_t>(this->candidates.size())});
    for (EngineIndex index : this->candidates) {
      if (this->core.Admitted(index) < cap) return index;
    }
    return this->candidates.front();
  }
};

}  // namespace

std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view name) {
  if (name == "owner") return OwnerAdmissionPolicy{};
  if (name == "random") return RandomPolicy{};
  if (name == "least-reported") return LeastReportedPolicy{};
  if (name == "rendezvous") return PlainRendezvousPolicy{};
  if (name == "bounded") return BoundedRendezvousPolicy{};
  return std::nullopt;
}

std::optional<EngineIndex> ChooseByBaseline(const PlacementPolicy& policy,
                                            const OwnerCore& core,
                                            const PlaceRequest& request,
                                            std::mt19937_64& random) {
  const std::vector<EngineIndex> candidates = Candidates(core, request);
  if (candidates.empty()) return std::nullopt;
  return std::visit(Chooser{core, request, candidates, random}, policy);
}

}  // namespace dandelionscale
