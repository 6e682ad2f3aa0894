#include "site.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "../../include/dandelionscale/transport/http_client.h"

namespace dandelionscale::review {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint16_t kFrontPort = 8227;
constexpr std::uint16_t kReadyPort = 8220;
constexpr std::uint16_t kFirstNodePort = 7340;
constexpr std::uint16_t kLastNodePort = 7355;
// The deploy file names it.
constexpr std::uint16_t kMetricsPort = 9464;
constexpr int kFirstSubnet = 71;
constexpr int kLastSubnet = 99;
constexpr int kFirstHost = 10;
constexpr Duration kReadyTimeout = std::chrono::seconds(20);
// A script may run for 120 s.
constexpr Duration kMaxTime = std::chrono::seconds(115);

// As the operator of a small deployment writes it; the limits are those of the
// small sites.
constexpr std::string_view kConfiguration =
    R"({"version":7,"routes":[)"
    R"({"name":"advice","host":"guild.example","prefix":"/advice/","kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"gap_aim_ms":300,"priority":0,"service":"advice-llm","max_attempts":2,"session_affinity":true},)"
    R"({"name":"digest","host":"guild.example","prefix":"/digest/","kind":"streaming","stream_resume":true,"timeout_ms":12000,"target_latency_ms":600,"gap_aim_ms":300,"priority":1,"service":"advice-llm","max_attempts":2,"session_affinity":true},)"
    R"({"name":"book","host":"guild.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"booking-app","max_attempts":2}],)"
    R"("services":[{"name":"advice-llm","max_connections":300,"health_path":"/health","engine":{"max_slots":48}},{"name":"booking-app","max_connections":110,"health_path":"/health"}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"guild","api_keys":["guild-key"],"priority":0}]})";

