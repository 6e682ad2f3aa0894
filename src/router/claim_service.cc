#include "router/claim_service.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dandelionscale/runtime/logger.h"
#include "dandelionscale/runtime/trace.h"

namespace dandelionscale::internal {
namespace {

constexpr Duration kTableTimeout = std::chrono::milliseconds(1500);
// Interval of polling a row that another attempt has claimed.
constexpr Duration kHolderPollInterval = std::chrono::milliseconds(200);
constexpr Duration kRetryAfter = std::chrono::seconds(2);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);
constexpr int kMaxStoreAttempts = 60;
// A release is attempted up to this many times even if no row is found, because
// an insert whose response timed out may still take effect.
constexpr int kMaxReleaseAttempts = 12;
constexpr std::size_t kTokenBytes = 16;

bool IsKnownNotWritten(const Fault& fault) {
  return fault.kind == FaultKind::kConnectFailed ||
         fault.kind == FaultKind::kNotSent;
}

ClaimRow CompletedRow(const CallResult& result, std::string token,
                      std::uint64_t body_hash) {
  ClaimRow row;
  row.attempt_token = std::move(token);
  row.body_hash = body_hash;
  row.completed = true;
  row.status = result.status;
  row.content_type = result.content_type;
  row.body = result.body;
  return row;
}

CallResult Replay(const ClaimRow& row) {
  CallResult result;
  result.outcome = RequestOutcome::kCompleted;
  result.status = row.status;
  result.content_type = row.content_type;
  result.body = row.body;
  result.replayed = true;
  return result;
}

/// \brief Calls `step` until it returns true, at most `max_attempts` times,
/// with exponential backoff.
Awaitable<void> RetryWithBackoff(std::function<Awaitable<bool>()> step,
                                 int max_attempts) {
  Duration delay = kInitialBackoff;
  for (int i = 0; i < max_attempts; ++i) {
    if (co_await step()) co_return;
    co_await SleepFor(delay);
    delay = std::min(2 * delay, kMaxBackoff);
  }
}

}  // namespace

ClaimService::ClaimService(boost::asio::any_io_executor executor,
                           const ServiceRegistry& registry)
    : executor(std::move(executor)),
      platform(registry.Find<PlatformClient>("platform")) {}

Awaitable<ClaimEvent> ClaimService::Insert(std::string key, ClaimRow row) {
  TableOperation insert = TableInsert{std::move(key), SerializeClaim(row)};
  auto answer =
      co_await this->platform->Submit(std::move(insert), kTableTimeout);
  if (answer.has_error()) {
    if (IsKnownNotWritten(answer.error())) co_return ClaimNotWritten{};
    co_return ClaimResponseLost{};
  }
  if (answer.value().status == TableStatus::kOk) co_return ClaimInserted{};
  if (answer.value().rows.empty()) co_return ClaimResponseLost{};
  auto existing = ParseClaim(answer.value().rows.front().value);
  if (!existing) co_return ClaimResponseLost{};
  co_return ClaimExists{*existing};
}

Awaitable<ClaimEvent> ClaimService::Read(std::string key) {
  TableOperation get = TableGet{std::move(key)};
  auto answer = co_await this->platform->Submit(std::move(get), kTableTimeout);
  if (answer.has_error()) co_return ClaimReadFailed{};
  if (answer.value().rows.empty()) co_return ClaimReadBack{std::nullopt};
  auto row = ParseClaim(answer.value().rows.front().value);
  if (!row) co_return ClaimReadFailed{};
  co_return ClaimReadBack{row};
}

Awaitable<bool> ClaimService::TryStore(std::string key, ClaimRow row) {
  TableOperation get = TableGet{key};
  auto read = co_await this->platform->Submit(std::move(get), kTableTimeout);
  if (read.has_error()) co_return false;
  if (read.value().rows.empty()) co_return true;
  const TableRow& stored = read.value().rows.front();
  auto claim = ParseClaim(stored.value);
  if (!claim || claim->attempt_token != row.attempt_token) co_return true;
  if (claim->completed) co_return true;
  TableOperation swap =
      TableCompareAndSet{key, stored.revision, SerializeClaim(row)};
  auto write = co_await this->platform->Submit(std::move(swap), kTableTimeout);
  co_return write.has_value() && write.value().status == TableStatus::kOk;
}

