#include "dandelionscale/core/crash_evidence.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "dandelionscale/core/digest_schedule.h"

namespace dandelionscale {
namespace {

// Probability with which chance alone may explain the crashes for which keys
// are blocked, for all routers together: each decides for itself.
constexpr double kMaxChance = 1e-5;
constexpr std::size_t kMaxCrashes = 14;
// A lost send counts only after this time, during which the report of it and
// then those of answers to its sound keys reach all routers, and after this
// many answers of the service to this router.
constexpr Duration kSettleMargin = std::chrono::milliseconds(200);
constexpr int kSettlePropagations = 2;
constexpr std::uint64_t kSettleAnswers = 3;
// Keys that this router has received answers to within this time are sound.
constexpr Duration kSoundTime = std::chrono::seconds(2);
constexpr Duration kOwnAnswerMemory = std::chrono::seconds(5);
constexpr std::size_t kMaxOwnAnswers = 4096;

// Time in which the weight of an observation halves in the loss rate.
constexpr std::chrono::duration<double> kTrafficHalfLife =
    std::chrono::seconds(10);
// Assumed traffic, which keeps the loss rate of a few sends from extremes.
constexpr double kPriorSends = 20;
constexpr double kPriorLossRate = 0.03;

constexpr std::size_t kMaxLosses = 128;
// A full memory keeps sends that are younger, since they may not have settled.
constexpr Duration kMinLossMemory = std::chrono::seconds(5);
// Answers and engines that are accounted for are kept for longer than a report
// of an earlier loss can be on its way.
constexpr Duration kAnswerMemory = std::chrono::seconds(30);
constexpr std::size_t kMaxAnswers = 256;
constexpr std::size_t kMaxAccountedEngines = 256;
// Further keys of one request are not examined.
constexpr std::size_t kMaxKeys = 16;

constexpr std::size_t kMaxLossesPerDigest = 4;
constexpr std::size_t kMaxAnswersPerDigest = 8;

RequestKeySet Intersection(const RequestKeySet& a, const RequestKeySet& b) {
  RequestKeySet common;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(common));
  return common;
}

}  // namespace

std::size_t RequiredCrashes(double loss_rate, std::size_t routers) {
  constexpr double kMinRate = 1e-6;
  if (loss_rate >= 1) return kMaxCrashes;
  const double chance =
      kMaxChance / static_cast<double>(std::max<std::size_t>(routers, 1));
  const double crashes =
      std::log(chance) / std::log(std::max(loss_rate, kMinRate));
  if (crashes >= static_cast<double>(kMaxCrashes)) return kMaxCrashes;
  return std::max(kMinCrashes, static_cast<std::size_t>(std::ceil(crashes)));
}

void CrashEvidence::OnOwnAnswer(TimePoint now, std::string_view service,
                                std::span<const std::uint64_t> keys) {
  Traffic& own_traffic = this->TrafficOf(now, ServiceKey(service));
  own_traffic.answered += 1;
  ++own_traffic.total_answered;
  for (std::uint64_t key : keys) {
    const bool has_room = this->own_answers.size() < kMaxOwnAnswers ||
                          this->own_answers.contains(key);
    if (has_room) this->own_answers[key] = now;
  }
}

std::size_t CrashEvidence::Clear(TimePoint answered_at, std::uint64_t key) {
  std::size_t cleared = 0;
  for (Loss& loss : this->losses) {
    if (loss.send.at >= answered_at) continue;
    cleared += std::erase(loss.send.keys, key);
  }
  std::erase_if(this->losses,
                [](const Loss& loss) { return loss.send.keys.empty(); });
  return cleared;
}

void CrashEvidence::ReportAnswer(TimePoint answered_at, std::uint64_t key,
                                 std::size_t cleared) {
  Answer& answer = this->answers[key];
  answer.at = std::max(answer.at, answered_at);
  answer.digests_left = kDigestsPerReport;
  answer.cleared += cleared;
}

bool CrashEvidence::OnReportedAnswer(const AnsweredKey& answered) {
  Answer& answer = this->answers[answered.key];
  if (answered.at <= answer.at) return false;
  answer.at = answered.at;
  return true;
}

