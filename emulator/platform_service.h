#ifndef DANDELIONSCALE_EMULATOR_PLATFORM_SERVICE_H_
#define DANDELIONSCALE_EMULATOR_PLATFORM_SERVICE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "dandelionscale/platform/table.h"
#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief The platform: table, objects and a lagging host list.
///
/// Can be down, slow, or lose the answer after a write has taken effect.
class PlatformService {
 public:
  PlatformService(boost::asio::any_io_executor executor, Duration host_lag);

  Result<void> Listen(const Endpoint& endpoint);
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
