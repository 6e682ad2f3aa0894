#include "router/entry_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::size_t kRequestIdBytes = 16;
constexpr std::size_t kMaxNameLength = 128;
constexpr std::uint32_t kLowestPriority = 9;
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == ':' || c == '-';
}

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::optional<std::int64_t> ParseNumber(std::string_view text,
                                        std::int64_t min_value,
                                        std::int64_t max_value) {
  std::int64_t number = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  if (number < min_value || number > max_value) return std::nullopt;
  return number;
}

Problem Malformed(std::string detail) {
  Problem problem;
  problem.reason = RefusalReason::kMalformedRequest;
  problem.detail = std::move(detail);
  return problem;
}

/// \brief Parses `ENGINE/REQUEST/OFFSET`, the id of an event of a response.
bool ParseEventId(std::string_view id, ClientRequest& request) {
  auto first = id.find('/');
  auto last = id.rfind('/');
  if (first == std::string_view::npos || first == last) return false;
  auto offset = ParseNumber(id.substr(last + 1), 0, std::int64_t{1} << 40);
  std::string_view request_id = id.substr(first + 1, last - first - 1);
  if (!offset || !IsValidName(request_id)) return false;
  request.resume_engine = id.substr(0, first);
  request.request_id = request_id;
  request.resume_offset = static_cast<std::uint64_t>(*offset);
  return true;
}

}  // namespace

EntryService::EntryService(boost::asio::any_io_executor executor,
                           const ServiceRegistry& registry,
                           const RouterOptions& options)
    : executor(executor),
      options(options),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      runner(registry.Find<RequestRunner>(RequestRunner::kName)),
      claims(registry.Find<ClaimService>(ClaimService::kName)),
      metrics(registry.Find<Metrics>("metrics")),
      traces(registry.Find<TraceStore>("traces")),
      idle(executor) {}

Awaitable<void> EntryService::WaitUntilIdle() {
  while (this->in_flight > 0) co_await this->idle.Wait();
}

std::optional<Problem> EntryService::ParseCommon(const HttpExchange& exchange,
                                                 ClientRequest& request) {
  const HttpHeaders& headers = exchange.Request().headers;
  request.request_id = RandomHex(kRequestIdBytes);
  request.started = RuntimeClock::now();
  auto parent = TraceContext::Parse(headers.Find("traceparent"));
  request.trace = parent ? parent->Child() : TraceContext::NewRoot();
  if (parent) request.parent_span_id = parent->span_id;
  request.method = exchange.Request().method;
  request.content_type = headers.Find("Content-Type");
  request.body = exchange.Request().body;
  request.workspace = headers.Find("X-Workspace");

  Duration timeout = this->options.request_timeout;
  if (auto text = headers.Find("X-Request-Timeout-Ms"); !text.empty()) {
    auto milliseconds = ParseNumber(text, 1, kMaxTimeoutMs);
    if (!milliseconds) return Malformed("X-Request-Timeout-Ms is not valid");
    timeout = std::chrono::milliseconds(*milliseconds);
  }
  request.deadline = request.started + timeout;
  if (!this->fleet->IsConfigured()) {
    Problem problem;
    problem.reason = RefusalReason::kNotReady;
    problem.retry_after = std::chrono::seconds(1);
    return problem;
  }
  const WorkspaceConfig* workspace =
      this->fleet->Config().FindWorkspace(request.workspace);
  if (workspace == nullptr) {
    Problem problem;
    problem.reason = RefusalReason::kUnknownWorkspace;
    problem.detail = "X-Workspace names no workspace";
    return problem;
  }
  request.priority = workspace->priority;
  if (auto text = headers.Find("X-Priority"); !text.empty()) {
    auto priority = ParseNumber(text, 0, kLowestPriority);
    if (!priority) return Malformed("X-Priority is not from 0 to 9");
    // A client may lower its priority, never raise it.
    request.priority =
        std::max(request.priority, static_cast<std::uint32_t>(*priority));
  }
  std::string session(headers.Find("X-Session-Id"));
  if (session.empty()) session = request.request_id;
  if (!IsValidName(session)) return Malformed("X-Session-Id is not valid");
  request.session_key = HashText(request.workspace + "/" + session);
  return std::nullopt;
}

std::optional<Problem> EntryService::CheckService(const ClientRequest& request,
                                                  ServiceKind kind) const {
  const ServiceConfig* service =
      this->fleet->Config().FindService(request.service);
  if (service != nullptr && service->kind == kind) return std::nullopt;
  Problem problem;
  problem.reason = RefusalReason::kUnknownService;
  problem.detail = "no such service: " + request.service;
  return problem;
}

