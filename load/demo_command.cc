#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "load/chat_client.h"
#include "load/commands.h"

namespace dandelionscale::load {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kTurns = 5;
constexpr std::size_t kManualSteps = 600;

std::string MakeManual() {
  std::string text = "Service manual of the wok burner.";
  for (std::size_t i = 0; i < kManualSteps; ++i) {
    text += fmt::format(" step{}", i);
  }
  return text;
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Awaitable<bool> RunChat(ChatClient& client, std::vector<Endpoint> routers,
                        std::string& last_request_id) {
  ChatTurn turn;
  turn.workspace = "technicians";
  turn.session = "burner-17";
  turn.service = "advice";
  turn.messages.push_back({"system", MakeManual()});
  for (std::size_t i = 0; i < kTurns; ++i) {
    turn.messages.push_back(
        {"user", fmt::format("The flame is yellow, reading {}.", i)});
    const Endpoint router = routers[i % routers.size()];
    ChatAnswer answer = co_await client.Send(router, turn);
    if (!answer.complete) {
      fmt::print("turn {} via port {}: status {}, {} ({})\n", i + 1,
                 router.port(), answer.status, answer.reason, answer.outcome);
      co_return false;
    }
    fmt::print(
        "turn {} via port {}: {} ({}), first token after {:.1f} ms, {} bytes, "
        "request {}\n",
        i + 1, router.port(), answer.engine, answer.placement,
        Milliseconds(answer.first_token), answer.content.size(),
        answer.request_id);
    turn.messages.push_back({"assistant", answer.content});
    last_request_id = answer.request_id;
  }
  co_return true;
}

Awaitable<bool> Book(ChatClient& client, std::vector<Endpoint> routers) {
  const std::string key =
      "callout-" +
      std::to_string(
          std::chrono::system_clock::now().time_since_epoch().count());
  for (const Endpoint& router : routers) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/services/booking/callouts";
    request.headers.Add("X-Workspace", "technicians");
    request.headers.Add("Idempotency-Key", key);
    request.headers.Add("Content-Type", "application/json");
    request.body = "{\"address\":\"14 Park Street\"}";
    auto response = co_await client.Http().Fetch(router, std::move(request),
                                                 ConnectionUse::kFresh,
                                                 std::chrono::seconds(10));
    if (response.has_error()) co_return false;
    const HttpResponse& answer = response.value();
    const bool replayed = answer.headers.Find("Idempotency-Replayed") == "true";
    fmt::print("booking via port {}: status {}, {}{}\n", router.port(),
               answer.status, answer.body, replayed ? " (replayed)" : "");
    if (answer.status != 201) co_return false;
  }
  co_return true;
}

}  // namespace

int RunDemo(const Settings& settings) {
  const std::vector<Endpoint> routers =
      ParseEndpointList(settings.Text("routers"));
  asio::io_context loop(1);
  ChatClient client(loop.get_executor());
  bool succeeded = false;
  std::string last_request_id;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        const bool chatted = co_await RunChat(client, routers, last_request_id);
        const bool booked = co_await Book(client, routers);
        succeeded = chatted && booked;
      },
      asio::detached);
  loop.run();
  fmt::print("last request: {}\n", last_request_id);
  return succeeded ? 0 : 1;
}

}  // namespace dandelionscale::load
