// Load generator: sends requests to a running fleet over its public interfaces.
#include <fmt/format.h>

#include "dandelionscale/runtime/settings.h"
#include "load/commands.h"

namespace {

using dandelionscale::ChoiceRange;
using dandelionscale::IntegerRange;
using dandelionscale::TextRange;

constexpr std::string_view kUsage =
    "dandelion-load: sends requests to a running fleet as clients do.\n\n"
    "  wait     wait until the routers at --admin are live or ready\n"
    "  demo     run one chat and make one booking\n"
    "  run      run a workload and print the measurements\n\n"
    "Exit codes: 0 done, 1 failed or a guarantee was violated, 2 wrong usage.";

std::vector<dandelionscale::SettingSpec> Specs() {
  const IntegerRange count{0, 1'000'000};
  return {
      {"admin", "127.0.0.1:8082", "admin addresses, comma-separated",
       TextRange{true}},
      {"admin-token", "", "bearer token", TextRange{}},
      {"routers", "127.0.0.1:8080", "client addresses, comma-separated",
       TextRange{true}},
      {"want", "ready", "wait: state to wait for",
       ChoiceRange{{"live", "ready"}}},
      {"members", "1", "wait: members that each router must list", count},
      {"wait-seconds", "20", "wait: time limit", count},
      {"engines-control", "", "run: control address of emulated engines",
       TextRange{}},
      {"service-control", "", "run: control address of emulated service",
       TextRange{}},
      {"platform-control", "", "run: control address of emulated platform",
       TextRange{}},
      {"service", "advice", "run: chat service", TextRange{true}},
      {"plain-service", "", "run: plain service for bookings", TextRange{}},
      {"workspaces", "technicians:4,restaurants:2,night-shift:1",
       "run: NAME:SHARE of the chats, comma-separated", TextRange{true}},
      {"sessions", "60", "run: concurrent chats", count},
      {"turns", "6", "run: turns of a chat", count},
      {"pause-ms", "300", "run: mean pause between turns", count},
      {"prompt-words", "400", "run: words of the first prompt", count},
      {"answer-tokens", "16", "run: tokens of an answer", count},
      {"seconds", "10", "run: duration", count},
      {"bookings", "0", "run: bookings per second", count},
      {"engine-churn-ms", "0", "run: interval of engine restarts, 0 for none",
       count},
      {"engine-down-ms", "1000", "run: time that a restarted engine is down",
       count},
      {"engines", "0", "run: number of engines from which churn picks", count},
      {"seed", "1", "run: seed of the workload", count},
  };
}

}  // namespace

int main(int argc, char** argv) {
  auto settings =
      dandelionscale::ParseSettingsOrExit(Specs(), argc, argv, kUsage);
  const auto& words = settings.Positional();
  const std::string command = words.size() == 1 ? words.front() : "";
  if (command == "wait") return dandelionscale::load::RunWait(settings);
  if (command == "demo") return dandelionscale::load::RunDemo(settings);
  if (command == "run") return dandelionscale::load::RunExperiment(settings);
  fmt::print(stderr, "{}\n", kUsage);
  return 2;
}
