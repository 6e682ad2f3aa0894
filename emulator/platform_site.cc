#include "platform_site.h"

#include <fmt/format.h>

namespace dandelionscale::emulator {
namespace {

constexpr int kEventsPerAnswer = 8;
constexpr unsigned kNotFound = 404;

constexpr std::string_view kConfiguration =
    R"({"version":1,"routes":[)"
    R"({"name":"chat","host":"advice.example","prefix":"/chat/","kind":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":0,"service":"advice","max_attempts":2,"stream_resume":true},)"
    R"({"name":"book","host":"advice.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":1,"service":"booking","max_attempts":1}],)"
    R"("services":[{"name":"advice","max_connections":100,"engine":{"max_slots":8}},{"name":"booking","max_connections":100}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"guild","api_keys":["guild-key"],"priority":0}]})";

Script StreamScript(const HttpRequest& request, Duration interval) {
  Script script;
  script.push_back(SendBytes{MakeStreamHead(request)});
  for (int id = 1; id <= kEventsPerAnswer; ++id) {
    script.push_back(SendBytes{MakeEventChunk(id)});
    script.push_back(Pause{interval});
  }
  script.push_back(SendBytes{std::string(kStreamEnd)});
  return script;
}

}  // namespace

PlatformSite::PlatformSite(boost::asio::any_io_executor executor, int engines,
                           Duration event_interval)
    : executor(executor),
      engines_per_service(engines),
      event_interval(event_interval),
      store(executor) {}

Result<void> PlatformSite::Listen(const Endpoint& store_endpoint) {
  auto bound = this->store.Listen(store_endpoint);
  if (bound.has_error()) return bound.error();
  auto port = static_cast<std::uint16_t>(store_endpoint.port() + 1);
  for (int n = 1; n <= this->engines_per_service; ++n) {
    auto model = this->AddEngine(
        fmt::format("advice-{}", n), "advice",
        Endpoint(store_endpoint.address(), port++),
        [interval = this->event_interval](const HttpRequest& request) {
          return StreamScript(request, interval);
        });
    if (model.has_error()) return model;
    auto plain = this->AddEngine(
        fmt::format("booking-{}", n), "booking",
        Endpoint(store_endpoint.address(), port++),
        [](const HttpRequest& request) {
          Script script;
          script.push_back(SendBytes{MakeResponse(request, 200, "booked\n")});
          return script;
        });
    if (plain.has_error()) return plain;
  }
  this->store.Put("op", "config", std::string(kConfiguration));
  return {};
}

Result<void> PlatformSite::AddEngine(const std::string& id,
                                     const std::string& service,
                                     const Endpoint& endpoint,
                                     ScriptMaker maker) {
  auto engine =
      std::make_unique<ScriptedEngine>(this->executor, std::move(maker));
  auto bound = engine->Listen(endpoint);
  if (bound.has_error()) return bound.error();
  this->engines[id] = {service, endpoint, std::move(engine)};
  this->PutEntry(id, "ready");
  return {};
}

void PlatformSite::PutEntry(const std::string& id, std::string_view state) {
  const RegisteredEngine& entry = this->engines.at(id);
  this->store.Put(
      "servers", id,
      fmt::format(
          R"({{"service":"{}","address":"{}:{}","zone":"north","version":"v1","max_slots":8,"state":"{}","cold_remaining_ms":0,"call_seq":1,"born":1700000000000}})",
          entry.service, entry.endpoint.address().to_string(),
          entry.endpoint.port(), state));
}

Awaitable<void> PlatformSite::HandleControl(HttpExchange& exchange) {
  const std::string id(QueryParameter(exchange.Request().target, "engine"));
  HttpResponse response;
  if (PathOf(exchange.Request().target) == "/fake/drain" &&
      this->engines.contains(id)) {
    this->PutEntry(id, "draining");
  } else {
    response.status = kNotFound;
  }
  co_await exchange.Respond(std::move(response));
}

}  // namespace dandelionscale::emulator
