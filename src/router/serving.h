#ifndef DANDELIONSCALE_SRC_ROUTER_SERVING_H_
#define DANDELIONSCALE_SRC_ROUTER_SERVING_H_

#include <functional>

#include "dandelionscale/runtime/runtime_clock.h"
#include "peer.pb.h"

namespace dandelionscale::internal {

/// \brief Takes the frames of an answer. \returns false to give it up.
using FrameSink = std::function<Awaitable<bool>(const wire::ServeFrame&)>;

/// \brief Lets the receiving end of an answer cancel it at any time.
class CancelToken {
 public:
  /// \brief Marks the work as cancelled and runs the current action.
  void Cancel() {
    this->cancelled = true;
    if (this->action) this->action();
  }
  bool IsCancelled() const { return this->cancelled; }
  /// \brief Sets what `Cancel()` does from now on.
  void SetAction(std::function<void()> action) {
    this->action = std::move(action);
  }

 private:
  bool cancelled = false;
  std::function<void()> action;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_SERVING_H_
