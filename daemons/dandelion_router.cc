// Thin daemon over the router library: parses, checks, wires, runs.
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
    "Clients send chats and service calls to --client-address; routers speak\n"
    "to each other on --peer-address; operators use dandelionctl against\n"
    "--admin-address. Every setting is a flag or a DANDELION_* variable.\n"
    "SIGTERM drains: the router serves what still comes and ends when the\n"
    "last answer is whole.";

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
