#ifndef DANDELIONSCALE_TESTS_SUPPORT_PROCESS_FLEET_H_
#define DANDELIONSCALE_TESTS_SUPPORT_PROCESS_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::tests {

/// \brief Output and exit code of a command.
struct CommandOutput {
  int exit_code = 0;
  std::string text;
};

/// \brief Runs routers and emulators as processes on loopback; the destructor
///        kills them.
///
/// Ports are `base` plus: 1 for the platform; 2, 3, 4 and 5 for the control
/// listeners of platform, engines, booking service and fault proxy; 10N, 10N+1
/// and 10N+2 for clients, peers and admin of router N (from 1); 100+ for the
/// engines; 200+ for the booking engines; 300+ for the links of the proxy.
class ProcessFleet {
 public:
  struct Options {
    std::uint16_t base = 0;  ///< Ports are relative to this one.
    int routers = 3;
    int engines = 6;   ///< Model engines of the service `advice`.
    int bookings = 2;  ///< Engines of the plain service `booking`.
    /// Whether routers may query `/v1/status` of `booking` for the outcome of a
    /// run.
    bool status_lookup = false;
    std::vector<std::string> engine_arguments = {};
    std::vector<std::string> service_arguments = {};
    std::vector<std::string> router_arguments = {};
    /// Routers reach the platform and the booking engines through the proxy.
    bool proxied = false;
  };

  /// \brief Starts all processes, writes the configuration and waits until all
  /// routers are ready.
  explicit ProcessFleet(Options options);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  void StartRouter(int number);
  /// \brief Sends a signal to a process.
  /// \param process `platform`, `engines`, `service`, `proxy` or `router-N`.
  void Signal(std::string_view process, int signal);
  /// \brief Waits until the process has ended.
  /// \returns its exit code, or the negative number of the signal that ended
  /// it.
  int WaitForExit(std::string_view process);
  /// \brief Waits until router `number` is ready and lists `members` routers.
  void WaitUntilReady(int number, std::size_t members);

  /// \returns the response, with status 0 if there was none.
  HttpResponse Call(std::uint16_t port, HttpRequest request) const;
  /// \brief Sends a GET request with the admin token.
  HttpResponse Get(std::uint16_t port, std::string target) const;
  /// \returns field `name` of the JSON at `target`; -1 if its status is not
  /// 200.
  std::int64_t Number(std::uint16_t port, std::string target,
                      std::string_view name) const;
  /// \returns field `name` of `/v1/status`; -1 if its status is not 200.
  std::int64_t StatusNumber(int router, std::string_view name) const;
  /// \brief Sends a chat turn whose response is not streamed.
  HttpResponse Chat(int router, std::string session, std::string text) const;
  /// \brief Sends a booking with the idempotency key `key`.
  HttpResponse Book(int router, std::string key, std::string body) const;
  /// \returns how often the booking with this idempotency key ran.
  std::int64_t Runs(std::string key) const;
  /// \brief Runs `dandelionctl` against all routers.
  CommandOutput Ctl(std::vector<std::string> arguments) const;
  /// \returns the configuration that the constructor writes, as JSON.
  std::string Configuration() const;

  std::uint16_t ClientPort(int router) const;
  std::uint16_t AdminPort(int router) const;
  std::uint16_t Port(int offset) const {
    return static_cast<std::uint16_t>(this->options.base + offset);
  }

 private:
  void Spawn(std::string name, std::vector<std::string> arguments);
  std::vector<std::string> EmulatorArguments(
      std::string role, int control, std::vector<std::string> more) const;
  std::string AdminList() const;

  Options options;
  std::map<std::string, pid_t, std::less<>> processes;
};

/// \brief Polls until `condition` is true; fails the test after 60 s.
void Eventually(const std::function<bool()>& condition);

/// \brief Compares text with a golden file. Writes the file instead if the
/// environment variable UPDATE_GOLDEN is set.
void CheckGolden(std::string_view name, const std::string& text);

/// \brief Admin token of all routers.
inline constexpr std::string_view kAdminToken = "test-token";

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_PROCESS_FLEET_H_
