/// \file
/// \brief One request sent to one engine, and its answer.
#ifndef DANDELIONSCALE_SRC_DISPATCH_ENGINE_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_ENGINE_EXCHANGE_H_

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "dandelionscale/core/attempt_policy.h"
#include "dandelionscale/transport/http_types.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/engine_pool.h"

namespace dandelionscale::internal {

/// \brief Sends a request over one connection and reads its answer.
///
/// Answers to earlier requests that arrive late on a kept connection are told
/// by their id and passed over. The connection is kept only after a whole
/// answer with nothing behind it.
class EngineExchange {
 public:
  EngineExchange(DispatchState& state, EnginePool& pool,
                 std::shared_ptr<Engine> engine)
      : state(state), pool(pool), engine(std::move(engine)) {}
  ~EngineExchange() { this->Release(); }
  EngineExchange(const EngineExchange&) = delete;
  EngineExchange& operator=(const EngineExchange&) = delete;

  /// \brief Sends and waits for the head of the answer.
  /// \returns nothing on success; otherwise what went wrong.
  Awaitable<std::optional<AttemptFailure>> Open(const HttpRequest& request,
                                                const HttpHeaders& headers,
                                                std::string_view request_id,
                                                ReuseCare care);
  /// \brief Reads the next piece of the body.
  /// \returns the piece, empty at the end of a whole body; fault:
  ///          `kConnectionLost`.
  Awaitable<Result<std::string>> ReadPiece();
  /// \brief Breaks off: the engine drops the request.
  void Cancel();

  const EngineAnswer& Answer() const { return this->response; }
  bool IsEventStream() const { return this->event_stream; }
  /// \returns true if any byte of the request was handed to the network.
  bool WasSent() const { return this->sent; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  Awaitable<bool> Send(const HttpRequest& request, const HttpHeaders& headers);
  Awaitable<std::optional<AttemptFailure>> ReadMatchingHead(
      std::string_view method, std::string_view request_id);
  Awaitable<bool> ReadFinalHead(std::string_view method);
  void DecodeHead();
  AttemptFailure FailureOnLostConnection() const;
  void Release();

  DispatchState& state;
  EnginePool& pool;
  std::shared_ptr<Engine> engine;
  std::shared_ptr<EngineConnection> connection;
  std::unique_ptr<Parser> parser;
  EngineAnswer response;
  Duration keep_alive_timeout{};
  std::shared_ptr<bool> write_done = std::make_shared<bool>(true);
  bool event_stream = false;
  bool sent = false;
  bool cancelled = false;
  bool received_mismatched_response =
      false;  ///< Answers to other requests came.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_ENGINE_EXCHANGE_H_
