#ifndef DANDELIONSCALE_TESTS_SUPPORT_PLATFORM_FLEET_H_
#define DANDELIONSCALE_TESTS_SUPPORT_PLATFORM_FLEET_H_

#include <sys/types.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "scripted_engine.h"
#include "store_service.h"

namespace dandelionscale::tests {

/// \brief Routers of the platform as real processes, before stand-ins of the
///        store and of engines that run in this process.
///
/// Router N (from 1) has the address 127.0.0.(10 + N). Ports are the same for
/// all. The stand-ins run on one thread; `Do()` reaches them from a test.
class PlatformFleet {
 public:
  explicit PlatformFleet(int routers);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  /// \brief Runs `action` on the stand-ins' thread and waits for it.
  void Do(const std::function<void()>& action);

  /// \brief Adds an engine and lists it. \returns its number.
  int AddEngine(const std::string& service, emulator::ScriptMaker maker);
  void ListEngine(int engine, const std::string& state = "ready");
  void UnlistEngine(int engine);
  void SetScript(int engine, emulator::ScriptMaker maker);
  std::vector<HttpRequest> Requests(int engine);
  /// \returns the requests that reached any engine.
  std::size_t TotalRequests();
  void PutConfiguration(std::uint64_t version, const std::string& routes = "");
  void SetStoreMode(emulator::StoreMode mode);

  void StartRouter(int router);
  /// \brief Adds lines to the router's settings file; later ones win.
  void AppendSettings(int router, const std::string& lines);
  void Signal(int router, int signal);
  int WaitForExit(int router);
  /// \brief Waits until the router is ready and knows the listed engines.
  void WaitUntilReady(int router);
  bool IsReady(int router);
  /// \returns what the router has written to its log.
  std::string Log(int router) const;
  std::string Metrics(int router);

  /// \brief Sends bytes on a new connection and reads until the other side
  ///        closes, or until as many whole answers as asked for have come and
  ///        then nothing more for `quiet`.
  std::string Exchange(
      int router, const std::string& bytes,
      std::chrono::milliseconds quiet = std::chrono::milliseconds(300),
      int answers = 1);
  /// \brief Sends bytes on a new connection and leaves after the first bytes of
  ///        the answer.
  void SendAndLeave(int router, const std::string& bytes);
  Endpoint Front(int router) const;

  emulator::StoreService& Store() { return *this->store; }

 private:
  struct Listed {
    std::unique_ptr<emulator::ScriptedEngine> engine;
    std::string service;
    std::uint16_t port = 0;
  };

  std::string Ip(int router) const;
  std::string SettingsPath(int router) const;

  std::string folder;
  boost::asio::io_context loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
  std::unique_ptr<emulator::StoreService> store;
  std::uint16_t store_port = 0;
  std::vector<Listed> engines;
  std::set<int> listed;  ///< Engines in the store, by number.
  std::map<int, pid_t> processes;
};

/// \returns the bytes of a client's request.
std::string ClientBytes(const std::string& method, const std::string& target,
                        const std::string& id, const std::string& more = "",
                        const std::string& body = "");

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_PLATFORM_FLEET_H_
