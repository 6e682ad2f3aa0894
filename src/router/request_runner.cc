#include "router/request_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/runtime/logger.h"
#include "router/control_messages.h"

namespace dandelionscale::internal {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

}  // namespace

/// \brief State of one request across its attempts.
struct RequestRunner::RunState {
  const ClientRequest& request;
  ResponseWriter& writer;
  std::shared_ptr<CancelToken> cancel;
  std::shared_ptr<const FleetView> view;
  RequestPlan plan;
  std::string engine = {};
  bool resume = false;
  bool may_wait = false;
  /// Outcome of the current attempt; set by the frame that ends it.
  std::optional<AttemptOutcome> outcome = {};
};

RequestRunner::RequestRunner(boost::asio::any_io_executor executor,
                             const ServiceRegistry& registry,
                             const RouterOptions& options)
    : executor(std::move(executor)),
      options(options),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      peers(registry.Find<PeerDirectory>(PeerDirectory::kName)),
      owner(registry.Find<OwnerService>(OwnerService::kName)),
      random(HashText(options.name)) {}

wire::ServeRequest RequestRunner::MakeMessage(const RunState& run) const {
  const ClientRequest& request = run.request;
  wire::ServeRequest message;
  message.set_request_id(request.request_id);
  message.set_workspace(request.workspace);
  message.set_session_key(request.session_key);
  message.set_service(request.service);
  message.set_method(request.method);
  message.set_target(request.target);
  message.set_content_type(request.content_type);
  message.set_idempotency_key(request.idempotency_key);
  message.set_priority(request.priority);
  message.set_idempotent(request.idempotent);
  message.set_traceparent(request.trace.ToHeader());
  const Duration left = request.deadline - RuntimeClock::now();
  message.set_timeout_ms(static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, ToMilliseconds(left))));
  message.set_engine(run.engine);
  message.set_resume(run.resume);
  message.set_may_wait(run.may_wait);
  if (run.resume) {
    message.set_resume_offset(run.writer.Offset());
  } else {
    message.set_body(request.body);
  }
  for (EngineIndex index : run.plan.Excluded()) {
    message.add_excluded_engines(run.view->Engine(index).name);
  }
  return message;
}

Awaitable<bool> RequestRunner::OnFrame(RunState& run,
                                       const wire::ServeFrame& frame) {
  switch (frame.kind_case()) {
    case wire::ServeFrame::kRedirect: {
      auto engine = run.view->FindEngine(frame.redirect().engine());
      if (engine) {
        run.outcome = AttemptRedirected{*engine};
      } else {
        run.outcome = AttemptRefused{RefusalReason::kNoLiveEngine,
                                     RequestOutcome::kNotRun,
                                     std::nullopt,
                                     {}};
      }
      co_return false;
    }
    case wire::ServeFrame::kRefusal: {
      const wire::Refusal& refusal = frame.refusal();
      run.outcome =
          AttemptRefused{static_cast<RefusalReason>(refusal.reason()),
                         static_cast<RequestOutcome>(refusal.outcome()),
                         run.view->FindEngine(refusal.engine()),
                         std::chrono::milliseconds(refusal.retry_after_ms())};
      co_return false;
    }
    case wire::ServeFrame::kHead: {
      if (auto engine = run.view->FindEngine(frame.head().engine())) {
        run.plan.OnProgress(*engine, run.writer.Offset());
      }
      co_return co_await run.writer.OnHead(frame.head());
    }
    case wire::ServeFrame::kChunk:
      co_return co_await run.writer.OnChunk(frame.chunk());
    case wire::ServeFrame::kEnd:
      if (co_await run.writer.OnEnd(frame.end()))
        run.outcome = AttemptCompleted{};
      co_return false;
    case wire::ServeFrame::KIND_NOT_SET:
      co_return false;
  }
  co_return false;
}

Awaitable<RequestRunner::AttemptOutcome> RequestRunner::AttemptLocally(
    RunState& run, wire::ServeRequest message, bool local_share) {
  auto sink = [this, &run](const wire::ServeFrame& frame) -> Awaitable<bool> {
    return this->OnFrame(run, frame);
  };
  FrameSink frame_sink = sink;
  co_await this->owner->Serve(message, std::move(frame_sink), run.cancel,
                              local_share);
  if (run.cancel->IsCancelled() || run.writer.IsDisconnected()) {
    co_return AttemptClientDisconnected{};
  }
  if (run.outcome) co_return *run.outcome;
  co_return AttemptOwnerFailed{true};
}

