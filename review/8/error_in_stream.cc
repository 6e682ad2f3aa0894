// Engines answer with streams that have no length and end with their
// connection. One of two engines fails in one stream of twenty: it writes the
// head of an error page behind an event and closes. Checks that no client gets
// such a stream as a complete one.
#include <csignal>
#include <memory>
#include <thread>

#include "../common-2/stand_ins.h"

namespace {

using review::Milliseconds;

constexpr int kEngines = 2;
constexpr int kEvents = 10;
constexpr int kFailsBehind = 5;
constexpr int kFailsOneIn = 20;
constexpr Milliseconds kEventInterval(5);
constexpr int kClients = 8;
constexpr int kStreamsPerClient = 60;
constexpr Milliseconds kDeadline(10000);
constexpr Milliseconds kContact(3000);

constexpr const char* kConfiguration =
    R"({"version":1,"routes":[{"name":"manual","host":"guild.example",)"
    R"("prefix":"/manual/","kind":"streaming","timeout_ms":12000,)"
    R"("target_latency_ms":600,"gap_aim_ms":300,"priority":0,)"
    R"("service":"advice","max_attempts":2,"stream_resume":true,)"
    R"("session_affinity":true}],"services":[{"name":"advice",)"
    R"("max_connections":300,"engine":{"max_slots":48}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"guild","api_keys":["k-guild"]}]})";

// No answer of the protocol: it names no request.
constexpr std::string_view kErrorPage =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    "Connection: close\r\n\r\nstream failed\n";

class ErrorInStream {
 public:
  int Run();

 private:
  bool Start();
  bool Stream(review::Connection& connection, const review::Message& request,
              bool may_fail);
  void SendStreams(int client);

  review::Record record;
  review::Store store;
  std::unique_ptr<review::Router> router;
  std::atomic<int> streams{0};
  std::atomic<int> failed{0};
  std::atomic<int> cut_as_whole{0};
};

bool ErrorInStream::Stream(review::Connection& connection,
                           const review::Message& request, bool may_fail) {
  const std::string id = request.Field("request-id");
  const int after = std::atoi(request.Field("last-event-id").c_str());
  const bool fails = may_fail && review::HasTrouble() && after == 0 &&
                     ++this->streams % kFailsOneIn == 0;
  bool sent = connection.Send(
      "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
      "\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n");
  for (int n = after + 1; n <= kEvents && sent; ++n) {
    if (fails && n > kFailsBehind) {
      ++this->failed;
      this->record.Write("engine fails in " + id + " behind event " +
                         std::to_string(kFailsBehind) + " of " +
                         std::to_string(kEvents));
      connection.Send(kErrorPage);
      return false;
    }
    sent = connection.Send("id: " + std::to_string(n) + "\ndata: piece " +
                           std::to_string(n) + "\n\n");
    std::this_thread::sleep_for(kEventInterval);
  }
  return false;
}

bool ErrorInStream::Start() {
  const auto addresses = review::FindAddresses();
  const std::string folder = review::MakeFolder();
  if (!addresses || folder.empty()) return false;
  const std::string platform = addresses->prefix + "250";
  if (!this->store.Listen(platform, addresses->port, 1)) return false;
  for (int n = 0; n < kEngines; ++n) {
    const std::string ip = addresses->prefix + std::to_string(101 + n);
    const bool may_fail = n == 0;
    const bool started = review::Engine::Start(
        ip, addresses->port,
        [this, may_fail](review::Connection& connection,
                         const review::Message& request) {
          return this->Stream(connection, request, may_fail);
        });
    if (!started) return false;
    this->store.Put(
        "servers", "i-advice-" + std::to_string(n),
        review::MakeEntry("advice", ip + ":" + std::to_string(addresses->port),
                          "ready", 48));
  }
  this->store.Put("op", "config", kConfiguration);
  this->router = std::make_unique<review::Router>(
      1, addresses->prefix + "1", addresses->port, addresses->port, platform,
      folder, "");
  return this->router->Start() &&
         this->router->WaitUntilReady(Milliseconds(10000));
}

void ErrorInStream::SendStreams(int client) {
  for (int n = 0; n < kStreamsPerClient; ++n) {
    const std::string id =
        "s" + std::to_string(client) + "-" + std::to_string(n);
    const int socket =
        review::Connection::Open(this->router->Ip(), this->router->Front());
    if (socket < 0) continue;
    review::Connection connection(socket);
    const std::string own = std::to_string(client * kStreamsPerClient + n);
    connection.Send(review::MakeRequest(
        "POST", "/manual/flame", id,
        "k-guild\r\nModel: m\r\nToken-Count: 120,70\r\nPrompt-Prefix: a" + own +
            ":100,b" + own + ":20",
        static_cast<int>(kDeadline.count()), "why is the flame yellow?"));
    review::Message answer;
    const bool is_whole = connection.ReadMessage(answer, kDeadline);
    const std::string last = "piece " + std::to_string(kEvents);
    const bool has_last = answer.body.find(last) != std::string::npos;
    const bool is_success = answer.SecondWord() == "200";
    if (!is_whole || !is_success || has_last) continue;
    ++this->cut_as_whole;
    this->record.Write("client gets " + id +
                       " ended as complete, without its last event; " +
                       std::to_string(answer.body.size()) + " bytes");
  }
}

int ErrorInStream::Run() {
  constexpr int kBroken = 1;
  constexpr int kCouldNotRun = 2;
  if (!this->Start()) return kCouldNotRun;
  std::this_thread::sleep_for(kContact);
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([this, n] { this->SendStreams(n); });
  }
  for (std::thread& client : clients) client.join();
  this->record.Write(std::to_string(this->failed) + " of " +
                     std::to_string(kClients * kStreamsPerClient) +
                     " streams failed at an engine, " +
                     std::to_string(this->cut_as_whole) +
                     " of them ended as complete");
  return this->cut_as_whole > 0 ? kBroken : 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  auto* run = new ErrorInStream();
  const int result = run->Run();
  review::KillRouters();
  std::fflush(nullptr);
  std::_Exit(result);
}
