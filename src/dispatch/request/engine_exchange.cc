#include "dispatch/request/engine_exchange.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_fields.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/peers/permit_exchange.h"
#include "dispatch/request/http_text.h"
#include "engine_response/connection_reuse.h"
#include "engine_response/response_match.h"
#include "transport/socket_helpers.h"
#include "transport/spliced_head.h"
#include "tunnel/engine_connector.h"

namespace dandelionscale::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kReadBufferBytes = 16 * 1024;
// Late responses to other requests that are discarded before the attempt
// fails, and the limit of their bodies together.
constexpr int kMaxMismatchedResponses = 3;
constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;
// Time that an engine that has ended its response gets to read the rest of the
// request.
constexpr Duration kMaxWriteWait = std::chrono::seconds(1);
constexpr Duration kWritePollInterval = std::chrono::milliseconds(10);
// Interim (1xx) responses that may precede a response.
constexpr int kMaxInterimResponses = 8;

bool IsTooLong(const error_code& error) {
  return error == http::error::header_limit ||
         error == http::error::buffer_overflow;
}

}  // namespace

Awaitable<std::optional<AttemptFailure>> EngineExchange::Connect(
    std::string_view request_id, ReusePolicy policy) {
  const std::string id(request_id);
  auto acquired = co_await this->connector.Acquire(this->engine, policy, id);
  if (acquired.has_error()) {
    this->connection_error = acquired.error().detail;
    this->path_lost = acquired.error().kind == FaultKind::kNoPath;
    co_return AttemptFailure::kNotConnected;
  }
  this->connection = acquired.value();
  co_return std::nullopt;
}

std::optional<AttemptFailure> EngineExchange::Send(
    const HttpRequest& request, const HttpHeaders& headers,
    std::string_view request_id) {
  this->withheld = !this->MaySend();
  if (this->cancelled || this->withheld) return AttemptFailure::kNotConnected;
  if (this->Write(request, headers, request_id)) return std::nullopt;
  return this->FailureOnLostConnection();
}

// The engine may have started to drain, asked for a pause or stated a limit, or
// its zone may have been evacuated, while the connection was opened.
bool EngineExchange::MaySend() const {
  const TimePoint now = RuntimeClock::now();
  if (this->engine->draining || this->engine->gone) return false;
  if (this->state.IsEvacuated(*this->engine)) return false;
  if (this->engine->pause.IsActive(now)) return false;
  const auto rate = this->state.RateOf(*this->engine, now);
  if (!rate) return true;
  return this->permitted_at &&
         now - *this->permitted_at <= PermitLifetime(*rate);
}

bool EngineExchange::Write(const HttpRequest& request,
                           const HttpHeaders& headers,
                           std::string_view request_id) {
  auto text = std::make_shared<std::string>(FormatRequest(request, headers));
  error_code error;
  this->sent_at = RuntimeClock::now();
  this->connection->history.OnSent(request_id);
  const std::size_t written =
      this->connection->socket.write_some(asio::buffer(*text), error);
  this->sent = written > 0;
  if (!this->connection->tunnel) {
    this->state.reachability.OnSent(this->sent_at,
                                    this->engine->record.service);
  }
  if (error && error != asio::error::would_block) {
    this->connection_error = error.message();
    return false;
  }
  if (written == text->size()) return true;
  // The engine may respond before it has read the whole request, so the rest is
  // written concurrently with reading the response.
  this->sent = true;
  *this->write_state = WriteState::kUnderWay;
  auto rest = asio::buffer(*text) + written;
  asio::async_write(
      this->connection->socket, rest,
      [text, connection = this->connection, state = this->write_state](
          error_code failed, std::size_t) {
        *state = failed ? WriteState::kFailed : WriteState::kDone;
      });
  return true;
}

Awaitable<std::optional<AttemptFailure>> EngineExchange::ReadHead(
    std::string_view method, std::string_view request_id) {
  std::size_t discarded_bytes = 0;
  for (int n = 0; n <= kMaxMismatchedResponses; ++n) {
    if (!co_await this->ReadFinalHead(method))
      co_return this->FailureOnLostConnection();
    if (this->IsSpliced(request_id)) co_return AttemptFailure::kBadAnswer;
    if (this->HasInvalidStatus(request_id)) {
      this->Cancel();
      co_return AttemptFailure::kBadAnswer;
    }
    this->DecodeHead();
    const std::string& echoed = this->response.request_id;
    if (echoed.empty()) this->LogResponseWithoutId(request_id);
    switch (MatchResponse(this->response, request_id, this->IsOnlyRequest())) {
      case ResponseMatch::kOwn:
        this->ApplyStatements();
        co_return std::nullopt;
      case ResponseMatch::kInvalid:
        co_return AttemptFailure::kBadAnswer;
      case ResponseMatch::kForeign:
        break;
    }
    Logger::Warning("foreign_answer", {{"request", request_id},
                                       {"engine", this->engine->record.id},
                                       {"answers", echoed}});
    this->received_mismatched_response = true;
    while (!this->parser->is_done()) {
      auto fragment = co_await this->ReadBodyFragment();
      if (fragment.has_error()) co_return this->FailureOnLostConnection();
      discarded_bytes += fragment->size();
      if (discarded_bytes > kMaxDiscardedBytes) {
        this->OnExcessiveBytes("mismatched_body");
        co_return AttemptFailure::kBadAnswer;
      }
    }
  }
  co_return AttemptFailure::kBadAnswer;
}

