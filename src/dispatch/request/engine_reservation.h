/// \file
/// \brief A place at an engine for one request.
#ifndef DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_RESERVATION_H_
#define DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_RESERVATION_H_

#include <memory>
#include <utility>

#include "dandelionscale/core/engine_directory.h"

namespace dandelionscale::internal {

/// \brief Counts as a request in flight at the engine until it is destroyed.
class EngineReservation {
 public:
  explicit EngineReservation(std::shared_ptr<Engine> engine)
      : engine(std::move(engine)) {
    ++this->engine->in_flight;
  }
  ~EngineReservation() { --this->engine->in_flight; }
  EngineReservation(const EngineReservation&) = delete;
  EngineReservation& operator=(const EngineReservation&) = delete;

  const std::shared_ptr<Engine>& Get() const { return this->engine; }

 private:
  std::shared_ptr<Engine> engine;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_REQUEST_ENGINE_RESERVATION_H_
