// Tests of the runtime module: clock, events, service registry, settings,
// traces and metrics.
#include "dandelionscale/runtime.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <memory>

#include "dandelionscale/router/router.h"

namespace dandelionscale {
namespace {

namespace asio = boost::asio;

TEST_CASE("timers follow a paused clock") {
  RuntimeClock::Pause();
  asio::io_context loop(1);
  bool woken = false;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        co_await SleepFor(std::chrono::hours(1));
        woken = true;
      },
      asio::detached);
  for (int i = 0; i < 5; ++i) loop.run_one_for(std::chrono::milliseconds(2));
  CHECK_FALSE(woken);
  RuntimeClock::Advance(std::chrono::hours(1));
  loop.run();
  CHECK(woken);
  RuntimeClock::Resume();
}

TEST_CASE("an event wakes its waiters, and a wait ends at its timeout") {
  RuntimeClock::Pause();
  asio::io_context loop(1);
  Event event(loop.get_executor());
  int notified = 0;
  int timed_out = 0;
  auto wait = [&](Duration timeout) -> Awaitable<void> {
    const bool in_time = co_await event.WaitFor(timeout);
    in_time ? ++notified : ++timed_out;
  };
  asio::co_spawn(loop, wait(std::chrono::seconds(1)), asio::detached);
  asio::co_spawn(loop, wait(std::chrono::seconds(5)), asio::detached);
  loop.run_for(std::chrono::milliseconds(5));
  RuntimeClock::Advance(std::chrono::seconds(2));
  loop.run_for(std::chrono::milliseconds(20));
  CHECK(timed_out == 1);
  event.NotifyAll();
  loop.run();
  CHECK(notified == 1);
  RuntimeClock::Resume();
}

TEST_CASE("services are found by name and type") {
  ServiceRegistry registry;
  registry.Register("number", std::make_shared<int>(7));
  REQUIRE(registry.Find<int>("number") != nullptr);
  CHECK(*registry.Find<int>("number") == 7);
  CHECK(registry.Find<double>("number") == nullptr);
  CHECK(registry.Find<int>("other") == nullptr);
}

/// \returns the names of the settings that Settings::Parse() rejects.
std::vector<std::string> SettingFaultNames(
    const std::vector<std::string>& arguments) {
  std::vector<std::string> names;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(Settings::Parse(RouterSettingSpecs(), arguments, ""));
        return {};
      },
      [&](const SettingFaults& found) {
        for (const auto& fault : found.faults) names.push_back(fault.name);
      },
      [] {});
  return names;
}

TEST_CASE("all invalid settings are reported together") {
  const auto names = SettingFaultNames(
      {"--name", "r", "--availability-zone", "z", "--platform-address",
       "nowhere", "--seed-peers", "127.0.0.1:1,here", "--lease-ms", "0",
       "--placement", "best", "--admin-token", "t"});
  CHECK(names == std::vector<std::string>{"platform-address", "seed-peers",
                                          "placement", "lease-ms"});
  CHECK(SettingFaultNames({"--no-such-flag", "1"}) ==
        std::vector<std::string>{"command line"});
}

TEST_CASE("the settings reference in the docs matches the program") {
  const std::string path =
      std::string(DANDELION_GOLDEN) + "/../../docs/settings.md";
  if (std::getenv("UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path)
        << "# Settings of dandelion-router\n\nKept equal to the program by "
           "tests/runtime_test.cc.\n\n"
        << SettingsReference(RouterSettingSpecs());
  }
  std::ifstream file(path);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const std::string reference = SettingsReference(RouterSettingSpecs());
  CHECK(text.find(reference) != std::string::npos);
}

TEST_CASE("trace contexts are parsed and written as W3C headers") {
  const std::string header =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  auto context = TraceContext::Parse(header);
  REQUIRE(context.has_value());
  CHECK(context->ToHeader() == header);
  CHECK(context->Child().trace_id == context->trace_id);
  CHECK(context->Child().span_id != context->span_id);
  CHECK_FALSE(TraceContext::Parse("00-xyz").has_value());
  CHECK_FALSE(TraceContext::Parse(
                  "00-00000000000000000000000000000000-00f067aa0ba902b7-01")
                  .has_value());
}

TEST_CASE("metrics are written in the Prometheus text format") {
  Metrics metrics;
  metrics.Add("requests_total{outcome=\"completed\"}", 2);
  metrics.Set("sessions", 3);
  for (int i = 0; i < 100; ++i) metrics.Observe("latency_seconds", 0.5);
  const std::string text = metrics.ToPrometheus();
  CHECK(text.find("# TYPE requests_total counter\n"
                  "requests_total{outcome=\"completed\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("sessions 3\n") != std::string::npos);
  CHECK(text.find("latency_seconds{quantile=\"0.95\"} 0.5\n") !=
        std::string::npos);
  CHECK(text.find("latency_seconds_count 100\n") != std::string::npos);
}

TEST_CASE("latency histograms have cumulative buckets in seconds") {
  Metrics metrics;
  metrics.ObserveLatency("wait_seconds", std::chrono::milliseconds(3));
  metrics.ObserveLatency("wait_seconds", std::chrono::milliseconds(200));
  metrics.ObserveLatency("wait_seconds", std::chrono::seconds(60));
  const std::string text = metrics.ToPrometheus();
  for (std::string_view line :
       {"# TYPE wait_seconds histogram\n",
        "wait_seconds_bucket{le=\"0.0025\"} 0\n",
        "wait_seconds_bucket{le=\"0.005\"} 1\n",
        "wait_seconds_bucket{le=\"0.25\"} 2\n",
        "wait_seconds_bucket{le=\"10\"} 2\n",
        "wait_seconds_bucket{le=\"+Inf\"} 3\n", "wait_seconds_count 3\n"}) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

}  // namespace
}  // namespace dandelionscale
