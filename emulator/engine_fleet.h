#ifndef DANDELIONSCALE_EMULATOR_ENGINE_FLEET_H_
#define DANDELIONSCALE_EMULATOR_ENGINE_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/event.h"
#include "dandelionscale/transport/http_server.h"
#include "load_ledger.h"
#include "prefix_cache.h"

namespace dandelionscale::emulator {

/// \brief Behaviour of emulated model engines.
struct EngineFleetOptions {
  std::size_t count = 1;
  std::uint16_t base_port = 9100;
  Duration prefill_per_token = std::chrono::microseconds(20);
  Duration token_interval = std::chrono::milliseconds(10);
  std::size_t answer_tokens = 16;
  std::uint64_t cache_tokens = 200'000;
  std::size_t max_running = 64;
  double load_factor = 1.25;
  Duration bound_window = std::chrono::seconds(2);
  /// Age of load reports.
  Duration report_lag = std::chrono::milliseconds(300);
};

/// \brief Model engines of one service in one process, one port each.
///
/// Answers are a pure function of the request id. A request goes on after its
/// connection broke, for a moment, so that it can be resumed at any offset.
class EngineFleet : public std::enable_shared_from_this<EngineFleet> {
 public:
  EngineFleet(boost::asio::any_io_executor executor,
              EngineFleetOptions options);

  Result<void> Listen();
  /// \brief Handles a control request (`/fake/...`).
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
  void SetUp(Engine& engine, bool up);
  std::string Stats() const;

  boost::asio::any_io_executor executor;
  EngineFleetOptions options;
  LoadLedger ledger;
  std::vector<std::shared_ptr<Engine>> engines;
  std::map<std::string, int> starts_by_request;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t returning_turns = 0;
  std::uint64_t reused_turns = 0;
  std::uint64_t best_reused_turns = 0;
  /// Hash of every prefix that any live engine was given.
  std::map<std::uint64_t, bool> known_prefixes;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_ENGINE_FLEET_H_
