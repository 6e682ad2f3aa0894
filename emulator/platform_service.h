#ifndef DANDELIONSCALE_EMULATOR_PLATFORM_SERVICE_H_
#define DANDELIONSCALE_EMULATOR_PLATFORM_SERVICE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "dandelionscale/platform/table.h"
#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief Emulates the platform of `dandelion-router`: a table, objects and a
///        list of hosts (`/v1/table/batch`, `/v1/objects/`, `/v1/hosts`).
///
/// PlatformSite emulates the other platform, that of
/// `dandelion-platform-router`. Can be down or slow, or drop the response to
/// operations that were applied.
class PlatformService {
 public:
  /// \param host_lag time until a change of a host appears in the list.
  PlatformService(boost::asio::any_io_executor executor, Duration host_lag);

  /// \returns a fault if the listener cannot be opened.
  Result<void> Listen(const Endpoint& endpoint);
  /// \brief Handles a control request.
  ///
  /// - `/fake/stats`: counters as JSON.
  /// - `/fake/mode?down=1&delay_ms=D&lose_answers=N&match=TEXT`: aborts all
  ///   connections while `down` is 1; executes each request only after D ms;
  ///   applies the next N batches that contain TEXT (all batches without
  ///   `match`) but aborts their connections. Without `down`, `delay_ms` or
  ///   `lose_answers`, that fault ends.
  /// - `/fake/hosts?name=H&state=S&incarnation=I`: adds or replaces a host,
  ///   which is listed after the lag.
  ///
  /// Anything else gets status 404.
  Awaitable<void> HandleControl(HttpExchange& exchange);

 private:
  struct Host {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string state;
    std::uint64_t revision = 0;
    TimePoint visible_at;
  };

  Awaitable<void> Handle(HttpExchange& exchange);
  Awaitable<void> HandleBatch(HttpExchange& exchange);
  TableResult Apply(const TableOperation& operation);
  std::string HostList(std::uint64_t since) const;
  std::string Stats() const;

  friend struct OperationApplier;

  boost::asio::any_io_executor executor;
  Duration host_lag;
  std::unique_ptr<HttpServer> server;
  std::map<std::string, TableRow> rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, Host> hosts;
  std::uint64_t revision = 0;
  bool down = false;
  Duration delay{};
  int lose_answers = 0;
  std::string lose_match;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t batches = 0;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_PLATFORM_SERVICE_H_
