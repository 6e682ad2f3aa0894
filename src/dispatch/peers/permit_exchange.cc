#include "dispatch/peers/permit_exchange.h"

#include <algorithm>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"
#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/address.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/peers/peer_messages.h"
#include "dispatch/peers/peer_reports.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {
namespace {

// Precedes the encoded message in a datagram. A digest never begins with it.
constexpr char kPermitMark = '\0';
// Several times the round trip between hosts of different zones.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(80);
// A peer that has not responded is not asked again for this time.
constexpr Duration kSilenceTime = std::chrono::milliseconds(1000);
// A router asks again after at most this time: the limit may have ended.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(2000);

std::string Encode(const wire::PermitMessage& message) {
  return kPermitMark + message.SerializeAsString();
}

}  // namespace

PermitExchange::PermitExchange(DispatchState& state) : state(state) {}

Awaitable<bool> PermitExchange::Acquire(std::shared_ptr<Engine> engine) {
  const TimePoint asked_at = RuntimeClock::now();
  const auto issuer = this->FindIssuer(asked_at, engine->key);
  std::optional<Outcome> outcome;
  if (issuer) {
    outcome = co_await this->Ask(engine, *issuer);
  } else {
    outcome = this->Issue(asked_at, *engine);
  }
  const TimePoint now = RuntimeClock::now();
  // A process that was paused meanwhile may hold an old permit.
  const RateInForce rate =
      this->state.RateOf(*engine, now).value_or(RateInForce());
  const bool is_late = now - asked_at > PermitLifetime(rate);
  const bool granted = outcome && outcome->decision.granted && !is_late;
  const Duration retry_after =
      outcome ? std::min(outcome->decision.retry_after, kMaxRetryDelay)
              : kResponseTimeout;
  if (!granted) engine->rate_limit.OnDenied(now + retry_after);
  this->state.metrics.Add(granted ? "rate_permits_granted_total"
                                  : "rate_permits_denied_total");
  Logger::Info("rate_permit",
               {{"engine", engine->record.id},
                {"granted", granted},
                {"answered", outcome.has_value()},
                {"issuer", issuer ? *issuer : "self"},
                {"per_second", rate.per_second},
                {"warm_up", rate.is_warm_up},
                {"stated_ms", ToMilliseconds(engine->rate_limit.Age(now))},
                {"share", outcome ? outcome->share : 0},
                {"took_ms", ToMilliseconds(now - asked_at)},
                {"retry_after_ms", ToMilliseconds(retry_after)}});
  co_return granted;
}

bool PermitExchange::IsPermitMessage(std::string_view datagram) {
  return !datagram.empty() && datagram.front() == kPermitMark;
}

void PermitExchange::OnDatagram(std::string_view datagram,
                                const std::string& sender) {
  datagram.remove_prefix(1);
  wire::PermitMessage message;
  if (!message.ParseFromArray(datagram.data(),
                              static_cast<int>(datagram.size()))) {
    this->state.metrics.Add("peer_digests_malformed_total");
    return;
  }
  if (message.has_request()) {
    this->OnRequest(message.request(), sender);
  } else if (message.has_response()) {
    this->OnResponse(message.response(), sender);
  }
}

void PermitExchange::OnPeerLost(TimePoint now, const std::string& peer) {
  this->lost_peers[peer] = now;
}

void PermitExchange::Expire(TimePoint now) {
  const Duration takeover_time = PeerTimeout(this->state.peers.size());
  std::erase_if(this->lost_peers, [&](const auto& entry) {
    return now - entry.second > takeover_time;
  });
  std::erase_if(this->silent_until,
                [now](const auto& entry) { return now >= entry.second; });
  this->permits.Expire(now);
}

