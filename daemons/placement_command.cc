#include "daemons/placement_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cctype>

#include "daemons/explain_logs.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_client.h"
#include "dandelionscale/transport/http_fields.h"
#include "dandelionscale/transport/http_status.h"

namespace dandelionscale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kTimeout = std::chrono::seconds(15);
// Settings that are parameters of the query by the same name.
constexpr std::string_view kParameters[] = {"host",  "path",   "method", "id",
                                            "model", "prefix", "tokens"};

std::string EncodePercent(std::string_view text) {
  constexpr std::string_view kUnreserved = "-._~/";
  std::string encoded;
  for (char one : text) {
    const auto byte = static_cast<unsigned char>(one);
    const bool is_kept = std::isalnum(byte) != 0 ||
                         kUnreserved.find(one) != std::string_view::npos;
    encoded += is_kept ? std::string(1, one) : fmt::format("%{:02X}", byte);
  }
  return encoded;
}

std::optional<HttpResponse> Fetch(const Endpoint& router,
                                  const HttpRequest& request) {
  asio::io_context loop;
  HttpClient client(loop.get_executor(), nullptr);
  std::optional<HttpResponse> received;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        auto response = co_await client.Fetch(router, request,
                                              ConnectionUse::kFresh, kTimeout);
        if (response.has_value()) received = response.value();
      },
      asio::detached);
  loop.run();
  return received;
}

// Returns the value as text, without quotes; "-" if it is absent or empty.
std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return "-";
  if (value->is_double()) return fmt::format("{:.3g}", value->get_double());
  if (!value->is_string()) return json::serialize(*value);
  const json::string& text = value->get_string();
  return text.empty() ? "-" : std::string(text.data(), text.size());
}

const json::object* ObjectOf(const json::object& object,
                             std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_object();
}

std::string FormatRefusal(const json::object& answer) {
  if (!answer.contains("status")) return {};
  std::string text =
      fmt::format("{} {}", TextOf(answer, "status"), TextOf(answer, "reason"));
  if (const json::object* retry = ObjectOf(answer, "retry_after_s")) {
    text += fmt::format(", Retry-After {} to {} s", TextOf(*retry, "from"),
                        TextOf(*retry, "to"));
  }
  return text;
}

std::string FormatVerdict(const json::object& answer) {
  const std::string verdict = TextOf(answer, "verdict");
  const std::string refusal = FormatRefusal(answer);
  if (verdict == "placed") {
    return fmt::format("would be sent to {} ({})", TextOf(answer, "engine"),
                       TextOf(answer, "basis"));
  }
  const json::object* wait = ObjectOf(answer, "wait");
  if (verdict == "waits" && wait != nullptr) {
    return fmt::format("would wait about {} s, at most {} s, and then get {}",
                       TextOf(*wait, "estimate_s"), TextOf(*wait, "longest_s"),
                       refusal);
  }
  return fmt::format("would get {}", refusal);
}

std::string FormatPermit(const json::object& permit) {
  return fmt::format("permit       from {} ({} per second{})\n",
                     TextOf(permit, "issuer"), TextOf(permit, "per_second"),
                     TextOf(permit, "warm_up") == "true" ? ", warms up" : "");
}

std::string FormatState(const json::object& candidate) {
  if (candidate.contains("chosen")) return "chosen";
  if (candidate.contains("excluded")) return TextOf(candidate, "excluded");
  return candidate.contains("avoided") ? "avoided" : "-";
}

std::string FormatCandidate(const json::object& candidate) {
  return fmt::format(
      "{:<22} {:<12} {:>9} {:>4} {:>5} {:>7}  {}\n",
      TextOf(candidate, "engine"), TextOf(candidate, "zone"),
      TextOf(candidate, "in_flight"), TextOf(candidate, "own_in_flight"),
      TextOf(candidate, "slots"), TextOf(candidate, "cached_tokens"),
      FormatState(candidate));
}

