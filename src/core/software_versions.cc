#include "dandelionscale/core/software_versions.h"

#include <algorithm>

namespace dandelionscale {

bool SoftwareVersions::Counts(TimePoint now, const Seen& seen) {
  return seen.is_listed || now - seen.last_listed_at < kMemory;
}

std::set<std::string> SoftwareVersions::OnEngines(
    TimePoint now, const EngineDirectory& engines) {
  std::map<std::string, std::set<std::string>, std::less<>> listed;
  for (const auto& [id, engine] : engines.Engines()) {
    const auto& version = engine->record.software_version;
    if (version) listed[engine->record.service].insert(*version);
  }
  std::set<std::string> changed;
  for (auto& [service, versions] : this->services) {
    const auto& now_listed = listed[service];
    for (auto& [version, seen] : versions) {
      const bool is_listed = now_listed.contains(version);
      if (seen.is_listed && !is_listed) seen.last_listed_at = now;
      if (seen.is_listed != is_listed) changed.insert(service);
      seen.is_listed = is_listed;
    }
    std::erase_if(versions, [now](const auto& entry) {
      return !Counts(now, entry.second);
    });
  }
  for (const auto& [service, now_listed] : listed) {
    Versions& versions = this->services[service];
    for (const std::string& version : now_listed) {
      if (!versions.try_emplace(version, Seen{true, now}).second) continue;
      changed.insert(service);
    }
  }
  return changed;
}

void SoftwareVersions::OnReports(TimePoint now,
                                 std::span<const VersionReport> reports) {
  for (const VersionReport& report : reports) {
    if (report.age >= kMemory) continue;
    Versions& versions = this->services[report.service];
    const bool is_full = versions.size() >= kMaxVersions;
    if (is_full && !versions.contains(report.version)) continue;
    Seen& seen = versions[report.version];
    seen.last_listed_at = std::max(seen.last_listed_at, now - report.age);
  }
}

std::optional<std::string> SoftwareVersions::OnlyVersion(
    TimePoint now, std::string_view service) const {
  const bool is_known =
      this->history_known || now - this->started_at >= kMemory;
  const auto found = this->services.find(service);
  if (!is_known || found == this->services.end()) return std::nullopt;
  std::optional<std::string> only;
  for (const auto& [version, seen] : found->second) {
    if (!Counts(now, seen)) continue;
    if (only) return std::nullopt;
    only = version;
  }
  return only;
}

bool SoftwareVersions::HasSeveral(TimePoint now,
                                  std::string_view service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return false;
  return std::count_if(found->second.begin(), found->second.end(),
                       [now](const auto& entry) {
                         return Counts(now, entry.second);
                       }) > 1;
}

bool SoftwareVersions::HasSeveral(TimePoint now) const {
  return std::any_of(
      this->services.begin(), this->services.end(),
      [&](const auto& entry) { return this->HasSeveral(now, entry.first); });
}

std::vector<VersionReport> SoftwareVersions::Reports(TimePoint now) const {
  std::vector<VersionReport> reports;
  for (const auto& [service, versions] : this->services) {
    for (const auto& [version, seen] : versions) {
      if (!Counts(now, seen)) continue;
      const Duration age =
          seen.is_listed ? Duration::zero() : now - seen.last_listed_at;
      reports.push_back({service, version, age});
    }
  }
  return reports;
}

}  // namespace dandelionscale
