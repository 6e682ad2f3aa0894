#include "dandelionscale/core/prompt_quarantine.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "dandelionscale/core/digest_schedule.h"
#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

// Probability with which chance alone may explain the crashes that lead to a
// quarantine, for all routers together: each decides for itself.
constexpr double kMaxChance = 1e-5;
constexpr std::size_t kMinCrashes = 3;
constexpr std::size_t kMaxCrashes = 14;
// Engines that different requests lose within this time count once: a rack or a
// link may have failed.
constexpr Duration kBurstWindow = std::chrono::milliseconds(20);
// A lost send counts only after this time, during which the report of it and
// then those of answers to its sound parts reach all routers, and after this
// many answers of the service to this router.
constexpr Duration kSettleMargin = std::chrono::milliseconds(200);
constexpr int kSettlePropagations = 2;
constexpr std::uint64_t kSettleAnswers = 3;
// Parts that this router has received answers to within this time are sound.
constexpr Duration kSoundTime = std::chrono::seconds(2);
constexpr Duration kOwnAnswerMemory = std::chrono::seconds(5);
constexpr std::size_t kMaxOwnAnswers = 4096;

// Time in which the weight of an observation halves in the loss rate.
constexpr std::chrono::duration<double> kTrafficHalfLife =
    std::chrono::seconds(10);
// Assumed traffic, which keeps the loss rate of a few sends from extremes.
constexpr double kPriorSends = 20;
constexpr double kPriorLossRate = 0.03;

// Lost sends and their memory. A part that is lost less often than once in this
// time is not found.
constexpr std::size_t kMaxLostSends = 128;
constexpr Duration kLostSendMemory = std::chrono::minutes(5);
// A full memory keeps sends that are younger, since they may not have settled.
constexpr Duration kMinLostSendMemory = std::chrono::seconds(5);
// Answers and explained engines are kept for longer than a report of an earlier
// loss can be on its way.
constexpr Duration kAnswerMemory = std::chrono::seconds(30);
constexpr std::size_t kMaxAnswers = 256;
constexpr std::size_t kMaxExplainedEngines = 256;
// Suspected parts of one prompt beyond these are not examined.
constexpr std::size_t kMaxParts = 16;

constexpr std::size_t kMaxQuarantines = 64;
// Time until the first trial; doubles with each failed one up to the maximum.
constexpr Duration kFirstTrialDelay = std::chrono::minutes(1);
constexpr Duration kMaxTrialDelay = std::chrono::hours(1);
// Routers may start a trial this long after each other.
constexpr Duration kTrialStagger = std::chrono::seconds(2);
// A router sends no second trial request within this time.
constexpr Duration kTrialTimeout = std::chrono::seconds(15);
// A quarantine for which no request came ends this long after its trial was
// due.
constexpr Duration kUnusedLifetime = std::chrono::hours(1);

// Digests in which a router repeats something new. Each goes to other peers,
// which do the same.
constexpr int kDigestsPerItem = 2;
constexpr std::size_t kMaxLostSendsPerDigest = 4;
constexpr std::size_t kMaxAnswersPerDigest = 8;
constexpr std::size_t kMaxQuarantinesPerDigest = 4;

std::uint32_t ServiceKey(std::string_view service) {
  return static_cast<std::uint32_t>(HashText(service));
}

bool IsSubset(const PartKeySet& part_of, const PartKeySet& whole) {
  return std::includes(whole.begin(), whole.end(), part_of.begin(),
                       part_of.end());
}

PartKeySet Intersection(const PartKeySet& a, const PartKeySet& b) {
  PartKeySet common;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(common));
  return common;
}

bool HasPart(std::span<const PrefixPart> prefix, std::uint64_t key) {
  return std::any_of(prefix.begin(), prefix.end(),
                     [key](const PrefixPart& part) { return part.key == key; });
}

Duration TrialDelay(std::uint32_t failed_trials) {
  // Enough doublings to reach the maximum.
  constexpr std::uint32_t kMaxDoublings = 6;
  return std::min(
      kFirstTrialDelay * (1 << std::min(failed_trials, kMaxDoublings)),
      kMaxTrialDelay);
}

}  // namespace

