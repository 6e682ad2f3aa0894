/// \file
/// \brief Reads configuration, engines and peers from the store.
#ifndef DANDELIONSCALE_SRC_DISPATCH_STORE_STORE_WATCHER_H_
#define DANDELIONSCALE_SRC_DISPATCH_STORE_STORE_WATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "dandelionscale/dispatch/table_store.h"
#include "dandelionscale/runtime/event.h"
#include "dispatch/dispatch_state.h"

namespace dandelionscale::internal {

/// \brief Applies the rows of the store's tables to the router's state.
///
/// Configuration and engines are read once at the start unless peers supply
/// them, and watched if the router's role demands it; a listener receives them
/// from its peers. In every role, the router's own row is written to the table
/// of routers, and the other rows are read as the list of peers.
class StoreWatcher {
 public:
  StoreWatcher(DispatchState& state, std::shared_ptr<TableStore> store)
      : state(state), store(std::move(store)), role_changed(state.executor) {}

  /// \brief Starts the watches; they run until the event loop ends.
  void Start();

 private:
  Awaitable<void> ChooseRole();
  // Logs calls whose answers are overdue, each once, and counts how old the
  // view of each table is.
  void ObserveCalls();
  // Counts which versions of the configuration are in use.
  void ObserveConfigurations();
  // Logs a large response of the store, which may belong to a failed call.
  void ObserveTransfer(StoreTable table, bool is_whole_table,
                       std::uint64_t bytes, Duration duration);
  void OnRoleChanged(WatchRole before, WatchRole role);
  // `shown_at` is when the answer shows the view of the table to be current.
  void OnTableCallSucceeded(StoreTable table, TimePoint shown_at);
  void OnRows(StoreTable table, const StoreRows& rows, bool is_whole_table);
  void OnTableCallFailed(StoreTable table, const Fault& fault);
  Awaitable<void> WatchTable(StoreTable table);
  // True if this router may read a whole table that it does not have; false
  // while peers may still supply it at the start.
  bool MayRead() const;
  Awaitable<void> RegisterAndFindPeers();
  // Waits until the table of routers should be read again. Returns true if the
  // store has been restored since `store_restored` had the given generation.
  Awaitable<bool> WaitForNextRead(Duration interval, std::uint64_t generation);
  // Returns true if peers are listed, but none is reached.
  bool IsIsolated() const;
  // Writes a row that routers share `delay` after each change. `format` returns
  // nothing if other routers write it.
  Awaitable<void> WriteAfterChanges(
      std::string key, Event& changed, Duration delay,
      std::function<std::optional<std::string>()> format);
  // Keeps the row of this router's stream origins up to date.
  Awaitable<void> WriteOrigins();
  void OnOriginsRow(const StoreRow& row);
  // Reads which versions engines run, and what routers have written of versions
  // and of the origins of streams. Returns false if that may be incomplete.
  Awaitable<bool> ReadVersions();
  void OnVersionsListed(const StoreRows& engine_rows);
  std::string FormatQuarantine() const;
  std::optional<std::string> FormatVersions() const;
  bool HasOwnRow(const StoreRows& rows) const;
  void OnRouterTable(const StoreRows& rows);
  void OnRoutersKnown();
  void OnRouterRows(const StoreRows& rows);
  void OnQuarantineRow(const StoreRow& row);
  void OnConfigurationRows(const StoreRows& rows, bool is_whole_table);
  void OnEvacuationRows(const StoreRows& rows, bool is_whole_table);
  void OnEngineRows(const StoreRows& rows, bool is_whole_table);
  // A malformed row counts as removed: it names no engine.
  EngineUpdate DecodeEngineRow(const StoreRow& row);

  DispatchState& state;
  std::shared_ptr<TableStore> store;
  Event role_changed;
  // A call for a table that is out.
  struct Call {
    TimePoint began{};
    TimePoint due{};  ///< When its answer is expected at the latest.
    bool is_logged = false;
  };

  std::map<StoreTable, Call> calls;
  TimePoint calls_observed_at{};
  /// When the last answers showed the view of each table to be current, since
  /// this router began to watch; none for a table whose last call failed.
  std::map<StoreTable, TimePoint> shown_at;
  /// Ids of malformed engine entries that have been logged; each is logged
  /// once.
  std::set<std::string> logged_malformed;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_STORE_STORE_WATCHER_H_
