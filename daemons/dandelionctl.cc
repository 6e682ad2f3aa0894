// Command-line tool for operators: reads and replaces the configuration, shows
// the status, drains engines and explains requests.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>

#include "daemons/explain_logs.h"
#include "daemons/placement_command.h"
#include "dandelionscale/core/configuration.h"
#include "dandelionscale/runtime.h"
#include "dandelionscale/transport.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using dandelionscale::Awaitable;
using dandelionscale::ChoiceRange;
using dandelionscale::Endpoint;
using dandelionscale::HttpRequest;
using dandelionscale::HttpResponse;
using dandelionscale::Settings;
using dandelionscale::TextRange;

using dandelionscale::kExitFailed;
using dandelionscale::kExitOk;
using dandelionscale::kExitUsage;
constexpr dandelionscale::Duration kTimeout = std::chrono::seconds(15);

constexpr std::string_view kUsage =
    "dandelionctl: operator command line of a dandelionscale fleet.\n\n"
    "  config check FILE     check a configuration without sending it\n"
    "  config get            print the configuration in force\n"
    "  config put FILE       replace the configuration; with --expect "
    "VERSION,\n"
    "                        or else the version now in force\n"
    "  drain ENGINE          let an engine finish and give it nothing new\n"
    "  undrain ENGINE        take that back\n"
    "  status                show routers, engines and loads\n"
    "  explain REQUEST_ID    show the hops of a request as a tree; with "
    "--log,\n"
    "                        its story in routers' logs and the likely "
    "cause\n"
    "  placement ROUTER      show where a request would go now; ROUTER is the\n"
    "                        metrics address, IP:PORT; needs --host and "
    "--path\n\n"
    "Exit codes: 0 done, 1 refused or unreachable, 2 wrong usage.";

std::vector<dandelionscale::SettingSpec> Specs() {
  return {
      {"admin", "127.0.0.1:8082",
       "admin addresses of routers, comma-separated; commands use the first "
       "that responds, explain queries all",
       TextRange{true}},
      {"admin-token", "", "bearer token", TextRange{}},
      {"expect", "", "configuration version that config put replaces",
       TextRange{}},
      {"log", "", "explain: log files of routers, comma-separated",
       TextRange{}},
      {"host", "", "placement: host of the request", TextRange{}},
      {"path", "", "placement: path of the request", TextRange{}},
      {"method", "", "placement: method of the request; default POST",
       TextRange{}},
      {"key", "",
       "placement: API key; the environment variable keeps it out "
       "of the list of processes",
       TextRange{}},
      {"id", "", "placement: request id, which decides between equal engines",
       TextRange{}},
      {"model", "", "placement: model of the prompt", TextRange{}},
      {"prefix", "",
       "placement: parts of the prompt, ID:TOKENS,...; the last "
       "one is the request's own",
       TextRange{}},
      {"tokens", "", "placement: tokens of prompt and answer, IN,OUT",
       TextRange{}},
      {"output", "table", "output format", ChoiceRange{{"table", "json"}}},
  };
}

std::vector<Endpoint> AdminAddresses(const Settings& settings) {
  std::vector<Endpoint> addresses;
  std::istringstream list(settings.Text("admin"));
  std::string item;
  while (std::getline(list, item, ',')) {
    auto endpoint = dandelionscale::ParseEndpoint(item);
    if (endpoint.has_value()) {
      addresses.push_back(endpoint.value());
    } else {
      fmt::print(stderr, "admin: \"{}\" is not accepted; allowed: IP:PORT\n",
                 item);
      std::exit(kExitUsage);
    }
  }
  return addresses;
}

/// \brief Blocking HTTP client of routers' admin listeners.
class AdminClient {
 public:
  explicit AdminClient(const Settings& settings)
      : addresses(AdminAddresses(settings)),
        token(settings.Text("admin-token")),
        http(loop.get_executor(), nullptr) {}

  /// \brief Sends the request to the routers in turn until one responds.
  /// \returns the first response; exits the process if no router responds.
  HttpResponse Call(HttpRequest request) {
    for (const Endpoint& address : this->addresses) {
      auto response = this->CallOne(address, request);
      if (response) return *response;
    }
    fmt::print(stderr, "no router responds at the --admin addresses\n");
    std::exit(kExitFailed);
  }

  /// \brief Sends the request with the bearer token to one router.
  /// \returns the response, or nothing if there is none within `kTimeout`.
  std::optional<HttpResponse> CallOne(const Endpoint& address,
                                      HttpRequest request) {
    request.headers.Add("Authorization", "Bearer " + this->token);
    std::optional<HttpResponse> received;
    asio::co_spawn(
        this->loop,
        [&]() -> Awaitable<void> {
          auto response = co_await this->http.Fetch(
              address, request, dandelionscale::ConnectionUse::kFresh,
              kTimeout);
          if (response.has_value()) received = response.value();
        },
        asio::detached);
    this->loop.restart();
    this->loop.run();
    return received;
  }