Awaitable<bool> EngineExchange::ReadFinalHead(std::string_view method) {
  constexpr int kFirstFinalStatus = 200;
  for (int n = 0; n <= kMaxInterimResponses; ++n) {
    this->parser = std::make_unique<Parser>();
    this->parser->header_limit(kMaxHeaderBytes);
    this->parser->body_limit(boost::none);
    if (method == "HEAD") this->parser->skip(true);
    error_code error;
    co_await http::async_read_header(this->connection->socket,
                                     this->connection->buffer, *this->parser,
                                     RedirectError(error));
    if (IsTooLong(error)) this->OnExcessiveBytes("head");
    if (error) this->OnReadFailed(error);
    if (!error) this->OnBytesReceived();
    if (error || this->cancelled) co_return false;
    const unsigned status = this->parser->get().result_int();
    const bool is_interim =
        http_status::IsValid(status) && status < kFirstFinalStatus;
    if (!is_interim) co_return true;
  }
  this->OnExcessiveBytes("interim_responses");
  co_return false;
}

bool EngineExchange::HasUnreadBytes() const {
  if (this->connection == nullptr) return false;
  error_code error;
  return this->connection->socket.available(error) > 0;
}

void EngineExchange::OnReadFailed(const error_code& error) {
  this->lost = true;
  this->connection_error = error.message();
}

bool EngineExchange::IsSpliced(std::string_view request_id) const {
  const auto& message = this->parser->get();
  const std::string_view reason(message.reason().data(),
                                message.reason().size());
  if (!IsSplicedHead(reason, message)) return false;
  this->state.metrics.Add("engine_heads_spliced_total");
  Logger::Warning("spliced_head", {{"request", request_id},
                                   {"engine", this->engine->record.id}});
  return true;
}

bool EngineExchange::HasInvalidStatus(std::string_view request_id) const {
  const unsigned status = this->parser->get().result_int();
  if (http_status::IsValid(status)) return false;
  this->state.metrics.Add("engine_statuses_invalid_total");
  Logger::Warning("invalid_status",
                  {{"request", request_id},
                   {"engine", this->engine->record.id},
                   {"status", static_cast<std::int64_t>(status)}});
  return true;
}

void EngineExchange::LogResponseWithoutId(std::string_view request_id) const {
  Logger::Info(
      "answer_without_id",
      {{"request", request_id},
       {"engine", this->engine->record.id},
       {"status", static_cast<std::int64_t>(this->response.status)},
       {"not_run", this->response.not_run},
       {"connection_requests",
        static_cast<std::int64_t>(this->connection->history.RequestCount())}});
}

void EngineExchange::OnExcessiveBytes(std::string_view part) {
  this->state.metrics.Add(
      fmt::format("engine_responses_too_long_total{{part=\"{}\"}}", part));
  Logger::Warning("engine_response_too_long",
                  {{"engine", this->engine->record.id}, {"part", part}});
  this->Cancel();
}

void EngineExchange::DecodeHead() {
  const auto& message = this->parser->get();
  const HttpHeaders headers = CopyHeaders(message);
  this->response =
      this->state.codec->DecodeResponse(message.result_int(), headers);
  this->keep_alive_timeout = ParseKeepAliveTimeout(headers.Find("Keep-Alive"));
  this->event_stream = IsEventStreamType(headers.Find("Content-Type"));
}

BodyFraming EngineExchange::Framing() const {
  if (this->parser->chunked()) return BodyFraming::kChunked;
  return this->parser->need_eof() ? BodyFraming::kUntilClose
                                  : BodyFraming::kLength;
}

Awaitable<Result<std::string>> EngineExchange::ReadAhead() {
  auto fragment = co_await this->ReadNextFragment();
  if (fragment.has_value()) this->read_ahead += fragment.value();
  co_return fragment;
}

Awaitable<Result<std::string>> EngineExchange::ReadBodyFragment() {
  if (!this->read_ahead.empty()) {
    co_return std::exchange(this->read_ahead, std::string());
  }
  co_return co_await this->ReadNextFragment();
}

