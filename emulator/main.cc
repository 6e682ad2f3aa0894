// Emulates the processes around a router fleet: engines, a plain service, the
// platform, and network links with faults.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <sstream>

#include "dandelionscale/runtime.h"
#include "engine_fleet.h"
#include "fault_proxy.h"
#include "plain_service.h"
#include "platform_service.h"
#include "platform_site.h"

namespace {

namespace asio = boost::asio;
using namespace dandelionscale;            // NOLINT: a program's main file
using namespace dandelionscale::emulator;  // NOLINT

constexpr std::string_view kUsage =
    "dandelion-fakes engine|service|platform|platform-site|fault-proxy "
    "[settings]\n\n"
    "Emulators for tests and experiments. Each accepts control requests on\n"
    "--control-address under /fake/ (docs/emulator.md).";

std::vector<SettingSpec> Specs() {
  const IntegerRange count{1, 10'000};
  const IntegerRange port{1, 65'535};
  const IntegerRange amount{0, 1'000'000'000};
  return {
      {"control-address", "127.0.0.1:9000", "listener for control requests",
       AddressRange{true}},
      {"count", "1", "number of engines; platform-site: per service", count},
      {"base-port", "9100", "engine, service: port of the first engine", port},
      {"prefill-us", "20", "engine: microseconds per prompt token", amount},
      {"token-ms", "10", "engine, platform-site: milliseconds between tokens",
       amount},
      {"answer-tokens", "16", "engine: tokens of an answer", amount},
      {"cache-tokens", "200000", "engine: size of the prefix cache", amount},
      {"max-running", "64", "engine: requests at the same time", count},
      {"load-factor", "1.25",
       "engine: bound on load / mean load; excess is counted",
       RealRange{1, 100}},
      {"bound-window-ms", "2000",
       "engine: time window of the mean load in this check", amount},
      {"report-lag-ms", "300", "engine: age of load reports", amount},
      {"work-ms", "5", "service: milliseconds per call", amount},
      {"address", "127.0.0.1:9001", "platform, platform-site: listener",
       AddressRange{true}},
      {"host-lag-ms", "500", "platform: age of the host list", amount},
      {"links", "", "fault-proxy: LISTEN=TARGET pairs, comma-separated",
       TextRange{}},
      {"seed", "1", "fault-proxy: seed of jitter and loss", amount},
  };
}

Duration Milliseconds(const Settings& settings, std::string_view name) {
  return std::chrono::milliseconds(settings.Integer(name));
}

[[noreturn]] void Fail(const Fault& fault) {
  Logger::Error("start_failed",
                {{"fault", ToString(fault.kind)}, {"detail", fault.detail}});
  std::exit(EXIT_FAILURE);
}

void RequireOk(const Result<void>& result) {
  if (result.has_error()) Fail(result.error());
}

/// \brief Runs one emulator with its control listener until SIGTERM or SIGINT.
template <typename Emulator>
void RunWithControl(asio::io_context& loop, const Settings& settings,
                    Emulator& emulator) {
  HttpServer control(loop.get_executor(), HttpServerLimits{},
                     [&emulator](HttpExchange& exchange) {
                       return emulator.HandleControl(exchange);
                     });
  auto bound =
      control.Listen(ParseEndpoint(settings.Text("control-address")).value());
  if (bound.has_error()) Fail(bound.error());
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](auto, auto) { loop.stop(); });
  loop.run();
}

void RunEngines(asio::io_context& loop, const Settings& settings) {
  EngineFleetOptions options;
  options.count = static_cast<std::size_t>(settings.Integer("count"));
  options.base_port = static_cast<std::uint16_t>(settings.Integer("base-port"));
  options.prefill_per_token =
      std::chrono::microseconds(settings.Integer("prefill-us"));
  options.token_interval = Milliseconds(settings, "token-ms");
  options.answer_tokens =
      static_cast<std::size_t>(settings.Integer("answer-tokens"));
  options.cache_tokens =
      static_cast<std::uint64_t>(settings.Integer("cache-tokens"));
  options.max_running =
      static_cast<std::size_t>(settings.Integer("max-running"));
  options.load_factor = settings.Real("load-factor");
  options.bound_window = Milliseconds(settings, "bound-window-ms");
  options.report_lag = Milliseconds(settings, "report-lag-ms");
  EngineFleet fleet(loop.get_executor(), options);
  RequireOk(fleet.Listen());
  RunWithControl(loop, settings, fleet);
}

void RunService(asio::io_context& loop, const Settings& settings) {
  PlainServiceOptions options;
  options.count = static_cast<std::size_t>(settings.Integer("count"));
  options.base_port = static_cast<std::uint16_t>(settings.Integer("base-port"));
  options.work = Milliseconds(settings, "work-ms");
  PlainService service(loop.get_executor(), options);
  RequireOk(service.Listen());
  RunWithControl(loop, settings, service);
}

void RunPlatform(asio::io_context& loop, const Settings& settings) {
  PlatformService platform(loop.get_executor(),
                           Milliseconds(settings, "host-lag-ms"));
  RequireOk(platform.Listen(ParseEndpoint(settings.Text("address")).value()));
  RunWithControl(loop, settings, platform);
}

void RunPlatformSite(asio::io_context& loop, const Settings& settings) {
  PlatformSite site(loop.get_executor(),
                    static_cast<int>(settings.Integer("count")),
                    Milliseconds(settings, "token-ms"));
  RequireOk(site.Listen(ParseEndpoint(settings.Text("address")).value()));
  RunWithControl(loop, settings, site);
}

void RunProxy(asio::io_context& loop, const Settings& settings) {
  FaultProxy proxy(loop.get_executor(),
                   static_cast<std::uint64_t>(settings.Integer("seed")));
  std::istringstream links(settings.Text("links"));
  std::string link;
  while (std::getline(links, link, ',')) {
    const auto equals = link.find('=');
    auto listen = ParseEndpoint(link.substr(0, equals));
    auto target = ParseEndpoint(
        equals == std::string::npos ? "" : link.substr(equals + 1));
    if (listen.has_error()) Fail(listen.error());
    if (target.has_error()) Fail(target.error());
    RequireOk(proxy.AddLink(listen.value(), target.value()));
  }
  RunWithControl(loop, settings, proxy);
}

}  // namespace

int main(int argc, char** argv) {
  auto settings = ParseSettingsOrExit(Specs(), argc, argv, kUsage);
  const std::string role =
      settings.Positional().empty() ? "" : settings.Positional().front();
  Logger::Configure(LogLevel::kInfo, "fake-" + role);
  asio::io_context loop(1);
  if (role == "engine") {
    RunEngines(loop, settings);
  } else if (role == "service") {
    RunService(loop, settings);
  } else if (role == "platform") {
    RunPlatform(loop, settings);
  } else if (role == "platform-site") {
    RunPlatformSite(loop, settings);
  } else if (role == "fault-proxy") {
    RunProxy(loop, settings);
  } else {
    fmt::print(stderr, "{}\n", kUsage);
    return 2;
  }
  return EXIT_SUCCESS;
}
