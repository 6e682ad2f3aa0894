// Which zones a router takes for evacuated, from reads and watches of the store
// and from reports of peers in any order.
#include "dandelionscale/core/evacuated_zones.h"

#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <vector>

namespace dandelionscale {
namespace {

using Zones = EvacuatedZones::Zones;
using Changes = std::vector<EvacuatedZones::Change>;

TEST_CASE("the newest version wins, whoever reports it") {
  EvacuatedZones zones;
  CHECK(zones.OnTable({1, 10}, {}).empty());
  CHECK(zones.OnRows({1, 12}, Changes{{"a", true}, {"b", true}}) ==
        Changes{{"a", true}, {"b", true}});
  CHECK(zones.OnReport({1, 11}, {}).empty());
  CHECK(zones.OnTable({1, 9}, {}).empty());
  CHECK(zones.Current() == Zones{"a", "b"});
  CHECK(zones.OnReport({1, 14}, {"b"}) == Changes{{"a", false}});
  // The own watch is behind the peer.
  CHECK(zones.OnRows({1, 13}, Changes{{"a", true}}).empty());
  CHECK(zones.OnRows({1, 15}, Changes{{"b", false}}) == Changes{{"b", false}});
  CHECK(zones.Current().empty());
}

TEST_CASE("a restored store undoes an evacuation only by its own table") {
  EvacuatedZones zones;
  zones.OnTable({1, 100}, {"a"});
  CHECK(zones.OnTable({1, 60}, {}).empty());
  CHECK(zones.Contains("a"));
  CHECK(zones.OnTable({2, 60}, {}) == Changes{{"a", false}});
  // A peer that has not heard of the restoration.
  CHECK(zones.OnReport({1, 120}, {"a"}).empty());
  CHECK_FALSE(zones.Contains("a"));
}

// Guards against an evacuation that lasts forever at a router cut off from the
// store: its peers have started after the end and never knew of it.
TEST_CASE("an empty set is reported once an evacuation is heard of") {
  EvacuatedZones listener;
  listener.OnReport({1, 20}, {"a"});
  EvacuatedZones reader;
  reader.OnTable({1, 30}, {});
  CHECK_FALSE(reader.IsReported());
  CHECK(reader.OnReport(listener.Version(), listener.Current()).empty());
  REQUIRE(reader.IsReported());
  CHECK(listener.OnReport(reader.Version(), reader.Current()) ==
        Changes{{"a", false}});
}

// A store and routers that read and watch it. What peers report is delivered
// late, repeatedly and in any order.
class FleetModel {
 public:
  FleetModel() { this->history[this->current] = {}; }

  void Write(const std::string& zone, bool is_evacuated) {
    Zones zones = this->history.at(this->current);
    if (is_evacuated) {
      zones.insert(zone);
    } else {
      zones.erase(zone);
    }
    ++this->current.number;
    this->history[this->current] = zones;
    this->writes[this->current] = {zone, is_evacuated};
  }
  void Restore(const StoreVersion& copy) {
    const Zones zones = this->history.at(copy);
    this->current = {this->current.era + 1, copy.number};
    this->history[this->current] = zones;
  }
  // A store may answer with an old state, whose version it states.
  void Read(std::size_t n, const StoreVersion& version) {
    Router& router = this->routers[n];
    if (router.watched && version < *router.watched) return;
    router.zones.OnTable(version, this->history.at(version));
    router.watched = version;
  }
  void Watch(std::size_t n) {
    Router& router = this->routers[n];
    if (!router.watched || router.watched->era != this->current.era) {
      this->Read(n, this->current);
      return;
    }
    Changes rows;
    for (auto write = this->writes.upper_bound(*router.watched);
         write != this->writes.end(); ++write) {
      rows.push_back(write->second);
    }
    router.zones.OnRows(this->current, rows);
    router.watched = this->current;
  }
  void Send(std::size_t n) {
    const EvacuatedZones& zones = this->routers[n].zones;
    if (!zones.IsReported()) return;
    this->reports.push_back({zones.Version(), zones.Current()});
  }
  void Deliver(std::size_t n, std::size_t report) {
    if (this->reports.empty()) return;
    const Report& sent = this->reports[report % this->reports.size()];
    this->routers[n].zones.OnReport(sent.version, sent.zones);
  }

  struct Report {
    StoreVersion version;
    Zones zones;
  };
  struct Router {
    EvacuatedZones zones;
    std::optional<StoreVersion> watched;  ///< Version of its last call.
  };
  StoreVersion current{1, 1};
  std::map<StoreVersion, Zones> history;
  /// Those of the current era follow its restoration.
  std::map<StoreVersion, EvacuatedZones::Change> writes;
  std::array<Router, 4> routers;
  std::vector<Report> reports;  ///< All that were ever sent.
};

StoreVersion AnyVersion(const FleetModel& fleet) {
  std::vector<StoreVersion> versions;
  for (const auto& [version, zones] : fleet.history) {
    versions.push_back(version);
  }
  return *rc::gen::elementOf(versions);
}

void TakeStep(FleetModel& fleet) {
  const auto router = *rc::gen::inRange<std::size_t>(0, fleet.routers.size());
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
      fleet.Write(*rc::gen::element<std::string>("a", "b"),
                  *rc::gen::arbitrary<bool>());
      break;
    case 2:
      fleet.Restore(AnyVersion(fleet));
      break;
    case 3:
      fleet.Read(router, AnyVersion(fleet));
      break;
    case 4:
    case 5:
      fleet.Watch(router);
      break;
    case 6:
    case 7:
      fleet.Send(router);
      break;
    default:
      fleet.Deliver(router, *rc::gen::inRange<std::size_t>(0, 1000));
  }
}

TEST_CASE("all routers come to the newest state in any order of reports") {
  const bool held = rc::check([] {
    FleetModel fleet;
    for (int steps = *rc::gen::inRange(0, 60); steps > 0; --steps) {
      TakeStep(fleet);
      for (const FleetModel::Router& router : fleet.routers) {
        if (router.zones.Version() == StoreVersion()) continue;
        RC_ASSERT(router.zones.Current() ==
                  fleet.history.at(router.zones.Version()));
      }
    }
    // One router reads the store; the others learn from each other only.
    fleet.Read(0, fleet.current);
    for (int round = 0; round < 2; ++round) {
      for (std::size_t n = 0; n < fleet.routers.size(); ++n) fleet.Send(n);
      for (std::size_t n = 0; n < fleet.routers.size(); ++n) {
        std::vector<std::size_t> order;
        for (std::size_t k = 0; k < fleet.reports.size(); ++k) {
          order.push_back(k);
        }
        // Any order, in which each is delivered at least once.
        const auto turn =
            *rc::gen::inRange<std::size_t>(0, fleet.reports.size() + 1);
        for (std::size_t k : order) fleet.Deliver(n, k + turn);
      }
    }
    for (const FleetModel::Router& router : fleet.routers) {
      RC_ASSERT(router.zones.Current() == fleet.history.at(fleet.current));
    }
  });
  CHECK(held);
}

}  // namespace
}  // namespace dandelionscale
