#include "stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr Milliseconds kLongTime = std::chrono::minutes(3);
constexpr const char* kProgram = "target/dandelion-platform-router";

std::mutex started_mutex;
std::set<pid_t>& StartedRouters() {
  static std::set<pid_t> started;
  return started;
}

sockaddr_in ToAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

constexpr std::string_view kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const unsigned byte =
          n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0;
      group = group << 8 | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool is_padding = n + k > bytes.size();
      text += is_padding ? '=' : kBase64[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

std::string DecodeBase64(std::string_view text) {
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text) {
    const auto value = kBase64.find(c);
    if (value == std::string_view::npos) break;
    group = group << 6 | static_cast<unsigned>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255);
  }
  return bytes;
}

// Returns the text value of the first member `name` at or after `from`.
std::string TextMember(const std::string& json, const std::string& name,
                       std::size_t from) {
  const auto at = json.find("\"" + name + "\":\"", from);
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 4;
  return json.substr(begin, json.find('"', begin) - begin);
}

}  // namespace

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

Record::Record() {
  const char* path = std::getenv("RECORD");
  this->file = std::fopen(path == nullptr ? "record.txt" : path, "w");
}

Record::~Record() {
  if (this->file != nullptr) std::fclose(this->file);
}

void Record::Write(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->file == nullptr) return;
  std::fprintf(this->file, "%8.3f s  %s\n",
               static_cast<double>(this->Now()) / 1000, text.c_str());
  std::fflush(this->file);
}

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - this->began)
      .count();
}

std::string Message::Field(const std::string& name) const {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? "" : found->second;
}

std::string Message::SecondWord() const {
  std::istringstream words(this->first_line);
  std::string first;
  std::string second;
  words >> first >> second;
  return second;
}

Connection::~Connection() { close(this->socket); }

int Connection::Open(const std::string& ip, std::uint16_t port,
                     int receive_buffer) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (socket < 0) return -1;
  if (receive_buffer > 0) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const sockaddr_in address = ToAddress(ip, port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket);
    return -1;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

bool Connection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto size =
        send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

long Connection::ReadSome(char* bytes, std::size_t size, Milliseconds timeout) {
  pollfd entry{this->socket, POLLIN, 0};
  const int ready = poll(&entry, 1, static_cast<int>(timeout.count()));
  if (ready <= 0) return -1;
  return recv(this->socket, bytes, size, 0);
}

bool Connection::IsOpen() const {
  char byte = 0;
  const auto size = recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

bool Connection::Fill(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - Clock::now());
  if (left.count() <= 0) return false;
  char bytes[16384];
  const long size = this->ReadSome(bytes, sizeof(bytes), left);
  if (size <= 0) return false;
  this->buffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool Connection::ReadMessage(Message& message, Milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until)) return false;
  }
  std::istringstream head(this->buffer.substr(0, end));
  this->buffer.erase(0, end + 4);
  message = Message();
  std::string line;
  while (std::getline(head, line)) {
    if (line.ends_with('\r')) line.pop_back();
    const auto colon = line.find(':');
    if (message.first_line.empty()) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      const auto begin = line.find_first_not_of(' ', colon + 1);
      message.fields[ToLower(line.substr(0, colon))] =
          begin == std::string::npos ? "" : line.substr(begin);
    }
  }
  return this->ReadBody(message, until);
}

bool Connection::ReadBody(Message& message, Clock::time_point until) {
  if (message.Field("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t end = 0;
      while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->Fill(until)) return false;
      }
      const auto size = static_cast<std::size_t>(
          std::strtoul(this->buffer.c_str(), nullptr, 16));
      while (this->buffer.size() < end + 2 + size + 2) {
        if (!this->Fill(until)) return false;
      }
      message.body += this->buffer.substr(end + 2, size);
      this->buffer.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  const auto length = static_cast<std::size_t>(
      std::atoll(message.Field("content-length").c_str()));
  while (this->buffer.size() < length) {
    if (!this->Fill(until)) return false;
  }
  message.body = this->buffer.substr(0, length);
  this->buffer.erase(0, length);
  return true;
}

bool Listener::Start(const std::string& ip, std::uint16_t port,
                     Handler handler) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToAddress(ip, port);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket, 256) != 0) {
    close(socket);
    return false;
  }
  std::thread([socket, handler = std::move(handler)] {
    while (true) {
      const int accepted = accept(socket, nullptr, nullptr);
      if (accepted < 0) continue;
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      std::thread([accepted, handler] {
        Connection connection(accepted);
        handler(connection);
      }).detach();
    }
  }).detach();
  return true;
}