Awaitable<Result<std::string>> EngineExchange::ReadNextFragment() {
  while (!this->parser->is_done()) {
    if (this->cancelled) co_return Fault{FaultKind::kCancelled, "cancelled"};
    std::string fragment(kReadBufferBytes, '\0');
    auto& body = this->parser->get().body();
    body.data = fragment.data();
    body.size = fragment.size();
    body.more = true;
    error_code error;
    co_await http::async_read_some(this->connection->socket,
                                   this->connection->buffer, *this->parser,
                                   RedirectError(error));
    if (error == http::error::need_buffer) error = {};
    fragment.resize(fragment.size() - body.size);
    if (this->abandoned) co_return Fault{FaultKind::kCancelled, "abandoned"};
    // Bytes received before the connection failed are still returned.
    if (!fragment.empty()) {
      this->OnBytesReceived();
      co_return fragment;
    }
    if (IsTooLong(error)) this->OnExcessiveBytes("chunk");
    if (error) {
      this->OnReadFailed(error);
      co_return Fault{FaultKind::kConnectionLost, error.message()};
    }
  }
  if (this->Framing() == BodyFraming::kUntilClose) {
    const bool in_order = co_await this->HasEndedInOrder();
    if (this->cancelled) co_return Fault{FaultKind::kCancelled, "cancelled"};
    if (!in_order) {
      this->lost = true;
      co_return Fault{FaultKind::kConnectionLost, "not ended in order"};
    }
  }
  co_return std::string();
}

// The system reports the reset of a connection only once. If the write of the
// request gets that error, a later read finds what looks like an orderly end.
Awaitable<bool> EngineExchange::HasEndedInOrder() {
  const TimePoint until = RuntimeClock::now() + kMaxWriteWait;
  while (*this->write_state == WriteState::kUnderWay && !this->cancelled &&
         RuntimeClock::now() < until) {
    const Duration interval = kWritePollInterval;
    co_await SleepFor(interval);
  }
  if (*this->write_state != WriteState::kDone) {
    Logger::Info("answer_ended_before_request",
                 {{"engine", this->engine->record.id},
                  {"status", static_cast<std::int64_t>(this->response.status)},
                  {"write_failed", *this->write_state == WriteState::kFailed}});
    co_return false;
  }
  co_return co_await this->connector.EndedInOrder(this->connection);
}

void EngineExchange::OnBytesReceived() {
  if (this->connection->tunnel) return;
  this->state.reachability.OnReceived(this->engine->record.service);
}

void EngineExchange::ApplyStatements() {
  this->state.OnEngineResponse(*this->engine, this->response);
  this->state.OnRateLimitAnswer(*this->engine, this->response, this->sent_at);
  if (!this->connection->tunnel || !this->response.requested_pause) return;
  this->state.OnCarriedPause(*this->engine,
                             this->connection->tunnel->Label().peer,
                             *this->response.requested_pause);
}

Awaitable<void> EngineExchange::FindCause() {
  if (!this->WasLost()) co_return;
  this->path_lost = co_await this->connector.WasLostOnTheWay(
      this->connection, this->engine->record.service);
}

void EngineExchange::Cancel() {
  this->cancelled = true;
  if (this->connection == nullptr) return;
  error_code ignored;
  this->connection->socket.close(ignored);
}

void EngineExchange::Abandon() {
  this->abandoned = true;
  this->Cancel();
}

AttemptFailure EngineExchange::FailureOnLostConnection() const {
  return this->sent ? AttemptFailure::kNoAnswer : AttemptFailure::kNotConnected;
}

void EngineExchange::Release() {
  if (this->connection == nullptr || this->cancelled) return;
  ExchangeEnd end;
  end.request_written = *this->write_state == WriteState::kDone;
  end.response_complete = this->parser != nullptr && this->parser->is_done();
  end.keep_alive = end.response_complete && this->parser->get().keep_alive();
  end.has_id = !this->response.request_id.empty();
  end.has_foreign_response = this->received_mismatched_response;
  end.unread_bytes = this->connection->buffer.size();
  end.is_open = this->connection->socket.is_open();
  end.engine_draining = this->engine->draining;
  end.is_tunnel = this->connection->tunnel != nullptr;
  if (MayReuseConnection(end)) {
    this->connector.Return(*this->engine, std::move(this->connection),
                           this->keep_alive_timeout);
    return;
  }
  this->LogUnreadBytes();
  error_code ignored;
  this->connection->socket.close(ignored);
}

void EngineExchange::LogUnreadBytes() const {
  const std::size_t bytes = this->connection->buffer.size();
  const bool complete = this->parser != nullptr && this->parser->is_done();
  if (bytes == 0 || !complete) return;
  Logger::Info("bytes_after_answer",
               {{"engine", this->engine->record.id},
                {"framing", ToString(this->Framing())},
                {"bytes", static_cast<std::int64_t>(bytes)}});
}

}  // namespace dandelionscale::internal
