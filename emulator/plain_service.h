#ifndef DANDELIONSCALE_EMULATOR_PLAIN_SERVICE_H_
#define DANDELIONSCALE_EMULATOR_PLAIN_SERVICE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief Behaviour of an emulated plain service (booking, ledger).
struct PlainServiceOptions {
  std::size_t count = 1;
  std::uint16_t base_port = 9200;
  Duration work = std::chrono::milliseconds(5);
};

/// \brief Engines of a plain service that share their records.
///
/// Every POST is one run and gets the next record number; nothing is
/// deduplicated, so that the records show how often each key has run.
class PlainService : public std::enable_shared_from_this<PlainService> {
 public:
  PlainService(boost::asio::any_io_executor executor,
               PlainServiceOptions options);

  Result<void> Listen();
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