std::optional<Problem> EntryService::ParseChat(const HttpExchange& exchange,
                                               ClientRequest& request,
                                               ResponseFormat& format) {
  if (request.method != "POST") return Malformed("method must be POST");
  json::error_code error;
  json::value body = json::parse(request.body, error);
  if (error || !body.is_object()) return Malformed("body is not JSON");
  const json::object& object = body.get_object();
  const json::value* model = object.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Malformed("model must name a service");
  }
  request.service = std::string(model->get_string());
  if (const json::value* stream = object.if_contains("stream")) {
    if (!stream->is_bool()) return Malformed("stream must be true or false");
    format = stream->get_bool() ? ResponseFormat::kEvents
                                : ResponseFormat::kCompletion;
  }
  const auto last_event = exchange.Request().headers.Find("Last-Event-ID");
  if (!last_event.empty()) {
    if (!ParseEventId(last_event, request)) {
      return Malformed("Last-Event-ID is not valid");
    }
    format = ResponseFormat::kEvents;
  }
  const json::value* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return Malformed("messages must be an array");
  }
  return this->CheckService(request, ServiceKind::kChat);
}

std::optional<Problem> EntryService::ParsePlain(const HttpExchange& exchange,
                                                ClientRequest& request) {
  std::string_view rest = exchange.Request().target;
  rest.remove_prefix(kServicesPrefix.size());
  auto slash = rest.find('/');
  request.service = rest.substr(0, slash);
  request.target =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  request.idempotency_key = exchange.Request().headers.Find("Idempotency-Key");
  if (!request.idempotency_key.empty() &&
      !IsValidName(request.idempotency_key)) {
    return Malformed("Idempotency-Key is not valid");
  }
  request.idempotent = request.method == "GET" || request.method == "HEAD";
  return this->CheckService(request, ServiceKind::kPlain);
}

Problem EntryService::MakeProblem(const ClientRequest& request,
                                  const CallResult& result) const {
  Problem problem;
  problem.reason = result.reason;
  problem.outcome = result.outcome;
  problem.retry_after = result.retry_after;
  problem.request_id = request.request_id;
  return problem;
}

void EntryService::RecordResult(const ClientRequest& request,
                                const CallResult& result,
                                std::int64_t started_unix_ns) {
  const std::string_view outcome =
      result.client_disconnected ? "client_gone" : ToString(result.outcome);
  this->metrics->Add(
      fmt::format("dandelion_requests_total{{outcome=\"{}\",reason=\"{}\"}}",
                  outcome, ToString(result.reason)));
  this->traces->Add({"entry",
                     request.trace,
                     request.parent_span_id,
                     request.request_id,
                     started_unix_ns,
                     UnixNanoseconds(),
                     {{"router", this->options.name},
                      {"workspace", request.workspace},
                      {"service", request.service},
                      {"outcome", std::string(outcome)},
                      {"reason", std::string(ToString(result.reason))},
                      {"engine", result.engine}}});
  Logger::Info(
      "request_finished",
      {{"request_id", request.request_id},
       {"trace_id", request.trace.trace_id},
       {"workspace", request.workspace},
       {"service", request.service},
       {"outcome", outcome},
       {"reason", ToString(result.reason)},
       {"engine", result.engine},
       {"duration_ms", ToMilliseconds(RuntimeClock::now() - request.started)}});
}

Awaitable<void> EntryService::Handle(HttpExchange& exchange) {
  ++this->in_flight;
  const std::int64_t started = UnixNanoseconds();
  ClientRequest request;
  const std::string_view path = PathOf(exchange.Request().target);
  std::optional<Problem> problem;
  if (path != kChatPath && !path.starts_with(kServicesPrefix)) {
    problem.emplace();
    problem->reason = RefusalReason::kUnknownService;
    problem->detail = "no such path";
  } else {
    problem = this->ParseCommon(exchange, request);
  }
  if (problem) {
    problem->request_id = request.request_id;
    CallResult refused;
    refused.reason = problem->reason;
    co_await exchange.Respond(ProblemResponse(*problem));
    this->RecordResult(request, refused, started);
  } else if (path == kChatPath) {
    co_await this->HandleChat(exchange, request);
  } else {
    co_await this->HandlePlain(exchange, request);
  }
  --this->in_flight;
  if (this->in_flight == 0) this->idle.NotifyAll();
}

