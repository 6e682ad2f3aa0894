#include "router/admin_service.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

namespace dandelionscale::internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kExplainPrefix = "/v1/explain/";

HttpResponse JsonResponse(unsigned status, const json::value& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

HttpResponse ErrorResponse(unsigned status, std::string_view type,
                           json::object details = {}) {
  details["type"] = "urn:dandelionscale:problem:" + std::string(type);
  details["status"] = status;
  HttpResponse response = JsonResponse(status, std::move(details));
  response.headers = {{"Content-Type", "application/problem+json"}};
  return response;
}

/// \brief Compares two texts in time that depends only on their lengths, so
/// that the token can't be guessed by timing.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

struct ToHttpResponse {
  HttpResponse operator()(const ConfigurationAccepted& accepted) const {
    return JsonResponse(200,
                        json::object{{"version", accepted.version},
                                     {"acknowledged", accepted.acknowledged},
                                     {"members", accepted.members}});
  }
  HttpResponse operator()(const ConfigurationMalformed& malformed) const {
    json::array faults;
    for (const ConfigurationFault& fault : malformed.faults) {
      faults.push_back(
          json::object{{"path", fault.path}, {"message", fault.message}});
    }
    return ErrorResponse(422, "malformed_configuration",
                         {{"faults", std::move(faults)}});
  }
  HttpResponse operator()(const ConfigurationConflict& conflict) const {
    return ErrorResponse(412, "configuration_conflict",
                         {{"current_version", conflict.current_version}});
  }
  HttpResponse operator()(const ConfigurationUnconfirmed& unconfirmed) const {
    return ErrorResponse(
        503, "platform_unavailable",
        {{"outcome",
          unconfirmed.certainly_not_written ? "not_written" : "unknown"}});
  }
};

}  // namespace

AdminService::AdminService(const ServiceRegistry& registry,
                           const RouterOptions& options,
                           const ByteCounters* platform_bytes)
    : options(options),
      platform_bytes(platform_bytes),
      fleet(registry.Find<FleetState>(FleetState::kName)),
      peers(registry.Find<PeerDirectory>(PeerDirectory::kName)),
      configuration(
          registry.Find<ConfigurationService>(ConfigurationService::kName)),
      membership(registry.Find<MembershipService>(MembershipService::kName)),
      entry(registry.Find<EntryService>(EntryService::kName)),
      owner(registry.Find<OwnerService>(OwnerService::kName)),
      prober(registry.Find<EngineProber>(EngineProber::kName)),
      metrics(registry.Find<Metrics>("metrics")),
      traces(registry.Find<TraceStore>("traces")) {}

bool AdminService::IsReady() const {
  return this->fleet->IsConfigured() && !this->fleet->draining &&
         !this->fleet->Members().members.empty();
}

bool AdminService::IsAuthorized(const HttpRequest& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view credentials = request.headers.Find("Authorization");
  if (!credentials.starts_with(kScheme)) return false;
  credentials.remove_prefix(kScheme.size());
  return EqualInConstantTime(credentials, this->options.admin_token);
}

HttpResponse AdminService::Status() const {
  json::array members;
  for (const Member& member : this->fleet->Members().members) {
    members.push_back(
        json::object{{"name", member.name},
                     {"availability_zone", member.availability_zone},
                     {"incarnation", member.incarnation},
                     {"draining", member.draining}});
  }
  json::array engines;
  auto view = this->fleet->View();
  for (std::size_t i = 0; i < view->Engines().size(); ++i) {
    const auto index = static_cast<EngineIndex>(i);
    const FleetEngine& engine = view->Engine(index);
    const FleetService& service = view->Services()[engine.service];
    OwnerCore& core = this->fleet->Owner();
    json::object row{{"name", engine.name},
                     {"service", service.config.name},
                     {"owner", engine.owner},
                     {"draining", engine.draining}};
    if (core.Owns(index)) {
      row["load"] = core.Load(index);
      row["cap"] = core.Cap(engine.service);
      row["down"] = core.IsDown(index);
    }
    engines.push_back(std::move(row));
  }
  return JsonResponse(
      200, json::object{
               {"router", this->options.name},
               {"ready", this->IsReady()},
               {"configuration_version", this->fleet->Config().version},
               {"platform_reachable", this->membership->IsPlatformReachable()},
               {"lease_held", this->membership->HoldsLease()},
               {"requests_in_flight", this->entry->InFlight()},
               {"sessions", this->fleet->Owner().Sessions().Size()},
               {"members", std::move(members)},
               {"engines", std::move(engines)}});
}

