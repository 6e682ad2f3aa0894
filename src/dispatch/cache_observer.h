/// \file
/// \brief Tracks the content of engines' prompt caches, one router per engine.
#ifndef DANDELIONSCALE_SRC_DISPATCH_CACHE_OBSERVER_H_
#define DANDELIONSCALE_SRC_DISPATCH_CACHE_OBSERVER_H_

#include <memory>
#include <set>
#include <string>

#include "dandelionscale/transport/http_client.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

/// \brief Polls cache events of the engines that are assigned to this router.
///
/// Rendezvous hashing assigns each engine to one of the routers that receive
/// each other's digests; that router's digests carry the changes to the others.
/// While two routers have different sets of peers, both may observe the same
/// engine. A router that receives no digests observes all engines.
class CacheObserver {
 public:
  explicit CacheObserver(DispatchState& state);

  /// \brief Starts to observe engines; runs until the event loop ends.
  void Start();

 private:
  Awaitable<void> AssignEngines();
  Awaitable<void> Observe(std::shared_ptr<Engine> engine);
  Awaitable<Result<CacheEventBatch>> Call(std::shared_ptr<Engine> engine,
                                          HttpRequest request,
                                          Duration timeout);
  // True if the engine is assigned to this router and may be called.
  bool MayObserve(const Engine& engine) const;
  // Returns which peers learn of the event: the engine states the length of one
  // part only, and the index knows the parts of long prefixes.
  UpdateScope ScopeOf(const CacheEvent& event) const;
  // \param is_resync the events give the whole content of the cache: all events
  //        since its start, or a list.
  void ApplyEvents(const Engine& engine, const CacheEventBatch& batch,
                   bool is_resync);

  DispatchState& state;
  HttpClient client;
  /// Keys of the engines for which an `Observe()` is running.
  std::set<std::uint64_t> observed;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_CACHE_OBSERVER_H_
