#include "dandelionscale/platform/table.h"

#include <boost/json.hpp>

namespace dandelionscale {
namespace {

namespace json = boost::json;

struct OperationWriter {
  json::object operator()(const TableInsert& op) const {
    return {{"op", "insert"}, {"key", op.key}, {"value", op.value}};
  }
  json::object operator()(const TablePut& op) const {
    return {{"op", "put"}, {"key", op.key}, {"value", op.value}};
  }
  json::object operator()(const TableCompareAndSet& op) const {
    return {{"op", "compare_and_set"},
            {"key", op.key},
            {"expected_revision", op.expected_revision},
            {"value", op.value}};
  }
  json::object operator()(const TableDelete& op) const {
    return {{"op", "delete"},
            {"key", op.key},
            {"expected_revision", op.expected_revision}};
  }
  json::object operator()(const TableGet& op) const {
    return {{"op", "get"}, {"key", op.key}};
  }
  json::object operator()(const TableScan& op) const {
    return {{"op", "scan"},
            {"prefix", op.prefix},
            {"since_revision", op.since_revision}};
  }
};

std::string TextMember(const json::value& value, std::string_view name) {
  return json::value_to<std::string>(
      value.at(json::string_view(name.data(), name.size())));
}

std::uint64_t NumberMember(const json::value& value, std::string_view name) {
  return value.at(json::string_view(name.data(), name.size()))
      .to_number<std::uint64_t>();
}

TableOperation ReadOperation(const json::value& value) {
  std::string op = TextMember(value, "op");
  if (op == "insert") {
    return TableInsert{TextMember(value, "key"), TextMember(value, "value")};
  }
  if (op == "put") {
    return TablePut{TextMember(value, "key"), TextMember(value, "value")};
  }
  if (op == "compare_and_set") {
    return TableCompareAndSet{TextMember(value, "key"),
                              NumberMember(value, "expected_revision"),
                              TextMember(value, "value")};
  }
  if (op == "delete") {
    return TableDelete{TextMember(value, "key"),
                       NumberMember(value, "expected_revision")};
  }
  if (op == "get") return TableGet{TextMember(value, "key")};
  if (op == "scan") {
    return TableScan{TextMember(value, "prefix"),
                     NumberMember(value, "since_revision")};
  }
  throw std::invalid_argument("unknown operation");
}

std::string_view StatusName(TableStatus status) {
  switch (status) {
    case TableStatus::kOk:
      return "ok";
    case TableStatus::kExists:
      return "exists";
    case TableStatus::kConflict:
      return "conflict";
    case TableStatus::kMissing:
      return "missing";
  }
  return "ok";
}

TableStatus ReadStatus(const std::string& name) {
  if (name == "ok") return TableStatus::kOk;
  if (name == "exists") return TableStatus::kExists;
  if (name == "conflict") return TableStatus::kConflict;
  if (name == "missing") return TableStatus::kMissing;
  throw std::invalid_argument("unknown status");
}

json::value ParseText(std::string_view text) {
  return json::parse(json::string_view(text.data(), text.size()));
}

}  // namespace

std::string SerializeOperations(const std::vector<TableOperation>& operations) {
  json::array array;
  for (const TableOperation& operation : operations) {
    array.push_back(std::visit(OperationWriter{}, operation));
  }
  return json::serialize(json::object{{"operations", std::move(array)}});
}

bool ParseOperations(std::string_view text,
                     std::vector<TableOperation>& operations) {
  try {
    const json::value document = ParseText(text);
    for (const json::value& value : document.at("operations").as_array()) {
      operations.push_back(ReadOperation(value));
    }
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

std::string SerializeResults(const std::vector<TableResult>& results) {
  json::array array;
  for (const TableResult& result : results) {
    json::array rows;
    for (const TableRow& row : result.rows) {
      rows.push_back(json::object{
          {"key", row.key}, {"value", row.value}, {"revision", row.revision}});
    }
    array.push_back(json::object{{"status", StatusName(result.status)},
                                 {"revision", result.revision},
                                 {"rows", std::move(rows)}});
  }
  return json::serialize(json::object{{"results", std::move(array)}});
}

bool ParseResults(std::string_view text, std::vector<TableResult>& results) {
  try {
    const json::value document = ParseText(text);
    for (const json::value& value : document.at("results").as_array()) {
      TableResult result;
      result.status = ReadStatus(TextMember(value, "status"));
      result.revision = NumberMember(value, "revision");
      for (const json::value& row : value.at("rows").as_array()) {
        result.rows.push_back({TextMember(row, "key"), TextMember(row, "value"),
                               NumberMember(row, "revision")});
      }
      results.push_back(std::move(result));
    }
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace dandelionscale
