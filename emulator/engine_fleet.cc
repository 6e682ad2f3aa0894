#include "engine_fleet.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <deque>

#include "dandelionscale/core/hash.h"
#include "dandelionscale/transport/sse.h"
#include "json_response.h"

namespace dandelionscale::emulator {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kStreamsPrefix = "/v1/streams/";
constexpr std::string_view kEnginePrefix = "/fake/engine/";
// Time after which a request without a connected reader is cancelled.
constexpr Duration kAbandonTimeout = std::chrono::milliseconds(3000);
constexpr Duration kStreamCheckInterval = std::chrono::milliseconds(200);
constexpr std::size_t kCharactersPerToken = 4;

std::size_t ParseSize(std::string_view text) {
  std::size_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string TokenText(std::string_view request_id, std::size_t number) {
  static constexpr std::string_view kWords[] = {
      "flame ",  "valve ", "burner ", "check ", "gasket ", "nozzle ",
      "sizing ", "hide ",  "stitch ", "dye ",   "lot ",    "label "};
  const std::uint64_t pick =
      RendezvousWeight(HashText(request_id), number) % std::size(kWords);
  return std::string(kWords[pick]);
}

}  // namespace

/// \brief One request that an engine runs.
struct EngineFleet::Generation {
  explicit Generation(const asio::any_io_executor& executor)
      : content_added(executor) {}

  std::string request_id;
  std::string workspace;
  std::size_t tokens = 0;
  Duration prefill{};
  std::string content;
  std::vector<std::size_t> token_ends;
  bool finished = false;
  bool cancelled = false;
  int readers = 0;
  TimePoint abandoned_at;
  Event content_added;
};

struct EngineFleet::Engine {
  struct Report {
    TimePoint at;
    std::uint32_t running = 0;
  };

  Engine(std::size_t index, std::uint64_t cache_tokens)
      : index(index), cache(cache_tokens) {}

  std::size_t index;
  bool up = true;
  int cut_after_bytes = -1;
  std::uint64_t incarnation = 1;
  std::uint64_t started = 0;
  PrefixCache cache;
  std::unique_ptr<HttpServer> server;
  std::map<std::string, std::shared_ptr<Generation>> generations;
  std::deque<Report> reports;
};

EngineFleet::EngineFleet(asio::any_io_executor executor,
                         EngineFleetOptions options)
    : executor(executor),
      options(options),
      load_monitor(options.count, options.load_factor, options.bound_window) {
  for (std::size_t i = 0; i < options.count; ++i) {
    this->engines.push_back(std::make_shared<Engine>(i, options.cache_tokens));
  }
}

Result<void> EngineFleet::Listen() {
  for (auto& engine : this->engines) {
    HttpServerLimits limits;
    limits.body_bytes = 16 * 1024 * 1024;
    engine->server = std::make_unique<HttpServer>(
        this->executor, limits,
        [this, &engine = *engine](HttpExchange& exchange) {
          return this->HandleEngine(engine, exchange);
        });
    const auto port =
        static_cast<std::uint16_t>(this->options.base_port + engine->index);
    auto bound =
        engine->server->Listen({asio::ip::address_v4::loopback(), port});
    if (bound.has_error()) return bound.error();
  }
  return {};
}

std::vector<PromptBlock> EngineFleet::ReadPrompt(
    std::string_view body, std::size_t& answer_tokens) const {
  std::vector<PromptBlock> blocks;
  json::error_code error;
  json::value document =
      json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !document.is_object()) return blocks;
  if (const auto* wanted = document.as_object().if_contains("max_tokens")) {
    answer_tokens = wanted->to_number<std::size_t>();
  }
  const auto* messages = document.as_object().if_contains("messages");
  if (messages == nullptr || !messages->is_array()) return blocks;
  std::uint64_t hash = 0;
  for (const json::value& message : messages->as_array()) {
    const std::string text = json::serialize(message);
    hash = RendezvousWeight(hash, HashText(text));
    blocks.push_back({hash, static_cast<std::uint32_t>(
                                text.size() / kCharactersPerToken + 1)});
  }
  return blocks;
}

Awaitable<void> EngineFleet::HandleEngine(Engine& engine,
                                          HttpExchange& exchange) {
  const std::string_view path = PathOf(exchange.Request().target);
  if (!engine.up) {
    exchange.Abort();
  } else if (path == "/v1/load") {
    // Sends the newest report that is at least `report_lag` old, else the
    // oldest.
    const TimePoint now = RuntimeClock::now();
    engine.reports.push_back({now, this->load_monitor.Running(engine.index)});
    while (engine.reports.size() > 1 &&
           engine.reports[1].at <= now - this->options.report_lag) {
      engine.reports.pop_front();
    }
    co_await exchange.Respond(MakeJsonResponse(
        200, fmt::format("{{\"running\":{},\"incarnation\":{}}}",
                         engine.reports.front().running, engine.incarnation)));
  } else if (path == kChatPath) {
    co_await this->HandleChat(engine, exchange);
  } else if (path.starts_with(kStreamsPrefix)) {
    co_await this->HandleResume(engine, exchange);
  } else {
    co_await exchange.Respond(MakeJsonResponse(404, "{}"));
  }
}

