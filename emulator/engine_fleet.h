#ifndef DANDELIONSCALE_EMULATOR_ENGINE_FLEET_H_
#define DANDELIONSCALE_EMULATOR_ENGINE_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/event.h"
#include "dandelionscale/transport/http_server.h"
#include "load_monitor.h"
#include "prefix_cache.h"

namespace dandelionscale::emulator {

/// \brief Behaviour of emulated model engines.
struct EngineFleetOptions {
  /// Number of engines.
  std::size_t count = 1;
  /// Port of the first engine; the others use the ports after it.
  std::uint16_t base_port = 9100;
  /// Time to process one prompt token that is not cached.
  Duration prefill_per_token = std::chrono::microseconds(20);
  /// Time between two tokens of an answer.
  Duration token_interval = std::chrono::milliseconds(10);
  /// Tokens of an answer to a request without `max_tokens`.
  std::size_t answer_tokens = 16;
  /// Capacity of the prefix cache of each engine.
  std::uint64_t cache_tokens = 200'000;
  /// Requests that one engine runs at a time; it refuses more with status 503.
  std::size_t max_running = 64;
  /// Bound on load / mean load that the LoadMonitor checks.
  double load_factor = 1.25;
  /// Window of the mean load; see LoadMonitor.
  Duration bound_window = std::chrono::seconds(2);
  /// Age of the load reports at `/v1/load`.
  Duration report_lag = std::chrono::milliseconds(300);
};

/// \brief Emulates the model engines of one service, each on its own port.
///
/// The content of an answer depends only on the request id and the number of
/// tokens. An engine continues a request for 3 s after its connection broke,
/// so that the answer can be resumed at any offset.
class EngineFleet : public std::enable_shared_from_this<EngineFleet> {
 public:
  EngineFleet(boost::asio::any_io_executor executor,
              EngineFleetOptions options);

  /// \brief Opens the listeners of all engines on loopback.
  /// \returns the fault of the first port that cannot be opened.
  Result<void> Listen();
  /// \brief Handles a control request.
  ///
  /// - `/fake/stats`: counters as JSON.
  /// - `/fake/started?request_id=ID`: how often engines started this request.
  /// - `/fake/engine/N/down`, `/up`: stops or starts engine N (from 0).
  /// - `/fake/engine/N/cut?after_bytes=B`: once, aborts the connection of the
  ///   engine's next event after B of its bytes.
  ///
  /// Other paths get status 404; unknown actions of an engine are ignored.
  Awaitable<void> HandleControl(HttpExchange& exchange);

 private:
  struct Generation;
  struct Engine;

  Awaitable<void> HandleEngine(Engine& engine, HttpExchange& exchange);
  Awaitable<void> HandleChat(Engine& engine, HttpExchange& exchange);
  Awaitable<void> HandleResume(Engine& engine, HttpExchange& exchange);
  Awaitable<void> Stream(Engine& engine, HttpExchange& exchange,
                         std::shared_ptr<Generation> generation,
                         std::size_t offset);
  Awaitable<void> Generate(Engine& engine,
                           std::shared_ptr<Generation> generation);
  std::vector<PromptBlock> ReadPrompt(std::string_view body,
                                      std::size_t& answer_tokens) const;
  void SetEngineUp(Engine& engine, bool up);
  std::string Stats() const;

  boost::asio::any_io_executor executor;
  EngineFleetOptions options;
  LoadMonitor load_monitor;
  std::vector<std::shared_ptr<Engine>> engines;
  std::map<std::string, int> starts_by_request;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  /// Requests whose prompt continues an earlier turn.
  std::uint64_t returning_turns = 0;
  /// Returning turns whose earlier part their engine had cached.
  std::uint64_t reused_turns = 0;
  /// Returning turns whose earlier part any engine had received before: the
  /// limit that reused_turns can reach with perfect placement.
  std::uint64_t reusable_turns = 0;
  /// Hashes of all prompt prefixes that any engine has received.
  std::map<std::uint64_t, bool> seen_prefixes;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_ENGINE_FLEET_H_