  const std::vector<Endpoint>& Addresses() const { return this->addresses; }

 private:
  asio::io_context loop;
  std::vector<Endpoint> addresses;
  std::string token;
  dandelionscale::HttpClient http;
};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int PrintResponse(const HttpResponse& response) {
  if (response.status == 200) {
    fmt::print("{}\n", response.body);
    return kExitOk;
  }
  fmt::print(stderr, "{}\n", response.body);
  return kExitFailed;
}

int CheckConfiguration(const std::string& path) {
  auto text = ReadFile(path);
  if (!text) {
    fmt::print(stderr, "{}: cannot be read\n", path);
    return kExitFailed;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(parsed, dandelionscale::ParseConfiguration(*text, 1));
        fmt::print("{}: accepted: {} services, {} engines, {} workspaces\n",
                   path, parsed.services.size(), parsed.engines.size(),
                   parsed.workspaces.size());
        return kExitOk;
      },
      [&](const dandelionscale::ConfigurationFaults& found) {
        for (const auto& fault : found.faults) {
          fmt::print(stderr, "{}: {} {}\n", path,
                     fault.path.empty() ? "/" : fault.path, fault.message);
        }
        return kExitFailed;
      },
      [] { return kExitFailed; });
}

// Entity tags are quoted in HTTP headers.
std::string Unquote(std::string_view tag) {
  std::string text(tag);
  std::erase(text, '"');
  return text;
}

HttpRequest Get(std::string target) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  return request;
}

int PutConfiguration(AdminClient& admin, const std::string& document,
                     const std::string& expected) {
  HttpRequest request;
  request.method = "PUT";
  request.target = "/v1/config";
  request.headers.Add("If-Match", "\"" + expected + "\"");
  request.headers.Add("Content-Type", "application/json");
  request.body = document;
  return PrintResponse(admin.Call(std::move(request)));
}

std::string CurrentVersion(AdminClient& admin) {
  HttpResponse current = admin.Call(Get("/v1/config"));
  return current.status == 200 ? Unquote(current.headers.Find("ETag")) : "0";
}

int PutFile(AdminClient& admin, const Settings& settings,
            const std::string& path) {
  auto text = ReadFile(path);
  if (!text) {
    fmt::print(stderr, "{}: cannot be read\n", path);
    return kExitFailed;
  }
  std::string expected = settings.Text("expect");
  if (expected.empty()) expected = CurrentVersion(admin);
  return PutConfiguration(admin, *text, expected);
}

int SetDraining(AdminClient& admin, const std::string& engine, bool draining) {
  HttpResponse current = admin.Call(Get("/v1/config"));
  if (current.status != 200) return PrintResponse(current);
  json::value document = json::parse(current.body);
  json::object& root = document.as_object();
  if (!root.contains("rules")) root["rules"] = json::object{};
  json::object& rules = root["rules"].as_object();
  if (!rules.contains("draining_engines")) {
    rules["draining_engines"] = json::array{};
  }
  json::array& names = rules["draining_engines"].as_array();
  auto found = std::find(names.begin(), names.end(), json::value(engine));
  if (draining && found == names.end()) names.emplace_back(engine);
  if (!draining && found != names.end()) names.erase(found);
  return PutConfiguration(admin, json::serialize(document),
                          Unquote(current.headers.Find("ETag")));
}

std::string FieldText(const json::object& row, std::string_view name) {
  const json::value* value =
      row.if_contains(json::string_view(name.data(), name.size()));
  if (value == nullptr) return "-";
  if (value->is_string()) return std::string(value->get_string());
  return json::serialize(*value);
}

void PrintTable(const json::array& rows,
                const std::vector<std::string>& columns) {
  for (const std::string& column : columns) fmt::print("{:<18}", column);
  fmt::print("\n");
  for (const json::value& row : rows) {
    for (const std::string& column : columns) {
      fmt::print("{:<18}", FieldText(row.as_object(), column));
    }
    fmt::print("\n");
  }
}

int ShowStatus(AdminClient& admin, const Settings& settings) {
  HttpResponse response = admin.Call(Get("/v1/status"));
  if (response.status != 200 || settings.Text("output") == "json") {
    return PrintResponse(response);
  }
  json::value status = json::parse(response.body);
  const json::object& root = status.as_object();
  for (std::string_view name :
       {"router", "ready", "configuration_version", "platform_reachable",
        "lease_held", "requests_in_flight", "sessions"}) {
    fmt::print("{:<24}{}\n", name, FieldText(root, name));
  }
  fmt::print("\n");
  PrintTable(root.at("members").as_array(),
             {"name", "availability_zone", "incarnation", "draining"});
  fmt::print("\n");
  PrintTable(root.at("engines").as_array(),
             {"name", "service", "owner", "load", "cap", "draining", "down"});
  return kExitOk;
}

