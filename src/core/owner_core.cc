#include "dandelionscale/core/owner_core.h"

#include <algorithm>
#include <cmath>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// Fraction of the other routers' load that is left out when a cap is computed,
// because their reported loads may be stale and add up to too much.
constexpr double kStalenessMargin = 0.08;
// Fraction of `max_in_flight` above which workspaces are limited to their share
// of an engine.
constexpr double kContendedFraction = 0.75;

// Uniform in [0, 1) and constant for a given router and engine.
double RoundingThreshold(std::string_view router, std::uint64_t engine_hash) {
  return RendezvousFraction(HashText(router), engine_hash);
}

}  // namespace

OwnerCore::OwnerCore(Options options)
    : options(std::move(options)),
      view(std::make_shared<FleetView>()),
      sessions(this->options.session_capacity) {}

void OwnerCore::SetView(std::shared_ptr<const FleetView> view) {
  std::vector<EngineState> carried(view->Engines().size());
  for (std::size_t i = 0; i < carried.size(); ++i) {
    auto before = this->view->FindEngine(view->Engines()[i].name);
    if (before) carried[i] = std::move(this->engines[*before]);
  }
  std::vector<FleetLoad> carried_fleet(view->Services().size());
  for (std::size_t i = 0; i < carried_fleet.size(); ++i) {
    auto before = this->view->FindService(view->Services()[i].config.name);
    if (before) carried_fleet[i] = this->fleet[*before];
  }
  this->engines = std::move(carried);
  this->fleet = std::move(carried_fleet);
  this->view = std::move(view);
}

void OwnerCore::SetFleetLoad(ServiceIndex service,
                             const ServiceLoadTotal& total,
                             const ServiceLoadTotal& own_contribution) {
  this->fleet[service] = {total, own_contribution, true};
}

ServiceLoadTotal OwnerCore::OwnLoad(ServiceIndex service) const {
  ServiceLoadTotal own;
  for (EngineIndex index : this->view->Services()[service].engines) {
    if (!this->Owns(index) || this->engines[index].down) continue;
    const FleetEngine& engine = this->view->Engine(index);
    if (engine.draining) continue;
    own.in_flight += this->Load(index);
    ++own.engines;
  }
  return own;
}

std::uint32_t OwnerCore::Cap(ServiceIndex service) const {
  const double factor = this->view->Services()[service].config.load_factor;
  const FleetLoad& fleet = this->fleet[service];
  ServiceLoadTotal own = this->OwnLoad(service);
  if (!fleet.known) return LoadCap(factor, own);
  // The total lags: this router's contribution is replaced by its current load.
  // The other routers' loads were sampled at different times, so that their sum
  // may exceed the sum at any single time.
  ServiceLoadTotal others = fleet.total;
  others.in_flight -=
      std::min(others.in_flight, fleet.own_contribution.in_flight);
  others.engines -= std::min(others.engines, fleet.own_contribution.engines);
  const auto discounted = static_cast<std::uint32_t>(
      std::floor(others.in_flight * (1.0 - kStalenessMargin)));
  return LoadCap(factor,
                 {discounted + own.in_flight, others.engines + own.engines});
}

bool OwnerCore::Owns(EngineIndex engine) const {
  return this->view->Engine(engine).owner == this->options.router;
}

std::uint32_t OwnerCore::Load(EngineIndex engine) const {
  const EngineState& state = this->engines[engine];
  return state.admitted + state.foreign;
}

std::uint32_t OwnerCore::Admitted(EngineIndex engine) const {
  return this->engines[engine].admitted;
}

std::uint32_t OwnerCore::Reported(EngineIndex engine) const {
  return this->engines[engine].reported;
}

bool OwnerCore::IsDown(EngineIndex engine) const {
  return this->engines[engine].down;
}

bool OwnerCore::IsCandidate(EngineIndex engine,
                            std::span<const EngineIndex> excluded) const {
  if (this->view->Engine(engine).draining) return false;
  if (this->engines[engine].down) return false;
  return std::find(excluded.begin(), excluded.end(), engine) == excluded.end();
}

bool OwnerCore::HasRoom(EngineIndex engine) const {
  const FleetEngine& info = this->view->Engine(engine);
  std::uint32_t load = this->Load(engine);
  return load < info.max_in_flight && load < this->Cap(info.service);
}

bool OwnerCore::IsWithinWorkspaceShare(EngineIndex engine,
                                       const PlaceRequest& request) const {
  const EngineState& state = this->engines[engine];
  const std::uint32_t limit = this->view->Engine(engine).max_in_flight;
  if (this->Load(engine) < kContendedFraction * limit) return true;
  // The active workspaces include this one, so that even a single workspace of
  // weight 1 gets only half of the slots. This leaves room for workspaces that
  // have no request on the engine yet.
  auto held = state.by_workspace.find(request.workspace_hash);
  if (held == state.by_workspace.end() || held->second == 0) return true;
  const auto active_workspaces = static_cast<double>(state.active_workspaces);
  const double share = limit * request.workspace_weight /
                       (active_workspaces + request.workspace_weight);
  return held->second + 1 <= share;
}

PlaceAdmit OwnerCore::Admit(EngineIndex engine, const PlaceRequest& request,
                            PlacementReason reason) {
  this->CountAdmission(engine, request.workspace_hash);
  return {engine, reason};
}

void OwnerCore::CountAdmission(EngineIndex engine,
                               std::uint64_t workspace_hash) {
  EngineState& state = this->engines[engine];
  ++state.admitted;
  state.peak_current = std::max(state.peak_current, state.admitted);
  if (state.by_workspace[workspace_hash]++ == 0) ++state.active_workspaces;
}

