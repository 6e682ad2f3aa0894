#ifndef DANDELIONSCALE_CORE_CRASH_REPORT_H_
#define DANDELIONSCALE_CORE_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Sorted, distinct keys of what a request shares with others, `PartKey()`, and
/// of the whole request, `Fingerprint()`.
using RequestKeySet = std::vector<std::uint64_t>;

/// \returns true if all keys of `keys` are in `whole`.
bool IsSubset(const RequestKeySet& keys, const RequestKeySet& whole);

/// \returns the number by which routers name a service to each other.
std::uint32_t ServiceKey(std::string_view service);

/// \brief A request that was sent to an engine whose connection was lost before
///        the engine began its answer: the engine may have crashed at it.
struct LostSend {
  std::uint64_t request_key = 0;  ///< Hash of the request id.
  std::uint32_t engine = 0;       ///< `ShortKey()` of the incarnation.
  std::uint32_t service = 0;      ///< Low half of the hash of its name.
  TimePoint at{};                 ///< When the connection was lost.
  /// Keys of the request that may have caused it. Those that engines have
  /// answered since are left out.
  RequestKeySet keys;
};

/// \brief The same, for one whole request instead of what it shares with
///        others.
struct LostRequest {
  std::uint64_t fingerprint = 0;  ///< See `Fingerprint()`.
  std::uint64_t request_key = 0;  ///< Hash of the request id.
  std::uint32_t engine = 0;       ///< `ShortKey()` of the incarnation.
  TimePoint at{};                 ///< When the connection was lost.
};

/// \brief What of a loss counts as a crash.
struct EngineLoss {
  std::uint64_t request_key = 0;  ///< Hash of the request id.
  std::uint32_t engine = 0;       ///< `ShortKey()` of the incarnation.
  TimePoint at{};                 ///< When the connection was lost.
};

/// Crashes below which nothing is blocked.
inline constexpr std::size_t kMinCrashes = 3;
/// Time for which a loss is remembered. What is lost less often than once in
/// this time is not found.
inline constexpr Duration kLossMemory = std::chrono::minutes(5);

/// \returns the number of engines that were lost one after the other. Engines
///          that different requests lose at the same moment count once: a rack
///          or a link may have failed.
std::size_t CountCrashes(std::vector<EngineLoss> losses);

/// \brief A request at which engines crash one after the other.
struct CrashingRequest {
  std::uint64_t fingerprint = 0;
  std::size_t crashes = 0;
};

/// \brief An engine has begun to answer a request with this key.
struct AnsweredKey {
  std::uint64_t key = 0;
  TimePoint at{};
};

/// \brief Requests that have all of these keys are not sent to engines.
struct BlockedKeys {
  RequestKeySet keys;
  TimePoint since{};
  /// How often a probe has failed since they were blocked first.
  std::uint32_t failed_probes = 0;
  /// The only key is a fingerprint: one request is blocked. It is probed at
  /// once, since few losses are enough to block it.
  bool is_single_request = false;
};

/// \brief What routers tell each other.
struct QuarantineUpdate {
  std::vector<LostSend> lost_sends;
  std::vector<AnsweredKey> answered;
  std::vector<BlockedKeys> blocked;
  std::vector<LostRequest> lost_requests;
};

/// \brief A change of what is blocked, for logs and metrics.
struct QuarantineChange {
  enum class Kind {
    kBlocked,    ///< Found by this router.
    kLearned,    ///< Received from a peer or the store.
    kNarrowed,   ///< A key was answered, so it isn't the cause.
    kProlonged,  ///< A probe was lost.
    kReleased,   ///< A request with these keys was answered.
    kExpired     ///< No request came for a probe.
  };
  Kind kind = Kind::kBlocked;
  BlockedKeys blocked;
  std::size_t crashes = 0;  ///< Counted for `kBlocked`.
  double loss_rate = 0;     ///< Of other sends, for `kBlocked`.
};

/// \returns the name used in logs.
std::string_view ToString(QuarantineChange::Kind kind);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_CRASH_REPORT_H_
