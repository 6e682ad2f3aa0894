#include "store_service.h"

#include <boost/beast/core/detail/base64.hpp>

namespace dandelionscale::emulator {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;
// Longer than the timeout of any client.
constexpr Duration kNoResponseDelay = std::chrono::seconds(60);

std::string EncodeBase64(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string DecodeBase64(std::string_view text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

std::uint64_t ParseNumber(std::string_view text) {
  return text.empty() ? 0 : std::stoull(std::string(text));
}

HttpResponse StatusResponse(unsigned status) {
  HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

StoreService::StoreService(boost::asio::any_io_executor executor)
    : executor(executor), changed(executor) {}

Result<Endpoint> StoreService::Listen(const Endpoint& endpoint) {
  this->servers.push_back(this->MakeServer(std::nullopt));
  return this->servers.back()->Listen(endpoint);
}

Result<Endpoint> StoreService::ListenFor(int caller, const Endpoint& endpoint) {
  this->servers.push_back(this->MakeServer(caller));
  return this->servers.back()->Listen(endpoint);
}

std::unique_ptr<HttpServer> StoreService::MakeServer(
    std::optional<int> caller) {
  return std::make_unique<HttpServer>(this->executor, HttpServerLimits(),
                                      [this, caller](HttpExchange& exchange) {
                                        return this->Handle(exchange, caller);
                                      });
}

void StoreService::LeaveUnanswered(std::set<int> callers) {
  this->unanswered = std::move(callers);
}

bool StoreService::IsLeftOut(std::optional<int> caller) const {
  return caller && this->unanswered.contains(*caller);
}

void StoreService::Put(const std::string& table, const std::string& key,
                       const std::string& value) {
  this->rows[{table, key}] = {value, ++this->version, false};
  this->changed.NotifyAll();
}

void StoreService::Remove(const std::string& table, const std::string& key) {
  this->rows[{table, key}] = {"", ++this->version, true};
  this->changed.NotifyAll();
}

void StoreService::SetMode(StoreMode mode) {
  this->mode = mode;
  this->changed.NotifyAll();
}

void StoreService::DelayReads(const std::string& table, Duration delay) {
  this->read_delays[table] = delay;
}

void StoreService::TakeCopy() {
  this->copied_rows = this->rows;
  this->copied_version = this->version;
}

void StoreService::Restore() {
  this->rows = this->copied_rows;
  this->version = this->copied_version;
  ++this->era;
  this->changed.NotifyAll();
}

Awaitable<void> StoreService::Handle(HttpExchange& exchange,
                                     std::optional<int> caller) {
  this->calls.push_back(exchange.Request().target);
  const Duration no_response = kNoResponseDelay;
  if (this->mode == StoreMode::kSilent || this->IsLeftOut(caller)) {
    co_await SleepFor(no_response);
    co_return;
  }
  HttpResponse response = co_await this->HandleCall(exchange.Request());
  // Its call was open when that began.
  if (this->IsLeftOut(caller)) {
    co_await SleepFor(no_response);
    co_return;
  }
  response.headers.Add("Store-Era", std::to_string(this->era));
  co_await exchange.Respond(std::move(response));
}

Awaitable<HttpResponse> StoreService::HandleCall(const HttpRequest& request) {
  if (this->mode == StoreMode::kBusy) co_return StatusResponse(kUnavailable);
  const std::string_view path = PathOf(request.target);
  if (path == "/dandelionscale/rows-get") {
    co_return co_await this->GetRows(request);
  }
  if (path == "/dandelionscale/rows-feed") {
    co_return co_await this->WatchRows(request);
  }
  if (path == "/dandelionscale/rows-tx") co_return this->Transact(request);
  co_return StatusResponse(kNotFound);
}

Awaitable<HttpResponse> StoreService::GetRows(
    const HttpRequest& request) const {
  const std::string table(QueryParameter(request.target, "table"));
  const auto delay = this->read_delays.find(table);
  if (delay != this->read_delays.end()) {
    const Duration wait = delay->second;
    co_await SleepFor(wait);
  }
  co_return this->RowsResponse(this->Rows(table, 0, false));
}

Awaitable<HttpResponse> StoreService::WatchRows(const HttpRequest& request) {
  const std::string table(QueryParameter(request.target, "table"));
  const std::uint64_t after =
      ParseNumber(QueryParameter(request.target, "after_rev"));
  const TimePoint until =
      RuntimeClock::now() + std::chrono::milliseconds(ParseNumber(
                                QueryParameter(request.target, "wait_ms")));
  while (true) {
    if (this->mode == StoreMode::kBusy) co_return StatusResponse(kUnavailable);
    const bool has_version =
        this->mode != StoreMode::kHistoryGone && after <= this->version;
    if (!has_version) co_return StatusResponse(kGone);
    json::array rows = this->Rows(table, after, true);
    const TimePoint now = RuntimeClock::now();
    if (!rows.empty() || now >= until) {
      co_return this->RowsResponse(std::move(rows));
    }
    co_await this->changed.WaitFor(until - now);
  }
}

HttpResponse StoreService::Transact(const HttpRequest& request) {
  const json::value body = json::parse(request.body);
  for (const json::value& row : body.at("expected_rev").as_array()) {
    auto found = this->rows.find({std::string(row.at("table").as_string()),
                                  std::string(row.at("key").as_string())});
    const std::uint64_t version =
        found == this->rows.end() || found->second.removed
            ? 0
            : found->second.version;
    if (version != row.at("ver").to_number<std::uint64_t>()) {
      return StatusResponse(kPreconditionFailed);
    }
  }
  for (const json::value& row : body.at("upserts").as_array()) {
    this->Put(std::string(row.at("table").as_string()),
              std::string(row.at("key").as_string()),
              DecodeBase64(row.at("value").as_string()));
  }
  return this->RowsResponse({});
}

json::array StoreService::Rows(std::string_view table, std::uint64_t after,
                               bool include_removed) const {
  json::array list;
  for (const auto& [key, row] : this->rows) {
    if (std::get<0>(key) != table || row.version <= after) continue;
    if (row.removed && !include_removed) continue;
    json::object entry{{"table", std::get<0>(key)},
                       {"part", ""},
                       {"key", std::get<1>(key)},
                       {"value", EncodeBase64(row.value)},
                       {"ver", row.version}};
    if (row.removed) entry["deleted"] = true;
    list.push_back(std::move(entry));
  }
  return list;
}

HttpResponse StoreService::RowsResponse(json::array rows) const {
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(
      json::object{{"rows", std::move(rows)},
                   {"has_more", false},
                   {"ver", this->version},
                   {"server_time_ms",
                    ToMilliseconds(RuntimeClock::now().time_since_epoch())}});
  return response;
}

}  // namespace dandelionscale::emulator