void ClaimService::RetryStore(std::string key, ClaimRow row) {
  boost::asio::co_spawn(
      this->executor,
      RetryWithBackoff([self = this->shared_from_this(), key,
                        row]() { return self->TryStore(key, row); },
                       kMaxStoreAttempts),
      boost::asio::detached);
}

Awaitable<bool> ClaimService::TryRelease(std::string key, std::string token) {
  TableOperation get = TableGet{key};
  auto read = co_await this->platform->Submit(std::move(get), kTableTimeout);
  if (read.has_error()) co_return false;
  if (read.value().rows.empty()) co_return false;
  const TableRow& stored = read.value().rows.front();
  auto claim = ParseClaim(stored.value);
  if (!claim || claim->attempt_token != token || claim->completed) {
    co_return true;
  }
  TableOperation remove = TableDelete{key, stored.revision};
  auto removed =
      co_await this->platform->Submit(std::move(remove), kTableTimeout);
  co_return removed.has_value();
}

void ClaimService::RetryRelease(std::string key, std::string token) {
  boost::asio::co_spawn(
      this->executor,
      RetryWithBackoff([self = this->shared_from_this(), key,
                        token]() { return self->TryRelease(key, token); },
                       kMaxReleaseAttempts),
      boost::asio::detached);
}

Awaitable<CallResult> ClaimService::RunClaimed(const ClaimedCall& call,
                                               std::string key,
                                               std::string token) {
  CallResult result = co_await call.run();
  if (result.outcome == RequestOutcome::kUnknown && call.status_lookup) {
    CallResult found = co_await call.look_up();
    if (found.outcome == RequestOutcome::kCompleted) {
      found.client_disconnected = result.client_disconnected;
      result = found;
    }
  }
  if (result.outcome == RequestOutcome::kCompleted) {
    ClaimRow row = CompletedRow(result, token, call.body_hash);
    if (!co_await this->TryStore(key, row)) this->RetryStore(key, row);
  } else if (result.outcome == RequestOutcome::kNotRun) {
    if (!co_await this->TryRelease(key, token)) this->RetryRelease(key, token);
  }
  co_return result;
}

Awaitable<CallResult> ClaimService::Execute(ClaimedCall call) {
  const std::string key =
      fmt::format("claim/{}/{}/{}", call.workspace, call.service, call.key);
  const std::string token = RandomHex(kTokenBytes);
  ClaimStateMachine machine(token, call.body_hash, call.status_lookup);
  ClaimEffect effect = machine.Start();
  while (true) {
    ClaimEvent event = ClaimReadFailed{};
    if (const auto* insert = std::get_if<InsertClaim>(&effect)) {
      event = co_await this->Insert(key, insert->row);
    } else if (std::holds_alternative<ReadClaim>(effect)) {
      event = co_await this->Read(key);
    } else if (std::holds_alternative<AwaitHolder>(effect)) {
      co_await SleepFor(kHolderPollInterval);
      event = co_await this->Read(key);
    } else if (std::holds_alternative<RunCall>(effect)) {
      co_return co_await this->RunClaimed(call, key, token);
    } else if (std::holds_alternative<LookUpStatus>(effect)) {
      CallResult found = co_await call.look_up();
      StatusLookedUp looked_up;
      if (found.outcome == RequestOutcome::kCompleted) {
        looked_up.result = CompletedRow(found, token, call.body_hash);
      }
      event = looked_up;
    } else if (const auto* replay = std::get_if<ReplayResponse>(&effect)) {
      co_return Replay(replay->row);
    } else if (const auto* refuse = std::get_if<RefuseCall>(&effect)) {
      if (refuse->release_claim) this->RetryRelease(key, token);
      CallResult result;
      result.outcome = refuse->outcome;
      result.reason = refuse->reason;
      if (refuse->reason != RefusalReason::kIdempotencyKeyConflict) {
        result.retry_after = kRetryAfter;
      }
      co_return result;
    }
    effect = machine.Handle(event);
  }
}

}  // namespace dandelionscale::internal
