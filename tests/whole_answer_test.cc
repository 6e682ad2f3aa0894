// Guards against truncated, duplicated and mixed-up answers: streams are cut,
// routers are killed and engines stop while an answer is sent, and a workspace
// requests the answer of another workspace by its event id.
#include <signal.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "dandelionscale/transport/sse.h"
#include "load/chat_client.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

namespace asio = boost::asio;

load::ChatTurn MakeTurn(std::string session) {
  load::ChatTurn turn;
  turn.workspace = "guild";
  turn.session = std::move(session);
  turn.service = "advice";
  turn.messages.push_back({"user", "hello"});
  return turn;
}

Endpoint Router(const ProcessFleet& fleet, int number) {
  return {asio::ip::address_v4::loopback(), fleet.ClientPort(number)};
}

load::ChatAnswer Send(const ProcessFleet& fleet, int router,
                      load::ChatTurn turn) {
  asio::io_context loop(1);
  load::ChatClient client(loop.get_executor());
  load::ChatAnswer answer;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        answer = co_await client.Send(Router(fleet, router), turn);
      },
      asio::detached);
  loop.run();
  return answer;
}

load::ChatAnswer Resume(const ProcessFleet& fleet, int router,
                        load::ChatTurn turn, load::ChatAnswer broken) {
  asio::io_context loop(1);
  load::ChatClient client(loop.get_executor());
  load::ChatAnswer answer;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        answer = co_await client.Resume(Router(fleet, router), turn, broken);
      },
      asio::detached);
  loop.run();
  return answer;
}

/// \brief Sends a turn and runs the loop until three tokens have arrived.
void SendUntilBegun(asio::io_context& loop, load::ChatClient& client,
                    Endpoint router, load::ChatTurn turn,
                    load::ChatAnswer& answer) {
  constexpr int kTokens = 3;
  int tokens = 0;
  // The caller runs the loop on after this function has returned, so that the
  // callback must not access `tokens` once it has reached kTokens.
  turn.on_event = [&tokens, begun = false]() mutable {
    if (begun) return;
    begun = ++tokens == kTokens;
  };
  asio::co_spawn(
      loop,
      [&client, &answer, router, turn]() -> Awaitable<void> {
        answer = co_await client.Send(router, turn);
      },
      asio::detached);
  while (tokens < kTokens) loop.run_one();
}

/// \returns the answer as the engine itself serves it, from its first byte.
std::string FetchEngineAnswer(const ProcessFleet& fleet,
                              const load::ChatAnswer& answer) {
  const int number =
      std::stoi(answer.engine.substr(answer.engine.find('-') + 1));
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/streams/" + answer.request_id + "?offset=0";
  request.headers.Add("X-Workspace", "guild");
  const HttpResponse response =
      fleet.Call(fleet.Port(99 + number), std::move(request));
  SseReader reader;
  reader.Append(response.body);
  std::string content;
  while (auto event = reader.Next().value()) {
    if (event->event == "end") break;
    content += boost::json::value_to<std::string>(
        boost::json::parse(event->data).at("content"));
  }
  return content;
}

TEST_CASE("a stream cut at any byte of an event is resumed to its end") {
  ProcessFleet fleet({.base = 23600,
                      .engines = 1,
                      .engine_arguments = {"--answer-tokens", "6"}});
  // An event has about 95 bytes; the connection is cut after each of them.
  for (int cut = 0; cut <= 100; ++cut) {
    fleet.Get(fleet.Port(3),
              "/fake/engine/0/cut?after_bytes=" + std::to_string(cut));
    const load::ChatAnswer answer = Send(fleet, 1 + cut % 3, MakeTurn("s"));
    INFO("cut after " << cut << ": " << answer.reason);
    REQUIRE(answer.complete);
    CHECK(answer.content == FetchEngineAnswer(fleet, answer));
  }
  CHECK(fleet.Number(fleet.Port(3), "/fake/stats", "requests_started_twice") ==
        0);
}

TEST_CASE("an answer is resumed elsewhere after its router crashed") {
  ProcessFleet fleet(
      {.base = 23600,
       .engine_arguments = {"--token-ms", "100", "--answer-tokens", "20"}});
  asio::io_context loop(1);
  load::ChatClient client(loop.get_executor());
  load::ChatAnswer broken;
  SendUntilBegun(loop, client, Router(fleet, 1), MakeTurn("s"), broken);
  fleet.Signal("router-1", SIGKILL);
  loop.run();
  CHECK_FALSE(broken.complete);
  REQUIRE_FALSE(broken.last_event_id.empty());
  const load::ChatAnswer resumed = Resume(fleet, 2, MakeTurn("s"), broken);
  CHECK(resumed.complete);
  CHECK(resumed.content == FetchEngineAnswer(fleet, resumed));
}

TEST_CASE("a crash of the engine's owner does not break the answer") {
  ProcessFleet fleet(
      {.base = 23600,
       .engine_arguments = {"--token-ms", "100", "--answer-tokens", "20"}});
  // The turn must enter at a router that does not own the session's engine.
  int entry = 0;
  std::string owner;
  load::ChatTurn turn = MakeTurn("first");
  const load::ChatAnswer probe = Send(fleet, 1, turn);
  const HttpResponse status = fleet.Get(fleet.AdminPort(1), "/v1/status");
  const boost::json::value document = boost::json::parse(status.body);
  for (const auto& engine : document.at("engines").as_array()) {
    if (engine.at("name").as_string() != probe.engine) continue;
    owner = boost::json::value_to<std::string>(engine.at("owner"));
  }
  for (int n = 1; n <= 3; ++n) {
    if ("router-" + std::to_string(n) != owner) entry = n;
  }
  asio::io_context loop(1);
  load::ChatClient client(loop.get_executor());
  load::ChatAnswer answer;
  SendUntilBegun(loop, client, Router(fleet, entry), turn, answer);
  fleet.Signal(owner, SIGKILL);
  loop.run();
  INFO(answer.reason);
  CHECK(answer.complete);
  CHECK(answer.content == FetchEngineAnswer(fleet, answer));
}

TEST_CASE("an answer cut by its engine's crash is not reported complete") {
  ProcessFleet fleet(
      {.base = 23600,
       .engines = 1,
       .engine_arguments = {"--token-ms", "100", "--answer-tokens", "50"}});
  asio::io_context loop(1);
  load::ChatClient client(loop.get_executor());
  load::ChatAnswer answer;
  SendUntilBegun(loop, client, Router(fleet, 2), MakeTurn("s"), answer);
  fleet.Get(fleet.Port(3), "/fake/engine/0/down");
  loop.run();
  CHECK_FALSE(answer.complete);
  CHECK(answer.outcome == "unknown");
}

TEST_CASE("another workspace cannot read an answer by its event id") {
  ProcessFleet fleet({.base = 23600, .engines = 2});
  const load::ChatAnswer own = Send(fleet, 1, MakeTurn("s"));
  REQUIRE(own.complete);
  load::ChatTurn stranger = MakeTurn("s");
  stranger.workspace = "buyers";
  load::ChatAnswer from_start = own;
  from_start.content.clear();
  from_start.complete = false;
  from_start.last_event_id = own.engine + "/" + own.request_id + "/0";
  const load::ChatAnswer read = Resume(fleet, 2, stranger, from_start);
  CHECK_FALSE(read.complete);
  CHECK(read.content.empty());
}

}  // namespace
}  // namespace dandelionscale::tests
