// A fleet of routers in a rollout: the operator sends a configuration each
// third of a second, each of which withdraws a key, and new engines register.
// In the middle, the store turns a third of the machines away in silence and
// serves the others. Checks that none of the others lets a key pass that was
// withdrawn more than `config_apply_ms` before the request was sent.
#include <csignal>
#include <memory>
#include <thread>

#include "../common-2/stand_ins.h"

namespace {

using review::Clock;
using review::Milliseconds;

constexpr int kRouters = 18;
constexpr std::size_t kSilenced = 6;
constexpr std::size_t kWatchers = 3;
constexpr int kZones = 3;
constexpr int kFirstEngines = 2;
constexpr int kRounds = 4;
constexpr Milliseconds kContact(3000);
constexpr Milliseconds kConfigApply(2000);
// A storm of configurations, and the time for which the store turns the
// machines away from its middle on.
constexpr Milliseconds kStorm(4000);
constexpr Milliseconds kGap(330);
constexpr Milliseconds kSilence(4500);
// For how long after `kConfigApply` a withdrawn key is tried, and how often.
constexpr Milliseconds kTried(1200);
constexpr Milliseconds kTryInterval(60);

class RevokedKey {
 public:
  int Run();

 private:
  /// A key that the operator has withdrawn.
  struct Withdrawn {
    std::string key;
    int version = 0;
    Clock::time_point acknowledged;
  };

  bool Start();
  std::string Configuration(const std::set<std::string>& keys);
  void Put(const std::set<std::string>& keys, const std::string& what);
  bool AddEngine();
  std::set<int> FindWatchers(const std::set<int>& silenced);
  std::set<int> FindReaders();
  int RunRound(int round, const std::set<int>& silenced);
  int TryKeys(int router, const std::vector<Withdrawn>& withdrawn,
              std::mutex& mutex, Clock::time_point until);

