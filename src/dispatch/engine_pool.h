/// \file
/// \brief Kept connections to engines.
#ifndef DANDELIONSCALE_SRC_DISPATCH_ENGINE_POOL_H_
#define DANDELIONSCALE_SRC_DISPATCH_ENGINE_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/runtime/fault.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

/// \brief One connection to one engine.
struct EngineConnection {
  explicit EngineConnection(const boost::asio::any_io_executor& executor)
      : socket(executor) {}
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since{};
  Duration idle_lifetime{};
};

/// \brief How careful the choice of a kept connection must be.
enum class ReuseCare {
  kUsual,
  kNotRepeatable,  ///< A connection that breaks would lose the request.
};

/// \brief Keeps idle connections and opens new ones.
class EnginePool {
 public:
  explicit EnginePool(DispatchState& state) : state(state) {}

  /// \brief Takes a kept connection or opens one.
  /// \returns the connection; fault: `kConnectFailed`.
  Awaitable<Result<std::shared_ptr<EngineConnection>>> Acquire(
      std::shared_ptr<Engine> engine, ReuseCare care);
  /// \brief Keeps a connection whose last answer was whole.
  /// \param stated how long the engine keeps it; zero if it does not say.
  void Keep(const Engine& engine, std::shared_ptr<EngineConnection> connection,
            Duration keep_alive_timeout);
  /// \brief Closes connections that are old or whose engine is gone.
  void Purge(TimePoint now);

 private:
  std::shared_ptr<EngineConnection> TakeIdle(const Engine& engine,
                                             ReuseCare care);

  DispatchState& state;
  std::unordered_map<std::uint64_t,
                     std::vector<std::shared_ptr<EngineConnection>>>
      idle;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_ENGINE_POOL_H_