HttpResponse AdminService::Explain(std::string_view request_id) const {
  json::array spans;
  for (const Span& span : this->traces->Find(request_id)) {
    spans.push_back(json::parse(ToOtlpJson(span)));
  }
  return JsonResponse(200, json::object{{"request_id", request_id},
                                        {"spans", std::move(spans)}});
}

HttpResponse AdminService::MetricsText() {
  auto set_bytes = [this](std::string_view kind, const ByteCounters& bytes) {
    this->metrics->Set(
        fmt::format("dandelion_control_bytes{{kind=\"{}\",direction=\"sent\"}}",
                    kind),
        static_cast<double>(bytes.sent));
    this->metrics->Set(
        fmt::format(
            "dandelion_control_bytes{{kind=\"{}\",direction=\"received\"}}",
            kind),
        static_cast<double>(bytes.received));
  };
  set_bytes("peers", this->peers->ControlBytes());
  set_bytes("platform", *this->platform_bytes);
  set_bytes("probes", this->prober->Bytes());
  this->metrics->Set("dandelion_configuration_version",
                     static_cast<double>(this->fleet->Config().version));
  this->metrics->Set("dandelion_requests_in_flight",
                     static_cast<double>(this->entry->InFlight()));
  this->metrics->Set(
      "dandelion_sessions",
      static_cast<double>(this->fleet->Owner().Sessions().Size()));
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = this->metrics->ToPrometheus();
  return response;
}

Awaitable<HttpResponse> AdminService::PutConfiguration(
    const HttpRequest& request) {
  std::string_view expected = request.headers.Find("If-Match");
  if (expected.starts_with('"') && expected.ends_with('"') &&
      expected.size() >= 2) {
    expected = expected.substr(1, expected.size() - 2);
  }
  std::uint64_t version = 0;
  auto parsed = std::from_chars(expected.data(),
                                expected.data() + expected.size(), version);
  if (expected.empty() || parsed.ec != std::errc() ||
      parsed.ptr != expected.data() + expected.size()) {
    co_return ErrorResponse(428, "version_required",
                            {{"detail", "If-Match must hold the version"}});
  }
  ProposalResult result =
      co_await this->configuration->Propose(request.body, version);
  co_return std::visit(ToHttpResponse{}, result);
}

HttpResponse AdminService::Route(const HttpRequest& request) {
  const std::string_view path = PathOf(request.target);
  if (request.method == "GET" && path == "/v1/status") return this->Status();
  if (request.method == "GET" && path == "/v1/config") {
    if (!this->fleet->IsConfigured()) {
      return ErrorResponse(404, "not_configured");
    }
    HttpResponse response;
    response.headers = {
        {"Content-Type", "application/json"},
        {"ETag", fmt::format("\"{}\"", this->fleet->Config().version)}};
    response.body = this->fleet->Document();
    return response;
  }
  if (request.method == "GET" && path.starts_with(kExplainPrefix)) {
    return this->Explain(path.substr(kExplainPrefix.size()));
  }
  return ErrorResponse(404, "no_such_path");
}

Awaitable<void> AdminService::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const std::string_view path = PathOf(request.target);
  HttpResponse response;
  if (path == "/livez") {
    response.body = "ok\n";
  } else if (path == "/readyz") {
    response.status = this->IsReady() ? 200 : 503;
    response.body = this->IsReady() ? "ok\n" : "not ready\n";
  } else if (path == "/metrics") {
    response = this->MetricsText();
  } else if (!this->IsAuthorized(request)) {
    response = ErrorResponse(401, "unauthorized");
    response.headers.Add("WWW-Authenticate", "Bearer");
  } else if (request.method == "PUT" && path == "/v1/config") {
    response = co_await this->PutConfiguration(request);
  } else {
    response = this->Route(request);
  }
  co_await exchange.Respond(std::move(response));
}

}  // namespace dandelionscale::internal