void CrashEvidence::OnOwnLoss(TimePoint now, std::string_view service) {
  this->TrafficOf(now, ServiceKey(service)).lost += 1;
}

LostSend CrashEvidence::WithoutAnswered(LostSend send) {
  std::erase_if(send.keys, [&](std::uint64_t key) {
    const TimePoint answered_at = this->AnsweredAt(key);
    if (answered_at <= send.at) return false;
    // The peers are told unless they know an answer that clears this send.
    Answer& answer = this->answers[key];
    ++answer.cleared;
    if (answer.at > send.at) return true;
    answer.at = answered_at;
    answer.digests_left = kDigestsPerReport;
    return true;
  });
  if (send.keys.size() > kMaxKeys) send.keys.resize(kMaxKeys);
  return send;
}

bool CrashEvidence::Add(TimePoint now, LostSend send, bool is_own) {
  const bool is_old = now - send.at > kLossMemory;
  const bool is_accounted = this->accounted_engines.contains(send.engine);
  if (send.keys.empty() || is_old || is_accounted || this->IsKnown(send)) {
    return false;
  }
  if (this->losses.size() >= kMaxLosses) {
    if (now - this->losses.front().send.at < kMinLossMemory) return false;
    this->losses.pop_front();
  }
  const std::uint64_t answered_before =
      this->TrafficOf(now, send.service).total_answered;
  this->losses.push_back(
      {std::move(send), is_own, answered_before, kDigestsPerReport});
  return true;
}

// A second request with the same keys adds nothing to the engine's crash.
bool CrashEvidence::IsKnown(const LostSend& send) const {
  return std::any_of(this->losses.begin(), this->losses.end(),
                     [&send](const Loss& known) {
                       return known.send.engine == send.engine &&
                              (known.send.request_key == send.request_key ||
                               IsSubset(send.keys, known.send.keys));
                     });
}

void CrashEvidence::Account(TimePoint now, const RequestKeySet& keys,
                            std::set<std::uint32_t> engines) {
  for (const Loss& loss : this->losses) {
    if (!IsSubset(keys, loss.send.keys)) continue;
    engines.insert(loss.send.engine);
  }
  std::erase_if(this->losses, [&engines](const Loss& loss) {
    return engines.contains(loss.send.engine);
  });
  for (std::uint32_t engine : engines) this->accounted_engines[engine] = now;
}

void CrashEvidence::SetPeerCount(std::size_t peers) {
  this->routers = peers + 1;
  this->settle_time =
      kSettleMargin + DigestPropagationTime(peers) * kSettlePropagations;
}

std::optional<CrashCandidate> CrashEvidence::FindCandidate(TimePoint now) {
  if (this->losses.size() < kMinCrashes) return std::nullopt;
  std::map<std::uint64_t, std::size_t> loss_counts;
  for (const Loss& loss : this->losses) {
    for (std::uint64_t key : loss.send.keys) ++loss_counts[key];
  }
  std::optional<CrashCandidate> best;
  for (const auto& [key, count] : loss_counts) {
    if (count < kMinCrashes) continue;
    CrashCandidate candidate = this->MakeCandidate(now, key);
    const std::size_t required =
        RequiredCrashes(candidate.loss_rate, this->routers);
    if (candidate.crashes < required) continue;
    if (this->WereJustAnswered(now, candidate.keys)) continue;
    // Of several explanations, the one that blocks fewest requests.
    const bool is_better = !best || candidate.keys.size() > best->keys.size() ||
                           (candidate.keys.size() == best->keys.size() &&
                            candidate.crashes > best->crashes);
    if (is_better) best = std::move(candidate);
  }
  return best;
}

bool CrashEvidence::WereJustAnswered(TimePoint now,
                                     const RequestKeySet& keys) const {
  return std::all_of(keys.begin(), keys.end(), [&](std::uint64_t key) {
    const auto own = this->own_answers.find(key);
    return own != this->own_answers.end() && now - own->second < kSoundTime;
  });
}

TimePoint CrashEvidence::AnsweredAt(std::uint64_t key) const {
  const auto own = this->own_answers.find(key);
  const auto reported = this->answers.find(key);
  return std::max(
      own == this->own_answers.end() ? TimePoint::min() : own->second,
      reported == this->answers.end() ? TimePoint::min() : reported->second.at);
}

