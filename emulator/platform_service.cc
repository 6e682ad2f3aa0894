#include "platform_service.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

#include "json_response.h"

namespace dandelionscale::emulator {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjectsPrefix = "/v1/objects/";

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

/// \brief Applies one operation to the table.
struct OperationApplier {
  PlatformService& platform;

  TableResult Write(const std::string& key, const std::string& value) const {
    ++this->platform.writes;
    TableRow& row = this->platform.rows[key];
    row = {key, value, ++this->platform.revision};
    return {TableStatus::kOk, row.revision, {}};
  }
  const TableRow* Find(const std::string& key) const {
    ++this->platform.reads;
    auto found = this->platform.rows.find(key);
    return found == this->platform.rows.end() ? nullptr : &found->second;
  }

  TableResult operator()(const TableInsert& op) const {
    const TableRow* row = this->Find(op.key);
    if (row != nullptr) return {TableStatus::kExists, row->revision, {*row}};
    return this->Write(op.key, op.value);
  }
  TableResult operator()(const TablePut& op) const {
    return this->Write(op.key, op.value);
  }
  TableResult operator()(const TableCompareAndSet& op) const {
    const TableRow* row = this->Find(op.key);
    const std::uint64_t current = row == nullptr ? 0 : row->revision;
    if (current == op.expected_revision) return this->Write(op.key, op.value);
    TableResult conflict{TableStatus::kConflict, current, {}};
    if (row != nullptr) conflict.rows.push_back(*row);
    return conflict;
  }
  TableResult operator()(const TableDelete& op) const {
    const TableRow* row = this->Find(op.key);
    if (row == nullptr) return {TableStatus::kMissing, 0, {}};
    if (row->revision != op.expected_revision) {
      return {TableStatus::kConflict, row->revision, {*row}};
    }
    ++this->platform.writes;
    this->platform.rows.erase(op.key);
    return {TableStatus::kOk, ++this->platform.revision, {}};
  }
  TableResult operator()(const TableGet& op) const {
    const TableRow* row = this->Find(op.key);
    if (row == nullptr) return {TableStatus::kMissing, 0, {}};
    return {TableStatus::kOk, row->revision, {*row}};
  }
  TableResult operator()(const TableScan& op) const {
    ++this->platform.reads;
    TableResult result{TableStatus::kOk, this->platform.revision, {}};
    auto& rows = this->platform.rows;
    for (auto row = rows.lower_bound(op.prefix);
         row != rows.end() && row->first.starts_with(op.prefix); ++row) {
      if (row->second.revision > op.since_revision) {
        result.rows.push_back(row->second);
      }
    }
    return result;
  }
};

PlatformService::PlatformService(boost::asio::any_io_executor executor,
                                 Duration host_lag)
    : executor(std::move(executor)), host_lag(host_lag) {}

Result<void> PlatformService::Listen(const Endpoint& endpoint) {
  HttpServerLimits limits;
  limits.body_bytes = 64 * 1024 * 1024;
  this->server = std::make_unique<HttpServer>(
      this->executor, limits,
      [this](HttpExchange& exchange) { return this->Handle(exchange); });
  auto bound = this->server->Listen(endpoint);
  if (bound.has_error()) return bound.error();
  return {};
}

TableResult PlatformService::Apply(const TableOperation& operation) {
  return std::visit(OperationApplier{*this}, operation);
}

Awaitable<void> PlatformService::HandleBatch(HttpExchange& exchange) {
  const std::string& body = exchange.Request().body;
  std::vector<TableOperation> operations;
  if (!ParseOperations(body, operations)) {
    co_await exchange.Respond(MakeJsonResponse(400, "{}"));
    co_return;
  }
  std::vector<TableResult> results;
  for (const TableOperation& operation : operations) {
    results.push_back(this->Apply(operation));
  }
  ++this->batches;
  if (this->lose_answers > 0 &&
      body.find(this->lose_match) != std::string::npos) {
    --this->lose_answers;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(MakeJsonResponse(200, SerializeResults(results)));
}

Awaitable<void> PlatformService::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const std::string_view path = PathOf(request.target);
  if (this->down) {
    exchange.Abort();
    co_return;
  }
  if (this->delay > Duration::zero()) co_await SleepFor(this->delay);
  if (request.method == "POST" && path == "/v1/table/batch") {
    co_await this->HandleBatch(exchange);
  } else if (path == "/v1/hosts") {
    co_await exchange.Respond(MakeJsonResponse(
        200,
        this->HostList(ParseNumber(QueryParameter(request.target, "since")))));
  } else if (path.starts_with(kObjectsPrefix)) {
    const std::string name(path.substr(kObjectsPrefix.size()));
    if (request.method == "PUT") {
      this->objects[name] = request.body;
      co_await exchange.Respond(MakeJsonResponse(200, "{}"));
    } else if (this->objects.contains(name)) {
      co_await exchange.Respond(MakeJsonResponse(200, this->objects[name]));
    } else {
      co_await exchange.Respond(MakeJsonResponse(404, "{}"));
    }
  } else {
    co_await exchange.Respond(MakeJsonResponse(404, "{}"));
  }
}

std::string PlatformService::Stats() const {
  return json::serialize(json::object{{"writes", this->writes},
                                      {"reads", this->reads},
                                      {"batches", this->batches},
                                      {"rows", this->rows.size()}});
}

std::string PlatformService::HostList(std::uint64_t since) const {
  const TimePoint now = RuntimeClock::now();
  std::uint64_t newest = since;
  json::array entries;
  for (const auto& [name, host] : this->hosts) {
    if (host.revision <= since || host.visible_at > now) continue;
    newest = std::max(newest, host.revision);
    entries.push_back(json::object{{"name", host.name},
                                   {"incarnation", host.incarnation},
                                   {"state", host.state}});
  }
  return json::serialize(
      json::object{{"revision", newest}, {"hosts", std::move(entries)}});
}

Awaitable<void> PlatformService::HandleControl(HttpExchange& exchange) {
  const std::string& target = exchange.Request().target;
  const std::string_view path = PathOf(target);
  if (path == "/fake/stats") {
    co_await exchange.Respond(MakeJsonResponse(200, this->Stats()));
  } else if (path == "/fake/mode") {
    this->down = QueryParameter(target, "down") == "1";
    this->delay = std::chrono::milliseconds(
        ParseNumber(QueryParameter(target, "delay_ms")));
    this->lose_answers =
        static_cast<int>(ParseNumber(QueryParameter(target, "lose_answers")));
    this->lose_match = QueryParameter(target, "match");
    co_await exchange.Respond(MakeJsonResponse(200, "{}"));
  } else if (path == "/fake/hosts") {
    Host host;
    host.name = QueryParameter(target, "name");
    host.state = QueryParameter(target, "state");
    host.incarnation = ParseNumber(QueryParameter(target, "incarnation"));
    host.revision = ++this->revision;
    host.visible_at = RuntimeClock::now() + this->host_lag;
    this->hosts[host.name] = std::move(host);
    co_await exchange.Respond(MakeJsonResponse(200, "{}"));
  } else {
    co_await exchange.Respond(MakeJsonResponse(404, "{}"));
  }
}

}  // namespace dandelionscale::emulator