auto RedirectError(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

bool CanBind(const std::string& ip, std::uint16_t port) {
  asio::io_context loop;
  tcp::acceptor acceptor(loop);
  error_code error;
  acceptor.open(tcp::v4(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(Endpoint(asio::ip::make_address(ip), port), error);
  if (!error) acceptor.listen(1, error);
  return !error;
}

std::string EnvironmentOr(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::string(value);
}

// Returns true if `text` holds a whole answer, and sets its status and body.
bool ParseAnswer(const std::string& text, ClientAnswer& answer) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  constexpr std::string_view kLength = "\r\nContent-Length: ";
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  constexpr std::size_t kStatusAt = 9;
  const auto head_end = text.find(kHeadEnd);
  if (head_end == std::string::npos) return false;
  const std::string head = text.substr(0, head_end + 2);
  answer.status = static_cast<unsigned>(std::atoi(head.c_str() + kStatusAt));
  answer.body = text.substr(head_end + kHeadEnd.size());
  const auto length_at = head.find(kLength);
  if (length_at != std::string::npos) {
    const auto length = static_cast<std::size_t>(
        std::atoll(head.c_str() + length_at + kLength.size()));
    return answer.body.size() >= length;
  }
  return answer.body.ends_with(kLastChunk);
}

std::string FormatChunk(std::string_view data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

}  // namespace

Site::Site(asio::io_context& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      started_at(RuntimeClock::now()),
      store(loop.get_executor()),
      record_path(EnvironmentOr("RECORD", "record.txt")) {
  std::ofstream(this->record_path, std::ios::trunc);
}

Site::~Site() {
  for (const auto& [router, pid] : this->processes) {
    if (pid <= 0) continue;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
}

std::string Site::Ip(int router) const {
  return fmt::format("127.{}.0.{}", this->subnet, kFirstHost + router);
}

std::string Site::SettingsPath(int router) const {
  return fmt::format("{}/router-{}.conf", this->options.folder, router);
}

bool Site::IsSubnetFree() const {
  for (int router = 1; router <= this->options.routers; ++router) {
    for (std::uint16_t port :
         {kFrontPort, kReadyPort, kMetricsPort, kFirstNodePort,
          static_cast<std::uint16_t>(kFirstNodePort + 1)}) {
      if (!CanBind(this->Ip(router), port)) return false;
    }
  }
  return true;
}

bool Site::Start() {
  this->subnet = kFirstSubnet;
  while (!this->IsSubnetFree()) {
    if (++this->subnet > kLastSubnet) return false;
  }
  auto bound = this->store.Listen({asio::ip::address_v4::loopback(), 0});
  if (bound.has_error()) return false;
  this->store_port = bound->port();
  this->store.Put("op", "config", std::string(kConfiguration));
  return true;
}

emulator::ScriptMaker Site::MakeMaker(const std::string& id,
                                      emulator::ScriptMaker work) {
  return [this, id, work = std::move(work)](const HttpRequest& request) {
    if (request.headers.Find("Expect-Instance") != id) {
      return emulator::Script{
          emulator::SendBytes{emulator::MakeResponse(request, 421, "")}};
    }
    const std::string request_id(request.headers.Find("Request-Id"));
    this->arrivals.push_back({request_id, id, RuntimeClock::now()});
    this->Record(fmt::format("engine {} runs {}", id, request_id));
    return work(request);
  };
}

void Site::AddEngine(const std::string& id, const std::string& service,
                     emulator::ScriptMaker work) {
  RegisteredEngine entry;
  entry.service = service;
  entry.engine = std::make_unique<emulator::ScriptedEngine>(
      this->loop.get_executor(), this->MakeMaker(id, std::move(work)));
  entry.port =
      entry.engine->Listen({asio::ip::address_v4::loopback(), 0})->port();
  this->engines[id] = std::move(entry);
  this->WriteEntry(id, "v1");
}

void Site::WriteEntry(const std::string& id, const std::string& version) {
  const RegisteredEngine& entry = this->engines.at(id);
  this->store.Put(
      "servers", id,
      fmt::format(
          R"({{"service":"{}","address":"127.0.0.1:{}","zone":"north","version":"{}","max_slots":48,"state":"ready","cold_remaining_ms":0,"call_seq":1,"born":{}}})",
          entry.service, entry.port, version, entry.born_unix_ms));
  this->Record(
      fmt::format("store: entry of engine {}, version {}", id, version));
}

bool Site::RestartEngine(const std::string& id, emulator::ScriptMaker work) {
  constexpr std::int64_t kTimeBetweenStartsMs = 5000;
  RegisteredEngine& entry = this->engines.at(id);
  entry.born_unix_ms += kTimeBetweenStartsMs;
  entry.engine = std::make_unique<emulator::ScriptedEngine>(
      this->loop.get_executor(), this->MakeMaker(id, std::move(work)));
  this->Record(fmt::format("engine {} starts again", id));
  return entry.engine->Listen({asio::ip::address_v4::loopback(), entry.port})
      .has_value();
}

void Site::RemoveEntry(const std::string& id) {
  this->store.Remove("servers", id);
  this->Record(fmt::format("store: the entry of engine {} is removed", id));
}

void Site::EndEngine(const std::string& id) {
  RegisteredEngine& entry = this->engines.at(id);
  entry.engine->CutOff({asio::ip::address_v4::loopback()},
                       emulator::CutKind::kReset);
  // Closes the listener.
  entry.engine.reset();
  this->Record(fmt::format("engine {} ends", id));
}

bool Site::StartRouter(int router) {
  const std::string ip = this->Ip(router);
  std::ofstream(this->SettingsPath(router))
      << "node_name=edge-north-" << router << "\nrole=router\n"
      << "machine_class=edge\nserves=edge\nip=" << ip
      << "\nzone=north\nregion=bengal\nzones.north=bengal\n"
      << "listen.front=" << ip << ':' << kFrontPort << "\nlisten.ready=" << ip
      << ':' << kReadyPort << "\nport_range=" << kFirstNodePort << ','
      << kLastNodePort << "\nlimits.cpu_share=0.25\nlimits.cores=1\n"
      << "limits.memory_mb=" << this->options.memory_mb
      << "\nlimits.max_fds=4100\nheartbeat_ms=1200\n"
      << "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
      << "bounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\n"
      << "bounds.budget_window_s=10\nbounds.budget_extra=56\n"
      << "bounds.cap_x=2\nplatform.address=127.0.0.1:" << this->store_port
      << "\nplatform.form=table\n";
  const std::string program =
      EnvironmentOr("ROUTER_PROGRAM", "target/dandelion-platform-router");
  const std::string setting =
      "DANDELIONSCALE_CONFIG=" + this->SettingsPath(router);
  const std::string log =
      fmt::format("{}/router-{}.log", this->options.folder, router);
  std::vector<char*> arguments = {const_cast<char*>(program.c_str()), nullptr};
  std::vector<char*> environment = {const_cast<char*>(setting.c_str()),
                                    nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  pid_t pid = 0;
  const int failed = ::posix_spawn(&pid, program.c_str(), &actions, nullptr,
                                   arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) return false;
  this->processes[router] = pid;
  this->Record(fmt::format("router {} starts", router));
  return true;
}

void Site::Signal(int router, int signal) {
  const pid_t pid = this->processes[router];
  if (pid > 0) ::kill(pid, signal);
  this->Record(fmt::format("router {} gets signal {}", router, signal));
}

bool Site::HasEnded(int router) {
  pid_t& pid = this->processes[router];
  if (pid <= 0) return true;
  if (::waitpid(pid, nullptr, WNOHANG) != pid) return false;
  pid = 0;
  return true;
}

int Site::MemoryMb(int router) const {
  constexpr int kKilobytesPerMegabyte = 1024;
  const auto found = this->processes.find(router);
  if (found == this->processes.end() || found->second <= 0) return 0;
  std::ifstream status(fmt::format("/proc/{}/status", found->second));
  for (std::string line; std::getline(status, line);) {
    if (!line.starts_with("VmRSS:")) continue;
    std::istringstream words(line);
    std::string name;
    int kilobytes = 0;
    words >> name >> kilobytes;
    return kilobytes / kKilobytesPerMegabyte;
  }
  return 0;
}

Awaitable<bool> Site::WaitUntilReady(int router) {
  const TimePoint until = RuntimeClock::now() + kReadyTimeout;
  HttpClient client(this->loop.get_executor(), nullptr);
  const Endpoint endpoint(asio::ip::make_address(this->Ip(router)), kReadyPort);
  while (RuntimeClock::now() < until) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/dandelionscale/ready";
    const auto response =
        co_await client.Fetch(endpoint, std::move(request),
                              ConnectionUse::kFresh, std::chrono::seconds(1));
    if (response.has_value() && response->status == 200) co_return true;
    const Duration pause = std::chrono::milliseconds(50);
    co_await SleepFor(pause);
  }
  co_return false;
}

Awaitable<double> Site::Metric(int router, std::string name) {
  HttpClient client(this->loop.get_executor(), nullptr);
  HttpRequest request;
  request.method = "GET";
  request.target = "/metrics";
  const auto response = co_await client.Fetch(
      Endpoint(asio::ip::make_address(this->Ip(router)), kMetricsPort),
      std::move(request), ConnectionUse::kFresh, std::chrono::seconds(1));
  if (response.has_error()) co_return -1;
  std::istringstream lines(response->body);
  for (std::string line; std::getline(lines, line);) {
    const auto space = line.find(' ');
    if (space == std::string::npos) continue;
    if (line.substr(0, space).ends_with(name)) {
      co_return std::atof(line.c_str() + space);
    }
  }
  co_return -1;
}

Awaitable<ClientAnswer> Site::Send(int router, ClientCall call) {
  constexpr int kPieces = 20;
  constexpr Duration kSlack = std::chrono::seconds(2);
  ClientAnswer answer;
  auto socket = std::make_shared<tcp::socket>(this->loop);
  auto timeout = std::make_shared<Timer>(this->loop.get_executor());
  timeout->expires_after(call.leave_after > Duration::zero()
                             ? call.leave_after
                             : std::chrono::milliseconds(call.deadline_ms) +
                                   kSlack);
  timeout->async_wait([socket](error_code error) {
    error_code ignored;
    if (!error) socket->close(ignored);
  });
  error_code error;
  co_await socket->async_connect(
      Endpoint(asio::ip::make_address(this->Ip(router)), kFrontPort),
      RedirectError(error));
  std::string head = fmt::format(
      "POST {} HTTP/1.1\r\nHost: guild.example\r\nRequest-Id: {}\r\n"
      "Request-Deadline: {}\r\nAuthorization: Token guild-key\r\n{}",
      call.target, call.id, call.deadline_ms, call.headers);
  head += call.chunked
              ? std::string("Transfer-Encoding: chunked\r\n\r\n")
              : fmt::format("Content-Length: {}\r\n\r\n", call.body.size());
  if (!error) {
    co_await asio::async_write(*socket, asio::buffer(head),
                               RedirectError(error));
  }
  const std::size_t piece = call.body.size() / kPieces + 1;
  for (std::size_t at = 0; at < call.body.size() && !error; at += piece) {
    const std::string data = call.body.substr(at, piece);
    const std::string text = call.chunked ? FormatChunk(data) : data;
    const bool is_last = at + piece >= call.body.size();
    co_await asio::async_write(*socket, asio::buffer(text),
                               RedirectError(error));
    const Duration pause = call.upload_time / kPieces;
    if (pause > Duration::zero() && !is_last) co_await SleepFor(pause);
  }
  if (call.chunked && !error) {
    co_await asio::async_write(*socket, asio::buffer("0\r\n\r\n", 5),
                               RedirectError(error));
  }
  answer.all_sent_at = RuntimeClock::now();
  std::string text;
  std::array<char, 16384> buffer;
  while (!error && !answer.is_whole) {
    const std::size_t size = co_await socket->async_read_some(
        asio::buffer(buffer), RedirectError(error));
    text.append(buffer.data(), size);
    answer.is_whole = ParseAnswer(text, answer);
  }
  answer.ended_at = RuntimeClock::now();
  timeout->cancel();
  this->Record(fmt::format(
      "client: {} to router {}: status {}, {}", call.id, router, answer.status,
      answer.is_whole ? std::string("whole") : "ended: " + error.message()));
  co_return answer;
}

void Site::Record(const std::string& line) {
  std::ofstream record(this->record_path, std::ios::app);
  record << fmt::format(
      "{:8.3f} {}\n",
      std::chrono::duration<double>(RuntimeClock::now() - this->started_at)
          .count(),
      line);
}

int RunCase(Site::Options options,
            const std::function<Awaitable<int>(Site&, bool)>& play) {
  std::signal(SIGPIPE, SIG_IGN);
  options.folder = EnvironmentOr("WORK_FOLDER", "");
  if (options.folder.empty()) return kNotRun;
  const bool trouble = EnvironmentOr("TROUBLE", "1") != "0";
  asio::io_context loop;
  int outcome = kNotRun;
  auto site = std::make_unique<Site>(loop, std::move(options));
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        bool started = site->Start();
        for (int n = 1; started && n <= site->Routers(); ++n) {
          started = site->StartRouter(n);
        }
        for (int n = 1; started && n <= site->Routers(); ++n) {
          started = co_await site->WaitUntilReady(n);
        }
        if (started) outcome = co_await play(*site, trouble);
        loop.stop();
      },
      asio::detached);
  Timer guard(loop.get_executor());
  guard.expires_after(kMaxTime);
  guard.async_wait([&](error_code error) {
    if (!error) loop.stop();
  });
  loop.run();
  site->Record(fmt::format("outcome: {}", outcome == kHeld     ? "held"
                                          : outcome == kBroken ? "broken"
                                                               : "not run"));
  return outcome;
}

emulator::Script MakeStream(const HttpRequest& request, int events,
                            Duration interval) {
  emulator::Script script;
  script.push_back(emulator::SendBytes{emulator::MakeStreamHead(request)});
  for (int id = 1; id <= events; ++id) {
    script.push_back(emulator::Pause{interval});
    script.push_back(emulator::SendBytes{emulator::MakeEventChunk(id)});
  }
  script.push_back(emulator::SendBytes{std::string(emulator::kStreamEnd)});
  return script;
}

emulator::Script MakePlainAnswer(const HttpRequest& request, Duration work) {
  emulator::Script script;
  script.push_back(emulator::Pause{work});
  script.push_back(
      emulator::SendBytes{emulator::MakeResponse(request, 200, "booked\n")});
  return script;
}

}  // namespace dandelionscale::review