/// \brief Prints spans as a tree, children below their parents.
class SpanTree {
 public:
  void Add(const json::object& span) {
    this->known[FieldText(span, "spanId")] = true;
    this->children[FieldText(span, "parentSpanId")].push_back(span);
  }

  void Print() const {
    for (const auto& [parent, spans] : this->children) {
      if (this->known.contains(parent)) continue;
      this->PrintBelow(parent, 0);
    }
  }

 private:
  void PrintBelow(const std::string& parent, int depth) const {
    auto found = this->children.find(parent);
    if (found == this->children.end()) return;
    std::vector<json::object> spans = found->second;
    std::sort(spans.begin(), spans.end(),
              [](const json::object& a, const json::object& b) {
                return FieldText(a, "startTimeUnixNano") <
                       FieldText(b, "startTimeUnixNano");
              });
    for (const json::object& span : spans) {
      this->PrintSpan(span, depth);
      this->PrintBelow(FieldText(span, "spanId"), depth + 1);
    }
  }

  void PrintSpan(const json::object& span, int depth) const {
    const double milliseconds =
        (std::stod(FieldText(span, "endTimeUnixNano")) -
         std::stod(FieldText(span, "startTimeUnixNano"))) /
        1e6;
    std::string attributes;
    for (const json::value& attribute : span.at("attributes").as_array()) {
      const std::string value =
          FieldText(attribute.at("value").as_object(), "stringValue");
      if (value.empty()) continue;
      attributes +=
          fmt::format(" {}={}", FieldText(attribute.as_object(), "key"), value);
    }
    fmt::print("{:{}}{} {:.1f} ms{}\n", "", 2 * depth, FieldText(span, "name"),
               milliseconds, attributes);
  }

  std::map<std::string, bool> known;
  std::map<std::string, std::vector<json::object>> children;
};

int Explain(AdminClient& admin, const Settings& settings,
            const std::string& request_id) {
  SpanTree tree;
  json::array all;
  for (const Endpoint& address : admin.Addresses()) {
    auto response = admin.CallOne(address, Get("/v1/explain/" + request_id));
    if (!response || response->status != 200) {
      fmt::print(stderr, "{}:{}: no usable response to the explain query\n",
                 address.address().to_string(), address.port());
      continue;
    }
    json::value document = json::parse(response->body);
    for (const json::value& span : document.at("spans").as_array()) {
      tree.Add(span.as_object());
      all.push_back(span);
    }
  }
  if (all.empty()) {
    fmt::print(stderr, "request {} is not known at --admin\n", request_id);
    return kExitFailed;
  }
  if (settings.Text("output") == "json") {
    fmt::print("{}\n", json::serialize(all));
  } else {
    tree.Print();
  }
  return kExitOk;
}

int Usage() {
  fmt::print(stderr, "{}\n", kUsage);
  return kExitUsage;
}

int RunCommand(const Settings& settings) {
  const std::vector<std::string>& arguments = settings.Positional();
  if (arguments.size() == 3 && arguments[0] == "config" &&
      arguments[1] == "check") {
    return CheckConfiguration(arguments[2]);
  }
  if (arguments.size() == 2 && arguments[0] == "explain" &&
      !settings.Text("log").empty()) {
    return dandelionscale::ExplainFromLogs(settings.Text("log"), arguments[1]);
  }
  if (arguments.size() == 2 && arguments[0] == "placement" &&
      !settings.Text("host").empty() && !settings.Text("path").empty()) {
    return dandelionscale::RunPlacementCommand(settings, arguments[1]);
  }
  AdminClient admin(settings);
  if (arguments.size() == 2 && arguments[0] == "config" &&
      arguments[1] == "get") {
    return PrintResponse(admin.Call(Get("/v1/config")));
  }
  if (arguments.size() == 3 && arguments[0] == "config" &&
      arguments[1] == "put") {
    return PutFile(admin, settings, arguments[2]);
  }
  if (arguments.size() == 1 && arguments[0] == "status") {
    return ShowStatus(admin, settings);
  }
  if (arguments.size() == 2 && arguments[0] == "explain") {
    return Explain(admin, settings, arguments[1]);
  }
  if (arguments.size() == 2 && arguments[0] == "drain") {
    return SetDraining(admin, arguments[1], true);
  }
  if (arguments.size() == 2 && arguments[0] == "undrain") {
    return SetDraining(admin, arguments[1], false);
  }
  return Usage();
}

}  // namespace

int main(int argc, char** argv) {
  return RunCommand(
      dandelionscale::ParseSettingsOrExit(Specs(), argc, argv, kUsage));
}
