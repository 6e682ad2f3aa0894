// Compares complete sessions of a chat client, a booking client and an operator
// with golden files. Values that differ between runs are replaced by names.
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <regex>
#include <string>

#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

std::string Normalize(std::string text) {
  const std::pair<std::regex, std::string> rules[] = {
      {std::regex("[0-9a-f]{32}"), "REQUEST_ID"},
      {std::regex("[0-9]+\\.[0-9] ms"), "TIME ms"},
      {std::regex("127\\.0\\.0\\.1:[0-9]+"), "ADDRESS"},
      // The words of an answer depend on the request id.
      {std::regex("\"content\":\"[a-z ]+\""), "\"content\":\"WORDS\""},
      {std::regex("/[0-9]+\n"), "/OFFSET\n"},
  };
  for (const auto& [pattern, name] : rules) {
    text = std::regex_replace(text, pattern, name);
  }
  return text;
}

std::string FormatExchange(std::string_view what,
                           const HttpResponse& response) {
  std::string text = "> " + std::string(what) + "\n";
  text += "< " + std::to_string(response.status) + "\n";
  for (const char* name : {"Content-Type", "X-Engine", "X-Placement",
                           "Idempotency-Replayed", "Retry-After"}) {
    const std::string_view value = response.headers.Find(name);
    if (value.empty()) continue;
    text += "< " + std::string(name) + ": " + std::string(value) + "\n";
  }
  return text + response.body + "\n\n";
}

TEST_CASE("a chat session") {
  ProcessFleet fleet(
      {.base = 24000, .engine_arguments = {"--answer-tokens", "3"}});
  std::string log;
  for (int turn = 0; turn < 3; ++turn) {
    const int router = 1 + turn;
    log += FormatExchange("chat turn via router " + std::to_string(router),
                          fleet.Chat(router, "burner-17", "yellow flame"));
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.Add("X-Workspace", "guild");
  request.headers.Add("X-Session-Id", "burner-17");
  request.body = R"({"model":"advice","stream":true,"messages":[]})";
  log += FormatExchange("streamed turn via router 1",
                        fleet.Call(fleet.ClientPort(1), request));
  request.headers.Add("X-Request-Timeout-Ms", "0");
  log += FormatExchange("malformed turn via router 2",
                        fleet.Call(fleet.ClientPort(2), request));
  CheckGolden("chat_session.txt", Normalize(log));
}

TEST_CASE("a booking session") {
  ProcessFleet fleet({.base = 24000, .bookings = 1});
  std::string log;
  log += FormatExchange("booking via router 1", fleet.Book(1, "order", "{}"));
  log +=
      FormatExchange("same booking via router 2", fleet.Book(2, "order", "{}"));
  log += FormatExchange("same key, other body, via router 3",
                        fleet.Book(3, "order", "[]"));
  fleet.Get(fleet.Port(2), "/fake/mode?down=1");
  log += FormatExchange("booking while the platform is down",
                        fleet.Book(1, "later", "{}"));
  fleet.Get(fleet.Port(2), "/fake/mode?down=0");
  HttpRequest lookup;
  lookup.method = "GET";
  lookup.target = "/v1/services/booking/callouts";
  lookup.headers.Add("X-Workspace", "buyers");
  log += FormatExchange("look-up via router 2",
                        fleet.Call(fleet.ClientPort(2), lookup));
  CheckGolden("booking_session.txt", Normalize(log));
}

TEST_CASE("an operator session, with the explanation of a request") {
  ProcessFleet fleet({.base = 24000, .engines = 2});
  std::string log;
  auto run = [&](std::vector<std::string> arguments) {
    std::string words;
    for (const std::string& word : arguments) words += " " + word;
    const CommandOutput output = fleet.Ctl(arguments);
    log += "$ dandelionctl" + words + "\n" + output.text + "exit " +
           std::to_string(output.exit_code) + "\n\n";
  };
  run({"config", "get"});
  run({"drain", "advice-2"});
  run({"undrain", "advice-2"});
  run({"config", "put", "/dev/null"});
  run({"--expect", "1", "drain", "advice-9"});
  const HttpResponse response = fleet.Chat(1, "burner-17", "yellow flame");
  run({"explain", std::string(response.headers.Find("X-Request-Id"))});
  run({"explain", "none"});
  run({"nonsense"});
  CheckGolden("operator_session.txt", Normalize(log));
}

}  // namespace
}  // namespace dandelionscale::tests
