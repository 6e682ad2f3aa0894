/// \file
/// \brief Learns configuration, engines and peers from the store.
#ifndef DANDELIONSCALE_SRC_DISPATCH_BELIEF_WATCHER_H_
#define DANDELIONSCALE_SRC_DISPATCH_BELIEF_WATCHER_H_

#include <memory>
#include <set>
#include <string>

#include "dandelionscale/dispatch/table_store.h"
#include "dandelionscale/runtime/event.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

/// \brief Reads and watches the store's tables while this router has to, and
///        writes the router's own row.
class BeliefWatcher {
 public:
  BeliefWatcher(DispatchState& state, std::shared_ptr<TableStore> store)
      : state(state), store(std::move(store)), duty_began(state.executor) {}

  /// \brief Starts the watches; they run until the event loop ends.
  void Start();

 private:
  Awaitable<void> ChooseRole();
  void OnRoleChanged(WatchRole before, WatchRole role);
  void OnTableAnswered(StoreTable table);
  void OnTableFailed(StoreTable table, const Fault& fault);
  Awaitable<void> WatchTable(StoreTable table);
  Awaitable<void> JoinRouters();
  void OnRouterRows(const StoreRows& rows);
  void OnConfigurationRows(const StoreRows& rows);
  void OnEngineRows(const StoreRows& rows, bool is_whole_table);
  bool DecodeEngineRow(const StoreRow& row, EngineUpdate& update);

  DispatchState& state;
  std::shared_ptr<TableStore> store;
  Event duty_began;
  std::set<StoreTable> tables_read;  ///< Since the watch began, without fault.
  std::set<std::string> malformed;   ///< Engine entries already logged.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_BELIEF_WATCHER_H_