std::string_view ToString(QuarantineChange::Kind kind) {
  switch (kind) {
    case QuarantineChange::Kind::kQuarantined:
      return "quarantined";
    case QuarantineChange::Kind::kLearned:
      return "learned";
    case QuarantineChange::Kind::kNarrowed:
      return "narrowed";
    case QuarantineChange::Kind::kProlonged:
      return "prolonged";
    case QuarantineChange::Kind::kReleased:
      return "released";
    case QuarantineChange::Kind::kExpired:
      return "expired";
  }
  return "expired";
}

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

std::vector<QuarantineChange> PromptQuarantine::OnAnswered(
    TimePoint now, std::string_view service,
    std::span<const PrefixPart> prefix) {
  Traffic& own_traffic = this->TrafficOf(now, ServiceKey(service));
  own_traffic.answered += 1;
  ++own_traffic.total_answered;
  for (const PrefixPart& part : prefix) {
    const bool has_room = this->own_answers.size() < kMaxOwnAnswers ||
                          this->own_answers.contains(part.key);
    if (has_room) this->own_answers[part.key] = now;
  }
  std::vector<QuarantineChange> changes;
  if (this->lost_sends.empty() && this->entries.empty()) return changes;
  for (const PrefixPart& part : prefix) {
    const std::size_t cleared = this->Exonerate(now, part.key, changes);
    if (cleared == 0) continue;
    Answer& answer = this->answers[part.key];
    answer = {now, kDigestsPerItem, answer.cleared_sends + cleared};
  }
  return changes;
}

std::vector<QuarantineChange> PromptQuarantine::OnLost(TimePoint now,
                                                       std::string_view service,
                                                       LostSend send) {
  send.service = ServiceKey(service);
  send.at = now;
  std::sort(send.parts.begin(), send.parts.end());
  send.parts.erase(std::unique(send.parts.begin(), send.parts.end()),
                   send.parts.end());
  this->TrafficOf(now, send.service).lost += 1;
  std::vector<QuarantineChange> changes;
  for (Entry& entry : this->entries) {
    QuarantinedParts& quarantined = entry.quarantined;
    if (!IsSubset(quarantined.parts, send.parts)) continue;
    this->RemoveExplained(now, quarantined.parts, {send.engine});
    const bool was_trial = entry.trial_started_at > quarantined.since;
    if (was_trial) {
      quarantined.since = now;
      ++quarantined.failed_trials;
      entry.digests_left = kDigestsPerItem;
      this->urgent = true;
      changes.push_back({QuarantineChange::Kind::kProlonged, quarantined});
    }
    return changes;
  }
  this->AddSuspicion(now, std::move(send), true);
  return changes;
}

std::vector<QuarantineChange> PromptQuarantine::Apply(
    TimePoint now, const QuarantineUpdate& update) {
  std::vector<QuarantineChange> changes;
  for (const AnsweredPart& answered : update.answered) {
    Answer& answer = this->answers[answered.part];
    if (answered.at <= answer.at) continue;
    answer.at = answered.at;
    const std::size_t cleared =
        this->Exonerate(answered.at, answered.part, changes);
    answer.cleared_sends += cleared;
    if (cleared > 0) answer.digests_left = kDigestsPerItem;
  }
  for (const QuarantinedParts& received : update.quarantined) {
    QuarantinedParts quarantined = received;
    std::erase_if(quarantined.parts, [&](std::uint64_t part) {
      return this->AnsweredAt(part) > quarantined.since;
    });
    if (this->IsProvenSound(now, quarantined.parts)) continue;
    auto known = std::find_if(
        this->entries.begin(), this->entries.end(), [&](const Entry& entry) {
          return IsSubset(entry.quarantined.parts, quarantined.parts);
        });
    if (known != this->entries.end()) {
      const bool is_prolonged =
          quarantined.failed_trials > known->quarantined.failed_trials;
      if (!is_prolonged) continue;
      known->quarantined.since = quarantined.since;
      known->quarantined.failed_trials = quarantined.failed_trials;
      known->digests_left = kDigestsPerItem;
      continue;
    }
    this->AddQuarantine(now, quarantined, {});
    changes.push_back({QuarantineChange::Kind::kLearned, quarantined});
  }
  for (const LostSend& send : update.lost_sends) {
    this->AddSuspicion(now, send, false);
  }
  return changes;
}

