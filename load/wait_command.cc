#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <sstream>

#include "dandelionscale/transport/http_client.h"
#include "load/commands.h"

namespace dandelionscale::load {

namespace asio = boost::asio;

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);
constexpr Duration kPollTimeout = std::chrono::seconds(1);

/// \brief Polls routers until each has the wanted state or time is up.
class RouterPoller {
 public:
  RouterPoller(asio::io_context& loop, const Settings& settings)
      : http(loop.get_executor(), nullptr),
        want_ready(settings.Text("want") == "ready"),
        members(static_cast<std::size_t>(settings.Integer("members"))),
        token(settings.Text("admin-token")),
        deadline(RuntimeClock::now() +
                 std::chrono::seconds(settings.Integer("wait-seconds"))) {}

  Awaitable<void> Run(Endpoint admin) {
    while (RuntimeClock::now() < this->deadline) {
      const bool reached = co_await this->Check(admin);
      if (reached) {
        ++this->succeeded;
        co_return;
      }
      co_await SleepFor(kPollInterval);
    }
  }

  std::size_t Succeeded() const { return this->succeeded; }

 private:
  Awaitable<bool> Check(Endpoint admin) {
    HttpRequest request;
    request.method = "GET";
    request.target = this->want_ready ? "/v1/status" : "/livez";
    request.headers.Add("Authorization", "Bearer " + this->token);
    auto response = co_await this->http.Fetch(
        admin, std::move(request), ConnectionUse::kReuse, kPollTimeout);
    if (response.has_error() || response.value().status != 200) {
      co_return false;
    }
    if (!this->want_ready) co_return true;
    auto status = boost::json::parse(response.value().body);
    co_return status.at("ready").as_bool() &&
        status.at("members").as_array().size() >= this->members;
  }

  HttpClient http;
  bool want_ready;
  std::size_t members;
  std::string token;
  TimePoint deadline;
  std::size_t succeeded = 0;
};

}  // namespace

std::vector<Endpoint> ParseEndpointList(const std::string& list) {
  std::vector<Endpoint> endpoints;
  std::istringstream stream(list);
  std::string item;
  while (std::getline(stream, item, ',')) {
    auto endpoint = ParseEndpoint(item);
    if (endpoint.has_error()) {
      fmt::print(stderr, "\"{}\" is not accepted; allowed: IP:PORT\n", item);
      std::exit(2);
    }
    endpoints.push_back(endpoint.value());
  }
  return endpoints;
}

int RunWait(const Settings& settings) {
  asio::io_context loop(1);
  const std::vector<Endpoint> admins =
      ParseEndpointList(settings.Text("admin"));
  RouterPoller poller(loop, settings);
  for (const Endpoint& admin : admins) {
    asio::co_spawn(loop, poller.Run(admin), asio::detached);
  }
  loop.run();
  if (poller.Succeeded() == admins.size()) return 0;
  fmt::print(stderr, "{} of {} routers are {}\n", poller.Succeeded(),
             admins.size(), settings.Text("want"));
  return 1;
}

}  // namespace dandelionscale::load
