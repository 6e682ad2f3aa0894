#include "router/owner_service.h"

#include <fmt/format.h>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_fields.h"

namespace dandelionscale::internal {
namespace {

// `Retry-After` of refusals whose cause is temporary.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr int kMaxResumeAttempts = 3;
constexpr Duration kResumeDelay = std::chrono::milliseconds(50);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusUnavailable = 503;

}  // namespace

/// \brief One request while it is being served.
struct OwnerService::Job {
  const wire::ServeRequest& request;
  FrameSink sink;
  std::shared_ptr<CancelToken> cancel;
  TimePoint deadline;
  std::uint64_t workspace_hash = 0;
  std::uint32_t workspace_weight = 1;
  std::string engine = {};
  Endpoint endpoint = {};
  PlacementReason reason = PlacementReason::kHashed;
  TraceContext trace = {};
  TraceContext engine_trace = {};
  bool sink_closed = false;

  Duration TimeLeft() const { return this->deadline - RuntimeClock::now(); }
};

OwnerService::OwnerService(boost::asio::any_io_executor executor,
                           const ServiceRegistry& registry,
                           const RouterOptions& options)
    : executor(executor),
      options(options),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      metrics(registry.Find<Metrics>("metrics")),
      traces(registry.Find<TraceStore>("traces")),
      http(executor, nullptr) {}

PlaceDecision OwnerService::TryPlace(const Job& job, bool local_share) {
  const wire::ServeRequest& request = job.request;
  auto view = this->fleet->View();
  auto service = view->FindService(request.service());
  if (!service) return PlaceRefuse{RefusalReason::kUnknownService};
  std::vector<EngineIndex> excluded;
  for (const std::string& name : request.excluded_engines()) {
    if (auto index = view->FindEngine(name)) excluded.push_back(*index);
  }
  PlaceRequest place;
  place.service = *service;
  place.session_key = request.session_key();
  place.workspace_hash = job.workspace_hash;
  place.workspace_weight = job.workspace_weight;
  place.excluded = excluded;
  place.resume = request.resume();
  if (!request.engine().empty()) {
    place.engine = view->FindEngine(request.engine());
    if (!place.engine) return PlaceRefuse{RefusalReason::kNoLiveEngine};
  }
  OwnerCore& core = this->fleet->Owner();
  if (!local_share) return core.Place(place);
  if (!place.engine) return core.PlaceLocalShare(place);
  // The baseline policy of the entry router has chosen the engine.
  core.CountAdmission(*place.engine, place.workspace_hash);
  return PlaceAdmit{*place.engine, PlacementReason::kBaseline};
}

Awaitable<PlaceDecision> OwnerService::Place(Job& job, bool local_share) {
  FairQueue& wait_queue = this->fleet->WaitQueue();
  const std::uint32_t priority = job.request.priority();
  if (wait_queue.Size() == 0 || !job.request.engine().empty()) {
    PlaceDecision decision = this->TryPlace(job, local_share);
    if (!std::holds_alternative<PlaceWait>(decision)) co_return decision;
  }
  this->fleet->LoadPressure().NotifyAll();
  if (!job.request.may_wait() && !local_share) co_return PlaceWait{};
  const TimePoint wait_until =
      std::min(job.deadline, RuntimeClock::now() + this->options.max_slot_wait);
  const FairQueue::Ticket ticket =
      wait_queue.Add(job.workspace_hash, job.workspace_weight, priority);
  PlaceDecision decision = PlaceWait{};
  while (RuntimeClock::now() < wait_until && !job.cancel->IsCancelled()) {
    if (wait_queue.IsFirst(ticket)) {
      decision = this->TryPlace(job, local_share);
      if (!std::holds_alternative<PlaceWait>(decision)) break;
      this->fleet->LoadPressure().NotifyAll();
    }
    co_await this->fleet->SlotsChanged().WaitFor(wait_until -
                                                 RuntimeClock::now());
  }
  wait_queue.Remove(ticket);
  this->fleet->SlotsChanged().NotifyAll();
  co_return decision;
}

Awaitable<void> OwnerService::SendRefusal(Job& job, RefusalReason reason,
                                          RequestOutcome outcome,
                                          Duration retry_after) {
  Logger::Info("request_refused_at_owner",
               {{"request_id", job.request.request_id()},
                {"trace_id", job.trace.trace_id},
                {"reason", ToString(reason)},
                {"outcome", ToString(outcome)},
                {"engine", job.engine}});
  wire::ServeFrame frame;
  wire::Refusal* refusal = frame.mutable_refusal();
  refusal->set_reason(static_cast<std::uint32_t>(reason));
  refusal->set_outcome(static_cast<wire::Outcome>(outcome));
  refusal->set_retry_after_ms(
      static_cast<std::uint32_t>(ToMilliseconds(retry_after)));
  refusal->set_engine(job.engine);
  co_await job.sink(frame);
}

Awaitable<void> OwnerService::Serve(const wire::ServeRequest& request,
                                    FrameSink sink,
                                    std::shared_ptr<CancelToken> cancel,
                                    bool local_share) {
  const std::int64_t started = UnixNanoseconds();
  auto parent = TraceContext::Parse(request.traceparent());
  Job job{.request = request,
          .sink = std::move(sink),
          .cancel = std::move(cancel),
          .deadline = RuntimeClock::now() +
                      std::chrono::milliseconds(request.timeout_ms())};
  job.trace = parent ? parent->Child() : TraceContext::NewRoot();
  job.engine_trace = job.trace.Child();
  job.workspace_hash = HashText(request.workspace());
  const WorkspaceConfig* workspace =
      this->fleet->Config().FindWorkspace(request.workspace());
  if (workspace != nullptr) job.workspace_weight = workspace->weight;

  ++this->in_flight;
  PlaceDecision decision = co_await this->Place(job, local_share);
  std::string result = "served";
  if (const auto* admit = std::get_if<PlaceAdmit>(&decision)) {
    const FleetEngine& engine = this->fleet->View()->Engine(admit->engine);
    job.engine = engine.name;
    job.reason = admit->reason;
    job.endpoint = ParseEndpoint(engine.address).value();
    this->metrics->Add(fmt::format(
        "dandelion_placements_total{{reason=\"{}\"}}", ToString(job.reason)));
    const std::int64_t engine_started = UnixNanoseconds();
    co_await this->RunOnEngine(job);
    this->traces->Add({"engine",
                       job.engine_trace,
                       job.trace.span_id,
                       request.request_id(),
                       engine_started,
                       UnixNanoseconds(),
                       {{"engine", job.engine}}});
    if (auto index = this->fleet->View()->FindEngine(job.engine)) {
      this->fleet->Owner().Finish(*index, job.workspace_hash);
    }
    this->fleet->SlotsChanged().NotifyAll();
  } else if (const auto* redirect = std::get_if<PlaceRedirect>(&decision)) {
    result = "redirected";
    wire::ServeFrame frame;
    const FleetEngine& engine = this->fleet->View()->Engine(redirect->engine);
    job.engine = engine.name;
    job.reason = redirect->reason;
    frame.mutable_redirect()->set_engine(engine.name);
    frame.mutable_redirect()->set_reason(
        static_cast<std::uint32_t>(redirect->reason));
    co_await job.sink(frame);
  } else {
    result = "refused";
    const auto* refuse = std::get_if<PlaceRefuse>(&decision);
    job.engine = request.engine();
    co_await this->SendRefusal(
        job, refuse ? refuse->reason : RefusalReason::kAtLoadBound,
        RequestOutcome::kNotRun, kRetryAfter);
  }
  this->traces->Add({"owner",
                     job.trace,
                     parent ? parent->span_id : "",
                     request.request_id(),
                     started,
                     UnixNanoseconds(),
                     {{"router", this->options.name},
                      {"result", result},
                      {"engine", job.engine},
                      {"placement", std::string(ToString(job.reason))}}});
  --this->in_flight;
}

void OwnerService::MarkEngineDown(const std::string& engine) {
  auto index = this->fleet->View()->FindEngine(engine);
  if (!index || this->fleet->Owner().IsDown(*index)) return;
  Logger::Warning("engine_down", {{"engine", engine}});
  this->fleet->Owner().OnEngineDown(*index);
}

Awaitable<Result<std::shared_ptr<HttpStream>>> OwnerService::OpenOnEngine(
    Job& job) {
  const wire::ServeRequest& request = job.request;
  HttpRequest message;
  message.method = request.method();
  message.target = request.target();
  message.headers.Add("X-Request-Id", request.request_id());
  message.headers.Add("X-Workspace", request.workspace());
  message.headers.Add("X-Session-Key",
                      fmt::format("{:016x}", request.session_key()));
  message.headers.Add("X-Priority", std::to_string(request.priority()));
  message.headers.Add("traceparent", job.engine_trace.ToHeader());
  if (!request.content_type().empty()) {
    message.headers.Add("Content-Type", request.content_type());
  }
  if (!request.idempotency_key().empty()) {
    message.headers.Add("Idempotency-Key", request.idempotency_key());
  }
  message.body = request.body();
  const ConnectionUse use =
      request.idempotent() ? ConnectionUse::kReuse : ConnectionUse::kFresh;
  co_return co_await this->http.Open(job.endpoint, std::move(message), use,
                                     job.TimeLeft());
}

Awaitable<Result<std::shared_ptr<HttpStream>>> OwnerService::ResumeOnEngine(
    Job& job, std::uint64_t offset) {
  HttpRequest message;
  message.method = "GET";
  message.target =
      fmt::format("/v1/streams/{}?offset={}", job.request.request_id(), offset);
  message.headers.Add("X-Workspace", job.request.workspace());
  message.headers.Add("traceparent", job.engine_trace.ToHeader());
  co_return co_await this->http.Open(job.endpoint, std::move(message),
                                     ConnectionUse::kReuse, job.TimeLeft());
}

Awaitable<void> OwnerService::SendHead(Job& job, const HttpStream& http) {
  wire::ServeFrame frame;
  wire::Head* head = frame.mutable_head();
  head->set_engine(job.engine);
  head->set_status(http.Status());
  head->set_content_type(std::string(http.Headers().Find("Content-Type")));
  head->set_placement_reason(static_cast<std::uint32_t>(job.reason));
  job.sink_closed = !co_await job.sink(frame);
}

Awaitable<void> OwnerService::RunOnEngine(Job& job) {
  const bool resume = job.request.resume();
  Result<std::shared_ptr<HttpStream>> opened = Fault{FaultKind::kCancelled, ""};
  if (resume) {
    opened = co_await this->ResumeOnEngine(job, job.request.resume_offset());
  } else {
    opened = co_await this->OpenOnEngine(job);
  }
  if (opened.has_error()) {
    const bool unsent = opened.error().kind == FaultKind::kConnectFailed;
    if (unsent) this->MarkEngineDown(job.engine);
    co_await this->SendRefusal(
        job,
        unsent ? RefusalReason::kEngineUnreachable
               : RefusalReason::kEngineBroke,
        unsent && !resume ? RequestOutcome::kNotRun : RequestOutcome::kUnknown,
        kRetryAfter);
    co_return;
  }
  std::shared_ptr<HttpStream> http = opened.value();
  if (job.cancel->IsCancelled()) {
    http->Cancel();
    co_return;
  }
  job.cancel->SetAction([http] { http->Cancel(); });
  const bool overloaded = http->Status() == kStatusTooManyRequests ||
                          http->Status() == kStatusUnavailable;
  if (overloaded && http->Headers().Find("X-Outcome") == "not_run") {
    co_await this->SendRefusal(job, RefusalReason::kEngineRefused,
                               RequestOutcome::kNotRun, kRetryAfter);
  } else if (resume && http->Status() == kStatusNotFound) {
    co_await this->SendRefusal(job, RefusalReason::kEngineBroke,
                               RequestOutcome::kUnknown, Duration{});
  } else if (http->Status() == kStatusOk &&
             IsEventStreamType(http->Headers().Find("Content-Type"))) {
    co_await this->RelayEventStream(job, http);
  } else {
    co_await this->RelayBody(job, http);
  }
  job.cancel->SetAction(nullptr);
}

Awaitable<void> OwnerService::RelayEventStream(
    Job& job, std::shared_ptr<HttpStream> http) {
  co_await this->SendHead(job, *http);
  auto stream = std::make_shared<EngineStream>(http, job.request.request_id(),
                                               job.request.resume_offset());
  int attempts_left = kMaxResumeAttempts;
  while (!job.sink_closed) {
    auto event = co_await stream->Next(job.TimeLeft());
    if (job.cancel->IsCancelled()) break;
    if (event.has_error()) {
      const std::uint64_t offset = stream->Offset();
      Logger::Warning("engine_stream_broke",
                      {{"request_id", job.request.request_id()},
                       {"trace_id", job.trace.trace_id},
                       {"engine", job.engine},
                       {"fault", ToString(event.error().kind)},
                       {"detail", event.error().detail},
                       {"offset", static_cast<std::int64_t>(offset)}});
      stream->Cancel();
      std::shared_ptr<HttpStream> resumed;
      while (resumed == nullptr && attempts_left-- > 0 &&
             job.TimeLeft() > kResumeDelay) {
        co_await SleepFor(kResumeDelay);
        auto again = co_await this->ResumeOnEngine(job, offset);
        if (again.has_value() && again.value()->Status() == kStatusOk) {
          resumed = again.value();
        }
      }
      if (resumed == nullptr) {
        co_await this->SendRefusal(job, RefusalReason::kEngineBroke,
                                   RequestOutcome::kUnknown, kRetryAfter);
        co_return;
      }
      job.cancel->SetAction([resumed] { resumed->Cancel(); });
      stream = std::make_shared<EngineStream>(resumed, job.request.request_id(),
                                              offset);
      continue;
    }
    wire::ServeFrame frame;
    if (auto* chunk = std::get_if<ResponseChunk>(&event.value())) {
      frame.mutable_chunk()->set_request_id(job.request.request_id());
      frame.mutable_chunk()->set_offset(chunk->offset);
      frame.mutable_chunk()->set_data(std::move(chunk->content));
      job.sink_closed = !co_await job.sink(frame);
      continue;
    }
    frame.mutable_end()->set_length(stream->Offset());
    co_await job.sink(frame);
    co_return;
  }
  stream->Cancel();
}

Awaitable<void> OwnerService::RelayBody(Job& job,
                                        std::shared_ptr<HttpStream> http) {
  std::string body;
  while (true) {
    auto fragment = co_await http->Read(job.TimeLeft());
    if (fragment.has_error()) {
      co_await this->SendRefusal(job, RefusalReason::kEngineBroke,
                                 RequestOutcome::kUnknown, Duration{});
      co_return;
    }
    if (fragment.value().empty()) break;
    body += fragment.value();
  }
  co_await this->SendHead(job, *http);
  wire::ServeFrame chunk;
  chunk.mutable_chunk()->set_request_id(job.request.request_id());
  chunk.mutable_chunk()->set_data(body);
  co_await job.sink(chunk);
  wire::ServeFrame end;
  end.mutable_end()->set_length(body.size());
  co_await job.sink(end);
}

}  // namespace dandelionscale::internal