Awaitable<RequestRunner::AttemptOutcome> RequestRunner::AttemptAtPeer(
    RunState& run, std::string owner, wire::ServeRequest message) {
  auto client = this->peers->RequestClient(owner);
  if (client == nullptr) co_return AttemptOwnerFailed{false};
  auto opened = co_await client->Open(
      std::string(kServePath), message.SerializeAsString(), kConnectTimeout);
  if (opened.has_error()) co_return AttemptOwnerFailed{false};
  std::shared_ptr<PeerStream> stream = opened.value();
  run.cancel->SetAction([stream] { stream->Cancel(); });
  AttemptOutcome outcome = AttemptOwnerFailed{true};
  while (true) {
    auto bytes =
        co_await stream->Read(run.request.deadline - RuntimeClock::now());
    if (run.cancel->IsCancelled()) {
      outcome = AttemptClientDisconnected{};
      break;
    }
    if (bytes.has_error() && bytes.error().kind == FaultKind::kNotSent) {
      outcome = AttemptOwnerFailed{false};
    }
    if (bytes.has_error() || bytes.value().empty()) break;
    wire::ServeFrame frame;
    if (!frame.ParseFromString(bytes.value())) break;
    if (!co_await this->OnFrame(run, frame)) {
      if (run.writer.IsDisconnected()) outcome = AttemptClientDisconnected{};
      if (run.outcome) outcome = *run.outcome;
      break;
    }
  }
  run.cancel->SetAction(nullptr);
  stream->Cancel();
  co_return outcome;
}

Awaitable<RequestRunner::AttemptOutcome> RequestRunner::Attempt(
    RunState& run, const PlanStep& step) {
  run.outcome.reset();
  const auto* owner_step = std::get_if<TryOwner>(&step);
  run.engine.clear();
  run.resume = false;
  run.may_wait = owner_step != nullptr && owner_step->may_wait;
  if (owner_step != nullptr && owner_step->engine) {
    run.engine = run.view->Engine(*owner_step->engine).name;
    run.resume = owner_step->resume;
  }
  wire::ServeRequest message = this->MakeMessage(run);
  // The step is `ServeWithinLocalShare`; the caller has handled `FailRequest`.
  if (owner_step == nullptr) {
    co_return co_await this->AttemptLocally(run, std::move(message), true);
  }
  if (owner_step->owner == this->options.name) {
    co_return co_await this->AttemptLocally(run, std::move(message), false);
  }
  co_return co_await this->AttemptAtPeer(run, owner_step->owner,
                                         std::move(message));
}

CallResult RequestRunner::MakeResult(const RunState& run,
                                     RequestOutcome outcome) const {
  CallResult result;
  result.outcome = outcome;
  result.status = run.writer.Status();
  result.content_type = run.writer.ContentType();
  result.body = run.writer.Body();
  result.engine = run.writer.Engine();
  return result;
}

