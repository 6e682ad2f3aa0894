// RequestDispatch: a second send while the first engine is silent. The first
// connection is closed only once the second engine has begun an answer.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/transport/http_status.h"
#include "dispatch/backup_send.h"
#include "dispatch/request_dispatch.h"

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
  const bool first_goes_on =
      self && self->exchange && self->exchange->HasUnreadBytes();
  self.reset();
  if (first_goes_on) {
    const Duration read_grace = kReadGrace;
    co_await SleepFor(read_grace);
  }
  self = weak.lock();
  if (self && self->backup == backup) self->OnBackupEnded(failure);
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
  self.reset();
  // An engine may send its head long before it begins the answer.
  if (!failure) failure = co_await exchange.AwaitBody();
  if (failure) co_await exchange.FindCause();
  co_return failure;
}

void RequestDispatch::OnBackupEnded(std::optional<AttemptFailure> failure) {
  if (failure) {
    this->OnBackupFailed(*failure);
    return;
  }
  Logger::Info("backup_taken",
               {{"request", this->decoded.id},
                {"engine", this->backup->exchange->ServingEngine().record.id},
                {"took_ms", ToMilliseconds(RuntimeClock::now() -
                                           this->backup->begun_at)}});
  this->backup->has_answer = true;
  this->backup->changed.NotifyAll();
  this->CheckSilenceAt(TimePoint::max());
  if (!this->exchange) return;
  this->exchange->Abandon();
  this->Interrupt(Interruption::kStalled);
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

// A further engine gets the request only if its attempts allow it.
void RequestDispatch::WatchBackup() {
  this->CheckSilenceAt(this->HasSendLeft()
                           ? this->backup->begun_at + this->MaxSilence()
                           : TimePoint::max());
}

void RequestDispatch::OnBackupSilent() {
  this->backup->exchange->Cancel();
  this->OnBackupFailed(this->backup->exchange->WasSent()
                           ? AttemptFailure::kNoAnswer
                           : AttemptFailure::kNotConnected);
}

Awaitable<void> RequestDispatch::WaitForBackup() {
  if (this->backup && !this->backup->has_answer) this->WatchBackup();
  while (this->backup && !this->backup->has_answer) {
    const std::shared_ptr<BackupSend> pending = this->backup;
    co_await pending->changed.Wait();
  }
}

}  // namespace dandelionscale::internal
