#ifndef DANDELIONSCALE_DISPATCH_TABLE_STORE_H_
#define DANDELIONSCALE_DISPATCH_TABLE_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/store_version.h"
#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief A row of a table, or the removal of one.
struct StoreRow {
  std::string key;
  std::string value;
  /// Number of the store version that wrote or removed the row.
  std::uint64_t version = 0;
  bool removed = false;
};

/// \brief Rows as of one version of the store.
struct StoreRows {
  std::vector<StoreRow> rows;
  StoreVersion version;
  /// The store's steady clock at the response; none if it states no time.
  std::optional<Duration> store_time{};
};

/// \brief Tables of the shared store.
enum class StoreTable {
  /// Written by operators: the configuration and the evacuated zones.
  kConfiguration,
  kEngines,  ///< Each engine writes its own row.
  /// Each router writes its peer address; one row holds the quarantine.
  kRouters,
};

/// \brief Client interface of the versioned store that all routers share.
///
/// Faults: `kConnectFailed`, `kConnectionLost`, `kTimeout`, `kNotSent` (the
/// store refused the call), `kMalformedMessage`. `Watch()` also returns
/// `kUnexpectedStatus` if the store does not have the given version or no
/// longer retains the changes after it; the caller then has to read the whole
/// table.
///
/// The era of `StoreRows::version` rises when the store was restored from an
/// older copy. Rows of a watch that spans a restoration are not the difference
/// to the state before it, so the caller has to read the whole table.
class TableStore {
 public:
  virtual ~TableStore() = default;

  /// \brief Reads a table, which may take several requests.
  /// \param timeout of each request, until its response begins.
  /// \returns all rows of the table.
  virtual Awaitable<Result<StoreRows>> Read(StoreTable table,
                                            Duration timeout) = 0;
  /// \brief Long-polls for changes after `version`.
  /// \returns the changes in order; none if there were none within `wait`.
  virtual Awaitable<Result<StoreRows>> Watch(StoreTable table,
                                             StoreVersion version,
                                             Duration wait) = 0;
  /// \brief Writes a row of `kRouters` unconditionally.
  virtual Awaitable<Result<void>> WriteRow(std::string key, std::string value,
                                           Duration timeout) = 0;
  /// \returns the bytes of all responses to reads and watches of a table,
  ///          including those to calls that failed later.
  virtual std::uint64_t BytesRead(StoreTable table) const = 0;
};

/// \brief Key of the configuration's row in `kConfiguration`.
inline constexpr std::string_view kConfigurationRowKey = "config";
/// \brief Prefix of the keys of the rows of the same table by which operators
///        evacuate availability zones; the zone's name follows.
inline constexpr std::string_view kEvacuationRowPrefix = "/evacuated_zones/";
/// \brief Key of the row of `kRouters` with what crashes engines. Names of
///        routers have no slash.
inline constexpr std::string_view kQuarantineRowKey = "/quarantine";
/// \brief Key of the row of `StoreTable::kRouters` that holds the software
///        versions of engines.
inline constexpr std::string_view kVersionsRowKey = "/software_versions";
/// \brief Precedes a router's name in the key of its row of stream origins, in
///        the same table.
inline constexpr std::string_view kOriginsRowPrefix = "/origins/";

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_TABLE_STORE_H_
