#ifndef DANDELIONSCALE_PLATFORM_TABLE_H_
#define DANDELIONSCALE_PLATFORM_TABLE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dandelionscale {

/// \brief One row of the platform's table. Every write assigns a higher
/// revision.
struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

/// \brief Writes a row if the key has none.
struct TableInsert {
  std::string key;
  std::string value;
};
/// \brief Writes a row unconditionally.
struct TablePut {
  std::string key;
  std::string value;
};
/// \brief Writes a row only if its revision is still `expected_revision`;
/// 0 means that the row must not exist.
struct TableCompareAndSet {
  std::string key;
  std::uint64_t expected_revision = 0;
  std::string value;
};
/// \brief Deletes a row only if its revision is still `expected_revision`.
struct TableDelete {
  std::string key;
  std::uint64_t expected_revision = 0;
};
/// \brief Reads one row.
struct TableGet {
  std::string key;
};
/// \brief Reads rows under `prefix` written after `since_revision`.
struct TableScan {
  std::string prefix;
  std::uint64_t since_revision = 0;
};
using TableOperation = std::variant<TableInsert, TablePut, TableCompareAndSet,
                                    TableDelete, TableGet, TableScan>;

/// \brief Status of one operation.
enum class TableStatus {
  kOk,
  kExists,    ///< `TableInsert` found a row; it is in `rows`.
  kConflict,  ///< The revision differs; the row, if any, is in `rows`.
  kMissing,   ///< The key has no row.
};

/// \brief Result of one operation.
struct TableResult {
  TableStatus status = TableStatus::kOk;
  std::uint64_t revision = 0;
  std::vector<TableRow> rows;
};

/// \returns the body of a batch request.
std::string SerializeOperations(const std::vector<TableOperation>& operations);
/// \returns false if `text` is not a batch request.
bool ParseOperations(std::string_view text,
                     std::vector<TableOperation>& operations);
/// \returns the body of a batch response.
std::string SerializeResults(const std::vector<TableResult>& results);
/// \returns false if `text` is not a batch response.
bool ParseResults(std::string_view text, std::vector<TableResult>& results);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_PLATFORM_TABLE_H_
