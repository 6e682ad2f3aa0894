#ifndef DANDELIONSCALE_CORE_LOAD_RATE_LIMIT_NEWS_H_
#define DANDELIONSCALE_CORE_LOAD_RATE_LIMIT_NEWS_H_

#include <cstdint>
#include <map>
#include <vector>

namespace dandelionscale {

/// \brief Engines whose rate limit has begun or ended, for the next digests.
///
/// Each router to which the change is new reports it in turn, so that it
/// reaches all of them.
class RateLimitNews {
 public:
  /// \brief Records a change of this engine's limit.
  void Add(std::uint64_t engine_key);
  /// \returns the keys of the engines that the next digest should report.
  std::vector<std::uint64_t> TakeForDigest();

 private:
  std::map<std::uint64_t, int> digests_left;  ///< By engine key.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_RATE_LIMIT_NEWS_H_