Awaitable<void> EntryService::HandleChat(HttpExchange& exchange,
                                         ClientRequest& request) {
  const std::int64_t started = UnixNanoseconds();
  ResponseFormat format = ResponseFormat::kCompletion;
  request.target = kChatPath;
  CallResult result;
  if (auto problem = this->ParseChat(exchange, request, format)) {
    problem->request_id = request.request_id;
    result.reason = problem->reason;
    co_await exchange.Respond(ProblemResponse(*problem));
    this->RecordResult(request, result, started);
    co_return;
  }
  ResponseWriter writer(exchange, format, request.request_id, *this->metrics,
                        request.started);
  writer.ResumeAt(request.resume_offset);
  auto cancel = std::make_shared<CancelToken>();
  exchange.WatchDisconnect([cancel] { cancel->Cancel(); });
  result = co_await this->runner->Run(request, writer, cancel);
  if (result.outcome != RequestOutcome::kCompleted &&
      !result.client_disconnected) {
    co_await writer.Fail(this->MakeProblem(request, result));
  }
  if (result.client_disconnected) exchange.Abort();
  this->RecordResult(request, result, started);
}

Awaitable<CallResult> EntryService::RunPlain(
    HttpExchange& exchange, ClientRequest& request,
    std::shared_ptr<CancelToken> cancel) {
  ResponseWriter writer(exchange, ResponseFormat::kVerbatim, request.request_id,
                        *this->metrics, request.started);
  co_return co_await this->runner->Run(request, writer, std::move(cancel));
}

Awaitable<CallResult> EntryService::LookUpStatus(HttpExchange& exchange,
                                                 const ClientRequest& request) {
  ClientRequest look_up = request;
  look_up.method = "GET";
  look_up.target = fmt::format("/v1/status?workspace={}&key={}",
                               request.workspace, request.idempotency_key);
  look_up.body.clear();
  look_up.idempotent = true;
  look_up.idempotency_key.clear();
  look_up.session_key = HashText(RandomHex(kRequestIdBytes));
  look_up.deadline = RuntimeClock::now() + std::chrono::seconds(2);
  CallResult response = co_await this->RunPlain(
      exchange, look_up, std::make_shared<CancelToken>());
  CallResult result;
  result.outcome = RequestOutcome::kUnknown;
  result.reason = RefusalReason::kClaimUnresolved;
  if (response.outcome != RequestOutcome::kCompleted ||
      response.status != 200) {
    co_return result;
  }
  try {
    json::value found = json::parse(response.body);
    result.status = found.at("status").to_number<unsigned>();
    result.content_type = json::value_to<std::string>(found.at("content_type"));
    result.body = json::value_to<std::string>(found.at("body"));
    result.outcome = RequestOutcome::kCompleted;
    result.reason = RefusalReason::kNone;
    result.replayed = true;
  } catch (const std::exception&) {
    Logger::Warning("status_answer_malformed",
                    {{"request_id", request.request_id}});
  }
  co_return result;
}

Awaitable<void> EntryService::HandlePlain(HttpExchange& exchange,
                                          ClientRequest& request) {
  const std::int64_t started = UnixNanoseconds();
  CallResult result;
  if (auto problem = this->ParsePlain(exchange, request)) {
    problem->request_id = request.request_id;
    result.reason = problem->reason;
    co_await exchange.Respond(ProblemResponse(*problem));
    this->RecordResult(request, result, started);
    co_return;
  }
  // A call that may have side effects is completed even if the client
  // disconnects.
  auto cancel = std::make_shared<CancelToken>();
  if (request.idempotent) {
    exchange.WatchDisconnect([cancel] { cancel->Cancel(); });
  }
  if (request.idempotent || request.idempotency_key.empty()) {
    result = co_await this->RunPlain(exchange, request, cancel);
  } else {
    ClaimedCall call;
    call.workspace = request.workspace;
    call.service = request.service;
    call.key = request.idempotency_key;
    call.body_hash =
        HashText(request.method + " " + request.target + "\n" + request.body);
    call.status_lookup =
        this->fleet->Config().FindService(request.service)->status_lookup;
    call.run = [&]() { return this->RunPlain(exchange, request, cancel); };
    call.look_up = [&]() { return this->LookUpStatus(exchange, request); };
    result = co_await this->claims->Execute(std::move(call));
  }
  if (result.outcome == RequestOutcome::kCompleted) {
    HttpResponse response;
    response.status = result.status;
    response.headers.Add("Content-Type", result.content_type);
    response.headers.Add("X-Request-Id", request.request_id);
    if (!result.engine.empty()) response.headers.Add("X-Engine", result.engine);
    if (result.replayed) response.headers.Add("Idempotency-Replayed", "true");
    response.body = result.body;
    co_await exchange.Respond(std::move(response));
  } else if (!result.client_disconnected) {
    co_await exchange.Respond(
        ProblemResponse(this->MakeProblem(request, result)));
  } else {
    exchange.Abort();
  }
  this->RecordResult(request, result, started);
}

}  // namespace dandelionscale::internal