void CrashEvidence::Expire(TimePoint now) {
  std::erase_if(this->losses, [now](const Loss& loss) {
    return now - loss.send.at > kLossMemory;
  });
  std::erase_if(this->answers, [now](const auto& entry) {
    return now - entry.second.at > kAnswerMemory;
  });
  while (this->answers.size() > kMaxAnswers) {
    this->answers.erase(std::min_element(this->answers.begin(),
                                         this->answers.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.at < b.second.at;
                                         }));
  }
  std::erase_if(this->own_answers, [now](const auto& entry) {
    return now - entry.second > kOwnAnswerMemory;
  });
  std::erase_if(this->accounted_engines, [now](const auto& entry) {
    return now - entry.second > kAnswerMemory;
  });
  while (this->accounted_engines.size() > kMaxAccountedEngines) {
    this->accounted_engines.erase(this->accounted_engines.begin());
  }
}

void CrashEvidence::TakeForDigest(QuarantineUpdate& update) {
  for (auto loss = this->losses.rbegin(); loss != this->losses.rend(); ++loss) {
    if (update.lost_sends.size() >= kMaxLossesPerDigest) break;
    if (loss->digests_left <= 0) continue;
    --loss->digests_left;
    update.lost_sends.push_back(loss->send);
  }
  for (std::uint64_t key : this->AnswersToReport()) {
    Answer& answer = this->answers[key];
    --answer.digests_left;
    update.answered.push_back({key, answer.at});
  }
}

std::vector<std::uint64_t> CrashEvidence::AnswersToReport() const {
  std::vector<std::pair<std::size_t, std::uint64_t>> candidates;
  for (const auto& [key, answer] : this->answers) {
    if (answer.digests_left > 0) candidates.emplace_back(answer.cleared, key);
  }
  // If there are many, those that clear most reports go first.
  std::sort(candidates.rbegin(), candidates.rend());
  if (candidates.size() > kMaxAnswersPerDigest) {
    candidates.resize(kMaxAnswersPerDigest);
  }
  std::vector<std::uint64_t> keys;
  for (const auto& [cleared, key] : candidates) keys.push_back(key);
  return keys;
}

CrashEvidence::Traffic& CrashEvidence::TrafficOf(TimePoint now,
                                                 std::uint32_t service) {
  Traffic& own_traffic = this->traffic[service];
  const std::chrono::duration<double> age = now - own_traffic.updated_at;
  const double weight = std::exp2(-age / kTrafficHalfLife);
  own_traffic.answered *= weight;
  own_traffic.lost *= weight;
  own_traffic.updated_at = now;
  return own_traffic;
}

bool CrashEvidence::IsSettled(TimePoint now, const Loss& loss) {
  const std::uint64_t answers_since =
      this->TrafficOf(now, loss.send.service).total_answered -
      loss.answered_before;
  return now - loss.send.at >= this->settle_time &&
         answers_since >= kSettleAnswers;
}

CrashCandidate CrashEvidence::MakeCandidate(TimePoint now, std::uint64_t key) {
  CrashCandidate candidate;
  double own_losses = 0;
  std::uint32_t service = 0;
  std::vector<EngineLoss> sends;
  for (const Loss& loss : this->losses) {
    const RequestKeySet& keys = loss.send.keys;
    if (!std::binary_search(keys.begin(), keys.end(), key)) continue;
    if (!this->IsSettled(now, loss)) continue;
    candidate.keys = sends.empty() ? keys : Intersection(candidate.keys, keys);
    if (loss.is_own) own_losses += 1;
    service = loss.send.service;
    candidate.engines.insert(loss.send.engine);
    sends.push_back({loss.send.request_key, loss.send.engine, loss.send.at});
  }
  candidate.crashes = CountCrashes(std::move(sends));
  const Traffic& own_traffic = this->TrafficOf(now, service);
  const double other_losses = std::max(0.0, own_traffic.lost - own_losses);
  candidate.loss_rate = (other_losses + kPriorSends * kPriorLossRate) /
                        (own_traffic.answered + other_losses + kPriorSends);
  return candidate;
}

}  // namespace dandelionscale