bool Store::Listen(const std::string& ip, std::uint16_t first_port, int ports) {
  for (int n = 0; n < ports; ++n) {
    const bool listens = Listener::Start(
        ip, static_cast<std::uint16_t>(first_port + n),
        [this, n](Connection& connection) { this->Serve(connection, n); });
    if (!listens) return false;
  }
  return true;
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->rows[{table, key}] = {value, ++this->version, false};
  this->changed.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->rows[{table, key}] = {"", ++this->version, true};
  this->changed.notify_all();
}

void Store::Silence(std::set<int> new_silent) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->silent = std::move(new_silent);
  this->changed.notify_all();
}

std::set<int> Store::Watchers() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return {this->watching.begin(), this->watching.end()};
}

void Store::Serve(Connection& connection, int router) {
  Message request;
  while (connection.ReadMessage(request, kLongTime)) {
    const auto answer = this->Answer(request, router);
    // A machine that is turned away silently gets no answer on this connection,
    // also later.
    if (!answer) {
      while (connection.IsOpen()) std::this_thread::sleep_for(Milliseconds(50));
      return;
    }
    if (!connection.Send(*answer)) return;
  }
}

std::optional<std::string> Store::Answer(const Message& request, int router) {
  const std::string target = request.SecondWord();
  const std::string table = QueryValue(target, "table");
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->silent.contains(router)) return std::nullopt;
  std::string rows = "[]";
  if (target.starts_with("/dandelionscale/rows-get")) {
    rows = this->Rows(table, 0, false);
  } else if (target.starts_with("/dandelionscale/rows-feed")) {
    const std::uint64_t after =
        std::strtoull(QueryValue(target, "after_rev").c_str(), nullptr, 10);
    const auto until =
        Clock::now() +
        Milliseconds(std::atoll(QueryValue(target, "wait_ms").c_str()));
    const auto entry =
        table == "op" ? this->watching.insert(router) : this->watching.end();
    while (!this->HasRows(table, after) && Clock::now() < until &&
           !this->silent.contains(router)) {
      this->changed.wait_until(lock, until);
    }
    if (entry != this->watching.end()) this->watching.erase(entry);
    if (this->silent.contains(router)) return std::nullopt;
    rows = this->Rows(table, after, true);
  } else {
    this->Transact(request.body);
  }
  const std::string body =
      "{\"rows\":" + rows +
      ",\"has_more\":false,\"ver\":" + std::to_string(this->version) +
      ",\"server_time_ms\":0}";
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Store-Era: 1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Store::HasRows(const std::string& table, std::uint64_t after) const {
  return std::any_of(this->rows.begin(), this->rows.end(), [&](const auto& e) {
    return std::get<0>(e.first) == table && e.second.version > after;
  });
}

std::string Store::Rows(const std::string& table, std::uint64_t after,
                        bool all) {
  std::string list;
  for (const auto& [name, row] : this->rows) {
    if (std::get<0>(name) != table || row.version <= after) continue;
    if (row.removed && !all) continue;
    list += std::string(list.empty() ? "" : ",") + "{\"table\":\"" + table +
            "\",\"part\":\"\",\"key\":\"" + std::get<1>(name) +
            "\",\"value\":\"" + EncodeBase64(row.value) +
            "\",\"ver\":" + std::to_string(row.version) +
            (row.removed ? ",\"deleted\":true}" : "}");
  }
  return "[" + list + "]";
}

void Store::Transact(const std::string& body) {
  const auto begin = body.find("\"upserts\"");
  if (begin == std::string::npos) return;
  this->rows[{TextMember(body, "table", begin),
              TextMember(body, "key", begin)}] = {
      DecodeBase64(TextMember(body, "value", begin)), ++this->version, false};
  this->changed.notify_all();
}

bool Engine::Start(const std::string& ip, std::uint16_t port, Handler handler,
                   Reporter reporter) {
  return Listener::Start(ip, port, [handler, reporter](Connection& connection) {
    Message request;
    while (connection.ReadMessage(request, kLongTime)) {
      const std::string target = request.SecondWord();
      if (!target.starts_with("/dandelionscale/")) {
        if (!handler(connection, request)) return;
        continue;
      }
      // Reports and news of the prompt cache: nothing runs, nothing is kept.
      std::string body = R"({"stage":"both","queued":0,"running":0,"runs":[]})";
      if (target.find("kv-") != std::string::npos) {
        std::this_thread::sleep_for(Milliseconds(900));
        body = R"({"epoch":1,"next":0,"lost":false,"events":[]})";
      } else if (reporter) {
        body = reporter();
      }
      const bool sent = connection.Send(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          "Content-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
      if (!sent) return;
    }
  });
}

std::string MakeAnswer(const Message& request, int status,
                       std::string_view body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nRequest-Id: " + request.Field("request-id") +
         "\r\nResponse-Seal: seal\r\nKeep-Alive: timeout=10\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string MakeEntry(const std::string& service, const std::string& address,
                      const std::string& state, int slots) {
  return R"({"service":")" + service + R"(","address":")" + address +
         R"(","zone":"north","version":"v1","max_slots":)" +
         std::to_string(slots) + R"(,"state":")" + state +
         R"(","cold_remaining_ms":0,"call_seq":1,"born":1700000000000})";
}