std::string FormatCandidates(const json::array& candidates) {
  if (candidates.empty()) return {};
  std::string text =
      fmt::format("\n{:<22} {:<12} {:>9} {:>4} {:>5} {:>7}  {}\n", "engine",
                  "zone", "in_flight", "own", "slots", "cached", "state");
  for (const json::value& candidate : candidates) {
    if (candidate.is_object()) text += FormatCandidate(candidate.get_object());
  }
  return text;
}

std::string FormatLoadAge(const json::object& answer) {
  const std::string age = TextOf(answer, "load_age_s");
  return age == "-" ? "no peer reports" : "oldest peer report " + age + " s";
}

std::string FormatAnswer(const json::object& answer) {
  std::string text = fmt::format(
      "request      {} {}\n"
      "route        {}, workspace {}, service {}, priority {}\n"
      "as of        configuration {}, engines {}, {}\n",
      TextOf(answer, "request"), FormatVerdict(answer), TextOf(answer, "route"),
      TextOf(answer, "workspace"), TextOf(answer, "service"),
      TextOf(answer, "priority"), TextOf(answer, "configuration"),
      TextOf(answer, "engines"), FormatLoadAge(answer));
  if (answer.contains("zone_rule")) {
    text +=
        fmt::format("zone         rule {}, share {} leaves; mean load {}\n",
                    TextOf(answer, "zone_rule"), TextOf(answer, "zone_share"),
                    TextOf(answer, "mean_load"));
  }
  if (TextOf(answer, "copy_from") != "-") {
    text += fmt::format("cache        copied from {}\n",
                        TextOf(answer, "copy_from"));
  }
  if (const json::object* permit = ObjectOf(answer, "permit")) {
    text += FormatPermit(*permit);
  }
  if (const json::object* quarantine = ObjectOf(answer, "quarantine")) {
    text += fmt::format(
        "quarantine   such requests crash engines; may be a "
        "probe: {}\n",
        TextOf(*quarantine, "may_probe"));
  }
  if (TextOf(answer, "ignores_health") == "true") {
    text += "health       ignored, since no healthy engine can be chosen\n";
  }
  const json::value* candidates = answer.if_contains("candidates");
  const bool has_list = candidates != nullptr && candidates->is_array();
  return has_list ? text + FormatCandidates(candidates->get_array()) : text;
}

}  // namespace

HttpRequest MakePlacementRequest(const Settings& settings) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/placement";
  char separator = '?';
  for (std::string_view name : kParameters) {
    const std::string& value = settings.Text(name);
    if (value.empty()) continue;
    request.target +=
        fmt::format("{}{}={}", separator, name, EncodePercent(value));
    separator = '&';
  }
  const std::string& key = settings.Text("key");
  if (!key.empty()) request.headers.Add("Authorization", "Bearer " + key);
  return request;
}

std::optional<std::string> FormatPlacement(std::string_view document) {
  boost::system::error_code error;
  const json::value answer = json::parse(document, error);
  if (error || !answer.is_object()) return std::nullopt;
  return FormatAnswer(answer.get_object());
}

int RunPlacementCommand(const Settings& settings, const std::string& router) {
  const auto address = ParseEndpoint(router);
  if (!address.has_value()) {
    fmt::print(stderr, "\"{}\" is not accepted; allowed: IP:PORT\n", router);
    return kExitUsage;
  }
  if (!IsFieldValue(settings.Text("key"))) {
    fmt::print(stderr, "the key has characters that a key can't have\n");
    return kExitUsage;
  }
  const auto response = Fetch(address.value(), MakePlacementRequest(settings));
  if (!response) {
    fmt::print(stderr, "{}: no response\n", router);
    return kExitFailed;
  }
  if (response->status != http_status::kOk) {
    fmt::print(stderr, "{}: {} {}\n", router, response->status, response->body);
    return kExitFailed;
  }
  const std::optional<std::string> text = FormatPlacement(response->body);
  if (!text) {
    fmt::print(stderr, "{}: not an explanation; an earlier build?\n", router);
    return kExitFailed;
  }
  if (settings.Text("output") == "json") {
    fmt::print("{}\n", response->body);
  } else {
    fmt::print("{}", *text);
  }
  return kExitOk;
}

}  // namespace dandelionscale