Awaitable<CallResult> RequestRunner::Run(const ClientRequest& request,
                                         ResponseWriter& writer,
                                         std::shared_ptr<CancelToken> cancel) {
  auto view = this->fleet->View();
  auto service = view->FindService(request.service);
  CallResult refused;
  refused.reason = RefusalReason::kUnknownService;
  if (!service) co_return refused;
  RequestPlan::Options plan_options;
  plan_options.router = this->options.name;
  plan_options.service = *service;
  plan_options.session_key = request.session_key;
  plan_options.idempotent = request.idempotent;
  plan_options.deadline = request.deadline;
  RunState run{request, writer, std::move(cancel), view,
               RequestPlan(plan_options, view, &this->fleet->Retries())};
  if (!request.resume_engine.empty()) {
    auto engine = view->FindEngine(request.resume_engine);
    refused.reason = RefusalReason::kNoLiveEngine;
    refused.outcome = RequestOutcome::kUnknown;
    if (!engine) co_return refused;
    run.plan.OnProgress(*engine, request.resume_offset);
  }
  if (!std::holds_alternative<OwnerAdmissionPolicy>(this->options.placement) &&
      request.resume_engine.empty()) {
    co_return co_await this->RunBaseline(run);
  }
  while (true) {
    const PlanStep step = run.plan.Next(RuntimeClock::now());
    if (const auto* give_up = std::get_if<FailRequest>(&step)) {
      CallResult result = this->MakeResult(run, give_up->outcome);
      result.reason = give_up->reason;
      result.retry_after = give_up->retry_after;
      co_return result;
    }
    const AttemptOutcome outcome = co_await this->Attempt(run, step);
    if (std::holds_alternative<AttemptCompleted>(outcome)) {
      this->fleet->Retries().OnSuccess();
      this->NotifyHomeOwner(run);
      co_return this->MakeResult(run, RequestOutcome::kCompleted);
    }
    if (std::holds_alternative<AttemptClientDisconnected>(outcome)) {
      CallResult result = this->MakeResult(run, RequestOutcome::kUnknown);
      result.client_disconnected = true;
      co_return result;
    }
    const TimePoint now = RuntimeClock::now();
    if (const auto* redirected = std::get_if<AttemptRedirected>(&outcome)) {
      run.plan.OnAttempt(*redirected, now);
    } else if (const auto* refusal = std::get_if<AttemptRefused>(&outcome)) {
      run.plan.OnAttempt(*refusal, now);
    } else if (const auto* lost = std::get_if<AttemptOwnerFailed>(&outcome)) {
      run.plan.OnAttempt(*lost, now);
    }
  }
}

void RequestRunner::NotifyHomeOwner(const RunState& run) {
  const std::string& home = run.plan.Home();
  const auto engine = run.view->FindEngine(run.writer.Engine());
  if (home.empty() || !engine) return;
  const FleetEngine& served = run.view->Engine(*engine);
  const auto choice = run.plan.HomeRedirect();
  // The home owner records what its own engines served and what it chose.
  if (served.owner == home && !choice) return;
  if (choice == engine) return;
  const std::uint64_t refused = choice ? run.view->Engine(*choice).hash : 0;
  if (home == this->options.name) {
    SessionMemory& sessions = this->fleet->Owner().Sessions();
    if (refused != 0) sessions.RemoveEngine(run.request.session_key, refused);
    sessions.RecordEngine(run.request.session_key, served.hash);
    return;
  }
  auto client = this->peers->ControlClient(home);
  if (client == nullptr) return;
  wire::ControlRequest message;
  auto* placed = message.mutable_session_placed();
  placed->set_session_key(run.request.session_key);
  placed->set_engine_hash(served.hash);
  placed->set_refused_engine_hash(refused);
  boost::asio::co_spawn(
      this->executor,
      [client, bytes = message.SerializeAsString()]() -> Awaitable<void> {
        // Best effort: a lost message costs one cache miss at an engine.
        co_await client->Call(std::string(kControlPath), bytes,
                              kConnectTimeout);
      },
      boost::asio::detached);
}

Awaitable<CallResult> RequestRunner::RunBaseline(RunState& run) {
  OwnerCore& core = this->fleet->Owner();
  PlaceRequest place;
  place.service = *run.view->FindService(run.request.service);
  place.session_key = run.request.session_key;
  auto engine =
      ChooseByBaseline(this->options.placement, core, place, this->random);
  CallResult result;
  result.reason = RefusalReason::kNoLiveEngine;
  result.retry_after = std::chrono::seconds(1);
  if (!engine) co_return result;
  run.engine = run.view->Engine(*engine).name;
  wire::ServeRequest message = this->MakeMessage(run);
  const AttemptOutcome outcome =
      co_await this->AttemptLocally(run, std::move(message), true);
  if (std::holds_alternative<AttemptCompleted>(outcome)) {
    co_return this->MakeResult(run, RequestOutcome::kCompleted);
  }
  if (const auto* refusal = std::get_if<AttemptRefused>(&outcome)) {
    result.reason = refusal->reason;
    result.outcome = refusal->outcome;
    co_return result;
  }
  result = this->MakeResult(run, RequestOutcome::kUnknown);
  result.client_disconnected =
      std::holds_alternative<AttemptClientDisconnected>(outcome);
  result.reason = RefusalReason::kEngineBroke;
  co_return result;
}

}  // namespace dandelionscale::internal