Awaitable<void> EngineFleet::HandleChat(Engine& engine,
                                        HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  if (this->load_monitor.Running(engine.index) >= this->options.max_running) {
    HttpResponse response = MakeJsonResponse(503, "{}");
    response.headers.Add("X-Outcome", "not_run");
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  auto generation = std::make_shared<Generation>(this->executor);
  generation->request_id = request.headers.Find("X-Request-Id");
  generation->workspace = request.headers.Find("X-Workspace");
  generation->tokens = this->options.answer_tokens;
  const std::vector<PromptBlock> prompt =
      this->ReadPrompt(request.body, generation->tokens);
  std::uint64_t total = 0;
  for (const PromptBlock& block : prompt) total += block.tokens;
  const std::uint64_t cached = engine.cache.Match(prompt);
  engine.cache.Insert(prompt);
  generation->prefill =
      this->options.prefill_per_token * static_cast<int>(total - cached);
  this->prompt_tokens += total;
  this->cached_tokens += cached;
  // In a returning turn, all but the last two messages (the previous answer
  // and the new question) were already in the prompt of the previous turn.
  if (prompt.size() >= 3) {
    const std::uint64_t previous_prefix = prompt[prompt.size() - 3].prefix_hash;
    std::uint64_t needed = 0;
    for (std::size_t i = 0; i + 2 < prompt.size(); ++i) {
      needed += prompt[i].tokens;
    }
    ++this->returning_turns;
    if (cached >= needed) ++this->reused_turns;
    if (this->seen_prefixes.contains(previous_prefix)) ++this->reusable_turns;
  }
  for (const PromptBlock& block : prompt) {
    this->seen_prefixes[block.prefix_hash] = true;
  }
  ++engine.started;
  ++this->starts_by_request[generation->request_id];
  engine.generations[generation->request_id] = generation;
  this->load_monitor.OnStart(engine.index, RuntimeClock::now());
  asio::co_spawn(this->executor, this->Generate(engine, generation),
                 asio::detached);
  co_await this->Stream(engine, exchange, generation, 0);
}

Awaitable<void> EngineFleet::HandleResume(Engine& engine,
                                          HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  std::string id(PathOf(request.target).substr(kStreamsPrefix.size()));
  auto found = engine.generations.find(id);
  if (found == engine.generations.end() ||
      found->second->workspace != request.headers.Find("X-Workspace")) {
    co_await exchange.Respond(MakeJsonResponse(404, "{}"));
    co_return;
  }
  std::shared_ptr<Generation> generation = found->second;
  co_await this->Stream(engine, exchange, generation,
                        ParseSize(QueryParameter(request.target, "offset")));
}

Awaitable<void> EngineFleet::Generate(Engine& engine,
                                      std::shared_ptr<Generation> generation) {
  const std::uint64_t incarnation = engine.incarnation;
  co_await SleepFor(generation->prefill);
  while (generation->token_ends.size() < generation->tokens &&
         !generation->cancelled && engine.incarnation == incarnation) {
    generation->content +=
        TokenText(generation->request_id, generation->token_ends.size());
    generation->token_ends.push_back(generation->content.size());
    generation->content_added.NotifyAll();
    co_await SleepFor(this->options.token_interval);
    const TimePoint now = RuntimeClock::now();
    if (generation->readers == 0 &&
        now - generation->abandoned_at > kAbandonTimeout) {
      generation->cancelled = true;
    }
  }
  generation->finished = !generation->cancelled;
  generation->content_added.NotifyAll();
  if (engine.incarnation == incarnation) {
    this->load_monitor.OnFinish(engine.index, RuntimeClock::now());
  }
}

Awaitable<void> EngineFleet::Stream(Engine& engine, HttpExchange& exchange,
                                    std::shared_ptr<Generation> generation,
                                    std::size_t offset) {
  ++generation->readers;
  bool gone = false;
  exchange.WatchDisconnect([&gone, generation] {
    gone = true;
    generation->content_added.NotifyAll();
  });
  HttpHeaders headers{{"Content-Type", "text/event-stream"}};
  bool open = co_await exchange.StartStream(200, std::move(headers));
  const std::string& id = generation->request_id;
  while (open && !gone && engine.up && !generation->cancelled) {
    if (offset < generation->content.size()) {
      std::size_t end = generation->content.size();
      for (std::size_t token_end : generation->token_ends) {
        if (token_end > offset) {
          end = token_end;
          break;
        }
      }
      json::object data{
          {"request_id", id},
          {"offset", offset},
          {"content", generation->content.substr(offset, end - offset)}};
      const SseEvent event{"", "", json::serialize(data)};
      const std::string text = FormatSse(event);
      if (engine.cut_after_bytes >= 0) {
        // Aborts the connection after a part of this event.
        auto part = static_cast<std::size_t>(engine.cut_after_bytes);
        engine.cut_after_bytes = -1;
        co_await exchange.Write(text.substr(0, part));
        break;
      }
      open = co_await exchange.Write(text);
      offset = end;
      continue;
    }
    if (generation->finished) {
      json::object data{{"request_id", id},
                        {"length", generation->content.size()}};
      const SseEvent event{"", "end", json::serialize(data)};
      const std::string text = FormatSse(event);
      co_await exchange.Write(text);
      co_await exchange.Finish();
      --generation->readers;
      generation->abandoned_at = RuntimeClock::now();
      co_return;
    }
    co_await generation->content_added.WaitFor(kStreamCheckInterval);
  }
  --generation->readers;
  generation->abandoned_at = RuntimeClock::now();
  exchange.Abort();
}

void EngineFleet::SetEngineUp(Engine& engine, bool up) {
  if (engine.up == up) return;
  const TimePoint now = RuntimeClock::now();
  engine.up = up;
  if (!up) {
    while (this->load_monitor.Running(engine.index) > 0) {
      this->load_monitor.OnFinish(engine.index, now);
    }
    ++engine.incarnation;
    engine.cache.Clear();
    engine.generations.clear();
    engine.reports.clear();
  }
  this->load_monitor.SetLive(engine.index, up, now);
}

std::string EngineFleet::Stats() const {
  json::array engines;
  for (const auto& engine : this->engines) {
    engines.push_back(
        json::object{{"running", this->load_monitor.Running(engine->index)},
                     {"started", engine->started},
                     {"up", engine->up}});
  }
  std::uint64_t started_twice = 0;
  json::array ids;
  for (const auto& [id, starts] : this->starts_by_request) {
    if (starts > 1) ++started_twice;
  }
  return json::serialize(
      json::object{{"engines", std::move(engines)},
                   {"requests_started", this->starts_by_request.size()},
                   {"requests_started_twice", started_twice},
                   {"prompt_tokens", this->prompt_tokens},
                   {"cached_tokens", this->cached_tokens},
                   {"returning_turns", this->returning_turns},
                   {"reused_turns", this->reused_turns},
                   {"best_reused_turns", this->reusable_turns},
                   {"bound_violations", this->load_monitor.BoundViolations()},
                   {"worst_excess", this->load_monitor.WorstExcess()},
                   {"skew", this->load_monitor.TimeWeightedSkew()},
                   {"worst_skew", this->load_monitor.WorstSkew()}});
}

Awaitable<void> EngineFleet::HandleControl(HttpExchange& exchange) {
  const std::string& target = exchange.Request().target;
  const std::string_view path = PathOf(target);
  if (path == "/fake/stats") {
    co_await exchange.Respond(MakeJsonResponse(200, this->Stats()));
    co_return;
  }
  if (path == "/fake/started") {
    std::string id(QueryParameter(target, "request_id"));
    auto found = this->starts_by_request.find(id);
    const int starts =
        found == this->starts_by_request.end() ? 0 : found->second;
    co_await exchange.Respond(
        MakeJsonResponse(200, fmt::format("{{\"starts\":{}}}", starts)));
    co_return;
  }
  if (path.starts_with(kEnginePrefix)) {
    std::string_view rest = path.substr(kEnginePrefix.size());
    const std::size_t index = ParseSize(rest.substr(0, rest.find('/')));
    const std::string_view action = rest.substr(rest.find('/') + 1);
    if (index < this->engines.size()) {
      Engine& engine = *this->engines[index];
      if (action == "down") this->SetEngineUp(engine, false);
      if (action == "up") this->SetEngineUp(engine, true);
      if (action == "cut") {
        engine.cut_after_bytes =
            static_cast<int>(ParseSize(QueryParameter(target, "after_bytes")));
      }
      co_await exchange.Respond(MakeJsonResponse(200, "{}"));
      co_return;
    }
  }
  co_await exchange.Respond(MakeJsonResponse(404, "{}"));
}

}  // namespace dandelionscale::emulator
