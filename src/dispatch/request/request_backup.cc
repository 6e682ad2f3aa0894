// RequestDispatch: a second send while the first engine is silent. The first
// connection is closed only once the second engine has begun an answer.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/request/backup_send.h"
#include "dispatch/request/request_dispatch.h"

namespace dandelionscale::internal {

void RequestDispatch::StartBackup(const PlacementPlan& plan) {
  this->OnPlaced(plan);
  this->backup = std::make_shared<BackupSend>(this->state, this->connector,
                                              plan.engine, plan.permitted_at);
  this->backup->method = this->request.method;
  this->backup->request_id = this->decoded.id;
  this->tried_engine_keys.push_back(plan.engine->key);
  this->WatchBackup();
  boost::asio::co_spawn(
      this->state.executor,
      [weak = this->weak_from_this(), backup = this->backup] {
        return RunBackup(weak, backup);
      },
      boost::asio::detached);
}

// Whoever waits for the send must learn of its end in any case.
Awaitable<void> RequestDispatch::RunBackup(std::weak_ptr<RequestDispatch> weak,
                                           std::shared_ptr<BackupSend> backup) {
  std::optional<AttemptFailure> failure;
  try {
    failure = co_await AwaitBackup(weak, backup);
  } catch (const std::exception& error) {
    Logger::Error("backup_send_failed", {{"what", error.what()}});
    failure = AttemptFailure::kNoAnswer;
  }
  std::shared_ptr<RequestDispatch> self = weak.lock();
  if (!self || self->backup != backup) co_return;
  if (failure) {
    self->OnBackupFailed(*failure);
    co_return;
  }
  self->OnBackupAnswered();
  const bool first_goes_on = self->exchange && self->exchange->HasUnreadBytes();
  self.reset();
  if (first_goes_on) {
    const Duration read_grace = kReadGrace;
    co_await SleepFor(read_grace);
  }
  self = weak.lock();
  if (self && self->backup == backup) self->AbandonFirst();
}

// Holds no reference to the request while it waits: the request may end.
Awaitable<std::optional<AttemptFailure>> RequestDispatch::AwaitBackup(
    std::weak_ptr<RequestDispatch> weak, std::shared_ptr<BackupSend> backup) {
  EngineExchange& exchange = *backup->exchange;
  auto failure =
      co_await exchange.Connect(backup->request_id, ReusePolicy::kAnyIdle);
  if (failure) co_return failure;
  std::shared_ptr<RequestDispatch> self = weak.lock();
  if (!self || self->backup != backup) co_return AttemptFailure::kNotConnected;
  const HttpHeaders headers = self->EncodeHeaders(exchange.ServingEngine());
  failure = exchange.Send(self->request, headers, backup->request_id);
  if (exchange.WasSent()) ++self->sends;
  self.reset();
  if (!failure) {
    failure = co_await exchange.ReadHead(backup->method, backup->request_id);
  }
  self = weak.lock();
  if (!self || self->backup != backup) co_return AttemptFailure::kNoAnswer;
  if (!failure) failure = self->JudgeBackupHead();
  AnswerBeginning beginning = self->ExpectBackupAnswer();
  self.reset();
  while (!failure && !beginning.IsEnough()) {
    auto fragment = co_await exchange.ReadAhead();
    const bool fits = fragment.has_value() && beginning.Add(fragment.value());
    if (!fits) failure = AttemptFailure::kNoAnswer;
  }
  if (failure) co_await exchange.FindCause();
  co_return failure;
}

void RequestDispatch::OnBackupAnswered() {
  this->backup->has_answer = true;
  this->backup->changed.NotifyAll();
  this->CheckSilenceAt(TimePoint::max());
}

void RequestDispatch::AbandonFirst() {
  if (!this->exchange) return;
  this->exchange->Abandon();
  this->Interrupt(Interruption::kStalled);
}

AnswerBeginning RequestDispatch::ExpectBackupAnswer() const {
  const EngineExchange& exchange = *this->backup->exchange;
  if (!this->IsStreamAnswer(exchange)) return AnswerBeginning();
  return AnswerBeginning(this->events, exchange.Framing());
}

std::optional<AttemptFailure> RequestDispatch::JudgeBackupHead() const {
  const EngineExchange& exchange = *this->backup->exchange;
  if (const auto failure = FailureOfHead(exchange.Response())) return failure;
  // Instead of these, the answer of the first engine is awaited.
  const bool is_useless =
      http_status::IsServerError(exchange.Response().status) ||
      (this->stream_started && !this->IsStreamAnswer(exchange));
  if (is_useless) return AttemptFailure::kEngineError;
  return std::nullopt;
}

void RequestDispatch::OnBackupFailed(AttemptFailure failure) {
  const std::shared_ptr<BackupSend> failed = std::move(this->backup);
  this->backup.reset();
  EngineExchange& exchange = *failed->exchange;
  if (!IsProvablyNotRun(failure)) this->may_have_run = true;
  SendEnd end = EndOf(exchange);
  end.silent = failure == AttemptFailure::kNoAnswer && !end.connection_lost;
  this->OnSendFailed(*exchange.SharedEngine(), end, failure);
  failed->changed.NotifyAll();
  if (!this->exchange) return;
  this->CheckSilenceAt(this->HasSendLeft() ? RuntimeClock::now()
                                           : TimePoint::max());
}

void RequestDispatch::TakeBackup() {
  Logger::Info("backup_taken",
               {{"request", this->decoded.id},
                {"engine", this->backup->exchange->ServingEngine().record.id},
                {"took_ms", ToMilliseconds(RuntimeClock::now() -
                                           this->backup->begun_at)}});
  this->exchange = std::move(this->backup->exchange);
  this->backup.reset();
}

void RequestDispatch::DropBackup() {
  if (!this->backup) return;
  const std::shared_ptr<BackupSend> dropped = std::move(this->backup);
  this->backup.reset();
  if (dropped->exchange->WasSent()) this->may_have_run = true;
  Logger::Info("backup_dropped",
               {{"request", this->decoded.id},
                {"engine", dropped->exchange->ServingEngine().record.id},
                {"sent", dropped->exchange->WasSent()}});
  dropped->exchange->Cancel();
  dropped->changed.NotifyAll();
}

Awaitable<void> RequestDispatch::WaitForBackup() {
  while (this->backup && !this->backup->has_answer) {
    const std::shared_ptr<BackupSend> pending = this->backup;
    co_await pending->changed.Wait();
  }
}

}  // namespace dandelionscale::internal
