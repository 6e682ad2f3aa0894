#ifndef DANDELIONSCALE_LOAD_EXPERIMENT_H_
#define DANDELIONSCALE_LOAD_EXPERIMENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dandelionscale/runtime/settings.h"
#include "load/chat_client.h"
#include "load/workload.h"

namespace dandelionscale::load {

/// \brief Loads a running fleet with chats, bookings and engine restarts, and
/// collects measurements from clients, emulators and routers.
class Experiment {
 public:
  /// \param loop runs the experiment.
  /// \param settings of the command line; must outlive the experiment.
  Experiment(boost::asio::io_context& loop, const Settings& settings);

  /// \brief Runs the workload for the configured duration.
  Awaitable<void> Run();
  /// \returns the summary as one JSON object.
  boost::json::object Summary() const;
  /// \returns number of violated guarantees: idempotency keys that ran more
  /// than once, and starts of requests above the bound on load.
  std::uint64_t Violations() const;

 private:
  /// \brief Sum of the metric `dandelion_control_bytes` of all routers: bytes
  /// sent and received, by kind of traffic.
  struct ControlBytes {
    std::map<std::string, double> by_kind;
  };

  Awaitable<void> RunChats();
  Awaitable<void> SendBookings();
  Awaitable<void> RestartEngines();
  Awaitable<void> PrintProgress();
  Awaitable<std::optional<boost::json::object>> FetchStats(std::string setting);
  Awaitable<ControlBytes> ReadControlBytes();
  Awaitable<void> SendEmulatorControl(Endpoint endpoint, std::string target);
  void RecordAnswer(const ChatAnswer& answer);
  double Quantile(std::vector<double> samples, double probability) const;
  bool IsOver() const { return RuntimeClock::now() >= this->end; }

  boost::asio::io_context& loop;
  const Settings& settings;
  std::vector<Endpoint> routers;
  std::vector<Endpoint> admins;
  ChatClient client;
  Workload workload;
  TimePoint end;
  std::size_t running = 0;
  std::uint64_t turns = 0;
  std::uint64_t complete_answers = 0;
  std::uint64_t bookings = 0;
  std::uint64_t bookings_completed = 0;
  std::uint64_t bookings_not_run = 0;
  std::uint64_t bookings_unknown = 0;
  std::map<std::string, std::uint64_t> failures;
  std::map<std::string, std::uint64_t> placements;
  std::vector<double> first_token_ms;
  std::vector<double> between_tokens_ms;
  ControlBytes control_before;
  ControlBytes control_after;
  double control_seconds = 0;
  std::optional<boost::json::object> engine_stats;
  std::optional<boost::json::object> service_stats;
  std::optional<boost::json::object> platform_stats;
};

}  // namespace dandelionscale::load

#endif  // DANDELIONSCALE_LOAD_EXPERIMENT_H_
