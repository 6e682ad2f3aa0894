// Time and allocations of a routing decision, time of a view rebuild, and
// memory of a cached session, at 600 engines, 410 routers and 400,000 sessions.
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <new>
#include <string>

#include "dandelionscale/core/owner_core.h"

namespace {

std::uint64_t allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace dandelionscale {
namespace {

constexpr int kEngines = 600;
constexpr int kRouters = 410;
constexpr int kServices = 7;
constexpr int kZones = 4;
constexpr std::uint64_t kSessions = 400'000;
constexpr int kDecisions = 200'000;

std::shared_ptr<const FleetView> MakeView() {
  Configuration configuration;
  for (int s = 0; s < kServices; ++s) {
    configuration.services.push_back({"model-" + std::to_string(s)});
  }
  for (int i = 0; i < kEngines; ++i) {
    configuration.engines.push_back({"engine-" + std::to_string(i),
                                     "model-" + std::to_string(i % kServices),
                                     "zone-" + std::to_string(i % kZones),
                                     "127.0.0.1:1", 64});
  }
  Membership membership;
  for (int i = 0; i < kRouters; ++i) {
    membership.members.push_back({"router-" + std::to_string(i),
                                  "zone-" + std::to_string(i % kZones),
                                  "127.0.0.1:2", 1, false});
  }
  return std::make_shared<FleetView>(configuration, membership,
                                     std::set<std::string>{});
}

std::uint64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  statm >> total >> resident;
  constexpr std::uint64_t kPageBytes = 4096;
  return resident * kPageBytes;
}

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns sessions whose first engine by rendezvous hashing this router owns,
// so that it admits their requests.
std::vector<std::uint64_t> HomeSessions(const OwnerCore& core) {
  std::vector<std::uint64_t> keys;
  for (std::uint64_t key = 0; keys.size() < 1000 && key < 1'000'000; ++key) {
    auto first = core.View().FirstByHash(0, key);
    if (first && core.Owns(*first)) keys.push_back(key);
  }
  return keys;
}

void MeasureDecisions(OwnerCore& core, std::string_view name,
                      const std::vector<std::uint64_t>& keys) {
  PlaceRequest request;
  request.workspace_hash = 1;
  std::uint64_t admitted = 0;
  const std::uint64_t allocations_before = allocations;
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    request.session_key = keys[static_cast<std::size_t>(i) % keys.size()];
    const PlaceDecision decision = core.Place(request);
    if (const auto* admit = std::get_if<PlaceAdmit>(&decision)) {
      core.Finish(admit->engine, 1);
      ++admitted;
    }
  }
  const double seconds = Seconds(std::chrono::steady_clock::now() - started);
  fmt::print(
      "{{\"name\":\"{}\",\"ns_per_decision\":{:.0f},\"admitted\":{},"
      "\"allocations_per_decision\":{:.3f}}}\n",
      name, seconds / kDecisions * 1e9, admitted,
      static_cast<double>(allocations - allocations_before) / kDecisions);
}

void MeasureView() {
  const auto started = std::chrono::steady_clock::now();
  auto view = MakeView();
  const double seconds = Seconds(std::chrono::steady_clock::now() - started);
  fmt::print("{{\"name\":\"view_rebuild\",\"ms\":{:.2f}}}\n", seconds * 1e3);
}

void MeasureSessions() {
  SessionMemory memory(2 * kSessions);
  const std::uint64_t before = ResidentBytes();
  for (std::uint64_t key = 0; key < kSessions; ++key)
    memory.RecordEngine(key, 7);
  const std::uint64_t bytes = ResidentBytes() - before;
  fmt::print("{{\"name\":\"session_memory\",\"bytes_per_session\":{:.1f}}}\n",
             static_cast<double>(bytes) / kSessions);
}

void Run() {
  // Any router that owns an engine of the first service.
  auto view = MakeView();
  std::string router;
  for (const FleetEngine& engine : view->Engines()) {
    if (engine.service == 0) router = engine.owner;
  }
  OwnerCore core({router, kSessions});
  core.SetView(view);
  core.SetFleetLoad(0, {5500, 86}, {0, 0});
  const std::vector<std::uint64_t> keys = HomeSessions(core);
  MeasureDecisions(core, "cold_then_warm", keys);
  MeasureDecisions(core, "warm", keys);
  MeasureView();
  MeasureSessions();
}

}  // namespace
}  // namespace dandelionscale

int main() {
  dandelionscale::Run();
  return 0;
}
