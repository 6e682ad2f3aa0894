#include "load/experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <sstream>

#include "load/commands.h"

namespace dandelionscale::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kControlTimeout = std::chrono::seconds(5);
constexpr Duration kPauseAfterFailure = std::chrono::seconds(1);
constexpr Duration kProgressInterval = std::chrono::seconds(5);
constexpr Duration kEndCheckInterval = std::chrono::milliseconds(50);

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Workload::Options MakeWorkloadOptions(const Settings& settings) {
  Workload::Options options;
  options.workspaces = ParseShares(settings.Text("workspaces"));
  options.service = settings.Text("service");
  options.prompt_words =
      static_cast<std::size_t>(settings.Integer("prompt-words"));
  options.answer_tokens =
      static_cast<std::size_t>(settings.Integer("answer-tokens"));
  options.mean_pause = std::chrono::milliseconds(settings.Integer("pause-ms"));
  options.seed = static_cast<std::uint64_t>(settings.Integer("seed"));
  return options;
}

std::uint64_t UnsignedField(const std::optional<json::object>& stats,
                            std::string_view name) {
  if (!stats) return 0;
  const json::value* value =
      stats->if_contains(json::string_view(name.data(), name.size()));
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

}  // namespace

Experiment::Experiment(asio::io_context& loop, const Settings& settings)
    : loop(loop),
      settings(settings),
      routers(ParseEndpointList(settings.Text("routers"))),
      admins(ParseEndpointList(settings.Text("admin"))),
      client(loop.get_executor()),
      workload(MakeWorkloadOptions(settings)) {}

void Experiment::RecordAnswer(const ChatAnswer& answer) {
  ++this->turns;
  if (!answer.complete) {
    ++this->failures[answer.reason + "/" + answer.outcome];
    return;
  }
  ++this->complete_answers;
  ++this->placements[answer.placement];
  this->first_token_ms.push_back(Milliseconds(answer.first_token));
  for (Duration gap : answer.token_gaps) {
    this->between_tokens_ms.push_back(Milliseconds(gap));
  }
}

Awaitable<void> Experiment::RunChats() {
  ++this->running;
  const auto turns_per_chat = this->settings.Integer("turns");
  co_await SleepFor(this->workload.RandomPause());
  while (!this->IsOver()) {
    ChatTurn turn = this->workload.NewChat();
    for (std::int64_t i = 0; i < turns_per_chat && !this->IsOver(); ++i) {
      const Endpoint router =
          this->routers[this->workload.PickIndex(this->routers.size())];
      ChatAnswer answer = co_await this->client.Send(router, turn);
      this->RecordAnswer(answer);
      if (!answer.complete) {
        co_await SleepFor(kPauseAfterFailure);
        continue;
      }
      this->workload.Continue(turn, answer.content);
      co_await SleepFor(this->workload.RandomPause());
    }
  }
  --this->running;
}

Awaitable<void> Experiment::SendBookings() {
  const auto rate = this->settings.Integer("bookings");
  if (rate == 0) co_return;
  ++this->running;
  while (!this->IsOver()) {
    co_await SleepFor(Duration(std::chrono::seconds(1)) / rate);
    HttpRequest request;
    request.method = "POST";
    request.target =
        "/v1/services/" + this->settings.Text("plain-service") + "/callouts";
    request.headers.Add("X-Workspace",
                        ParseShares(this->settings.Text("workspaces"))[0].name);
    request.headers.Add("Idempotency-Key",
                        fmt::format("b{}-{}", this->settings.Integer("seed"),
                                    ++this->bookings));
    const Endpoint router =
        this->routers[this->workload.PickIndex(this->routers.size())];
    auto response = co_await this->client.Http().Fetch(
        router, std::move(request), ConnectionUse::kFresh, kControlTimeout);
    if (response.has_error() || response.value().status == 502) {
      ++this->bookings_unknown;
    } else if (response.value().status == 201) {
      ++this->bookings_completed;
    } else {
      ++this->bookings_not_run;
    }
  }
  --this->running;
}

Awaitable<void> Experiment::SendEmulatorControl(Endpoint endpoint,
                                                std::string target) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  co_await this->client.Http().Fetch(endpoint, std::move(request),
                                     ConnectionUse::kReuse, kControlTimeout);
}

Awaitable<void> Experiment::RestartEngines() {
  const auto interval = this->settings.Integer("engine-churn-ms");
  const auto engines =
      static_cast<std::size_t>(this->settings.Integer("engines"));
  if (interval == 0 || engines == 0) co_return;
  ++this->running;
  const Endpoint control =
      ParseEndpointList(this->settings.Text("engines-control")).front();
  while (!this->IsOver()) {
    co_await SleepFor(std::chrono::milliseconds(interval));
    const std::size_t engine = this->workload.PickIndex(engines);
    co_await this->SendEmulatorControl(
        control, fmt::format("/fake/engine/{}/down", engine));
    co_await SleepFor(
        std::chrono::milliseconds(this->settings.Integer("engine-down-ms")));
    co_await this->SendEmulatorControl(
        control, fmt::format("/fake/engine/{}/up", engine));
  }
  --this->running;
}

Awaitable<void> Experiment::PrintProgress() {
  while (!this->IsOver()) {
    co_await SleepFor(kProgressInterval);
    fmt::print(stderr, "{} turns, {} complete answers\n", this->turns,
               this->complete_answers);
  }
}

