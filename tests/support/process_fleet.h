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

/// \brief What a command printed, and its exit code.
struct CommandOutput {
  int exit_code = 0;
  std::string text;
};

/// \brief A fleet of real processes on loopback, ended with the object.
///
/// Ports are `base` plus: 1 platform, 2 platform control, 3 engines control,
/// 4 service control, 5 proxy control, 100+ engines, 200+ booking engines,
/// 10N+0..2 client, peer and admin of router N, 300+ proxy links.
class ProcessFleet {
 public:
  struct Options {
    std::uint16_t base = 0;
    int routers = 3;
    int engines = 6;
    int bookings = 2;
    bool status_lookup = false;
    std::vector<std::string> engine_arguments = {};
    std::vector<std::string> service_arguments = {};
    std::vector<std::string> router_arguments = {};
    /// Routers reach the platform and the booking engines through the proxy.
    bool proxied = false;
  };

  /// \brief Starts everything, puts the configuration and waits until ready.
  explicit ProcessFleet(Options options);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  void StartRouter(int number);
  void Signal(std::string_view process, int signal);
  /// \brief Waits until the process has ended. \returns its exit code.
  int WaitForExit(std::string_view process);
  /// \brief Waits until router `number` is ready and knows `members` routers.
  void WaitUntilReady(int number, std::size_t members);

  HttpResponse Call(std::uint16_t port, HttpRequest request) const;
  HttpResponse Get(std::uint16_t port, std::string target) const;
  /// \returns number `name` in the JSON at `target`.
  std::int64_t Number(std::uint16_t port, std::string target,
                      std::string_view name) const;
  std::int64_t StatusNumber(int router, std::string_view name) const;
  /// \brief Sends a chat turn that is answered as one document.
  HttpResponse Chat(int router, std::string session, std::string text) const;
  HttpResponse Book(int router, std::string key, std::string body) const;
  std::int64_t Runs(std::string key) const;
  /// \brief Runs `dandelionctl` against all routers.
  CommandOutput Ctl(std::vector<std::string> arguments) const;
  std::string Configuration() const;

  std::uint16_t ClientPort(int router) const;
  std::uint16_t AdminPort(int router) const;
  std::uint16_t Port(int offset) const {
    return static_cast<std::uint16_t>(this->options.base + offset);
  }

 private:
  void Spawn(std::string name, std::vector<std::string> arguments);
  std::vector<std::string> FakeArguments(std::string role, int control,
                                         std::vector<std::string> more) const;
  std::string AdminList() const;

  Options options;
  std::map<std::string, pid_t, std::less<>> processes;
};

/// \brief Waits until `condition` holds; fails the test after a long time.
void Eventually(const std::function<bool()>& condition);

/// \brief Compares text with a golden file. With the variable UPDATE_GOLDEN
/// set, writes the file instead.
void CheckGolden(std::string_view name, const std::string& text);

inline constexpr std::string_view kToken = "test-token";

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_PROCESS_FLEET_H_