std::vector<QuarantineChange> PromptQuarantine::Evaluate(TimePoint now,
                                                         std::size_t peers) {
  this->routers = peers + 1;
  this->settle_time =
      kSettleMargin + DigestPropagationTime(peers) * kSettlePropagations;
  std::vector<QuarantineChange> changes;
  while (auto guilty = this->FindGuilty(now)) {
    QuarantinedParts quarantined = {guilty->common, now, 0};
    changes.push_back({QuarantineChange::Kind::kQuarantined, quarantined,
                       guilty->crashes, guilty->loss_rate});
    this->AddQuarantine(now, std::move(quarantined), guilty->engines);
    this->urgent = true;
  }
  this->Forget(now);
  std::erase_if(this->entries, [&](const Entry& entry) {
    const bool is_unused =
        now - entry.quarantined.since >
        TrialDelay(entry.quarantined.failed_trials) + kUnusedLifetime;
    if (is_unused) {
      changes.push_back({QuarantineChange::Kind::kExpired, entry.quarantined});
    }
    return is_unused;
  });
  return changes;
}

const QuarantinedParts* PromptQuarantine::Find(
    std::span<const PrefixPart> prefix) const {
  for (const Entry& entry : this->entries) {
    const PartKeySet& parts = entry.quarantined.parts;
    const bool has_all = std::all_of(
        parts.begin(), parts.end(),
        [prefix](std::uint64_t part) { return HasPart(prefix, part); });
    if (has_all) return &entry.quarantined;
  }
  return nullptr;
}

Duration PromptQuarantine::TimeUntilTrial(TimePoint now,
                                          const QuarantinedParts& quarantined) {
  const TimePoint trial_at =
      quarantined.since + TrialDelay(quarantined.failed_trials);
  return std::max(trial_at - now, Duration::zero());
}

bool PromptQuarantine::TryStartTrial(TimePoint now,
                                     const QuarantinedParts& quarantined,
                                     std::size_t rank) {
  const TimePoint trial_at = quarantined.since +
                             TrialDelay(quarantined.failed_trials) +
                             kTrialStagger * rank;
  auto entry = std::find_if(this->entries.begin(), this->entries.end(),
                            [&](const Entry& candidate) {
                              return &candidate.quarantined == &quarantined;
                            });
  if (entry == this->entries.end() || now < trial_at) return false;
  if (entry->trial_started_at > quarantined.since &&
      now - entry->trial_started_at < kTrialTimeout) {
    return false;
  }
  entry->trial_started_at = now;
  return true;
}

QuarantineUpdate PromptQuarantine::TakeForDigest() {
  QuarantineUpdate update;
  for (auto suspicion = this->lost_sends.rbegin();
       suspicion != this->lost_sends.rend(); ++suspicion) {
    if (update.lost_sends.size() >= kMaxLostSendsPerDigest) break;
    if (suspicion->digests_left <= 0) continue;
    --suspicion->digests_left;
    update.lost_sends.push_back(suspicion->send);
  }
  for (std::uint64_t part : this->AnswersToTell()) {
    Answer& answer = this->answers[part];
    --answer.digests_left;
    update.answered.push_back({part, answer.at});
  }
  for (Entry& entry : this->entries) {
    if (update.quarantined.size() >= kMaxQuarantinesPerDigest) break;
    if (entry.digests_left <= 0) continue;
    --entry.digests_left;
    update.quarantined.push_back(entry.quarantined);
  }
  // One quarantine is always repeated, for routers that have missed it.
  if (update.quarantined.empty() && !this->entries.empty()) {
    this->next_repeated = (this->next_repeated + 1) % this->entries.size();
    update.quarantined.push_back(
        this->entries[this->next_repeated].quarantined);
  }
  return update;
}

std::vector<std::uint64_t> PromptQuarantine::AnswersToTell() const {
  std::vector<std::pair<std::size_t, std::uint64_t>> parts;
  for (const auto& [part, answer] : this->answers) {
    if (answer.digests_left > 0) parts.emplace_back(answer.cleared_sends, part);
  }
  // If there are many, those that are suspected most often go first.
  std::sort(parts.rbegin(), parts.rend());
  if (parts.size() > kMaxAnswersPerDigest) parts.resize(kMaxAnswersPerDigest);
  std::vector<std::uint64_t> keys;
  for (const auto& [cleared_sends, part] : parts) keys.push_back(part);
  return keys;
}

std::vector<QuarantinedParts> PromptQuarantine::Quarantined() const {
  std::vector<QuarantinedParts> all;
  for (const Entry& entry : this->entries) all.push_back(entry.quarantined);
  return all;
}

bool PromptQuarantine::TakeUrgency() {
  return std::exchange(this->urgent, false);
}

