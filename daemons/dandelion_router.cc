// Daemon that runs one `Router`: parses the settings, starts the router and
// drains it on SIGTERM or SIGINT.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>

#include "dandelionscale/router.h"
#include "dandelionscale/runtime.h"

namespace {

namespace asio = boost::asio;
using dandelionscale::Awaitable;
using dandelionscale::Logger;
using dandelionscale::LogLevel;

constexpr std::string_view kUsage =
    "dandelion-router: one router of a dandelionscale fleet.\n\n"
    "Clients send chat and service requests to --client-address; routers\n"
    "exchange messages with each other on --peer-address; operators run\n"
    "dandelionctl against --admin-address. Every setting is a flag or a\n"
    "DANDELION_* environment variable. SIGTERM or SIGINT drains: the router\n"
    "still serves requests that arrive and exits when the last response is\n"
    "complete.";

LogLevel ParseLevel(const std::string& name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

Awaitable<void> Run(dandelionscale::Router& router, asio::io_context& loop) {
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  auto started = co_await router.Start();
  if (started.has_error()) {
    Logger::Error("start_failed", {{"fault", ToString(started.error().kind)},
                                   {"detail", started.error().detail}});
    std::exit(EXIT_FAILURE);
  }
  co_await signals.async_wait(asio::use_awaitable);
  co_await router.Shutdown();
  loop.stop();
}

}  // namespace

int main(int argc, char** argv) {
  auto settings = dandelionscale::ParseSettingsOrExit(
      dandelionscale::RouterSettingSpecs(), argc, argv, kUsage);
  Logger::Configure(ParseLevel(settings.Text("log-level")),
                    settings.Text("name"));
  asio::io_context loop(1);
  dandelionscale::Router router(loop.get_executor(),
                                dandelionscale::MakeRouterOptions(settings));
  asio::co_spawn(loop, Run(router, loop), asio::detached);
  loop.run();
  return EXIT_SUCCESS;
}
