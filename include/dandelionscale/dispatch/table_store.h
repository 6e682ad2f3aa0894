#ifndef DANDELIONSCALE_DISPATCH_TABLE_STORE_H_
#define DANDELIONSCALE_DISPATCH_TABLE_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/fault.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief One row, or the removal of one.
struct StoreRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool removed = false;
};

/// \brief Rows as of one version of the store.
struct StoreRows {
  std::vector<StoreRow> rows;
  std::uint64_t version = 0;
};

/// \brief Tables of the shared store that this fleet uses.
enum class StoreTable {
  kConfiguration,  ///< Written by operators; one row.
  kEngines,        ///< Written by engines about themselves.
  kRouters,        ///< Written by routers: where peers reach them.
};

/// \brief The shared store, as far as routers use it.
///
/// Faults: `kConnectFailed`, `kConnectionLost`, `kTimeout`, `kNotSent` (the
/// store refused the call), `kMalformedMessage`; for `Watch()` besides
/// `kUnexpectedStatus`: the history is gone, read the table again.
class TableStore {
 public:
  virtual ~TableStore() = default;

  /// \returns all rows of a table.
  virtual Awaitable<Result<StoreRows>> Read(StoreTable table,
                                            Duration timeout) = 0;
  /// \brief Waits for changes after `version`.
  /// \returns the changes in order; none if `wait` has passed.
  virtual Awaitable<Result<StoreRows>> Watch(StoreTable table,
                                             std::uint64_t version,
                                             Duration wait) = 0;
  /// \brief Writes a row of `kRouters`, whatever was there.
  virtual Awaitable<Result<void>> WriteRouter(std::string key,
                                              std::string value,
                                              Duration timeout) = 0;
};

/// \returns the key of the one row in `kConfiguration`.
inline constexpr std::string_view kConfigurationRow = "config";

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_TABLE_STORE_H_
