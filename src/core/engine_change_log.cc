#include "dandelionscale/core/engine_change_log.h"

namespace dandelionscale {

void EngineChangeLog::Reset(StoreVersion version) {
  this->versions.clear();
  this->by_version.clear();
  this->complete_from = version;
}

void EngineChangeLog::Record(StoreVersion version, const std::string& id) {
  auto [known, is_new] = this->versions.try_emplace(id, version);
  if (!is_new) {
    this->by_version.erase({known->second, id});
    known->second = version;
  }
  this->by_version.emplace(version, id);
  if (this->versions.size() <= this->max_engines) return;
  const auto oldest = this->by_version.begin();
  if (this->complete_from && *this->complete_from < oldest->first) {
    this->complete_from = oldest->first;
  }
  this->versions.erase(oldest->second);
  this->by_version.erase(oldest);
}

bool EngineChangeLog::Covers(StoreVersion since) const {
  return this->complete_from && since.era == this->complete_from->era &&
         *this->complete_from <= since;
}

std::vector<std::string_view> EngineChangeLog::Since(StoreVersion since) const {
  std::vector<std::string_view> ids;
  const StoreVersion first{since.era, since.number + 1};
  for (auto change = this->by_version.lower_bound({first, std::string()});
       change != this->by_version.end(); ++change) {
    ids.emplace_back(change->second);
  }
  return ids;
}

}  // namespace dandelionscale
