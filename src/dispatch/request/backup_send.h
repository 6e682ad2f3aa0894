/// \file
/// \brief A second send of a request whose first engine is silent.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_BACKUP_SEND_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_BACKUP_SEND_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dandelionscale/core/attempt_policy.h"
#include "dandelionscale/runtime/event.h"
#include "dispatch/request/engine_exchange.h"
#include "dispatch/request/engine_reservation.h"

namespace dandelionscale::internal {

/// Time in which the event loop handles what has arrived from the first engine,
/// before that counts as silent.
inline constexpr Duration kReadGrace = std::chrono::milliseconds(20);

/// \brief A send to another engine, begun while the first engine's connection
///        stays open.
///
/// One of both is relayed: the first one if its engine goes on, this one once
/// its engine has answered with a whole event or body.
struct BackupSend {
  BackupSend(DispatchState& state, EngineConnector& connector,
             const std::shared_ptr<Engine>& engine,
             std::optional<TimePoint> permitted_at)
      : owner(state.owner.lock()),
        reservation(engine),
        exchange(std::make_unique<EngineExchange>(state, connector, engine,
                                                  permitted_at)),
        changed(state.executor),
        begun_at(RuntimeClock::now()) {}

  std::shared_ptr<void> owner;  ///< Keeps the router alive.
  /// Copies, since the send may outlive the request.
  std::string method;
  std::string request_id;
  EngineReservation reservation;
  std::unique_ptr<EngineExchange> exchange;
  Event changed;  ///< Signals that the send has an answer or has ended.
  TimePoint begun_at;
  /// As much of an answer has come as the first engine's would need to count as
  /// progress.
  bool has_answer = false;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_BACKUP_SEND_H_
