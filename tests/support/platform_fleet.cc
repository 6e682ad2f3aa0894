#include "tests/support/platform_fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>

#include "tests/support/process_fleet.h"

extern char** environ;

namespace dandelionscale::tests {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kFrontPort = 18227;
constexpr int kReadyPort = 18220;
constexpr int kPeerPort = 18340;
// Ports from `kPeerPort` on that routers use among themselves.
constexpr int kPeerPorts = 8;
constexpr int kMetricsPort = 9464;

// Far longer than any step takes; reached only if a process hangs.
constexpr std::chrono::milliseconds kHangTimeout(60'000);

Endpoint Any() { return {asio::ip::address_v4::loopback(), 0}; }

std::string MakeFolder() {
  std::string name = "/tmp/dandelion-test-XXXXXX";
  REQUIRE(::mkdtemp(name.data()) != nullptr);
  return name;
}

// Lets a test run with the router of another build.
std::string RouterProgram() {
  const char* path = std::getenv("DANDELION_TEST_ROUTER");
  if (path != nullptr) return path;
  return std::string(DANDELION_BINARIES) + "/dandelion-platform-router";
}

}  // namespace

int FirstEvent(const HttpRequest& request) {
  const std::string resume(request.headers.Find("Last-Event-Id"));
  return resume.empty() ? 1 : std::stoi(resume) + 1;
}

std::vector<Response> SplitResponses(std::string_view text) {
  std::vector<Response> responses;
  while (true) {
    const auto head_end = text.find("\r\n\r\n");
    if (head_end == std::string_view::npos) return responses;
    const std::string_view head = text.substr(0, head_end + 2);
    text.remove_prefix(head_end + 4);
    if (head.starts_with("HTTP/1.1 1")) continue;
    Response& response = responses.emplace_back();
    response.head = head;
    constexpr std::string_view kVersion = "HTTP/1.1 ";
    response.status = std::stoi(response.head.substr(kVersion.size()));
    constexpr std::string_view kLength = "\r\nContent-Length: ";
    const auto length_at = head.find(kLength);
    std::size_t size = std::string_view::npos;
    if (length_at != std::string_view::npos) {
      size = std::stoul(std::string(head.substr(length_at + kLength.size())));
    } else {
      const auto last_chunk = text.find(emulator::kStreamEnd);
      const bool has_end = last_chunk != std::string_view::npos;
      if (has_end) size = last_chunk + emulator::kStreamEnd.size();
    }
    response.is_whole = text.size() >= size;
    response.body = text.substr(0, size);
    if (!response.is_whole) return responses;
    text.remove_prefix(size);
  }
}

int CountResponses(std::string_view text) {
  const std::vector<Response> responses = SplitResponses(text);
  return static_cast<int>(std::count_if(
      responses.begin(), responses.end(),
      [](const Response& response) { return response.is_whole; }));
}

std::string MakeClientRequest(const std::string& method,
                              const std::string& target, const std::string& id,
                              const std::string& more, const std::string& body,
                              std::chrono::milliseconds deadline) {
  std::string text = fmt::format(
      "{} {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
      "Request-Deadline: {}\r\nAuthorization: Token k1\r\n{}",
      method, target, id, deadline.count(), more);
  if (!body.empty()) text += fmt::format("Content-Length: {}\r\n", body.size());
  return text + "\r\n" + body;
}

PlatformFleet::PlatformFleet(int routers)
    : folder(MakeFolder()),
      program(RouterProgram()),
      work(asio::make_work_guard(this->loop)) {
  this->thread = std::thread([this] { this->loop.run(); });
  this->RunOnLoop([this] {
    this->store =
        std::make_unique<emulator::StoreService>(this->loop.get_executor());
  });
  for (int n = 1; n <= routers; ++n) this->StartRouter(n);
}

PlatformFleet::~PlatformFleet() {
  for (const auto& [router, pid] : this->processes) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  this->work.reset();
  this->loop.stop();
  this->thread.join();
  std::filesystem::remove_all(this->folder);
}

void PlatformFleet::RunOnLoop(const std::function<void()>& action) {
  std::promise<void> done;
  asio::post(this->loop, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

int PlatformFleet::AddEngine(const std::string& service,
                             emulator::ScriptMaker maker,
                             const std::string& version) {
  this->RunOnLoop([&] {
    RegisteredEngine entry;
    entry.engine = std::make_unique<emulator::ScriptedEngine>(
        this->loop.get_executor(), std::move(maker));
    entry.port = entry.engine->Listen(Any()).value().port();
    entry.service = service;
    entry.version = version;
    entry.zone = this->zone;
    this->engines.push_back(std::move(entry));
  });
  const int number = static_cast<int>(this->engines.size()) - 1;
  this->RegisterEngine(number);
  return number;
}

void PlatformFleet::RegisterEngine(int engine, const std::string& state) {
  this->registered.insert(engine);
  this->RunOnLoop([&] {
    const RegisteredEngine& entry =
        this->engines[static_cast<std::size_t>(engine)];
    this->store->Put(
        "servers", fmt::format("e{}", engine),
        fmt::format(
            R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}","version":"{}","max_slots":{},"state":"{}","cold_remaining_ms":{},"call_seq":1,"born":{}}})",
            entry.service, entry.port, entry.zone, entry.version,
            this->max_slots, state, entry.warm_up_left.count(),
            entry.born_unix_ms));
  });
}

void PlatformFleet::StateWarmUp(int engine, std::chrono::milliseconds left) {
  RegisteredEngine& entry = this->engines[static_cast<std::size_t>(engine)];
  entry.warm_up_left = left;
  this->RegisterEngine(engine);
  entry.warm_up_left = std::chrono::milliseconds(0);
}

void PlatformFleet::RestartEngine(int engine) {
  constexpr std::int64_t kTimeBetweenStartsMs = 5'000;
  this->engines[static_cast<std::size_t>(engine)].born_unix_ms +=
      kTimeBetweenStartsMs;
  this->RegisterEngine(engine);
}

void PlatformFleet::DeregisterEngine(int engine) {
  this->registered.erase(engine);
  this->RunOnLoop(
      [&] { this->store->Remove("servers", fmt::format("e{}", engine)); });
}

void PlatformFleet::SetScript(int engine, emulator::ScriptMaker maker) {
  this->RunOnLoop([&] {
    this->engines[static_cast<std::size_t>(engine)].engine->SetScript(
        std::move(maker));
  });
}

std::vector<HttpRequest> PlatformFleet::Requests(int engine) {
  std::vector<HttpRequest> requests;
  this->RunOnLoop([&] {
    requests =
        this->engines[static_cast<std::size_t>(engine)].engine->Requests();
  });
  return requests;
}

emulator::ScriptedEngine& PlatformFleet::Engine(int engine) {
  return *this->engines[static_cast<std::size_t>(engine)].engine;
}

std::size_t PlatformFleet::TotalRequests() {
  std::size_t count = 0;
  for (std::size_t n = 0; n < this->engines.size(); ++n) {
    count += this->Requests(static_cast<int>(n)).size();
  }
  return count;
}

void PlatformFleet::PutConfiguration(std::uint64_t version,
                                     const std::string& routes) {
  const std::string usual =
      R"({"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,"service":"chat","max_attempts":2,"stream_resume":true},)"
      R"({"name":"once","host":"h.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2},)"
      R"({"name":"single","host":"h.example","prefix":"/single/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1},)"
      R"({"name":"any","host":"h.example","prefix":"/any/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2})";
  const std::string text = fmt::format(
      R"({{"version":{},"routes":[{}],"services":[{{"name":"chat","max_connections":100,"engine":{{"max_slots":8}}}},{{"name":"plain","max_connections":100,"cold_s":{},"cold_per_s":{}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{},"header_timeout_ms":3000,"idle_timeout_ms":{}}},"tenants":[{{"name":"t1","api_keys":["k1"],"priority":1}}]}})",
      version, routes.empty() ? usual : routes, this->warm_up_time.count(),
      this->warm_up_rate, this->max_body_bytes, this->idle_timeout.count());
  this->RunOnLoop([&] { this->store->Put("op", "config", text); });
}