PromptQuarantine::Traffic& PromptQuarantine::TrafficOf(TimePoint now,
                                                       std::uint32_t service) {
  Traffic& own_traffic = this->traffic[service];
  const std::chrono::duration<double> age = now - own_traffic.updated_at;
  const double weight = std::exp2(-age / kTrafficHalfLife);
  own_traffic.answered *= weight;
  own_traffic.lost *= weight;
  own_traffic.updated_at = now;
  return own_traffic;
}

TimePoint PromptQuarantine::AnsweredAt(std::uint64_t part) const {
  const auto own = this->own_answers.find(part);
  const auto told = this->answers.find(part);
  return std::max(
      own == this->own_answers.end() ? TimePoint::min() : own->second,
      told == this->answers.end() ? TimePoint::min() : told->second.at);
}

bool PromptQuarantine::IsProvenSound(TimePoint now,
                                     const PartKeySet& parts) const {
  return std::all_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
    const auto own = this->own_answers.find(part);
    return own != this->own_answers.end() && now - own->second < kSoundTime;
  });
}

bool PromptQuarantine::IsSettled(TimePoint now, const Suspicion& suspicion) {
  const std::uint64_t answers =
      this->TrafficOf(now, suspicion.send.service).total_answered -
      suspicion.answered_before;
  return now - suspicion.send.at >= this->settle_time &&
         answers >= kSettleAnswers;
}

PromptQuarantine::Group PromptQuarantine::MakeGroup(TimePoint now,
                                                    std::uint64_t part) {
  Group group;
  double own_losses = 0;
  std::uint32_t service = 0;
  std::vector<const LostSend*> sends;
  for (const Suspicion& suspicion : this->lost_sends) {
    const PartKeySet& parts = suspicion.send.parts;
    if (!std::binary_search(parts.begin(), parts.end(), part)) continue;
    if (!this->IsSettled(now, suspicion)) continue;
    group.common = sends.empty() ? parts : Intersection(group.common, parts);
    if (suspicion.is_own) own_losses += 1;
    service = suspicion.send.service;
    sends.push_back(&suspicion.send);
  }
  std::sort(sends.begin(), sends.end(),
            [](const LostSend* a, const LostSend* b) { return a->at < b->at; });
  const LostSend* counted = nullptr;
  for (const LostSend* send : sends) {
    const bool is_new = group.engines.insert(send->engine).second;
    const bool in_burst = counted != nullptr &&
                          send->request_key != counted->request_key &&
                          send->at - counted->at < kBurstWindow;
    if (!is_new || in_burst) continue;
    counted = send;
    ++group.crashes;
  }
  const Traffic& own_traffic = this->TrafficOf(now, service);
  const double other_losses = std::max(0.0, own_traffic.lost - own_losses);
  group.loss_rate = (other_losses + kPriorSends * kPriorLossRate) /
                    (own_traffic.answered + other_losses + kPriorSends);
  return group;
}

std::optional<PromptQuarantine::Group> PromptQuarantine::FindGuilty(
    TimePoint now) {
  if (this->lost_sends.size() < kMinCrashes) return std::nullopt;
  std::map<std::uint64_t, std::size_t> losses;
  for (const Suspicion& suspicion : this->lost_sends) {
    for (std::uint64_t part : suspicion.send.parts) ++losses[part];
  }
  std::optional<Group> guilty;
  for (const auto& [part, count] : losses) {
    if (count < kMinCrashes) continue;
    Group group = this->MakeGroup(now, part);
    if (group.crashes < RequiredCrashes(group.loss_rate, this->routers))
      continue;
    if (this->IsProvenSound(now, group.common)) continue;
    // Of several explanations, the one that blocks fewest requests.
    const bool is_better = !guilty ||
                           group.common.size() > guilty->common.size() ||
                           (group.common.size() == guilty->common.size() &&
                            group.crashes > guilty->crashes);
    if (is_better) guilty = std::move(group);
  }
  return guilty;
}

