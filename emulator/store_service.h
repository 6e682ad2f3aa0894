#ifndef DANDELIONSCALE_EMULATOR_STORE_SERVICE_H_
#define DANDELIONSCALE_EMULATOR_STORE_SERVICE_H_

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "dandelionscale/runtime/event.h"
#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief How the stand-in of the store behaves.
enum class StoreMode {
  kServing,
  kBusy,         ///< Answers 503: nothing was done.
  kSilent,       ///< Takes calls and answers nothing.
  kHistoryGone,  ///< Watches get 410; reads are served.
};

/// \brief Stand-in of the users' store: rows in tables, read, watched, written.
///
/// Speaks the calls that routers use; one event loop owns it.
class StoreService {
 public:
  explicit StoreService(boost::asio::any_io_executor executor);

  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// \brief Writes a row of the empty part, as an operator or engine does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  void SetMode(StoreMode mode);
  /// \returns the targets of all calls so far, in their order.
  const std::vector<std::string>& Calls() const { return this->calls; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using RowKey = std::tuple<std::string, std::string>;  // table, key

  Awaitable<void> Handle(HttpExchange& exchange);
  Awaitable<HttpResponse> Answer(const HttpRequest& request);
  HttpResponse Get(const HttpRequest& request) const;
  Awaitable<HttpResponse> Feed(const HttpRequest& request);
  HttpResponse Transact(const HttpRequest& request);
  boost::json::array Rows(std::string_view table, std::uint64_t after,
                          bool with_removed) const;
  HttpResponse RowsAnswer(boost::json::array rows) const;

  boost::asio::any_io_executor executor;
  std::unique_ptr<HttpServer> server;
  Event changed;
  std::map<RowKey, Row> rows;
  std::uint64_t version = 1;
  std::vector<std::string> calls;
  StoreMode mode = StoreMode::kServing;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_STORE_SERVICE_H_