  review::Record record;
  review::Store store;
  std::vector<std::unique_ptr<review::Router>> routers;
  review::Addresses addresses;
  int version = 0;
  int engines = 0;
  std::atomic<int> requests{0};
};

std::string RevokedKey::Configuration(const std::set<std::string>& keys) {
  std::string list = R"("k-guild")";
  for (const std::string& key : keys) list += ",\"" + key + "\"";
  return R"({"version":)" + std::to_string(++this->version) +
         R"(,"routes":[{"name":"status","host":"guild.example",)"
         R"("prefix":"/status/","kind":"idempotent","timeout_ms":3000,)"
         R"("target_latency_ms":300,"priority":1,"service":"booking",)"
         R"("max_attempts":2}],"services":[{"name":"booking",)"
         R"("max_connections":110}],"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000},"tenants":[{"name":"guild",)"
         R"("api_keys":[)" +
         list + "]}]}";
}

void RevokedKey::Put(const std::set<std::string>& keys,
                     const std::string& what) {
  this->store.Put("op", "config", this->Configuration(keys));
  this->record.Write("operator: version " + std::to_string(this->version) +
                     what + ", acknowledged");
}

// An engine starts and writes its entry.
bool RevokedKey::AddEngine() {
  const int number = ++this->engines;
  const std::string ip = this->addresses.prefix + std::to_string(100 + number);
  const bool started = review::Engine::Start(
      ip, this->addresses.port,
      [](review::Connection& connection, const review::Message& request) {
        return connection.Send(review::MakeAnswer(request, 200, "done\n"));
      });
  this->store.Put(
      "servers", "i-booking-" + std::to_string(number),
      review::MakeEntry("booking",
                        ip + ":" + std::to_string(this->addresses.port),
                        "ready", 6));
  return started;
}

bool RevokedKey::Start() {
  const auto found = review::FindAddresses();
  const std::string folder = review::MakeFolder();
  if (!found || folder.empty()) return false;
  this->addresses = *found;
  const std::string platform = found->prefix + "250";
  const auto store_port = static_cast<std::uint16_t>(found->port);
  if (!this->store.Listen(platform, store_port, kRouters)) return false;
  for (int n = 0; n < kFirstEngines; ++n) {
    if (!this->AddEngine()) return false;
  }
  this->Put({}, "");
  for (int n = 0; n < kRouters; ++n) {
    this->routers.push_back(std::make_unique<review::Router>(
        n + 1, found->prefix + std::to_string(n + 1), found->port,
        static_cast<std::uint16_t>(store_port + n), platform, folder,
        "zone=zone-" + std::to_string(n % kZones) + "\n"));
    if (!this->routers.back()->Start()) return false;
  }
  for (const auto& router : this->routers) {
    if (!router->WaitUntilReady(Milliseconds(15000))) return false;
  }
  return true;
}

// Waits until the routers have agreed on who watches the store.
std::set<int> RevokedKey::FindWatchers(const std::set<int>& silenced) {
  std::set<int> watchers;
  for (int tries = 0; tries < 80; ++tries) {
    watchers = this->store.Watchers();
    for (const int n : silenced) watchers.erase(n);
    if (watchers.size() == kWatchers) break;
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return watchers;
}

// Returns the machines that read the store: those that watch it, and those that
// take over from them.
std::set<int> RevokedKey::FindReaders() {
  std::set<int> readers = this->FindWatchers({});
  this->store.Silence(readers);
  std::this_thread::sleep_for(kSilence - Milliseconds(1500));
  for (const int n : this->FindWatchers(readers)) {
    if (readers.size() < kSilenced) readers.insert(n);
  }
  this->store.Silence({});
  return readers;
}

// Tries withdrawn keys at one router. Returns how often one passed.
int RevokedKey::TryKeys(int router, const std::vector<Withdrawn>& withdrawn,
                        std::mutex& mutex, Clock::time_point until) {
  int passed = 0;
  while (Clock::now() < until) {
    std::vector<Withdrawn> due;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      for (const Withdrawn& entry : withdrawn) {
        const auto age = Clock::now() - entry.acknowledged;
        if (age > kConfigApply && age < kConfigApply + kTried) {
          due.push_back(entry);
        }
      }
    }
    for (const Withdrawn& entry : due) {
      const std::string id = "r" + std::to_string(++this->requests);
      const auto sent = std::chrono::duration_cast<Milliseconds>(
          Clock::now() - entry.acknowledged);
      const int status = review::Call(
          *this->routers[static_cast<std::size_t>(router)],
          review::MakeRequest("GET", "/status/7", id, entry.key, 3000, ""),
          Milliseconds(3500));
      if (status != 200) continue;
      ++passed;
      this->record.Write("edge-north-" + std::to_string(router + 1) +
                         " let pass request " + id + " with the key " +
                         entry.key + ", sent " + std::to_string(sent.count()) +
                         " ms after version " + std::to_string(entry.version) +
                         " that withdrew it was acknowledged");
    }
    std::this_thread::sleep_for(kTryInterval);
  }
  return passed;
}

int RevokedKey::RunRound(int round, const std::set<int>& silenced) {
  const auto steps = static_cast<int>(kStorm / kGap);
  std::set<std::string> keys;
  for (int n = 0; n < steps; ++n) {
    keys.insert("k" + std::to_string(round) + "-" + std::to_string(n));
  }
  this->Put(keys, " adds keys");
  std::this_thread::sleep_for(kContact);
  std::mutex mutex;
  std::vector<Withdrawn> withdrawn;
  std::atomic<int> passed{0};
  const auto until = Clock::now() + kStorm + kConfigApply + kTried;
  std::vector<std::thread> clients;
  for (int n = 0; n < kRouters; ++n) {
    if (silenced.contains(n)) continue;
    clients.emplace_back(
        [&, n] { passed += this->TryKeys(n, withdrawn, mutex, until); });
  }
  for (int n = 0; n < steps; ++n) {
    if (n == steps / 2 && review::HasTrouble()) {
      this->store.Silence(silenced);
      this->record.Write("the store turns a third of the machines away");
    }
    const std::string key =
        "k" + std::to_string(round) + "-" + std::to_string(n);
    keys.erase(key);
    this->AddEngine();
    this->Put(keys, " withdraws " + key);
    {
      const std::lock_guard<std::mutex> lock(mutex);
      withdrawn.push_back({key, this->version, Clock::now()});
    }
    std::this_thread::sleep_for(kGap);
  }
  std::this_thread::sleep_for(kSilence - kStorm / 2);
  this->store.Silence({});
  this->record.Write("the store serves all machines");
  for (std::thread& client : clients) client.join();
  this->record.Write("round " + std::to_string(round) + ": " +
                     std::to_string(passed) + " requests passed too late");
  return passed;
}

int RevokedKey::Run() {
  constexpr int kBroken = 1;
  constexpr int kCouldNotRun = 2;
  if (!this->Start()) return kCouldNotRun;
  std::this_thread::sleep_for(kContact);
  const std::set<int> silenced = this->FindReaders();
  if (silenced.size() != kSilenced) return kCouldNotRun;
  std::string names;
  for (const int n : silenced) names += " edge-north-" + std::to_string(n + 1);
  this->record.Write("machines that the store will turn away:" + names);
  int passed = 0;
  for (int round = 1; round <= kRounds; ++round) {
    // All machines are in touch again, and so is the store.
    std::this_thread::sleep_for(kContact);
    passed += this->RunRound(round, silenced);
  }
  this->record.Write(std::to_string(passed) + " of " +
                     std::to_string(this->requests) +
                     " requests with a withdrawn key passed too late");
  return passed > 0 ? kBroken : 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  auto* run = new RevokedKey();
  const int result = run->Run();
  review::KillRouters();
  std::fflush(nullptr);
  std::_Exit(result);
}
