/// \file
/// \brief Pool of connections to engines.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_CONNECTION_POOL_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_CONNECTION_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/runtime/fault.h"
#include "dispatch/dispatch_state.h"
#include "engine_response/connection_history.h"
#include "tunnel/tunnel_lease.h"

namespace dandelionscale::internal {

/// \brief A connection to an engine, with its read buffer.
struct EngineConnection {
  /// Limit of the bytes that are received but not parsed yet, such as a head
  /// or the extension of a chunk without end.
  static constexpr std::size_t kMaxBufferedBytes = 128 * 1024;

  explicit EngineConnection(const boost::asio::any_io_executor& executor)
      : socket(executor), buffer(kMaxBufferedBytes) {}
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  ConnectionHistory history;
  /// The tunnel that the connection is, if it is one.
  std::unique_ptr<TunnelLease> tunnel;
  TimePoint idle_since{};
  Duration idle_lifetime{};  ///< Time in the pool after which it expires.
};

/// \brief Which idle connections a request may reuse.
enum class ReusePolicy {
  kAnyIdle,  ///< Any idle connection within its lifetime.
  /// Only connections that became idle recently and that the engine is unlikely
  /// to be closing: for requests that can't be repeated after a failure.
  kRecentlyIdle,
};

/// \brief Holds idle connections for reuse and opens new ones, all of them
///        direct.
class EngineConnectionPool {
 public:
  explicit EngineConnectionPool(DispatchState& state) : state(state) {}

  /// \brief Takes an idle connection and closes unusable ones.
  /// \returns null if no usable one is left.
  std::shared_ptr<EngineConnection> TakeIdle(const Engine& engine,
                                             ReusePolicy policy);
  /// \brief Opens a new connection.
  /// \returns the connection; faults: `kTimeout`, `kConnectFailed`.
  Awaitable<Result<std::shared_ptr<EngineConnection>>> Connect(
      std::shared_ptr<Engine> engine, Duration timeout);
  /// \brief Lets all calls of `Connect()` to the engine fail at once.
  void AbortConnects(const Engine& engine);
  /// \brief Closes the idle connections to the engine.
  void CloseIdle(const Engine& engine) { this->idle.erase(engine.key); }
  /// \brief Returns a connection to the pool after a complete response.
  /// \param keep_alive_timeout idle timeout that the engine stated; zero if it
  ///        stated none.
  void Return(const Engine& engine,
              std::shared_ptr<EngineConnection> connection,
              Duration keep_alive_timeout);
  /// \brief Closes expired connections and those to removed or draining
  ///        engines.
  void Purge(TimePoint now);

 private:
  DispatchState& state;
  /// Connections that are being opened, by engine key.
  std::multimap<std::uint64_t, EngineConnection*> connecting;
  std::unordered_map<std::uint64_t,
                     std::vector<std::shared_ptr<EngineConnection>>>
      idle;  ///< By engine key, longest idle first.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_CONNECTION_POOL_H_
