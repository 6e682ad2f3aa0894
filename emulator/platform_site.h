#ifndef DANDELIONSCALE_EMULATOR_PLATFORM_SITE_H_
#define DANDELIONSCALE_EMULATOR_PLATFORM_SITE_H_

#include <memory>
#include <vector>

#include "dandelionscale/transport/http_server.h"
#include "scripted_engine.h"
#include "store_service.h"

namespace dandelionscale::emulator {

/// \brief Emulates a small deployment of the users' platform, on which
///        `dandelion-platform-router` runs, in one process: the store with a
///        configuration, model engines and plain engines.
class PlatformSite {
 public:
  /// \param engines number of model engines, and also of plain engines.
  /// \param event_interval time between two events of a streamed answer.
  PlatformSite(boost::asio::any_io_executor executor, int engines,
               Duration event_interval);

  /// \brief Starts the store at `store` and the engines on the ports after it.
  /// \returns a fault if a listener cannot be opened.
  Result<void> Listen(const Endpoint& store);
  /// \brief Handles a control request: `/fake/drain?engine=ID` sets the state
  /// of an engine in the store to `draining`; anything else gets status 404.
  Awaitable<void> HandleControl(HttpExchange& exchange);

 private:
  Result<void> AddEngine(const std::string& id, const std::string& service,
                         const Endpoint& endpoint, ScriptMaker maker);
  void PutEntry(const std::string& id, std::string_view state);

  struct RegisteredEngine {
    std::string service;
    Endpoint endpoint;
    std::unique_ptr<ScriptedEngine> engine;
  };

  boost::asio::any_io_executor executor;
  int engines_per_service;
  Duration event_interval;
  StoreService store;
  std::map<std::string, RegisteredEngine> engines;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_PLATFORM_SITE_H_
