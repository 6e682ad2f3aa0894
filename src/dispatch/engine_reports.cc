#include "dispatch/engine_reports.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {
namespace {

constexpr Duration kReportTimeout = std::chrono::milliseconds(250);
// Limits of one report and of all that are being read.
constexpr HttpClientLimits kReportLimits = {512 * 1024, 4 * 1024 * 1024};

}  // namespace

EngineReports::EngineReports(DispatchState& state)
    : state(state), client(state.executor, nullptr, kReportLimits) {}

Awaitable<RunReport> EngineReports::Find(std::shared_ptr<Engine> engine,
                                         std::string request_id) {
  const auto [entry, is_new] = this->calls.try_emplace(engine->key);
  if (is_new) entry->second = std::make_shared<Call>(this->state.executor);
  const std::shared_ptr<Call> call = entry->second;
  if (is_new) {
    boost::asio::co_spawn(this->state.executor, this->Fetch(engine, call),
                          boost::asio::detached);
  }
  while (!call->has_ended) co_await call->ended.Wait();
  if (!call->report) co_return RunReport::kUnknown;
  const auto& runs = call->report->request_ids;
  const bool is_listed =
      std::find(runs.begin(), runs.end(), request_id) != runs.end();
  if (is_listed) co_return RunReport::kListed;
  co_return call->report->waiting > 0 ? RunReport::kMayWait
                                      : RunReport::kNotListed;
}

Awaitable<void> EngineReports::Fetch(std::shared_ptr<Engine> engine,
                                     std::shared_ptr<Call> call) {
  // Whoever waits for the call must learn of its end in any case.
  try {
    call->report = co_await this->Ask(engine);
  } catch (const std::exception& error) {
    Logger::Error("engine_report_failed", {{"what", error.what()}});
  }
  call->has_ended = true;
  this->calls.erase(engine->key);
  call->ended.NotifyAll();
}

Awaitable<std::optional<EngineReport>> EngineReports::Ask(
    std::shared_ptr<Engine> engine) {
  auto endpoint = ParseEndpoint(engine->record.address);
  if (endpoint.has_error()) co_return std::nullopt;
  this->state.metrics.Add("engine_reports_total");
  HttpRequest request = this->state.codec->EncodeReportRequest();
  const auto response =
      co_await this->client.Fetch(endpoint.value(), std::move(request),
                                  ConnectionUse::kReuse, kReportTimeout);
  const bool is_ok =
      response.has_value() && response->status == http_status::kOk;
  if (!is_ok) co_return std::nullopt;
  co_return this->Decode(response->body);
}

std::optional<EngineReport> EngineReports::Decode(std::string_view text) const {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<EngineReport>> {
        BOOST_LEAF_AUTO(report, this->state.codec->DecodeReport(text));
        return std::optional(std::move(report));
      },
      [] { return std::optional<EngineReport>(); });
}

}  // namespace dandelionscale::internal
