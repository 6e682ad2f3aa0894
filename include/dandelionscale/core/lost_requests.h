#ifndef DANDELIONSCALE_CORE_LOST_REQUESTS_H_
#define DANDELIONSCALE_CORE_LOST_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "dandelionscale/core/crash_report.h"

namespace dandelionscale {

/// \brief Requests that were lost at one engine after the other, under whatever
///        ids.
///
/// Unlike `CrashEvidence`, it compares whole requests: what it blocks is one
/// request, which is tried again soon. So few losses are enough, and the rate
/// at which other requests are lost does not count.
class LostRequests {
 public:
  /// \brief Adds a loss, unless it is known or old.
  /// \returns true if it was added.
  bool Add(TimePoint now, const LostRequest& loss);
  /// \brief Removes the losses of a request that were before an answer to it.
  /// \returns their number.
  std::size_t OnAnswered(TimePoint answered_at, std::uint64_t fingerprint);
  /// \param settle_time time after which a loss counts: an answer would be
  ///        known by then.
  /// \returns the requests that have been lost at enough engines.
  std::vector<CrashingRequest> FindCrashing(TimePoint now,
                                            Duration settle_time) const;
  /// \brief Forgets what is too old.
  void Expire(TimePoint now);
  /// \returns the losses that the next digest should hold.
  std::vector<LostRequest> TakeForDigest();
  /// \returns the number of requests that are remembered.
  std::size_t Size() const { return this->requests.size(); }

 private:
  struct Loss {
    LostRequest report;
    int digests_left = 0;
  };

  void EvictOldest();

  /// Losses of each request by its fingerprint, in the order of their arrival.
  std::map<std::uint64_t, std::vector<Loss>> requests;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOST_REQUESTS_H_
