/// \file
/// \brief Learns what engines' prompt caches hold, one router for each engine.
#ifndef DANDELIONSCALE_SRC_DISPATCH_CACHE_OBSERVER_H_
#define DANDELIONSCALE_SRC_DISPATCH_CACHE_OBSERVER_H_

#include <memory>
#include <set>
#include <string>

#include "dandelionscale/transport/http_client.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

/// \brief Follows the cache news of the engines that this router observes.
///
/// Each engine has one observer among the routers that hear each other, by
/// rendezvous hashing; digests carry on what it learns. Two routers that
/// disagree for a moment both observe; a router that hears nobody observes all.
class CacheObserver {
 public:
  explicit CacheObserver(DispatchState& state);

  /// \brief Starts to observe; runs until the event loop ends.
  void Start();

 private:
  Awaitable<void> AssignEngines();
  Awaitable<void> Observe(std::shared_ptr<Engine> engine);
  Awaitable<Result<CacheEventBatch>> Call(std::shared_ptr<Engine> engine,
                                          HttpRequest request,
                                          Duration timeout);
  bool IsObserver(const Engine& engine) const;
  void Learn(const Engine& engine, const CacheEventBatch& news, bool is_replay);

  DispatchState& state;
  HttpClient client;
  std::set<std::uint64_t> observed;  ///< Keys of engines.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_CACHE_OBSERVER_H_
