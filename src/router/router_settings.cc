#include <sstream>

#include "dandelionscale/router/router.h"

namespace dandelionscale {
namespace {

constexpr std::int64_t kMaxMilliseconds = 3'600'000;

Duration Milliseconds(const Settings& settings, std::string_view name) {
  return std::chrono::milliseconds(settings.Integer(name));
}

std::vector<Endpoint> ParseEndpoints(const std::string& list) {
  std::vector<Endpoint> endpoints;
  std::istringstream stream(list);
  std::string item;
  while (std::getline(stream, item, ',')) {
    auto endpoint = ParseEndpoint(item);
    if (endpoint.has_value()) endpoints.push_back(endpoint.value());
  }
  return endpoints;
}

}  // namespace

std::vector<SettingSpec> RouterSettingSpecs() {
  const IntegerRange milliseconds{1, kMaxMilliseconds};
  return {
      {"name", "", "unique name of this router", TextRange{true}},
      {"availability-zone", "", "availability zone of this host",
       TextRange{true}},
      {"client-address", "127.0.0.1:8080", "listener for clients",
       AddressRange{true}},
      {"peer-address", "127.0.0.1:8081",
       "listener for other routers; the address is published to them",
       AddressRange{true}},
      {"admin-address", "127.0.0.1:8082", "listener for operators",
       AddressRange{true}},
      {"platform-address", "", "the platform's table and host list",
       AddressRange{true}},
      {"seed-peers", "",
       "IP:PORT of routers, comma-separated, queried for the configuration "
       "when the platform is down at startup",
       AddressListRange{}},
      {"admin-token", "", "bearer token of operators", TextRange{true}},
      {"placement", "owner", "placement policy; all but owner are baselines",
       ChoiceRange{
           {"owner", "random", "least-reported", "rendezvous", "bounded"}}},
      {"lease-ms", "6000",
       "time without renewal after which a router's lease expires",
       milliseconds},
      {"poll-ms", "1000", "interval of reads from the platform", milliseconds},
      {"probe-ms", "1000", "interval of load probes of engines", milliseconds},
      {"digest-ms", "400", "interval of load digests between routers",
       milliseconds},
      {"request-timeout-ms", "120000", "default time limit of a request",
       milliseconds},
      {"slot-wait-ms", "1000", "maximum wait for a free slot at an engine",
       milliseconds},
      {"client-read-timeout-ms", "10000",
       "time in which a client must send a complete request", milliseconds},
      {"shutdown-grace-ms", "3000",
       "minimum time after SIGTERM in which client connections are accepted, "
       "so that the load balancer can remove this router",
       milliseconds},
      {"session-capacity", "400000",
       "maximum number of sessions whose engines are recorded",
       IntegerRange{1, 100'000'000}},
      {"body-bytes", "1048576", "maximum size of a request body, in bytes",
       IntegerRange{1, 64 * 1024 * 1024}},
      {"client-connections", "4096", "maximum number of client connections",
       IntegerRange{1, 1'000'000}},
      {"log-level", "info", "minimum level of log entries",
       ChoiceRange{{"debug", "info", "warning", "error"}}},
  };
}

RouterOptions MakeRouterOptions(const Settings& settings) {
  RouterOptions options;
  options.name = settings.Text("name");
  options.availability_zone = settings.Text("availability-zone");
  options.client_address =
      ParseEndpoint(settings.Text("client-address")).value();
  options.peer_address = ParseEndpoint(settings.Text("peer-address")).value();
  options.admin_address = ParseEndpoint(settings.Text("admin-address")).value();
  options.platform_address =
      ParseEndpoint(settings.Text("platform-address")).value();
  options.seed_peers = ParseEndpoints(settings.Text("seed-peers"));
  options.admin_token = settings.Text("admin-token");
  options.placement = *ParsePlacementPolicy(settings.Text("placement"));
  options.lease_length = Milliseconds(settings, "lease-ms");
  options.poll_interval = Milliseconds(settings, "poll-ms");
  options.probe_interval = Milliseconds(settings, "probe-ms");
  options.digest_interval = Milliseconds(settings, "digest-ms");
  options.request_timeout = Milliseconds(settings, "request-timeout-ms");
  options.max_slot_wait = Milliseconds(settings, "slot-wait-ms");
  options.client_read_timeout =
      Milliseconds(settings, "client-read-timeout-ms");
  options.shutdown_grace = Milliseconds(settings, "shutdown-grace-ms");
  options.session_capacity =
      static_cast<std::size_t>(settings.Integer("session-capacity"));
  options.max_body_bytes =
      static_cast<std::size_t>(settings.Integer("body-bytes"));
  options.max_client_connections =
      static_cast<std::size_t>(settings.Integer("client-connections"));
  return options;
}

}  // namespace dandelionscale
