#include "dispatch/peers/origin_exchange.h"

#include "dispatch/dispatch_state.h"
#include "dispatch_peer.pb.h"
#include "transport/socket_helpers.h"

namespace dandelionscale::internal {
namespace {

// Precedes the encoded message in a datagram. A digest never begins with it.
constexpr char kOriginMark = '\x01';
// Several times the round trip between hosts of different zones.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(80);
// Keeps a datagram within one packet.
constexpr std::size_t kMaxOriginsPerDatagram = 50;

std::string Encode(const wire::StreamOriginMessage& message) {
  return kOriginMark + message.SerializeAsString();
}

}  // namespace

void OriginExchange::OnBegun(StreamOrigin origin, bool has_several) {
  this->state.stream_origins.Record(RuntimeClock::now(), origin, true);
  if (has_several) this->Report({&origin, 1});
}

void OriginExchange::OnVersionsChanged() {
  this->Report(this->state.stream_origins.Own(RuntimeClock::now()));
}

std::vector<std::string> OriginExchange::PeersFor(std::uint64_t stream_key,
                                                  std::size_t count) const {
  std::vector<std::string_view> peers;
  for (const auto& [peer, contact] : this->state.live_peers) {
    peers.push_back(peer);
  }
  return FirstPeers(stream_key, peers, count);
}

void OriginExchange::Report(std::span<const StreamOrigin> origins) {
  std::map<std::string, wire::StreamOriginMessage> messages;
  for (const StreamOrigin& origin : origins) {
    for (const std::string& peer :
         this->PeersFor(origin.stream_key, kOriginKeepers)) {
      wire::StreamOriginMessage& message = messages[peer];
      wire::StreamOriginReport& report =
          *message.mutable_records()->add_origins();
      report.set_stream(origin.stream_key);
      report.set_version(origin.version_key);
      const auto size =
          static_cast<std::size_t>(message.records().origins_size());
      if (size < kMaxOriginsPerDatagram) continue;
      this->send(peer, Encode(message));
      messages.erase(peer);
    }
  }
  for (const auto& [peer, message] : messages) {
    this->send(peer, Encode(message));
  }
  this->state.metrics.Add("stream_origins_reported_total",
                          static_cast<double>(origins.size()));
}

Awaitable<OriginAnswer> OriginExchange::Ask(std::uint64_t stream_key) {
  const std::vector<std::string> peers =
      this->PeersFor(stream_key, kAskedPeers);
  if (peers.empty()) co_return OriginAnswer();
  const std::uint64_t id = ++this->last_id;
  wire::StreamOriginMessage message;
  message.mutable_request()->set_id(id);
  message.mutable_request()->set_stream(stream_key);
  const std::string datagram = Encode(message);
  auto request = std::make_shared<PendingRequest>(this->state.executor);
  request->responses_due = peers.size();
  request->timeout.expires_after(kResponseTimeout);
  this->pending[id] = request;
  for (const std::string& peer : peers) this->send(peer, datagram);
  boost::system::error_code ignored;
  co_await request->timeout.async_wait(RedirectError(ignored));
  this->pending.erase(id);
  co_return request->answer;
}

bool OriginExchange::IsOriginMessage(std::string_view datagram) {
  return !datagram.empty() && datagram.front() == kOriginMark;
}

void OriginExchange::OnDatagram(std::string_view datagram,
                                const std::string& sender) {
  datagram.remove_prefix(1);
  wire::StreamOriginMessage message;
  if (!message.ParseFromArray(datagram.data(),
                              static_cast<int>(datagram.size()))) {
    this->state.metrics.Add("peer_digests_malformed_total");
  } else if (message.has_records()) {
    this->OnRecords(message.records());
  } else if (message.has_request()) {
    this->OnRequest(message.request(), sender);
  } else if (message.has_response()) {
    this->OnResponse(message.response());
  }
}

void OriginExchange::OnRecords(const wire::StreamOriginRecords& records) {
  const TimePoint now = RuntimeClock::now();
  for (const wire::StreamOriginReport& report : records.origins()) {
    this->state.stream_origins.Record(now, {report.stream(), report.version()},
                                      false);
  }
}

void OriginExchange::OnRequest(const wire::StreamOriginRequest& request,
                               const std::string& sender) {
  wire::StreamOriginMessage message;
  wire::StreamOriginResponse& response = *message.mutable_response();
  response.set_id(request.id());
  const auto version_key =
      this->state.stream_origins.Find(RuntimeClock::now(), request.stream());
  if (version_key) response.set_version(*version_key);
  this->send(sender, Encode(message));
}

void OriginExchange::OnResponse(const wire::StreamOriginResponse& response) {
  const auto found = this->pending.find(response.id());
  if (found == this->pending.end()) return;
  PendingRequest& request = *found->second;
  request.answer.any_answered = true;
  if (response.has_version()) request.answer.version_key = response.version();
  if (request.responses_due > 0) --request.responses_due;
  if (request.answer.version_key || request.responses_due == 0) {
    request.timeout.cancel();
  }
}

}  // namespace dandelionscale::internal
