#include "dandelionscale/core/evacuated_zones.h"

namespace dandelionscale {

std::vector<EvacuatedZones::Change> EvacuatedZones::OnTable(
    StoreVersion version, const Zones& new_zones) {
  if (version < this->version) return {};
  return this->Replace(version, new_zones);
}

std::vector<EvacuatedZones::Change> EvacuatedZones::OnRows(
    StoreVersion version, std::span<const Change> rows) {
  if (version < this->version) return {};
  Zones new_zones = this->zones;
  for (const Change& row : rows) {
    if (row.is_evacuated) {
      new_zones.insert(row.zone);
    } else {
      new_zones.erase(row.zone);
    }
  }
  return this->Replace(version, new_zones);
}

std::vector<EvacuatedZones::Change> EvacuatedZones::OnReport(
    StoreVersion version, const Zones& new_zones) {
  // Also for an older report: the peer has to learn that it is out of date.
  this->is_reported = true;
  if (version <= this->version) return {};
  return this->Replace(version, new_zones);
}

std::vector<EvacuatedZones::Change> EvacuatedZones::Replace(
    StoreVersion new_version, const Zones& new_zones) {
  std::vector<Change> changes;
  for (const std::string& zone : this->zones) {
    if (!new_zones.contains(zone)) changes.push_back({zone, false});
  }
  for (const std::string& zone : new_zones) {
    if (!this->zones.contains(zone)) changes.push_back({zone, true});
  }
  this->version = new_version;
  this->zones = new_zones;
  this->is_reported = this->is_reported || !new_zones.empty();
  return changes;
}

}  // namespace dandelionscale
