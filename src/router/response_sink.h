#ifndef DANDELIONSCALE_SRC_ROUTER_RESPONSE_SINK_H_
#define DANDELIONSCALE_SRC_ROUTER_RESPONSE_SINK_H_

#include <functional>

#include "dandelionscale/runtime/runtime_clock.h"
#include "peer.pb.h"

namespace dandelionscale::internal {

/// \brief Receives the frames of a response.
/// \returns false if the response is no longer wanted.
using FrameSink = std::function<Awaitable<bool>(const wire::ServeFrame&)>;

/// \brief Lets the receiver of a response cancel it at any time.
class CancelToken {
 public:
  /// \brief Sets the cancelled state and runs the current action.
  void Cancel() {
    this->cancelled = true;
    if (this->action) this->action();
  }
  bool IsCancelled() const { return this->cancelled; }
  /// \brief Sets the action that `Cancel()` runs. It is not run if `Cancel()`
  /// was called before; check `IsCancelled()`.
  void SetAction(std::function<void()> action) {
    this->action = std::move(action);
  }

 private:
  bool cancelled = false;
  std::function<void()> action;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_RESPONSE_SINK_H_
