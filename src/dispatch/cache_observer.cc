#include "dispatch/cache_observer.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;

namespace {

// How long an engine may hold a call until there is news.
constexpr Duration kNewsWait = std::chrono::milliseconds(1000);
constexpr Duration kCallSlack = std::chrono::milliseconds(700);
constexpr Duration kListTimeout = std::chrono::milliseconds(1500);
constexpr Duration kAssignInterval = std::chrono::milliseconds(400);
// Peers are heard within this time after the start; observers are chosen then.
constexpr Duration kFirstAssignment = std::chrono::milliseconds(350);
constexpr Duration kFailurePause = std::chrono::milliseconds(800);

}  // namespace

CacheObserver::CacheObserver(DispatchState& state)
    : state(state), client(state.executor, nullptr) {}

void CacheObserver::Start() {
  asio::co_spawn(this->state.executor, this->AssignEngines(), asio::detached);
}

Awaitable<void> CacheObserver::AssignEngines() {
  const Duration first = kFirstAssignment;
  co_await SleepFor(first);
  while (true) {
    for (const auto& [id, engine] : this->state.engines.Engines()) {
      const ServiceSpec* service =
          this->state.FindService(engine->record.service);
      const bool wanted = service != nullptr && service->is_model &&
                          !engine->draining && this->IsObserver(*engine);
      if (!wanted || !this->observed.insert(engine->key).second) continue;
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
  bool is_replay = true;
  while (!engine->gone && !engine->draining && this->IsObserver(*engine)) {
    HttpRequest call =
        this->state.codec->EncodeCacheEventsRequest(since, kNewsWait);
    auto news =
        co_await this->Call(engine, std::move(call), kNewsWait + kCallSlack);
    const bool behind =
        news.has_value() &&
        (news->has_gap || (!epoch.empty() && news->epoch != epoch));
    if (behind) {
      HttpRequest list = this->state.codec->EncodeCacheListRequest();
      news = co_await this->Call(engine, std::move(list), kListTimeout);
      is_replay = true;
      if (news.has_value()) this->state.prefixes.Forget(engine->key);
    }
    if (news.has_error()) {
      this->state.metrics.Add("cache_news_failures_total");
      const Duration pause = kFailurePause;
      co_await SleepFor(pause);
      continue;
    }
    this->Learn(*engine, *news, is_replay);
    since = news->next;
    epoch = news->epoch;
    is_replay = false;
  }
  this->observed.erase(engine->key);
}

Awaitable<Result<CacheEventBatch>> CacheObserver::Call(
    std::shared_ptr<Engine> engine, HttpRequest request, Duration timeout) {
  auto endpoint = ParseEndpoint(engine->record.address);
  if (endpoint.has_error()) co_return endpoint.error();
  auto answer = co_await this->client.Fetch(
      endpoint.value(), std::move(request), ConnectionUse::kReuse, timeout);
  if (answer.has_error()) co_return answer.error();
  constexpr unsigned kOk = 200;
  if (answer->status != kOk) {
    co_return Fault{FaultKind::kUnexpectedStatus,
                    fmt::format("status {}", answer->status)};
  }
  co_return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Result<CacheEventBatch>> {
        BOOST_LEAF_AUTO(news,
                        this->state.codec->DecodeCacheEvents(answer->body));
        return Result<CacheEventBatch>(std::move(news));
      },
      [](const DecodeFault& fault) {
        return Result<CacheEventBatch>(
            Fault{FaultKind::kMalformedMessage, fault.what});
      },
      [] {
        return Result<CacheEventBatch>(Fault{FaultKind::kMalformedMessage, ""});
      });
}

bool CacheObserver::IsObserver(const Engine& engine) const {
  const std::uint64_t own_weight = RendezvousWeight(
      HashText(ToText(this->state.options.peer_address)), engine.key);
  for (const auto& [peer, heard_at] : this->state.last_digest_at) {
    if (RendezvousWeight(HashText(peer), engine.key) > own_weight) return false;
  }
  return true;
}

void CacheObserver::Learn(const Engine& engine, const CacheEventBatch& news,
                          bool is_replay) {
  const TimePoint now = RuntimeClock::now();
  for (const CacheEvent& event : news.events) {
    // In steady state placements tell of shared parts sooner, and other parts
    // belong to one request each.
    if (!event.dropped && !is_replay) continue;
    const PrefixPlacement placement{event.part_key, engine.key, event.dropped};
    const bool is_news = this->state.prefixes.Observe(now, placement);
    if (is_news || is_replay) {
      this->state.prefix_updates.Add(placement);
    }
  }
  if (!is_replay) return;
  Logger::Info("cache_learnt",
               {{"engine", engine.record.id},
                {"parts", static_cast<std::int64_t>(news.events.size())},
                {"gap", news.has_gap}});
}

}  // namespace dandelionscale::internal
