/// \file
/// \brief One request to one engine, and its response.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_EXCHANGE_H_

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "dandelionscale/core/attempt_policy.h"
#include "dandelionscale/transport/http_types.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/request/engine_connection_pool.h"
#include "engine_response/body_framing.h"

namespace dandelionscale::internal {

class EngineConnector;

/// \brief Sends a request on one connection and reads the response.
///
/// A late response to an earlier request on a reused connection is recognized
/// by its request id and discarded. The connection is returned to the pool only
/// after a complete response without further bytes behind it.
class EngineExchange {
 public:
  EngineExchange(DispatchState& state, EngineConnector& connector,
                 std::shared_ptr<Engine> engine,
                 std::optional<TimePoint> permitted_at)
      : state(state),
        connector(connector),
        engine(std::move(engine)),
        permitted_at(permitted_at) {}
  ~EngineExchange() { this->Release(); }
  EngineExchange(const EngineExchange&) = delete;
  EngineExchange& operator=(const EngineExchange&) = delete;

  /// \brief Takes or opens a connection.
  /// \returns nothing on success, else the failure.
  Awaitable<std::optional<AttemptFailure>> Connect(std::string_view request_id,
                                                   ReusePolicy policy);
  /// \brief Sends the request. A part that the socket doesn't take at once is
  ///        written in the background.
  /// \returns nothing on success, else the failure.
  std::optional<AttemptFailure> Send(const HttpRequest& request,
                                     const HttpHeaders& headers,
                                     std::string_view request_id);
  /// \brief Waits for the head of the response. Discards responses to other
  ///        requests.
  /// \returns nothing on success, else the failure.
  Awaitable<std::optional<AttemptFailure>> ReadHead(
      std::string_view method, std::string_view request_id);
  /// \brief Reads the next fragment of the body.
  /// \returns the fragment, empty at the end of a complete body; faults:
  ///          `kConnectionLost`, `kCancelled`.
  Awaitable<Result<std::string>> ReadBodyFragment();
  /// \brief Reads a further fragment of the body ahead: `ReadBodyFragment()`
  ///        returns all that was read ahead first.
  /// \returns as `ReadBodyFragment()`.
  Awaitable<Result<std::string>> ReadAhead();
  /// \brief Closes the connection, which cancels the request at the engine.
  void Cancel();
  /// \brief The same; what was read and not handed over yet is discarded too,
  ///        since another send is relayed from where this one ended.
  void Abandon();
  /// \brief Records that a part of the response exceeds its limit, and closes
  ///        the connection.
  void OnExcessiveBytes(std::string_view part);

  const EngineResponse& Response() const { return this->response; }
  /// \returns true if the connection has carried no other request, so that no
  ///          response on it can be a second one to another request.
  bool IsOnlyRequest() const {
    return this->connection->history.RequestCount() <= 1 &&
           !this->received_mismatched_response;
  }
  /// \returns true if a response on the connection may be one to this request.
  bool MayHaveCarried(std::string_view request_id) const {
    return this->received_mismatched_response ||
           this->connection->history.MayHaveCarried(request_id);
  }
  const Engine& ServingEngine() const { return *this->engine; }
  const std::shared_ptr<Engine>& SharedEngine() const { return this->engine; }
  bool IsEventStream() const { return this->event_stream; }
  /// \returns the framing of the response whose head was read last.
  BodyFraming Framing() const;
  /// \returns true if bytes of the engine have arrived and were not read.
  bool HasUnreadBytes() const;
  /// \returns true if any byte of the request was written to the socket.
  bool WasSent() const { return this->sent; }
  /// \returns true if the request was not sent, although the engine could be
  ///          reached: meanwhile it wants none, or the permit has expired.
  bool WasWithheld() const { return this->withheld; }
  /// \returns what the system reported of the connection that could not be made
  ///          or was lost; empty if neither happened.
  const std::string& ConnectionError() const { return this->connection_error; }
  /// \returns true if the connection had carried an earlier request.
  bool IsKeptConnection() const {
    return this->connection != nullptr &&
           this->connection->history.RequestCount() > 1;
  }
  /// \brief Finds out, after a failure, whether the way to the engine failed;
  ///        see `WasPathLost()`.
  Awaitable<void> FindCause();
  /// \returns true if the way to the engine failed, and not the engine.
  bool WasPathLost() const { return this->path_lost; }
  /// \returns true if the connection failed after the request was sent, and was
  ///          not closed by this router.
  bool WasLost() const { return this->lost && this->sent && !this->cancelled; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  // Returns false if the engine no longer wants the request.
  bool MaySend() const;
  // Returns false if the connection failed.
  bool Write(const HttpRequest& request, const HttpHeaders& headers,
             std::string_view request_id);
  // Discards interim (1xx) responses. Returns false if the connection failed or
  // the exchange was cancelled.
  Awaitable<bool> ReadFinalHead(std::string_view method);
  Awaitable<Result<std::string>> ReadNextFragment();
  // Whether the end of the connection completes the response: the engine has
  // closed it in order and has been sent the whole request.
  Awaitable<bool> HasEndedInOrder();
  void OnReadFailed(const boost::system::error_code& error);
  void OnBytesReceived();
  void ApplyStatements();
  // Whether the head was cut off and continued by another one.
  bool IsSpliced(std::string_view request_id) const;
  // Whether the status of the head is outside the range of HTTP, so that the
  // response is no answer.
  bool HasInvalidStatus(std::string_view request_id) const;
  void DecodeHead();
  void LogResponseWithoutId(std::string_view request_id) const;
  // Logs bytes that were received behind the end of a complete response.
  void LogUnreadBytes() const;
  AttemptFailure FailureOnLostConnection() const;
  void Release();

  DispatchState& state;
  EngineConnector& connector;
  std::shared_ptr<Engine> engine;
  /// When a permit was granted, if the engine needed one.
  std::optional<TimePoint> permitted_at;
  std::shared_ptr<EngineConnection> connection;
  std::unique_ptr<Parser> parser;
  EngineResponse response;
  TimePoint sent_at{};            ///< When the first byte was written.
  Duration keep_alive_timeout{};  ///< From the Keep-Alive field; 0 if absent.
  enum class WriteState { kDone, kUnderWay, kFailed };
  /// Whether the rest of the request, which is written in the background, has
  /// been written. Shared with the write handler, which may outlive the
  /// exchange.
  std::shared_ptr<WriteState> write_state =
      std::make_shared<WriteState>(WriteState::kDone);
  std::string read_ahead;  ///< Of the body, not returned yet.
  bool event_stream = false;
  bool sent = false;
  bool withheld = false;
  bool path_lost = false;
  bool cancelled = false;
  bool abandoned = false;
  bool lost = false;  ///< A read from the connection failed.
  std::string connection_error;
  bool received_mismatched_response = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_EXCHANGE_H_
