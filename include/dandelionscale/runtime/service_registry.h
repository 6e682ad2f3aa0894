#ifndef DANDELIONSCALE_RUNTIME_SERVICE_REGISTRY_H_
#define DANDELIONSCALE_RUNTIME_SERVICE_REGISTRY_H_

#include <any>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Life-cycle callbacks of a service; empty ones are skipped.
struct ServiceHooks {
  std::function<Awaitable<void>()> start;
  /// \brief Stops accepting new work and waits for work in flight.
  std::function<Awaitable<void>()> drain;
  std::function<void()> stop;
};

/// \brief Registry through which the services of a process are looked up by
///        name.
///
/// Services start in the order of registration and drain and stop in reverse.
class ServiceRegistry {
 public:
  /// \brief Adds a service. A service registered earlier as `name` is no longer
  ///        found, but its callbacks still run.
  template <typename T>
  void Register(std::string name, std::shared_ptr<T> service,
                ServiceHooks hooks = {}) {
    this->entries.push_back({name, std::move(hooks)});
    this->services.insert_or_assign(std::move(name), std::any(service));
  }

  /// \returns the service, or null if the name or the type does not match.
  template <typename T>
  std::shared_ptr<T> Find(std::string_view name) const {
    auto found = this->services.find(name);
    if (found == this->services.end()) return nullptr;
    const auto* service = std::any_cast<std::shared_ptr<T>>(&found->second);
    return service == nullptr ? nullptr : *service;
  }

  /// \brief Runs the `start` callbacks one after another.
  Awaitable<void> Start();
  /// \brief Runs the `drain` callbacks one after another.
  Awaitable<void> Drain();
  /// \brief Runs the `stop` callbacks.
  void Stop();

 private:
  struct Entry {
    std::string name;
    ServiceHooks hooks;
  };
  std::vector<Entry> entries;
  std::map<std::string, std::any, std::less<>> services;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_SERVICE_REGISTRY_H_
