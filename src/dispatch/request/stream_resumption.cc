// RequestDispatch: streams that go on after a first event. What engines of two
// software versions write does not fit together.
#include <fmt/format.h>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/peers/origin_exchange.h"
#include "dispatch/request/request_dispatch.h"
#include "dispatch/store/version_reader.h"

namespace dandelionscale::internal {

namespace {

// Where the version of a stream is known from.
enum class OriginSource { kOwnRecord, kOnlyVersion, kPeer, kStore, kNone };

std::string_view ToString(OriginSource source) {
  switch (source) {
    case OriginSource::kOwnRecord:
      return "own_record";
    case OriginSource::kOnlyVersion:
      return "only_version";
    case OriginSource::kPeer:
      return "peer";
    case OriginSource::kStore:
      return "store";
    case OriginSource::kNone:
      return "none";
  }
  return "none";
}

constexpr Duration kMaxHistoryWait = std::chrono::milliseconds(200);
constexpr Duration kHistoryPollInterval = std::chrono::milliseconds(15);
constexpr std::string_view kRefusalText =
    "The stream cannot be resumed: no engine of the software version that "
    "began "
    "it is known. Send the request again without the id of the last event.\n";

}  // namespace

struct RequestDispatch::Origin {
  OriginSource source = OriginSource::kNone;
  std::uint64_t version_key = 0;
};

Awaitable<bool> RequestDispatch::ResolveOrigin() {
  const bool is_stream = this->route->kind == RouteKind::kStreaming;
  if (!is_stream || !this->IsResumption()) co_return true;
  const TimePoint asked_at = RuntimeClock::now();
  const std::uint64_t stream_key =
      this->decoded.resumed_request_id.empty()
          ? 0
          : StreamKey(this->workspace, this->decoded.resumed_request_id);
  const Origin origin = co_await this->FindOrigin(stream_key);
  if (this->interruption == Interruption::kClientGone) {
    this->LogOutcome("client_gone", 0, "resumption");
    co_return false;
  }
  const bool is_known = origin.source != OriginSource::kNone;
  const TimePoint now = RuntimeClock::now();
  const auto view_age = this->state.watcher_election.ViewAge(now);
  this->state.metrics.Add(fmt::format(
      "stream_resumptions_total{{source=\"{}\"}}", ToString(origin.source)));
  Logger::Info(
      "stream_resumption",
      {{"request", this->decoded.id},
       {"resumes", std::string_view(this->decoded.resumed_request_id)
                       .substr(0, kMaxLoggedIdBytes)},
       {"source", ToString(origin.source)},
       {"software_version", fmt::format("{:x}", origin.version_key)},
       {"view_age_ms", view_age ? ToMilliseconds(*view_age) : std::int64_t{-1}},
       {"took_ms", ToMilliseconds(now - asked_at)},
       {"outcome", is_known ? "goes_on" : "refused"}});
  if (!is_known) {
    co_await this->RefuseResumption("unknown_origin");
    co_return false;
  }
  this->required_version = origin.version_key;
  co_return true;
}

Awaitable<RequestDispatch::Origin> RequestDispatch::FindOrigin(
    std::uint64_t stream_key) {
  Origin origin;
  // A router that has just started reads what is kept in the store.
  const TimePoint until = this->arrived_at + kMaxHistoryWait;
  while (!this->state.software_versions.IsHistoryKnown() &&
         RuntimeClock::now() < until) {
    const Duration pause = kHistoryPollInterval;
    co_await SleepFor(pause);
  }
  const TimePoint now = RuntimeClock::now();
  const bool has_key = stream_key != 0;
  if (const auto known = this->state.stream_origins.Find(now, stream_key);
      has_key && known) {
    origin = {OriginSource::kOwnRecord, *known};
    co_return origin;
  }
  // This router may not have heard yet of a version at which streams begin; the
  // peers that keep the stream's origin have, and are asked now.
  OriginAnswer answer;
  if (has_key) answer = co_await this->state.origins->Ask(stream_key);
  if (answer.version_key) {
    origin = {OriginSource::kPeer, *answer.version_key};
    co_return origin;
  }
  const bool is_alone = this->state.peers.empty();
  const bool may_guess = (!has_key || is_alone || answer.any_answered) &&
                         this->state.IsViewCurrent(now);
  if (may_guess) origin = this->FindOnlyVersion();
  if (origin.source != OriginSource::kNone) co_return origin;
  const bool is_complete = co_await this->state.version_reader->Read();
  const auto stored =
      this->state.stream_origins.Find(RuntimeClock::now(), stream_key);
  if (has_key && stored) {
    origin = {OriginSource::kStore, *stored};
  } else if (is_complete) {
    origin = this->FindOnlyVersion();
  }
  co_return origin;
}

RequestDispatch::Origin RequestDispatch::FindOnlyVersion() const {
  const auto only = this->state.software_versions.OnlyVersion(
      RuntimeClock::now(), this->service);
  if (!only) return Origin();
  return {OriginSource::kOnlyVersion, VersionKey(this->service, *only)};
}

Awaitable<void> RequestDispatch::RefuseResumption(std::string_view reason) {
  HttpHeaders headers = this->state.codec->EncodeErrorHeaders(this->decoded.id);
  headers.Add("Content-Type", "text/plain");
  co_await this->client.SendResponse(http_status::kServiceUnavailable,
                                     std::move(headers), kRefusalText);
  this->LogOutcome("refused", http_status::kServiceUnavailable, reason);
}

void RequestDispatch::OnStreamBegun() {
  const std::uint64_t version_key = this->exchange->ServingEngine().version_key;
  this->required_version = version_key;
  if (version_key == 0) return;
  const bool is_named =
      this->IsResumption() && !this->decoded.resumed_request_id.empty();
  const std::string& first_request =
      is_named ? this->decoded.resumed_request_id : this->decoded.id;
  this->state.origins->OnBegun(
      {StreamKey(this->workspace, first_request), version_key},
      this->state.software_versions.HasSeveral(RuntimeClock::now(),
                                               this->service));
}

}  // namespace dandelionscale::internal
