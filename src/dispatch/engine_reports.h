/// \file
/// \brief Asks engines which requests they work on.
#ifndef DANDELIONSCALE_SRC_DISPATCH_ENGINE_REPORTS_H_
#define DANDELIONSCALE_SRC_DISPATCH_ENGINE_REPORTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/core/silence_policy.h"
#include "dandelionscale/dispatch/protocol_codec.h"
#include "dandelionscale/runtime/event.h"
#include "dandelionscale/transport/http_client.h"

namespace dandelionscale::internal {

class DispatchState;

/// \brief Shares reports of engines among the requests that wait for one.
class EngineReports {
 public:
  explicit EngineReports(DispatchState& state);

  /// \brief Asks the engine, or waits for the answer if it is being asked.
  /// \returns what it reports of the request; `kUnknown` also if the answer
  ///          takes too long.
  Awaitable<RunReport> Find(std::shared_ptr<Engine> engine,
                            std::string request_id);

 private:
  // One call that is under way.
  struct Call {
    explicit Call(const boost::asio::any_io_executor& executor)
        : ended(executor) {}
    Event ended;
    bool has_ended = false;
    std::optional<EngineReport> report;
  };

  Awaitable<void> Fetch(std::shared_ptr<Engine> engine,
                        std::shared_ptr<Call> call);

  Awaitable<std::optional<EngineReport>> Ask(std::shared_ptr<Engine> engine);
  std::optional<EngineReport> Decode(std::string_view text) const;

  DispatchState& state;
  HttpClient client;
  std::map<std::uint64_t, std::shared_ptr<Call>> calls;  ///< By engine key.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_ENGINE_REPORTS_H_
