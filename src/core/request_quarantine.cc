#include "dandelionscale/core/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace dandelionscale {

std::vector<QuarantineChange> RequestQuarantine::OnAnswered(
    TimePoint now, std::string_view service,
    std::span<const std::uint64_t> keys) {
  this->evidence.OnOwnAnswer(now, service, keys);
  std::vector<QuarantineChange> changes;
  const bool has_reports =
      this->evidence.LostSendCount() > 0 || this->lost_requests.Size() > 0;
  if (!has_reports && this->blocklist.IsEmpty()) return changes;
  for (std::uint64_t key : keys) {
    const std::size_t cleared = this->Clear(now, key, changes);
    if (cleared > 0) this->evidence.ReportAnswer(now, key, cleared);
  }
  return changes;
}

std::vector<QuarantineChange> RequestQuarantine::OnLost(
    TimePoint now, std::string_view service, LostSend send,
    std::uint64_t fingerprint) {
  const LostRequest lost = {fingerprint, send.request_key, send.engine, now};
  send.service = ServiceKey(service);
  send.at = now;
  std::sort(send.keys.begin(), send.keys.end());
  send.keys.erase(std::unique(send.keys.begin(), send.keys.end()),
                  send.keys.end());
  this->evidence.OnOwnLoss(now, service);
  std::vector<QuarantineChange> changes;
  if (fingerprint != 0) this->OnRequestLost(now, lost, changes);
  const BlockedKeys* blocked = this->blocklist.OnLost(now, send.keys, changes);
  if (blocked == nullptr) {
    this->AddLoss(now, std::move(send), true);
  } else {
    this->evidence.Account(now, blocked->keys, {send.engine});
  }
  if (!changes.empty()) this->urgent = true;
  return changes;
}

void RequestQuarantine::OnRequestLost(TimePoint now, const LostRequest& lost,
                                      std::vector<QuarantineChange>& changes) {
  if (this->blocklist.OnLost(now, {lost.fingerprint}, changes) != nullptr) {
    return;
  }
  if (this->lost_requests.Add(now, lost)) this->urgent = true;
}

std::vector<QuarantineChange> RequestQuarantine::Apply(
    TimePoint now, const QuarantineUpdate& update) {
  std::vector<QuarantineChange> changes;
  for (const AnsweredKey& answered : update.answered) {
    this->ApplyAnswer(answered, changes);
  }
  for (const BlockedKeys& blocked : update.blocked) {
    this->ApplyBlocked(now, blocked, changes);
  }
  for (const LostSend& send : update.lost_sends) {
    this->AddLoss(now, send, false);
  }
  for (const LostRequest& lost : update.lost_requests) {
    const TimePoint answered_at = this->evidence.AnsweredAt(lost.fingerprint);
    if (answered_at > lost.at) {
      this->evidence.ReportAnswer(answered_at, lost.fingerprint, 1);
    } else {
      this->lost_requests.Add(now, lost);
    }
  }
  return changes;
}

void RequestQuarantine::ApplyAnswer(const AnsweredKey& answered,
                                    std::vector<QuarantineChange>& changes) {
  if (!this->evidence.OnReportedAnswer(answered)) return;
  const std::size_t cleared = this->Clear(answered.at, answered.key, changes);
  if (cleared == 0) return;
  this->evidence.ReportAnswer(answered.at, answered.key, cleared);
}

void RequestQuarantine::ApplyBlocked(TimePoint now, BlockedKeys blocked,
                                     std::vector<QuarantineChange>& changes) {
  std::erase_if(blocked.keys, [&](std::uint64_t key) {
    return this->evidence.AnsweredAt(key) > blocked.since;
  });
  if (this->evidence.WereJustAnswered(now, blocked.keys)) return;
  if (this->blocklist.Merge(blocked)) return;
  if (!blocked.is_single_request) {
    this->evidence.Account(now, blocked.keys, {});
  }
  this->blocklist.Add(blocked);
  changes.push_back({QuarantineChange::Kind::kLearned, std::move(blocked)});
}

std::vector<QuarantineChange> RequestQuarantine::Evaluate(TimePoint now,
                                                          std::size_t peers) {
  this->evidence.SetPeerCount(peers);
  std::vector<QuarantineChange> changes;
  while (auto candidate = this->evidence.FindCandidate(now)) {
    BlockedKeys blocked = {candidate->keys, now, 0};
    changes.push_back({QuarantineChange::Kind::kBlocked, blocked,
                       candidate->crashes, candidate->loss_rate});
    this->evidence.Account(now, blocked.keys, std::move(candidate->engines));
    this->blocklist.Add(std::move(blocked));
    this->urgent = true;
  }
  this->BlockCrashingRequests(now, changes);
  this->evidence.Expire(now);
  this->lost_requests.Expire(now);
  this->blocklist.Expire(now, changes);
  return changes;
}

void RequestQuarantine::BlockCrashingRequests(
    TimePoint now, std::vector<QuarantineChange>& changes) {
  for (const CrashingRequest& request :
       this->lost_requests.FindCrashing(now, this->evidence.SettleTime())) {
    BlockedKeys blocked = {{request.fingerprint}, now, 0, true};
    if (this->blocklist.Find(blocked.keys) != nullptr) continue;
    changes.push_back(
        {QuarantineChange::Kind::kBlocked, blocked, request.crashes, 0});
    this->blocklist.Add(std::move(blocked));
    this->urgent = true;
  }
}

QuarantineUpdate RequestQuarantine::TakeForDigest() {
  QuarantineUpdate update;
  update.lost_requests = this->lost_requests.TakeForDigest();
  this->evidence.TakeForDigest(update);
  update.blocked = this->blocklist.TakeForDigest();
  return update;
}

bool RequestQuarantine::TakeUrgency() {
  return std::exchange(this->urgent, false);
}

std::size_t RequestQuarantine::Clear(TimePoint answered_at, std::uint64_t key,
                                     std::vector<QuarantineChange>& changes) {
  return this->evidence.Clear(answered_at, key) +
         this->lost_requests.OnAnswered(answered_at, key) +
         this->blocklist.OnAnswered(answered_at, key, changes);
}

void RequestQuarantine::AddLoss(TimePoint now, LostSend send, bool is_own) {
  LostSend open = this->evidence.WithoutAnswered(std::move(send));
  if (this->blocklist.Find(open.keys) != nullptr) return;
  const bool added = this->evidence.Add(now, std::move(open), is_own);
  // Peers relay what they receive in their regular digests.
  if (added && is_own) this->urgent = true;
}

}  // namespace dandelionscale