std::optional<std::string> PermitExchange::FindIssuer(
    TimePoint now, std::uint64_t engine_key) const {
  std::uint64_t highest = RendezvousWeight(
      HashText(ToText(this->state.options.peer_address)), engine_key);
  std::optional<std::string> issuer;
  for (const auto& [peer, contact] : this->state.live_peers) {
    const std::uint64_t weight = RendezvousWeight(HashText(peer), engine_key);
    if (weight <= highest) continue;
    const auto silent = this->silent_until.find(peer);
    if (silent != this->silent_until.end() && now < silent->second) continue;
    highest = weight;
    issuer = peer;
  }
  return issuer;
}

IssuerView PermitExchange::ViewOf(TimePoint now,
                                  std::uint64_t engine_key) const {
  const auto comes_first = this->state.ComesBeforeThisRouter(engine_key);
  IssuerView view;
  view.live_before = this->state.RankAmongPeers(engine_key);
  view.lost_before = static_cast<std::size_t>(
      std::count_if(this->lost_peers.begin(), this->lost_peers.end(),
                    [&](const auto& peer) { return comes_first(peer.first); }));
  view.live_routers = this->state.live_peers.size() + 1;
  view.known_routers = this->state.peers.size() + 1;
  view.has_just_resumed = this->state.HasJustResumed(now);
  return view;
}

PermitExchange::Outcome PermitExchange::Issue(TimePoint now,
                                              const Engine& engine) {
  const auto rate = this->state.RateOf(engine, now);
  if (!rate) return {{true, Duration::zero()}, 1};
  Outcome outcome;
  outcome.share = IssuerShare(this->ViewOf(now, engine.key));
  outcome.decision =
      this->permits.Decide(now, engine.key, *rate, outcome.share);
  return outcome;
}

Awaitable<std::optional<PermitExchange::Outcome>> PermitExchange::Ask(
    std::shared_ptr<Engine> engine, std::string issuer) {
  const std::uint64_t id = ++this->last_id;
  wire::PermitMessage message;
  message.mutable_request()->set_id(id);
  FillRateLimit(*engine, RuntimeClock::now(),
                *message.mutable_request()->mutable_rate_limit());
  auto request = std::make_shared<PendingRequest>(this->state.executor);
  request->engine = engine;
  request->timeout.expires_after(kResponseTimeout);
  this->pending[id] = request;
  this->send(issuer, Encode(message));
  boost::system::error_code ignored;
  co_await request->timeout.async_wait(RedirectError(ignored));
  this->pending.erase(id);
  if (!request->outcome) {
    this->silent_until[issuer] = RuntimeClock::now() + kSilenceTime;
  }
  co_return request->outcome;
}

void PermitExchange::OnRequest(const wire::PermitRequest& request,
                               const std::string& sender) {
  const TimePoint now = RuntimeClock::now();
  const auto engine =
      this->state.engines.FindByShortKey(request.rate_limit().engine());
  // The sender asks another router then.
  if (engine == nullptr) return;
  ApplyRateLimit(this->state, *engine, request.rate_limit(), sender);
  wire::PermitMessage message;
  wire::PermitResponse& response = *message.mutable_response();
  response.set_id(request.id());
  const Outcome outcome = this->Issue(now, *engine);
  response.set_granted(outcome.decision.granted);
  response.set_retry_after_ms(
      static_cast<std::uint32_t>(ToMilliseconds(outcome.decision.retry_after)));
  response.set_share(static_cast<float>(outcome.share));
  FillRateLimit(*engine, now, *response.mutable_rate_limit());
  this->send(sender, Encode(message));
}

void PermitExchange::OnResponse(const wire::PermitResponse& response,
                                const std::string& sender) {
  const auto found = this->pending.find(response.id());
  if (found == this->pending.end()) return;
  PendingRequest& request = *found->second;
  if (ShortKey(request.engine->key) != response.rate_limit().engine()) return;
  ApplyRateLimit(this->state, *request.engine, response.rate_limit(), sender);
  request.outcome =
      Outcome{{response.granted(),
               std::chrono::milliseconds(response.retry_after_ms())},
              response.share()};
  request.timeout.cancel();
}

}  // namespace dandelionscale::internal