Awaitable<std::optional<json::object>> Experiment::FetchStats(
    std::string setting) {
  const std::string& address = this->settings.Text(setting);
  if (address.empty()) co_return std::nullopt;
  HttpRequest request;
  request.method = "GET";
  request.target = "/fake/stats";
  auto response = co_await this->client.Http().Fetch(
      ParseEndpointList(address).front(), std::move(request),
      ConnectionUse::kFresh, kControlTimeout);
  if (response.has_error()) co_return std::nullopt;
  co_return json::parse(response.value().body).as_object();
}

Awaitable<Experiment::ControlBytes> Experiment::ReadControlBytes() {
  constexpr std::string_view kPrefix = "dandelion_control_bytes{kind=\"";
  ControlBytes bytes;
  for (const Endpoint& admin : this->admins) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/metrics";
    auto response = co_await this->client.Http().Fetch(
        admin, std::move(request), ConnectionUse::kFresh, kControlTimeout);
    if (response.has_error()) continue;
    std::istringstream lines(response.value().body);
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.starts_with(kPrefix)) continue;
      const std::string rest = line.substr(kPrefix.size());
      const std::string kind = rest.substr(0, rest.find('"'));
      bytes.by_kind[kind] += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  co_return bytes;
}

Awaitable<void> Experiment::Run() {
  const TimePoint started = RuntimeClock::now();
  this->end = started + std::chrono::seconds(this->settings.Integer("seconds"));
  this->control_before = co_await this->ReadControlBytes();
  auto executor = this->loop.get_executor();
  for (std::int64_t i = 0; i < this->settings.Integer("sessions"); ++i) {
    asio::co_spawn(executor, this->RunChats(), asio::detached);
  }
  asio::co_spawn(executor, this->SendBookings(), asio::detached);
  asio::co_spawn(executor, this->RestartEngines(), asio::detached);
  asio::co_spawn(executor, this->PrintProgress(), asio::detached);
  while (!this->IsOver()) co_await SleepFor(kEndCheckInterval);
  this->control_after = co_await this->ReadControlBytes();
  this->control_seconds =
      std::chrono::duration<double>(RuntimeClock::now() - started).count();
  while (this->running > 0) co_await SleepFor(kEndCheckInterval);
  this->engine_stats = co_await this->FetchStats("engines-control");
  this->service_stats = co_await this->FetchStats("service-control");
  this->platform_stats = co_await this->FetchStats("platform-control");
}

double Experiment::Quantile(std::vector<double> samples,
                            double probability) const {
  if (samples.empty()) return 0;
  const auto position = static_cast<std::ptrdiff_t>(
      probability * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + position, samples.end());
  return samples[static_cast<std::size_t>(position)];
}

std::uint64_t Experiment::Violations() const {
  return UnsignedField(this->service_stats, "keys_run_twice") +
         UnsignedField(this->engine_stats, "bound_violations");
}

json::object Experiment::Summary() const {
  json::object summary;
  summary["seed"] = this->settings.Integer("seed");
  summary["turns"] = this->turns;
  summary["whole"] = this->complete_answers;
  summary["refusals"] = json::value_from(this->failures);
  summary["placements"] = json::value_from(this->placements);
  summary["first_token_ms_p50"] = this->Quantile(this->first_token_ms, 0.5);
  summary["first_token_ms_p95"] = this->Quantile(this->first_token_ms, 0.95);
  summary["between_tokens_ms_p95"] =
      this->Quantile(this->between_tokens_ms, 0.95);
  json::object control;
  double total = 0;
  for (const auto& [kind, after] : this->control_after.by_kind) {
    const auto before = this->control_before.by_kind.find(kind);
    const double spent =
        after -
        (before == this->control_before.by_kind.end() ? 0 : before->second);
    const double rate = spent / this->control_seconds /
                        static_cast<double>(this->admins.size());
    control[kind] = rate;
    total += rate;
  }
  control["total"] = total;
  summary["control_bytes_per_router_second"] = std::move(control);
  summary["bookings"] = json::object{{"sent", this->bookings},
                                     {"completed", this->bookings_completed},
                                     {"not_run", this->bookings_not_run},
                                     {"unknown", this->bookings_unknown}};
  if (this->engine_stats) {
    const auto returning = UnsignedField(this->engine_stats, "returning_turns");
    const auto reused = UnsignedField(this->engine_stats, "reused_turns");
    const auto best = UnsignedField(this->engine_stats, "best_reused_turns");
    summary["reuse"] =
        returning == 0 ? 0.0 : static_cast<double>(reused) / returning;
    summary["reuse_of_best"] =
        best == 0 ? 0.0 : static_cast<double>(reused) / best;
    summary["skew"] = this->engine_stats->at("skew");
    summary["worst_skew"] = this->engine_stats->at("worst_skew");
    summary["bound_violations"] = this->engine_stats->at("bound_violations");
    summary["worst_excess"] = this->engine_stats->at("worst_excess");
    summary["requests_started_twice"] =
        this->engine_stats->at("requests_started_twice");
  }
  if (this->service_stats) summary["service"] = *this->service_stats;
  if (this->platform_stats) summary["platform"] = *this->platform_stats;
  return summary;
}

int RunExperiment(const Settings& settings) {
  asio::io_context loop(1);
  Experiment experiment(loop, settings);
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        co_await experiment.Run();
        loop.stop();
      },
      asio::detached);
  loop.run();
  fmt::print("{}\n", json::serialize(experiment.Summary()));
  return experiment.Violations() == 0 ? 0 : 1;
}

}  // namespace dandelionscale::load
