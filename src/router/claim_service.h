#ifndef DANDELIONSCALE_SRC_ROUTER_CLAIM_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_CLAIM_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/core/claim.h"
#include "dandelionscale/platform.h"
#include "dandelionscale/runtime/service_registry.h"
#include "router/call_result.h"

namespace dandelionscale::internal {

/// \brief A call with an idempotency key, which may run at most once.
struct ClaimedCall {
  std::string workspace;
  std::string service;
  std::string key;  ///< Idempotency key.
  /// Hash of method, target and body; a key may not be used for another call.
  std::uint64_t body_hash = 0;
  /// The service can be queried for the result of an earlier call.
  bool status_lookup = false;
  /// \brief Sends the call; invoked at most once.
  std::function<Awaitable<CallResult>()> run;
  /// \brief Queries the service for the result of an earlier call with the
  /// key; the outcome is `kUnknown` if none can be obtained.
  std::function<Awaitable<CallResult>()> look_up;
};

/// \brief Runs calls with an idempotency key at most once in the whole fleet.
///
/// `ClaimStateMachine` makes the decisions. This class executes them on the
/// platform's table, in which one row per key records who runs the call and
/// later its response.
class ClaimService : public std::enable_shared_from_this<ClaimService> {
 public:
  static constexpr std::string_view kName = "claims";

  ClaimService(boost::asio::any_io_executor executor,
               const ServiceRegistry& registry);

  /// \brief Runs `call`, or returns the recorded response of an earlier call
  /// with its key.
  /// \returns a refusal if the row can't be claimed or the key was used for
  /// another body; outcome `kUnknown` if an earlier call may have run and its
  /// response is not known.
  Awaitable<CallResult> Execute(ClaimedCall call);

 private:
  Awaitable<ClaimEvent> Insert(std::string key, ClaimRow row);
  Awaitable<ClaimEvent> Read(std::string key);
  /// \brief Runs the call after its row was claimed, then stores the response
  /// or, if the call has not run, removes the row.
  Awaitable<CallResult> RunClaimed(const ClaimedCall& call, std::string key,
                                   std::string token);
  /// \brief Stores the response in the claimed row.
  /// \returns false if another attempt is needed.
  Awaitable<bool> TryStore(std::string key, ClaimRow row);
  /// \brief Retries `TryStore()` in the background.
  void RetryStore(std::string key, ClaimRow row);
  /// \brief Retries `TryRelease()` in the background.
  void RetryRelease(std::string key, std::string token);
  /// \brief Removes the row if it is still claimed with `token`.
  /// \returns false if another attempt is needed.
  Awaitable<bool> TryRelease(std::string key, std::string token);

  boost::asio::any_io_executor executor;
  std::shared_ptr<PlatformClient> platform;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_CLAIM_SERVICE_H_
