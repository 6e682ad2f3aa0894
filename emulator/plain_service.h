#ifndef DANDELIONSCALE_EMULATOR_PLAIN_SERVICE_H_
#define DANDELIONSCALE_EMULATOR_PLAIN_SERVICE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief Behaviour of an emulated plain service, such as booking.
///
/// A plain service runs no model; its instances are called engines too.
struct PlainServiceOptions {
  /// Number of engines.
  std::size_t count = 1;
  /// Port of the first engine; the others use the ports after it.
  std::uint16_t base_port = 9200;
  /// Time between the effect of a POST and its response.
  Duration work = std::chrono::milliseconds(5);
};

/// \brief Emulates the engines of a plain service; all use the same records.
///
/// Each POST is one run and gets the next record number. Nothing is
/// deduplicated, so that the records count the runs of each idempotency key.
class PlainService : public std::enable_shared_from_this<PlainService> {
 public:
  PlainService(boost::asio::any_io_executor executor,
               PlainServiceOptions options);

  /// \brief Opens the listeners of all engines on loopback.
  /// \returns the fault of the first port that cannot be opened.
  Result<void> Listen();
  /// \brief Handles a control request.
  ///
  /// - `/fake/stats`: counters as JSON.
  /// - `/fake/runs?workspace=W&key=K`: number of runs of an idempotency key.
  /// - `/fake/mode?drop_answers=N&delay_ms=D`: runs the next N POST requests
  ///   but aborts their connections instead of responding; delays each POST
  ///   response by D ms after its effect. A parameter that is left out is 0.
  ///
  /// Anything else gets status 404.
  Awaitable<void> HandleControl(HttpExchange& exchange);

 private:
  struct Record {
    int runs = 0;
    std::string body;
  };

  Awaitable<void> Handle(std::size_t engine, HttpExchange& exchange);
  Awaitable<void> HandlePost(std::size_t engine, HttpExchange& exchange);
  std::string Stats() const;

  boost::asio::any_io_executor executor;
  PlainServiceOptions options;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::vector<int> running;
  std::map<std::string, Record> records;
  int next_number = 1;
  int drop_answers = 0;
  Duration extra_delay{};
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_PLAIN_SERVICE_H_
