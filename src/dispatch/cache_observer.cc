#include "dispatch/cache_observer.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_status.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;

namespace {

// Longest time for which an engine holds a long-poll call without events.
constexpr Duration kLongPollWait = std::chrono::milliseconds(1000);
// Added to that time for the timeout of the call.
constexpr Duration kLongPollMargin = std::chrono::milliseconds(700);
constexpr Duration kListTimeout = std::chrono::milliseconds(1500);
constexpr Duration kAssignInterval = std::chrono::milliseconds(400);
// Delay before the first assignment, within which the peers are listed. A
// router that knows none would observe all engines.
constexpr Duration kFirstAssignDelay = std::chrono::milliseconds(600);
// Delay after a failed call; doubles with each further failure up to the
// maximum.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(800);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(6400);

// Limit of one report of an engine's cache.
constexpr std::size_t kMaxReportBytes = 2 * 1024 * 1024;
// The reports that are being read may use 1/8 of the memory limit.
constexpr std::size_t kReportMemoryDivisor = 8;

}  // namespace

CacheObserver::CacheObserver(DispatchState& state)
    : state(state),
      client(state.executor, nullptr,
             {kMaxReportBytes,
              state.options.memory_bytes / kReportMemoryDivisor}) {}

void CacheObserver::Start() {
  asio::co_spawn(this->state.executor, this->AssignEngines(), asio::detached);
}

Awaitable<void> CacheObserver::AssignEngines() {
  const Duration first = kFirstAssignDelay;
  co_await SleepFor(first);
  while (true) {
    for (const auto& [id, engine] : this->state.engines.Engines()) {
      const ServiceSpec* service =
          this->state.FindService(engine->record.service);
      const bool is_assigned =
          service != nullptr && service->is_model && this->MayObserve(*engine);
      if (!is_assigned || !this->observed.insert(engine->key).second) continue;
      asio::co_spawn(this->state.executor, this->Observe(engine),
                     asio::detached);
    }
    const Duration interval = kAssignInterval;
    co_await SleepFor(interval);
  }
}

Awaitable<void> CacheObserver::Observe(std::shared_ptr<Engine> engine) {
  std::uint64_t since = 0;
  std::string epoch;
  bool is_resync = true;
  Duration retry_delay = kMinRetryDelay;
  while (this->MayObserve(*engine)) {
    HttpRequest call =
        this->state.codec->EncodeCacheEventsRequest(since, kLongPollWait);
    auto batch = co_await this->Call(engine, std::move(call),
                                     kLongPollWait + kLongPollMargin);
    const bool missed_events =
        batch.has_value() &&
        (batch->has_gap || (!epoch.empty() && batch->epoch != epoch));
    if (missed_events && this->MayObserve(*engine)) {
      // Events are missing or the engine has restarted: replaces the record of
      // its cache by a list of the whole content.
      HttpRequest list = this->state.codec->EncodeCacheListRequest();
      batch = co_await this->Call(engine, std::move(list), kListTimeout);
      is_resync = true;
      if (batch.has_value()) this->state.prefixes.RemoveEngine(engine->key);
    }
    if (batch.has_error()) {
      this->state.metrics.Add("cache_news_failures_total");
      const Duration pause =
          std::max(retry_delay, engine->pause.Remaining(RuntimeClock::now()));
      co_await SleepFor(pause);
      retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
      continue;
    }
    retry_delay = kMinRetryDelay;
    this->ApplyEvents(*engine, *batch, is_resync);
    since = batch->next;
    epoch = batch->epoch;
    is_resync = false;
  }
  this->observed.erase(engine->key);
}

Awaitable<Result<CacheEventBatch>> CacheObserver::Call(
    std::shared_ptr<Engine> engine, HttpRequest request, Duration timeout) {
  auto endpoint = ParseEndpoint(engine->record.address);
  if (endpoint.has_error()) co_return endpoint.error();
  const TransferLimits limits{timeout};
  auto response = co_await this->client.Fetch(
      endpoint.value(), std::move(request), ConnectionUse::kReuse, limits);
  if (response.has_error()) co_return response.error();
  this->state.OnEngineResponse(
      *engine,
      this->state.codec->DecodeResponse(response->status, response->headers));
  if (response->status != http_status::kOk) {
    co_return Fault{FaultKind::kUnexpectedStatus,
                    fmt::format("status {}", response->status)};
  }
  co_return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Result<CacheEventBatch>> {
        BOOST_LEAF_AUTO(batch,
                        this->state.codec->DecodeCacheEvents(response->body));
        return Result<CacheEventBatch>(std::move(batch));
      },
      [](const DecodeFault& fault) {
        return Result<CacheEventBatch>(
            Fault{FaultKind::kMalformedMessage, fault.what});
      },
      [] {
        return Result<CacheEventBatch>(Fault{FaultKind::kMalformedMessage, ""});
      });
}

bool CacheObserver::MayObserve(const Engine& engine) const {
  return !engine.gone && !engine.draining && !this->state.IsEvacuated(engine) &&
         this->state.IsFirstAmongPeers(engine.key);
}

UpdateScope CacheObserver::ScopeOf(const CacheEvent& event) const {
  const UpdateScope scope =
      ScopeOfPrefix(event.tokens, this->state.KeepsShortPrefixesInZone());
  if (scope == UpdateScope::kAllZones) return scope;
  return this->state.prefixes.ScopeOf(event.part_key);
}

void CacheObserver::ApplyEvents(const Engine& engine,
                                const CacheEventBatch& batch, bool is_resync) {
  const TimePoint now = RuntimeClock::now();
  for (const CacheEvent& event : batch.events) {
    // Added parts are skipped except in a resync: shared parts were recorded
    // when a request was placed, and other parts belong to one request each.
    if (!event.dropped && !is_resync) continue;
    const PrefixUpdate update{event.part_key, engine.key, event.dropped,
                              this->ScopeOf(event)};
    const bool is_new = this->state.prefixes.Observe(now, update);
    if (is_new || is_resync) {
      this->state.prefix_updates.Add(update);
    }
  }
  if (!is_resync) return;
  Logger::Info("cache_learnt",
               {{"engine", engine.record.id},
                {"parts", static_cast<std::int64_t>(batch.events.size())},
                {"gap", batch.has_gap}});
}

}  // namespace dandelionscale::internal
