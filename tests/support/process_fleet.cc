#include "tests/support/process_fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include "dandelionscale/transport/http_client.h"

extern char** environ;

namespace dandelionscale::tests {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Far longer than any step takes; reached only if a process hangs.
constexpr std::chrono::seconds kHangTimeout(60);
constexpr std::chrono::milliseconds kPollInterval(20);

std::string Binary(std::string_view name) {
  return fmt::format("{}/{}", DANDELION_BINARIES, name);
}

std::string Loopback(int port) { return fmt::format("127.0.0.1:{}", port); }

}  // namespace

void Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kHangTimeout;
  while (!condition()) {
    REQUIRE(std::chrono::steady_clock::now() < deadline);
    std::this_thread::sleep_for(kPollInterval);
  }
}

void CheckGolden(std::string_view name, const std::string& text) {
  const std::string path = fmt::format("{}/{}", DANDELION_GOLDEN, name);
  if (std::getenv("UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
    return;
  }
  std::ifstream file(path);
  const std::string expected(std::istreambuf_iterator<char>(file), {});
  CHECK(text == expected);
}

ProcessFleet::ProcessFleet(Options options) : options(std::move(options)) {
  const auto& given = this->options;
  this->Spawn("platform",
              this->EmulatorArguments("platform", 2,
                                      {"--address", Loopback(this->Port(1)),
                                       "--host-lag-ms", "100"}));
  std::vector<std::string> engines = {"--count", std::to_string(given.engines),
                                      "--base-port",
                                      std::to_string(this->Port(100))};
  engines.insert(engines.end(), given.engine_arguments.begin(),
                 given.engine_arguments.end());
  this->Spawn("engines", this->EmulatorArguments("engine", 3, engines));
  std::vector<std::string> service = {"--count", std::to_string(given.bookings),
                                      "--base-port",
                                      std::to_string(this->Port(200))};
  service.insert(service.end(), given.service_arguments.begin(),
                 given.service_arguments.end());
  this->Spawn("service", this->EmulatorArguments("service", 4, service));
  if (given.proxied) {
    std::string links =
        Loopback(this->Port(300)) + "=" + Loopback(this->Port(1));
    for (int i = 0; i < given.bookings; ++i) {
      links += "," + Loopback(this->Port(301 + i)) + "=" +
               Loopback(this->Port(200 + i));
    }
    this->Spawn("proxy",
                this->EmulatorArguments("fault-proxy", 5, {"--links", links}));
    Eventually([&] { return this->Get(this->Port(5), "/").status == 404; });
  }
  for (int offset : {2, 3, 4}) {
    Eventually(
        [&] { return this->Get(this->Port(offset), "/").status == 404; });
  }
  for (int n = 1; n <= given.routers; ++n) this->StartRouter(n);
  for (int n = 1; n <= given.routers; ++n) {
    Eventually(
        [&] { return this->Get(this->AdminPort(n), "/livez").status == 200; });
  }
  HttpRequest put;
  put.method = "PUT";
  put.target = "/v1/config";
  put.headers.Add("Authorization", "Bearer " + std::string(kAdminToken));
  put.headers.Add("If-Match", "0");
  put.body = this->Configuration();
  HttpResponse accepted = this->Call(this->AdminPort(1), put);
  REQUIRE(accepted.status == 200);
  for (int n = 1; n <= given.routers; ++n) {
    this->WaitUntilReady(n, static_cast<std::size_t>(given.routers));
  }
}

ProcessFleet::~ProcessFleet() {
  for (const auto& [name, pid] : this->processes) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

std::string ProcessFleet::Configuration() const {
  json::array engines;
  for (int i = 0; i < this->options.engines; ++i) {
    engines.push_back(
        json::object{{"name", fmt::format("advice-{}", i + 1)},
                     {"service", "advice"},
                     {"availability_zone", i % 2 == 0 ? "north" : "south"},
                     {"address", Loopback(this->Port(100 + i))}});
  }
  for (int i = 0; i < this->options.bookings; ++i) {
    engines.push_back(json::object{
        {"name", fmt::format("booking-{}", i + 1)},
        {"service", "booking"},
        {"availability_zone", i % 2 == 0 ? "north" : "south"},
        {"address",
         Loopback(this->Port((this->options.proxied ? 301 : 200) + i))}});
  }
  json::array workspaces;
  for (std::string_view name : {"guild", "buyers"}) {
    workspaces.push_back(json::object{{"name", name}, {"weight", 1}});
  }
  return json::serialize(json::object{
      {"availability_zones", {"north", "south"}},
      {"services",
       {json::object{{"name", "advice"}, {"kind", "chat"}},
        json::object{{"name", "booking"},
                     {"kind", "plain"},
                     {"load_factor", 10.0},
                     {"status_lookup", this->options.status_lookup}}}},
      {"engines", std::move(engines)},
      {"workspaces", std::move(workspaces)},
      {"rules", json::object{{"draining_engines", json::array{}}}}});
}

void ProcessFleet::StartRouter(int number) {
  std::string seeds;
  for (int n = 1; n <= this->options.routers; ++n) {
    if (!seeds.empty()) seeds += ",";
    seeds += Loopback(this->Port(10 * n + 1));
  }
  std::vector<std::string> arguments = {
      Binary("dandelion-router"),
      "--name",
      fmt::format("router-{}", number),
      "--availability-zone",
      number % 2 == 1 ? "north" : "south",
      "--client-address",
      Loopback(this->ClientPort(number)),
      "--peer-address",
      Loopback(this->Port(10 * number + 1)),
      "--admin-address",
      Loopback(this->AdminPort(number)),
      "--platform-address",
      Loopback(this->Port(this->options.proxied ? 300 : 1)),
      "--admin-token",
      std::string(kAdminToken),
      "--seed-peers",
      seeds,
      "--poll-ms",
      "300",
      "--lease-ms",
      "2000"};
  arguments.insert(arguments.end(), this->options.router_arguments.begin(),
                   this->options.router_arguments.end());
  this->Spawn(fmt::format("router-{}", number), std::move(arguments));
}

std::vector<std::string> ProcessFleet::EmulatorArguments(
    std::string role, int control, std::vector<std::string> more) const {
  std::vector<std::string> arguments = {Binary("dandelion-fakes"), role,
                                        "--control-address",
                                        Loopback(this->Port(control))};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return arguments;
}

void ProcessFleet::Spawn(std::string name, std::vector<std::string> arguments) {
  std::vector<char*> pointers;
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  // Logs go to a file: a process left over by an aborted test would keep the
  // test's output open, and a reader of a pipe would not reach its end.
  const std::string log = fmt::format("{}/fleet-{}-{}.log", DANDELION_BINARIES,
                                      this->options.base, name);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, pointers[0], &actions, nullptr,
                                 pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  REQUIRE(failed == 0);
  this->processes[std::move(name)] = pid;
}

void ProcessFleet::Signal(std::string_view process, int signal) {
  REQUIRE(kill(this->processes.find(process)->second, signal) == 0);
}

int ProcessFleet::WaitForExit(std::string_view process) {
  auto found = this->processes.find(process);
  int status = 0;
  REQUIRE(waitpid(found->second, &status, 0) == found->second);
  this->processes.erase(found);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void ProcessFleet::WaitUntilReady(int number, std::size_t members) {
  Eventually([&] {
    HttpResponse response = this->Get(this->AdminPort(number), "/v1/status");
    if (response.status != 200) return false;
    json::value status = json::parse(response.body);
    return status.at("ready").as_bool() &&
           status.at("members").as_array().size() == members;
  });
}

HttpResponse ProcessFleet::Call(std::uint16_t port, HttpRequest request) const {
  asio::io_context loop(1);
  HttpClient http(loop.get_executor(), nullptr);
  HttpResponse result;
  result.status = 0;
  const Endpoint endpoint(asio::ip::address_v4::loopback(), port);
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        auto response = co_await http.Fetch(
            endpoint, request, ConnectionUse::kFresh, kHangTimeout);
        if (response.has_value()) result = response.value();
      },
      asio::detached);
  loop.run();
  return result;
}

HttpResponse ProcessFleet::Get(std::uint16_t port, std::string target) const {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  request.headers.Add("Authorization", "Bearer " + std::string(kAdminToken));
  return this->Call(port, std::move(request));
}

std::int64_t ProcessFleet::Number(std::uint16_t port, std::string target,
                                  std::string_view name) const {
  HttpResponse response = this->Get(port, std::move(target));
  if (response.status != 200) return -1;
  json::value document = json::parse(response.body);
  return document.at(json::string_view(name.data(), name.size()))
      .to_number<std::int64_t>();
}

std::int64_t ProcessFleet::StatusNumber(int router,
                                        std::string_view name) const {
  return this->Number(this->AdminPort(router), "/v1/status", name);
}

HttpResponse ProcessFleet::Chat(int router, std::string session,
                                std::string text) const {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Add("X-Workspace", "guild");
  request.headers.Add("X-Session-Id", session);
  request.body = json::serialize(json::object{
      {"model", "advice"},
      {"messages",
       json::array{json::object{{"role", "user"}, {"content", text}}}}});
  return this->Call(this->ClientPort(router), std::move(request));
}

HttpResponse ProcessFleet::Book(int router, std::string key,
                                std::string body) const {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/services/booking/callouts";
  request.headers.Add("X-Workspace", "buyers");
  request.headers.Add("Idempotency-Key", key);
  request.body = std::move(body);
  return this->Call(this->ClientPort(router), std::move(request));
}

std::int64_t ProcessFleet::Runs(std::string key) const {
  return this->Number(this->Port(4), "/fake/runs?workspace=buyers&key=" + key,
                      "runs");
}

CommandOutput ProcessFleet::Ctl(std::vector<std::string> arguments) const {
  std::string command = Binary("dandelionctl") + " --admin " +
                        this->AdminList() + " --admin-token " +
                        std::string(kAdminToken);
  for (const std::string& argument : arguments) command += " " + argument;
  command += " 2>&1";
  CommandOutput output;
  FILE* pipe = popen(command.c_str(), "r");
  REQUIRE(pipe != nullptr);
  char buffer[4096];
  while (std::size_t size = fread(buffer, 1, sizeof(buffer), pipe)) {
    output.text.append(buffer, size);
  }
  output.exit_code = WEXITSTATUS(pclose(pipe));
  return output;
}

std::string ProcessFleet::AdminList() const {
  std::string list;
  for (int n = 1; n <= this->options.routers; ++n) {
    if (!list.empty()) list += ",";
    list += Loopback(this->AdminPort(n));
  }
  return list;
}

std::uint16_t ProcessFleet::ClientPort(int router) const {
  return this->Port(10 * router);
}

std::uint16_t ProcessFleet::AdminPort(int router) const {
  return this->Port(10 * router + 2);
}

}  // namespace dandelionscale::tests