std::size_t PromptQuarantine::Exonerate(
    TimePoint answered_at, std::uint64_t part,
    std::vector<QuarantineChange>& changes) {
  std::size_t cleared = 0;
  for (Suspicion& suspicion : this->lost_sends) {
    if (suspicion.send.at >= answered_at) continue;
    cleared += std::erase(suspicion.send.parts, part);
  }
  std::erase_if(this->lost_sends, [](const Suspicion& suspicion) {
    return suspicion.send.parts.empty();
  });
  for (Entry& entry : this->entries) {
    QuarantinedParts& quarantined = entry.quarantined;
    if (quarantined.since >= answered_at) continue;
    if (std::erase(quarantined.parts, part) == 0) continue;
    ++cleared;
    const bool is_empty = quarantined.parts.empty();
    changes.push_back({is_empty ? QuarantineChange::Kind::kReleased
                                : QuarantineChange::Kind::kNarrowed,
                       quarantined});
    if (is_empty) changes.back().quarantined.parts = {part};
    entry.digests_left = kDigestsPerItem;
  }
  std::erase_if(this->entries, [](const Entry& entry) {
    return entry.quarantined.parts.empty();
  });
  return cleared;
}

void PromptQuarantine::AddSuspicion(TimePoint now, LostSend send, bool is_own) {
  std::erase_if(send.parts, [&](std::uint64_t part) {
    const TimePoint answered_at = this->AnsweredAt(part);
    if (answered_at <= send.at) return false;
    // The peers are told unless they know an answer that clears this send.
    Answer& told = this->answers[part];
    ++told.cleared_sends;
    if (told.at > send.at) return true;
    told.at = answered_at;
    told.digests_left = kDigestsPerItem;
    return true;
  });
  if (send.parts.size() > kMaxParts) send.parts.resize(kMaxParts);
  const bool is_explained =
      this->explained_engines.contains(send.engine) ||
      std::any_of(this->entries.begin(), this->entries.end(),
                  [&](const Entry& entry) {
                    return IsSubset(entry.quarantined.parts, send.parts);
                  });
  // A second request with the same parts adds nothing to the engine's crash.
  const bool is_known =
      std::any_of(this->lost_sends.begin(), this->lost_sends.end(),
                  [&](const Suspicion& known) {
                    return known.send.engine == send.engine &&
                           (known.send.request_key == send.request_key ||
                            IsSubset(send.parts, known.send.parts));
                  });
  const bool is_old = now - send.at > kLostSendMemory;
  if (send.parts.empty() || is_explained || is_known || is_old) return;
  if (this->lost_sends.size() >= kMaxLostSends) {
    if (now - this->lost_sends.front().send.at < kMinLostSendMemory) return;
    this->lost_sends.pop_front();
  }
  const std::uint64_t answered_before =
      this->TrafficOf(now, send.service).total_answered;
  this->lost_sends.push_back(
      {std::move(send), is_own, answered_before, kDigestsPerItem});
  // Peers relay what they receive in their regular digests.
  this->urgent = this->urgent || is_own;
}

void PromptQuarantine::AddQuarantine(TimePoint now,
                                     QuarantinedParts quarantined,
                                     const std::set<std::uint32_t>& engines) {
  this->RemoveExplained(now, quarantined.parts, engines);
  // The new one blocks all requests that these block.
  std::erase_if(this->entries, [&](const Entry& entry) {
    return IsSubset(quarantined.parts, entry.quarantined.parts);
  });
  if (this->entries.size() >= kMaxQuarantines) {
    this->entries.erase(
        std::min_element(this->entries.begin(), this->entries.end(),
                         [](const Entry& a, const Entry& b) {
                           return a.quarantined.since < b.quarantined.since;
                         }));
  }
  this->entries.push_back({std::move(quarantined), {}, kDigestsPerItem});
}

void PromptQuarantine::RemoveExplained(TimePoint now, const PartKeySet& parts,
                                       std::set<std::uint32_t> engines) {
  for (const Suspicion& suspicion : this->lost_sends) {
    if (!IsSubset(parts, suspicion.send.parts)) continue;
    engines.insert(suspicion.send.engine);
  }
  std::erase_if(this->lost_sends, [&](const Suspicion& suspicion) {
    return engines.contains(suspicion.send.engine);
  });
  for (std::uint32_t engine : engines) this->explained_engines[engine] = now;
}

void PromptQuarantine::Forget(TimePoint now) {
  std::erase_if(this->lost_sends, [now](const Suspicion& suspicion) {
    return now - suspicion.send.at > kLostSendMemory;
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
  std::erase_if(this->explained_engines, [now](const auto& entry) {
    return now - entry.second > kAnswerMemory;
  });
  while (this->explained_engines.size() > kMaxExplainedEngines) {
    this->explained_engines.erase(this->explained_engines.begin());
  }
}

}  // namespace dandelionscale
