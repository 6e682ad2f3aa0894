#ifndef DANDELIONSCALE_CORE_EVACUATED_ZONES_H_
#define DANDELIONSCALE_CORE_EVACUATED_ZONES_H_

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/store_version.h"

namespace dandelionscale {

/// \brief The availability zones that operators have evacuated: their engines
///        receive no requests.
///
/// The state is the whole set as of one version of the store. A newer version
/// replaces it as a whole, whoever reports it. So routers with the same newest
/// version agree, whatever they received before and in which order. A store
/// that is restored from an old copy starts a higher era: only its own table
/// replaces the set of an earlier era.
class EvacuatedZones {
 public:
  using Zones = std::set<std::string, std::less<>>;

  /// \brief A zone that was evacuated or restored.
  struct Change {
    std::string zone;
    bool is_evacuated = false;

    friend bool operator==(const Change&, const Change&) = default;
  };

  /// \brief Applies the whole table of the store.
  /// \param version of the table.
  /// \returns the zones that changed; none if a newer version is known.
  std::vector<Change> OnTable(StoreVersion version, const Zones& new_zones);
  /// \brief Applies the changes that lead to a version of a table of which this
  ///        router has applied an earlier one.
  /// \param rows in order; the last one of a zone holds.
  /// \returns the zones that changed; none if a newer version is known.
  std::vector<Change> OnRows(StoreVersion version,
                             std::span<const Change> rows);
  /// \brief Applies what a peer reports.
  /// \returns the zones that changed; none unless its version is newer.
  std::vector<Change> OnReport(StoreVersion version, const Zones& new_zones);

  bool Contains(std::string_view zone) const {
    return this->zones.contains(zone);
  }
  const Zones& Current() const { return this->zones; }
  /// \returns the version as of which the set is known.
  StoreVersion Version() const { return this->version; }
  /// \returns true if the set is to be sent to peers: an evacuation is in
  ///          force, or has ended and peers may still know of it.
  bool IsReported() const { return this->is_reported; }

 private:
  std::vector<Change> Replace(StoreVersion new_version, const Zones& new_zones);

  StoreVersion version;
  Zones zones;
  bool is_reported = false;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_EVACUATED_ZONES_H_