void OwnerCore::Finish(EngineIndex engine, std::uint64_t workspace_hash) {
  if (engine >= this->engines.size()) return;
  EngineState& state = this->engines[engine];
  if (state.admitted > 0) --state.admitted;
  auto held = state.by_workspace.find(workspace_hash);
  if (held == state.by_workspace.end() || held->second == 0) return;
  // The entry is kept, so that the workspace's next request allocates nothing.
  if (--held->second == 0) --state.active_workspaces;
}

std::optional<PlaceDecision> OwnerCore::TryEngine(EngineIndex engine,
                                                  const PlaceRequest& request,
                                                  PlacementReason reason) {
  if (!this->IsCandidate(engine, request.excluded)) return std::nullopt;
  const std::uint64_t hash = this->view->Engine(engine).hash;
  if (!this->Owns(engine)) {
    this->sessions.RecordEngine(request.session_key, hash);
    return PlaceRedirect{engine, reason};
  }
  if (!this->HasRoom(engine)) return std::nullopt;
  if (!this->IsWithinWorkspaceShare(engine, request)) return std::nullopt;
  this->sessions.RecordEngine(request.session_key, hash);
  return this->Admit(engine, request, reason);
}

std::optional<EngineIndex> OwnerCore::LeastLoadedOwned(
    const PlaceRequest& request) const {
  std::optional<EngineIndex> best;
  for (EngineIndex index : this->view->Services()[request.service].engines) {
    if (!this->Owns(index)) continue;
    if (!this->IsCandidate(index, request.excluded)) continue;
    if (!this->HasRoom(index)) continue;
    if (!best || this->Load(index) < this->Load(*best)) best = index;
  }
  return best;
}

PlaceDecision OwnerCore::PlaceDirected(const PlaceRequest& request) {
  const EngineIndex engine = *request.engine;
  if (request.resume) {
    return this->Admit(engine, request, PlacementReason::kResumed);
  }
  if (!this->Owns(engine)) return PlaceRefuse{RefusalReason::kNotOwner};
  auto decision = this->TryEngine(engine, request, PlacementReason::kDirected);
  if (decision) return *decision;
  if (auto least = this->LeastLoadedOwned(request)) {
    decision = this->TryEngine(*least, request, PlacementReason::kSpilled);
    if (decision) return *decision;
  }
  if (!this->IsCandidate(engine, {})) {
    return PlaceRefuse{RefusalReason::kEngineUnreachable};
  }
  return PlaceRefuse{RefusalReason::kAtLoadBound};
}

PlaceDecision OwnerCore::Place(const PlaceRequest& request) {
  if (request.engine) return this->PlaceDirected(request);
  if (const WarmEngines* warm = this->sessions.Find(request.session_key)) {
    const WarmEngines copy = *warm;
    for (std::uint64_t hash : copy.All()) {
      auto index = this->view->FindEngineByHash(hash);
      if (!index) continue;
      auto decision = this->TryEngine(*index, request, PlacementReason::kWarm);
      if (decision) return *decision;
    }
  }
  auto first = this->view->FirstByHash(request.service, request.session_key,
                                       request.excluded);
  if (first) {
    auto decision = this->TryEngine(*first, request, PlacementReason::kHashed);
    if (decision) return *decision;
  }
  if (auto least = this->LeastLoadedOwned(request)) {
    auto decision = this->TryEngine(*least, request, PlacementReason::kSpilled);
    if (decision) return *decision;
  }
  if (!first) return PlaceRefuse{RefusalReason::kNoLiveEngine};
  return PlaceWait{RefusalReason::kAtLoadBound};
}

PlaceDecision OwnerCore::PlaceLocalShare(const PlaceRequest& request) {
  const FleetService& service = this->view->Services()[request.service];
  std::uint32_t own_in_flight = 0;
  std::uint32_t live = 0;
  for (EngineIndex index : service.engines) {
    if (!this->IsCandidate(index, {})) continue;
    own_in_flight += this->engines[index].admitted;
    ++live;
  }
  if (live == 0) return PlaceRefuse{RefusalReason::kNoLiveEngine};
  for (EngineIndex index :
       this->view->RankByHash(request.service, request.session_key)) {
    if (!this->IsCandidate(index, request.excluded)) continue;
    double rounding_threshold =
        RoundingThreshold(this->options.router, this->view->Engine(index).hash);
    std::uint32_t cap = LocalShareCap(service.config.load_factor, own_in_flight,
                                      live, rounding_threshold);
    if (this->engines[index].admitted >= cap) continue;
    return this->Admit(index, request, PlacementReason::kLocalShare);
  }
  return PlaceWait{RefusalReason::kAtLoadBound};
}

void OwnerCore::OnLoadReport(EngineIndex engine, std::uint32_t running) {
  EngineState& state = this->engines[engine];
  state.down = false;
  state.reported = running;
  // The report lags: the requests that it counts may have been admitted here at
  // any time since the preceding report, and may have finished. Only what
  // exceeds the highest own count of that time belongs to other routers.
  const std::uint32_t peak = std::max(state.peak_current, state.peak_previous);
  state.foreign = running > peak ? running - peak : 0;
  state.peak_previous = state.peak_current;
  state.peak_current = state.admitted;
}

void OwnerCore::OnEngineDown(EngineIndex engine) {
  this->engines[engine].down = true;
  this->engines[engine].foreign = 0;
}

}  // namespace dandelionscale
