#ifndef DANDELIONSCALE_SRC_ROUTER_CLAIM_SERVICE_H_
#define DANDELIONSCALE_SRC_ROUTER_CLAIM_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dandelionscale/core/claim.h"
#include "dandelionscale/platform.h"
#include "dandelionscale/runtime/kernel.h"
#include "router/call_result.h"

namespace dandelionscale::internal {

/// \brief One call that may run at most once.
struct ClaimedCall {
  std::string workspace;
  std::string service;
  std::string key;
  std::uint64_t body_hash = 0;
  bool status_lookup = false;
  /// \brief Sends the call, once.
  std::function<Awaitable<CallResult>()> run;
  /// \brief Asks the service what became of the key; outcome `kUnknown` if it
  /// does not know.
  std::function<Awaitable<CallResult>()> look_up;
};

/// \brief Carries out the decisions of `ClaimStateMachine` on the platform's
/// table.
class ClaimService : public std::enable_shared_from_this<ClaimService> {
 public:
  static constexpr std::string_view kName = "claims";

  ClaimService(boost::asio::any_io_executor executor, const Kernel& kernel);

  Awaitable<CallResult> Execute(ClaimedCall call);

 private:
  Awaitable<ClaimEvent> Insert(std::string key, ClaimRow row);
  Awaitable<ClaimEvent> Read(std::string key);
  Awaitable<CallResult> RunClaimed(const ClaimedCall& call, std::string key,
                                   std::string token);
  Awaitable<bool> TryStore(std::string key, ClaimRow row);
  void StoreLater(std::string key, ClaimRow row);
  void ReleaseLater(std::string key, std::string token);
  Awaitable<bool> TryRelease(std::string key, std::string token);

  boost::asio::any_io_executor executor;
  std::shared_ptr<PlatformClient> platform;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_CLAIM_SERVICE_H_
