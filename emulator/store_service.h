#ifndef DANDELIONSCALE_EMULATOR_STORE_SERVICE_H_
#define DANDELIONSCALE_EMULATOR_STORE_SERVICE_H_

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dandelionscale/runtime/event.h"
#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief Behaviour of the emulated store.
enum class StoreMode {
  kServing,
  kBusy,         ///< Responds with 503 and executes nothing.
  kSilent,       ///< Accepts requests without responding.
  kHistoryGone,  ///< Responds to watches with 410; serves reads.
};

/// \brief Emulates the store of the users' platform (that of
///        `dandelion-platform-router`): rows in tables that routers read, watch
///        and write.
///
/// Implements only the calls that routers use. Not thread-safe: all functions
/// must be called on the thread that runs the executor.
class StoreService {
 public:
  explicit StoreService(boost::asio::any_io_executor executor);

  /// \returns the address with the port in use, or a fault.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// \brief Serves the same store at a further address.
  /// \param caller the only one that calls this address.
  Result<Endpoint> ListenFor(int caller, const Endpoint& endpoint);
  /// \brief From now on leaves the calls of these without an answer, also those
  ///        that are open, and serves all others.
  void LeaveUnanswered(std::set<int> callers);
  /// \brief Inserts or replaces a row, as an operator or engine does. Responses
  /// report its field `part` as empty.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// \brief Deletes a row; watches then receive it as `deleted`.
  void Remove(const std::string& table, const std::string& key);
  void SetMode(StoreMode mode);
  /// \brief Delays responses to reads of `table` from now on.
  void DelayReads(const std::string& table, Duration delay);
  /// \brief Copies the content, for a later `Restore()`.
  void TakeCopy();
  /// \brief Replaces the content by the last copy, like a restored backup:
  /// version numbers continue from the copy's, the era rises, and watches after
  /// a version that does not exist yet get status 410.
  void Restore();
  /// \returns the request targets of all calls so far, in order of arrival.
  const std::vector<std::string>& Calls() const { return this->calls; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using RowKey = std::tuple<std::string, std::string>;  // table, key

  std::unique_ptr<HttpServer> MakeServer(std::optional<int> caller);
  Awaitable<void> Handle(HttpExchange& exchange, std::optional<int> caller);
  bool IsLeftOut(std::optional<int> caller) const;
  Awaitable<HttpResponse> HandleCall(const HttpRequest& request);
  Awaitable<HttpResponse> GetRows(const HttpRequest& request) const;
  Awaitable<HttpResponse> WatchRows(const HttpRequest& request);
  HttpResponse Transact(const HttpRequest& request);
  boost::json::array Rows(std::string_view table, std::uint64_t after,
                          bool include_removed) const;
  HttpResponse RowsResponse(boost::json::array rows) const;

  boost::asio::any_io_executor executor;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::set<int> unanswered;  ///< Callers.
  Event changed;
  std::map<RowKey, Row> rows;
  std::uint64_t version = 1;
  std::uint64_t era = 1;
  std::map<RowKey, Row> copied_rows;
  std::uint64_t copied_version = 1;
  std::vector<std::string> calls;
  std::map<std::string, Duration, std::less<>> read_delays;  ///< By table.
  StoreMode mode = StoreMode::kServing;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_STORE_SERVICE_H_
