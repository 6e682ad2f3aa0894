// Daemon that runs one router on the users' platform: reads the settings file,
// starts the router, reloads bounds and limits on SIGHUP and drains on SIGTERM
// or SIGINT.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf.hpp>
#include <csignal>
#include <cstdlib>

#include "dandelionscale/dispatch.h"
#include "dandelionscale/runtime/log_sink.h"
#include "dandelionscale/runtime/logger.h"
#include "platform/platform_codec.h"
#include "platform/platform_store.h"
#include "platform/settings_file.h"
#include "platform/wire_names.h"

namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
namespace platform = dandelionscale::platform;
using dandelionscale::Awaitable;
using dandelionscale::DispatchOptions;
using dandelionscale::DispatchRouter;
using dandelionscale::Duration;
using dandelionscale::Logger;
using dandelionscale::LogSink;

constexpr int kExitStartFailed = 2;
constexpr int kStandardOutput = 1;
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(200);
constexpr std::string_view kUsage =
    "dandelion-platform-router: one router of a dandelionscale fleet on the\n"
    "users' platform. Takes no arguments. The environment variable\n"
    "DANDELIONSCALE_CONFIG holds the path of the settings file. SIGHUP\n"
    "reloads the bounds and limits in this file; SIGTERM or SIGINT drains the\n"
    "router and ends it.\n";

std::optional<DispatchOptions> ReadOptions(const std::string& path) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<DispatchOptions>> {
        BOOST_LEAF_AUTO(options, platform::ReadSettingsFile(path));
        return std::make_optional(std::move(options));
      },
      [](const platform::SettingsFileFaults& faults) {
        for (const platform::SettingsFileFault& fault : faults.faults) {
          Logger::Error("setting_wrong",
                        {{"field", fault.field}, {"problem", fault.problem}});
        }
        return std::optional<DispatchOptions>();
      },
      [] { return std::optional<DispatchOptions>(); });
}

Awaitable<void> ReloadOnSignal(DispatchRouter& router, asio::io_context& loop,
                               std::string path) {
  asio::signal_set signals(loop, SIGHUP);
  while (true) {
    co_await signals.async_wait(asio::use_awaitable);
    // `ReadOptions()` logs the faults of a file that cannot be read or parsed;
    // the previous settings then remain in use.
    if (auto options = ReadOptions(path)) router.Reload(*options);
  }
}

Awaitable<void> FlushLog(LogSink& sink) {
  while (true) {
    const Duration interval = kLogFlushInterval;
    co_await dandelionscale::SleepFor(interval);
    sink.Flush();
  }
}

Awaitable<void> ShutdownOnSignal(DispatchRouter& router,
                                 asio::io_context& loop) {
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  co_await signals.async_wait(asio::use_awaitable);
  co_await router.Shutdown();
  loop.stop();
}

}  // namespace

int main(int argc, char**) {
  if (argc > 1) {
    fmt::print("{}", kUsage);
    return kExitStartFailed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  LogSink sink(kStandardOutput, {});
  Logger::Configure(dandelionscale::LogLevel::kInfo, "");
  Logger::UseSink(&sink);
  const char* path = std::getenv(platform::names::kSettingsPathVariable);
  auto options = ReadOptions(path == nullptr ? "" : path);
  if (!options) {
    sink.Flush();
    return kExitStartFailed;
  }
  Logger::Configure(dandelionscale::LogLevel::kInfo, options->name);
  Logger::Info("start", {{"version", DANDELION_VERSION},
                         {"availability_zone", options->availability_zone}});
  asio::io_context loop(1);
  auto store = std::make_shared<platform::PlatformStore>(
      loop.get_executor(), options->store_address);
  DispatchRouter router(loop.get_executor(), *options,
                        std::make_shared<platform::PlatformCodec>(), store);
  auto started = router.Start();
  if (started.has_error()) {
    Logger::Error("start_failed", {{"fault", ToString(started.error().kind)},
                                   {"detail", started.error().detail}});
    sink.Flush();
    return kExitStartFailed;
  }
  asio::co_spawn(loop, FlushLog(sink), asio::detached);
  asio::co_spawn(loop, ReloadOnSignal(router, loop, path), asio::detached);
  asio::co_spawn(loop, ShutdownOnSignal(router, loop), asio::detached);
  loop.run();
  sink.Flush();
  return EXIT_SUCCESS;
}