Router::Router(int number, std::string ip, std::uint16_t front,
               std::uint16_t store_port, const std::string& store_ip,
               const std::string& folder, const std::string& settings)
    : number(number), ip(std::move(ip)), front(front) {
  const std::string name = "edge-north-" + std::to_string(number);
  this->settings_path = folder + "/" + name + ".conf";
  this->log_path = folder + "/" + name + ".log";
  std::ofstream(this->settings_path)
      << "node_name=" << name << "\nrole=router\nmachine_class=edge\n"
      << "serves=edge\nzone=north\nregion=bengal\nip=" << this->ip
      << "\nlisten.front=" << this->ip << ":" << front
      << "\nlisten.ready=" << this->ip << ":" << front + 1
      << "\nlisten.control=" << this->ip << ":" << front + 2
      << "\nport_range=" << front + 10 << "," << front + 25
      << "\nplatform.address=" << store_ip << ":" << store_port
      << "\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
         "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
         "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
         "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
         "bounds.budget_extra=56\nbounds.cap_x=2\n"
      << settings;
}

bool Router::Start() {
  const std::string variable = "DANDELIONSCALE_CONFIG=" + this->settings_path;
  this->pid = fork();
  if (this->pid == 0) {
    const int log =
        open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    char* arguments[] = {const_cast<char*>(kProgram), nullptr};
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    execve(kProgram, arguments, environment);
    _exit(127);
  }
  const std::lock_guard<std::mutex> lock(started_mutex);
  if (this->pid > 0) StartedRouters().insert(this->pid);
  return this->pid > 0;
}

void Router::Signal(int signal) const {
  if (this->pid > 0) kill(this->pid, signal);
}

void Router::Wait() {
  if (this->pid <= 0) return;
  waitpid(this->pid, nullptr, 0);
  const std::lock_guard<std::mutex> lock(started_mutex);
  StartedRouters().erase(this->pid);
  this->pid = 0;
}

bool Router::IsReady() const {
  const int socket =
      Connection::Open(this->ip, static_cast<std::uint16_t>(this->front + 1));
  if (socket < 0) return false;
  Connection connection(socket);
  connection.Send("GET /dandelionscale/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  Message answer;
  return connection.ReadMessage(answer, Milliseconds(500)) &&
         answer.SecondWord() == "200";
}

bool Router::WaitUntilReady(Milliseconds timeout) const {
  const auto until = Clock::now() + timeout;
  while (Clock::now() < until) {
    if (this->IsReady()) return true;
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

void KillRouters() {
  const std::lock_guard<std::mutex> lock(started_mutex);
  for (const pid_t pid : StartedRouters()) kill(pid, SIGKILL);
  for (const pid_t pid : StartedRouters()) waitpid(pid, nullptr, 0);
  StartedRouters().clear();
}

std::string MakeRequest(const std::string& method, const std::string& path,
                        const std::string& id, const std::string& key,
                        int deadline_ms, std::string_view body) {
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: guild.example\r\nRequest-Id: " + id +
                     "\r\nRequest-Deadline: " + std::to_string(deadline_ms) +
                     "\r\nAuthorization: Token " + key + "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + std::string(body);
}

int Call(const Router& router, const std::string& request,
         Milliseconds timeout) {
  const int socket = Connection::Open(router.Ip(), router.Front());
  if (socket < 0) return 0;
  Connection connection(socket);
  Message answer;
  if (!connection.Send(request)) return 0;
  if (!connection.ReadMessage(answer, timeout)) return 0;
  return std::atoi(answer.SecondWord().c_str());
}

std::optional<Addresses> FindAddresses() {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 50; ++tries) {
    const Addresses found = {
        "127." + std::to_string(10 + random() % 200) + "." +
            std::to_string(1 + random() % 250) + ".",
        static_cast<std::uint16_t>(21000 + random() % 300 * 30)};
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = ToAddress(found.prefix + "1", found.port);
    const bool is_free =
        bind(socket, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0;
    close(socket);
    if (is_free) return found;
  }
  return std::nullopt;
}

std::string MakeFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

}  // namespace review