void PlatformFleet::SetStoreMode(emulator::StoreMode mode) {
  this->RunOnLoop([&] { this->store->SetMode(mode); });
}

void PlatformFleet::LeaveUnanswered(const std::vector<int>& routers) {
  this->RunOnLoop([&] {
    this->store->LeaveUnanswered({routers.begin(), routers.end()});
  });
}

std::uint16_t PlatformFleet::StorePort(int router) {
  const auto found = this->store_ports.find(router);
  if (found != this->store_ports.end()) return found->second;
  std::uint16_t port = 0;
  this->RunOnLoop(
      [&] { port = this->store->ListenFor(router, Any()).value().port(); });
  this->store_ports[router] = port;
  return port;
}

void PlatformFleet::StartRouter(int router, const std::string& more_settings) {
  const std::string settings = this->SettingsPath(router);
  std::ofstream(settings) << fmt::format(
      "node_name=router-{0}\nzone=north\nip={1}\nlisten.front={1}:{2}\n"
      "listen.ready={1}:{3}\nport_range={4},{6}\n"
      "engines.source_ip={1}\n"
      "platform.address=127.0.0.1:{5}\nbounds.grace_s=8\n"
      "bounds.retry_budget_ratio=0.2\nbounds.budget_extra=800\n"
      "limits.max_fds=1000\nlimits.memory_mb=260\n"
      "start.min_large_fleet=16\n",
      router, this->Ip(router), kFrontPort, kReadyPort, kPeerPort,
      this->StorePort(router), kPeerPort + kPeerPorts - 1);
  this->AppendSettings(router, more_settings);
  const std::string variable = "DANDELIONSCALE_CONFIG=" + settings;
  std::vector<char*> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    environment.push_back(*entry);
  }
  environment.push_back(const_cast<char*>(variable.c_str()));
  environment.push_back(nullptr);
  // Set for tests that are run once more with routers of two builds.
  const bool is_mixed = std::getenv("DANDELION_MIXED_BUILDS") != nullptr;
  const bool is_earlier = is_mixed && router % 2 == 1;
  std::string path = is_earlier ? DANDELION_EARLIER_ROUTER : this->program;
  char* arguments[] = {path.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = fmt::format("{}/router-{}.log", this->folder, router);
  for (int descriptor : {1, 2}) {
    posix_spawn_file_actions_addopen(&actions, descriptor, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  }
  pid_t pid = 0;
  REQUIRE(posix_spawn(&pid, path.c_str(), &actions, nullptr, arguments,
                      environment.data()) == 0);
  posix_spawn_file_actions_destroy(&actions);
  this->processes[router] = pid;
}

std::size_t PlatformFleet::ResidentBytes(int router) const {
  std::ifstream file(fmt::format("/proc/{}/statm", this->processes.at(router)));
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void PlatformFleet::RestartRouters(const std::vector<int>& routers) {
  for (int router : routers) this->Signal(router, SIGKILL);
  for (int router : routers) this->WaitForExit(router);
  for (int router : routers) this->StartRouter(router);
  for (int router : routers) this->WaitUntilReady(router);
}

void PlatformFleet::AppendSettings(int router, const std::string& lines) {
  std::ofstream(this->SettingsPath(router), std::ios::app) << lines;
}

std::string PlatformFleet::SettingsPath(int router) const {
  return fmt::format("{}/router-{}.conf", this->folder, router);
}

void PlatformFleet::Signal(int router, int signal) {
  REQUIRE(::kill(this->processes.at(router), signal) == 0);
}

int PlatformFleet::WaitForExit(int router) {
  int status = 0;
  ::waitpid(this->processes.at(router), &status, 0);
  this->processes.erase(router);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool PlatformFleet::IsReady(int router) {
  asio::io_context client;
  asio::ip::tcp::socket socket(client);
  error_code error;
  socket.connect({asio::ip::make_address(this->Ip(router)), kReadyPort}, error);
  if (error) return false;
  asio::write(socket,
              asio::buffer(std::string(
                  "GET /dandelionscale/ready HTTP/1.1\r\nHost: x\r\n"
                  "Connection: close\r\n\r\n")),
              error);
  std::string text(64, '\0');
  const auto size = socket.read_some(asio::buffer(text), error);
  return text.substr(0, size).starts_with("HTTP/1.1 200");
}

void PlatformFleet::WaitUntilReady(int router) {
  Eventually([&] { return this->IsReady(router); });
  // A router is ready once it has read a first list of engines. Engines that
  // were registered later arrive in separate updates.
  for (int engine : this->registered) {
    const std::string log_field = fmt::format(R"("engine":"e{}")", engine);
    Eventually(
        [&] { return this->Log(router).find(log_field) != std::string::npos; });
  }
}

void PlatformFleet::WaitForConfiguration(int router, std::uint64_t version) {
  const std::string line =
      fmt::format(R"("event":"configuration_in_force","version":{},)", version);
  Eventually([&] { return this->Log(router).find(line) != std::string::npos; });
}

WatchRoles PlatformFleet::Roles() const {
  constexpr std::string_view kEvent = R"("event":"watch_role")";
  constexpr std::string_view kField = R"("role":")";
  WatchRoles roles;
  for (const auto& [router, pid] : this->processes) {
    const std::string log = this->Log(router);
    const auto line = log.rfind(kEvent);
    const auto field = log.find(kField, line);
    if (line == std::string::npos || field == std::string::npos) continue;
    const std::string_view role =
        std::string_view(log).substr(field + kField.size());
    if (role.starts_with("watcher\"")) roles.watchers.push_back(router);
    if (role.starts_with("listener\"")) roles.listeners.push_back(router);
  }
  return roles;
}

WatchRoles PlatformFleet::WaitForElection(std::size_t elected) {
  WatchRoles roles;
  Eventually([&] {
    roles = this->Roles();
    return roles.watchers.size() == elected &&
           roles.listeners.size() == this->processes.size() - elected;
  });
  return roles;
}

std::string PlatformFleet::Log(int router) const {
  std::ifstream file(fmt::format("{}/router-{}.log", this->folder, router));
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string PlatformFleet::Metrics(int router) {
  return this->AskMetricsServer(router,
                                "GET /metrics HTTP/1.1\r\nHost: x\r\n"
                                "Connection: close\r\n\r\n");
}

std::string PlatformFleet::Placement(int router, const std::string& query,
                                     const std::string& key) {
  return this->AskMetricsServer(
      router, fmt::format("GET /placement?{} HTTP/1.1\r\nHost: x\r\n"
                          "Authorization: Bearer {}\r\n"
                          "Connection: close\r\n\r\n",
                          query, key));
}

Endpoint PlatformFleet::MetricsEndpoint(int router) const {
  return {asio::ip::make_address(this->Ip(router)), kMetricsPort};
}

std::string PlatformFleet::AskMetricsServer(int router,
                                            const std::string& bytes) const {
  asio::io_context client;
  asio::ip::tcp::socket socket(client);
  error_code error;
  socket.connect(this->MetricsEndpoint(router), error);
  if (error) return {};
  asio::write(socket, asio::buffer(bytes));
  std::string text;
  while (!error) {
    char buffer[4096];
    const auto size = socket.read_some(asio::buffer(buffer), error);
    text.append(buffer, size);
  }
  return text;
}

std::string PlatformFleet::Exchange(int router, const std::string& bytes,
                                    std::chrono::milliseconds quiet,
                                    int responses) {
  asio::io_context client;
  asio::ip::tcp::socket socket(client);
  error_code error;
  socket.connect(this->ClientEndpoint(router), error);
  if (error) return {};
  asio::write(socket, asio::buffer(bytes), error);
  std::string text;
  char buffer[4096];
  while (true) {
    bool arrived = false;
    socket.async_read_some(asio::buffer(buffer),
                           [&](error_code failed, std::size_t size) {
                             text.append(buffer, size);
                             arrived = !failed;
                           });
    client.restart();
    client.run_for(CountResponses(text) < responses ? kHangTimeout : quiet);
    if (!arrived) return text;
  }
}

void PlatformFleet::SendAndDisconnect(int router, const std::string& bytes) {
  asio::io_context client;
  asio::ip::tcp::socket socket(client);
  socket.connect(this->ClientEndpoint(router));
  asio::write(socket, asio::buffer(bytes));
  char buffer[4096];
  socket.read_some(asio::buffer(buffer));
}

Endpoint PlatformFleet::PeerEndpoint(int router) const {
  return {asio::ip::make_address(this->Ip(router)), kPeerPort};
}

Endpoint PlatformFleet::ClientEndpoint(int router) const {
  return {asio::ip::make_address(this->Ip(router)), kFrontPort};
}

void PlatformFleet::CutOff(const std::vector<int>& routers,
                           emulator::CutKind kind) {
  std::vector<asio::ip::address_v4> sources;
  for (int router : routers) {
    sources.push_back(asio::ip::make_address_v4(this->Ip(router)));
  }
  this->RunOnLoop([&] {
    for (const auto& entry : this->engines) {
      entry.engine->CutOff(sources, kind);
    }
  });
}

std::string PlatformFleet::Ip(int router) const {
  // Lets two runs of tests share a machine.
  const char* subnet = std::getenv("DANDELION_TEST_SUBNET");
  return fmt::format("127.0.{}.{}", subnet == nullptr ? "0" : subnet,
                     10 + router);
}

int Occurrences(const std::string& text, std::string_view part) {
  int count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace dandelionscale::tests
